"""Whose votes count on a claim, and when this agent may vote itself.

The seats are the agents of the service that were seen within the window, dead ones too:
a dead agent may only be cut off, and its side must not be able to reach a majority of
its own. A seat is given up by an agent that has handed on its claims, or by time, when
every record that it held has ended.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelspan_common.control import Announce

SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class Seat:
    """An agent that was seen; ``lost_at`` is when it was missed first."""

    incarnation: int
    lost_at: float | None = None


def majority(count: int) -> int:
    """Return how many of so many seats are more than half."""
    return count // 2 + 1


def reading_quorum(count: int) -> int:
    """Return how many others an agent that starts must hear, of so many seats.

    A claim that it had recorded itself in an earlier life is known to one less than a
    majority of the others; so many share one with every such set.
    """
    return count - majority(count) + 1


@dataclass
class Electorate:
    """The seats as one agent sees them; times in seconds of the owner's clock.

    ``earlier`` tells that the service has had a life before, whose claims an agent that
    starts can't know by itself.
    """

    name: str
    incarnation: int
    started: float
    seats: dict[str, Seat] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    ready: bool = False
    earlier: bool = False
    ready_answers: set[str] = field(default_factory=set)
    fresh_answers: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.seats[self.name] = Seat(self.incarnation)

    def names(self) -> set[str]:
        """Return the agents whose votes count."""
        return set(self.seats)

    def observe(self, members: Iterable[Announce], now: float, window: float) -> None:
        """Bring the seats up to date with the members known now.

        Args:
            members: The agents of the service.
            now: The clock.
            window: Seconds that a lost agent keeps its seat.
        """
        present = {member.name: member.incarnation for member in members}
        for name, incarnation in present.items():
            self.welcome(name, incarnation)
        for name in list(self.seats):
            if name != self.name and name not in present:
                self._miss(name, now, window)

    def welcome(self, name: str, incarnation: int) -> None:
        """Give an agent its seat; one that came back may have lost its claims."""
        if incarnation <= self.left.get(name, 0):
            return
        seat = self.seats.get(name)
        if seat is None:
            self.seats[name] = Seat(incarnation)
            return
        if name == self.name:
            # Our own earlier life, still among the members: it had claims, now lost.
            self.earlier = self.earlier or incarnation < self.incarnation
            return
        if incarnation > seat.incarnation:
            # A seat of life 0 was only heard of from another agent. Taken for a return,
            # the first sight of it would keep a new service from voting for a window.
            self.earlier = self.earlier or seat.incarnation > 0
            self.seats[name] = Seat(incarnation)
        elif incarnation == seat.incarnation:
            seat.lost_at = None

    def leave(self, name: str, incarnation: int) -> None:
        """Take the seat of an agent that has handed on its claims."""
        self.left[name] = max(incarnation, self.left.get(name, 0))
        seat = self.seats.get(name)
        if seat is not None and name != self.name and seat.incarnation <= incarnation:
            del self.seats[name]

    def answered(
        self, name: str, *, ready: bool, earlier: bool, others: Iterable[str]
    ) -> None:
        """Note that an agent has handed over all its records.

        Args:
            name: Who answered.
            ready: Whether it votes, so that its records count as complete.
            earlier: Whether it knows of an earlier life of the service.
            others: The seats as it sees them; unknown ones are taken in.
        """
        self.earlier = self.earlier or earlier
        for other in others:
            if other not in self.seats and other not in self.left:
                self.seats[other] = Seat(0)
        if ready:
            self.ready_answers.add(name)
            self.fresh_answers.discard(name)
        else:
            self.fresh_answers.add(name)

    def settle(self, now: float, window: float) -> bool:
        """Work out whether this agent may vote, and return it.

        It may once it has the records of so many that every earlier majority is among
        them; or when it has those of all, and none knows of an earlier life whose
        records are lost; or when it has been here so long that all earlier claims have
        ended. Else it would answer for keys that it has lost, and one would run twice.
        """
        if self.ready or now - self.started < SETTLE_SECONDS:
            return self.ready
        others = self.names() - {self.name}
        heard = len(self.ready_answers & others)
        synced = bool(others) and heard >= reading_quorum(len(self.seats))
        lost = any(seat.lost_at is not None for seat in self.seats.values())
        heard_all = others <= self.fresh_answers | self.ready_answers
        complete = heard_all and not self.earlier and not lost
        if synced or complete or now - self.started >= window:
            self.ready = True
        return self.ready

    def _miss(self, name: str, now: float, window: float) -> None:
        seat = self.seats[name]
        if seat.lost_at is None:
            seat.lost_at = now
        elif now - seat.lost_at >= window:
            del self.seats[name]
