"""Whose votes count on a claim, and when this agent may vote itself.

The seats are the agents of the service that were seen within the window, dead ones too:
a dead agent may only be cut off, and its side must not be able to reach a majority of
its own. A seat is given up by an agent that has handed on its claims, or by time, when
every record that it held has ended.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelspan_common.control import Announce

MIN_JOIN_SECONDS = 1.0


@dataclass(slots=True)
class Voter:
    """An agent that was seen; ``lost_at`` is when it was missed first."""

    incarnation: int
    lost_at: float | None = None


def majority(count: int) -> int:
    """Return how many of so many seats are more than half."""
    return count // 2 + 1


def read_quorum(count: int) -> int:
    """Return how many others an agent that starts must hear, of so many seats.

    A claim that it had recorded itself in an earlier life is known to one less than a
    majority of the others; so many share one with every such set.
    """
    return count - majority(count) + 1


@dataclass
class VoterSet:
    """The voters as one agent sees them; times in seconds of the owner's clock.

    ``restart_seen`` is set when an agent of the service is known to have restarted: its
    earlier incarnation may have recorded claims that this agent doesn't have.
    """

    name: str
    incarnation: int
    started: float
    by_name: dict[str, Voter] = field(default_factory=dict)
    left_incarnations: dict[str, int] = field(default_factory=dict)
    ready: bool = False
    restart_seen: bool = False
    synced_ready: set[str] = field(default_factory=set)
    synced_unready: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.by_name[self.name] = Voter(self.incarnation)

    def names(self) -> set[str]:
        """Return the agents whose votes count."""
        return set(self.by_name)

    def observe(self, members: Iterable[Announce], now: float, window: float) -> None:
        """Bring the seats up to date with the members known now.

        Args:
            members: The agents of the service.
            now: The clock.
            window: Seconds that a lost agent keeps its seat.
        """
        present = {member.name: member.incarnation for member in members}
        for name, incarnation in present.items():
            self.add_voter(name, incarnation)
        for name in list(self.by_name):
            if name != self.name and name not in present:
                self._mark_missing(name, now, window)

    def add_voter(self, name: str, incarnation: int) -> None:
        """Give an agent its seat; one that came back may have lost its claims."""
        if incarnation <= self.left_incarnations.get(name, 0):
            return
        voter = self.by_name.get(name)
        if voter is None:
            self.by_name[name] = Voter(incarnation)
            return
        if name == self.name:
            # Our own earlier life, still among the members: it had claims, now lost.
            self.restart_seen = self.restart_seen or incarnation < self.incarnation
            return
        if incarnation > voter.incarnation:
            # A seat of life 0 was only heard of from another agent. Taken for a return,
            # the first sight of it would keep a new service from voting for a window.
            self.restart_seen = self.restart_seen or voter.incarnation > 0
            self.by_name[name] = Voter(incarnation)
        elif incarnation == voter.incarnation:
            voter.lost_at = None

    def remove_voter(self, name: str, incarnation: int) -> None:
        """Take the seat of an agent that has handed on its claims."""
        self.left_incarnations[name] = max(
            incarnation, self.left_incarnations.get(name, 0)
        )
        voter = self.by_name.get(name)
        if voter is not None and name != self.name and voter.incarnation <= incarnation:
            del self.by_name[name]

    def record_sync(
        self, name: str, *, ready: bool, restart_seen: bool, others: Iterable[str]
    ) -> None:
        """Note that an agent has handed over all its records.

        Args:
            name: Who answered.
            ready: Whether it votes, so that its records count as complete.
            earlier: Whether it knows of an earlier life of the service.
            others: The seats as it sees them; unknown ones are taken in.
        """
        self.restart_seen = self.restart_seen or restart_seen
        for other in others:
            if other not in self.by_name and other not in self.left_incarnations:
                self.by_name[other] = Voter(0)
        if ready:
            self.synced_ready.add(name)
            self.synced_unready.discard(name)
        else:
            self.synced_unready.add(name)

    def update_ready(self, now: float, window: float) -> bool:
        """Work out whether this agent may vote, and return it.

        It may once it has the records of so many that every earlier majority is among
        them; or when it has those of all, and none knows of an earlier life whose
        records are lost; or when it has been here so long that all earlier claims have
        ended. Else it would answer for keys that it has lost, and one would run twice.
        """
        if self.ready or now - self.started < MIN_JOIN_SECONDS:
            return self.ready
        others = self.names() - {self.name}
        synced_count = len(self.synced_ready & others)
        has_quorum = bool(others) and synced_count >= read_quorum(len(self.by_name))
        any_lost = any(voter.lost_at is not None for voter in self.by_name.values())
        all_synced = others <= self.synced_unready | self.synced_ready
        complete = all_synced and not self.restart_seen and not any_lost
        if has_quorum or complete or now - self.started >= window:
            self.ready = True
        return self.ready

    def _mark_missing(self, name: str, now: float, window: float) -> None:
        voter = self.by_name[name]
        if voter.lost_at is None:
            voter.lost_at = now
        elif now - voter.lost_at >= window:
            del self.by_name[name]
