"""What a balancer knows of each agent: whether it answers, and how busy it is."""

from dataclasses import dataclass, field

import msgspec

READY = 0
DRAINING = 1
DOWN = 2

# An agent that has never answered is asked this often in quick succession, for three
# seconds in steps of 50 ms, then at the usual pace.
MAX_FAST_PINGS = 60
# An agent that has been silent for this long is no longer waited for when the owner of
# a flow is sought. A restart beside a living endpoint takes about a second. A VM that
# is dark or cut off for longer can't serve its flows within their time budgets of a
# second or two, and their clients are better told so. One that never answered since
# this process started is given up a little sooner.
LOST_SECONDS = 2.0
UNSEEN_LOST_SECONDS = 1.5


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """A balancer's question, with what other balancers want to know of it."""

    address: str
    version: int
    is_registered: bool


class Pong(msgspec.Struct, frozen=True, array_like=True):
    """An agent's answer, or its word unasked when its endpoint has changed.

    ``state`` is that of its endpoint, of this module. ``running`` counts requests that
    the endpoint works on or queues, ``flows`` open flows, ``capacity`` slots.
    ``is_ejected`` is set while outlier detection keeps new flows away from it, whatever
    state it reports. ``service_time_milliseconds`` is its recent time per request, 0 if
    unknown.
    """

    address: str
    datacentre: str
    service: str
    state: int
    capacity: int
    running: int
    flows: int
    is_ejected: bool = False
    service_time_milliseconds: int = 0


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that speaks for itself, to those it knows from its seeds."""

    address: str
    role: str
    datacentre: str
    service: str


@dataclass(slots=True)
class AgentHealth:
    """One agent as seen by this balancer; times are of the loop's clock, in seconds.

    ``unanswered_pings`` counts pings since the last pong, ``placed_flows`` the flows
    sent to the agent since its last pong.
    """

    first_pinged_at: float | None = None
    pong: Pong | None = None
    last_pong_at: float = 0.0
    unanswered_pings: int = 0
    placed_flows: int = 0
    cooldown_until: float = 0.0


@dataclass
class AgentHealthTable:
    """The agents' pulses by address. One that was never asked counts as alive."""

    missed_pings: int
    by_address: dict[str, AgentHealth] = field(default_factory=dict)

    def of(self, address: str) -> AgentHealth:
        """Return an agent's pulse; a new one for an agent not seen before."""
        health = self.by_address.get(address)
        if health is None:
            health = AgentHealth()
            self.by_address[address] = health
        return health

    def record_ping(self, address: str, now: float) -> None:
        """Count a ping that is on its way."""
        health = self.of(address)
        health.unanswered_pings += 1
        if health.first_pinged_at is None:
            health.first_pinged_at = now

    def record_pong(self, pong: Pong, now: float) -> bool:
        """Take in an answer; return whether the agent had been taken for gone."""
        health = self.of(pong.address)
        was_lost = health.unanswered_pings > self.missed_pings
        health.pong = pong
        health.last_pong_at = now
        health.unanswered_pings = 0
        health.placed_flows = 0
        return was_lost

    def is_answering(self, address: str) -> bool:
        """Whether an agent is taken for alive."""
        return self.of(address).unanswered_pings <= self.missed_pings

    def is_lost(self, address: str, now: float) -> bool:
        """Whether an agent has been silent for too long to be waited for."""
        health = self.of(address)
        if (
            health.unanswered_pings <= self.missed_pings
            or health.first_pinged_at is None
        ):
            return False
        if health.pong is not None and health.pong.state == DOWN:
            # Its endpoint had gone before it fell silent, and its flows with it.
            return True
        if health.pong is None:
            return now - health.first_pinged_at > UNSEEN_LOST_SECONDS
        return now - health.last_pong_at > LOST_SECONDS

    def clear_unanswered_pings(self) -> None:
        """Forget unanswered pings.

        A process that was suspended has asked and not listened. Counted against the
        agents, its own pause would turn all of them dead at once.
        """
        for health in self.by_address.values():
            health.unanswered_pings = 0

    def unseen_agents(self, addresses: list[str]) -> list[str]:
        """Return those that have never answered and may be about to come up."""
        return [
            address
            for address in addresses
            if self.of(address).pong is None
            and self.of(address).unanswered_pings < MAX_FAST_PINGS
        ]

    def forget(self, address: str) -> None:
        """Forget an agent that is gone."""
        self.by_address.pop(address, None)
