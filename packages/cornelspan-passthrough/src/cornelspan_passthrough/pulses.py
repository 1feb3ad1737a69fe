"""What a balancer knows of each agent: whether it answers, and how busy it is."""

from dataclasses import dataclass, field

import msgspec

READY = 0
DRAINING = 1
DOWN = 2

# An agent that has never answered is asked this often in quick succession, for three
# seconds in steps of 50 ms, then at the usual pace.
NEWCOMER_PINGS = 60
# An agent that has been silent for this long is no longer waited for when the owner of
# a flow is sought. A restart beside a living endpoint takes about a second. A VM that
# is dark or cut off for longer can't serve its flows within their time budgets of a
# second or two, and their clients are better told so. One that never answered since
# this process started is given up a little sooner.
LOST_SECONDS = 2.0
NEVER_HEARD_SECONDS = 1.5


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """A balancer's question, with what other balancers want to know of it."""

    address: str
    version: int
    listed: bool


class Pong(msgspec.Struct, frozen=True, array_like=True):
    """An agent's answer, or its word unasked when its endpoint has changed.

    ``state`` is that of its endpoint, of this module. ``running`` counts requests that
    the endpoint works on or queues, ``flows`` open flows, ``capacity`` slots.
    ``is_ejected`` tells that it fails what it is sent, whatever it reports, and
    ``pace_milliseconds`` how long it takes for a request now, 0 if that is not known.
    """

    address: str
    datacentre: str
    service: str
    state: int
    capacity: int
    running: int
    flows: int
    is_ejected: bool = False
    pace_milliseconds: int = 0


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that speaks for itself, to those it knows from its seeds."""

    address: str
    role: str
    datacentre: str
    service: str


@dataclass(slots=True)
class Pulse:
    """One agent as seen by this balancer; times are of the loop's clock, in seconds.

    ``unanswered`` counts pings since the last answer, ``placed`` the flows sent to the
    agent since the state of its last answer.
    """

    first_asked_at: float | None = None
    pong: Pong | None = None
    answered_at: float = 0.0
    unanswered: int = 0
    placed: int = 0
    refused_until: float = 0.0


@dataclass
class Pulses:
    """The agents' pulses by address. One that was never asked counts as alive."""

    missed_pings: int
    by_address: dict[str, Pulse] = field(default_factory=dict)

    def of(self, address: str) -> Pulse:
        """Return an agent's pulse; a new one for an agent not seen before."""
        pulse = self.by_address.get(address)
        if pulse is None:
            pulse = Pulse()
            self.by_address[address] = pulse
        return pulse

    def asked(self, address: str, now: float) -> None:
        """Count a ping that is on its way."""
        pulse = self.of(address)
        pulse.unanswered += 1
        if pulse.first_asked_at is None:
            pulse.first_asked_at = now

    def answered(self, pong: Pong, now: float) -> bool:
        """Take in an answer; return whether the agent had been taken for gone."""
        pulse = self.of(pong.address)
        was_lost = pulse.unanswered > self.missed_pings
        pulse.pong = pong
        pulse.answered_at = now
        pulse.unanswered = 0
        pulse.placed = 0
        return was_lost

    def is_answering(self, address: str) -> bool:
        """Whether an agent is taken for alive."""
        return self.of(address).unanswered <= self.missed_pings

    def is_lost(self, address: str, now: float) -> bool:
        """Whether an agent has been silent for too long to be waited for."""
        pulse = self.of(address)
        if pulse.unanswered <= self.missed_pings or pulse.first_asked_at is None:
            return False
        if pulse.pong is not None and pulse.pong.state == DOWN:
            # Its endpoint had gone before it fell silent, and its flows with it.
            return True
        if pulse.pong is None:
            return now - pulse.first_asked_at > NEVER_HEARD_SECONDS
        return now - pulse.answered_at > LOST_SECONDS

    def doubt_nothing(self) -> None:
        """Forget unanswered pings.

        A process that was suspended has asked and not listened. Counted against the
        agents, its own pause would turn all of them dead at once.
        """
        for pulse in self.by_address.values():
            pulse.unanswered = 0

    def newcomers(self, addresses: list[str]) -> list[str]:
        """Return those that have never answered and may be about to come up."""
        return [
            address
            for address in addresses
            if self.of(address).pong is None
            and self.of(address).unanswered < NEWCOMER_PINGS
        ]

    def forget(self, address: str) -> None:
        """Forget an agent that is gone."""
        self.by_address.pop(address, None)
