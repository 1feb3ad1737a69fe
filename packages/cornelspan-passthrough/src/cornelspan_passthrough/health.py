"""A balancer's view of each agent: whether it answers, and its endpoint's load."""

from dataclasses import dataclass, field

import msgspec

READY = 0
DRAINING = 1
DOWN = 2

# An agent that has never answered is pinged in quick succession, for three seconds in
# steps of 50 ms, then at the usual interval.
MAX_FAST_PINGS = 60
# An agent that has been silent for this long is no longer waited for in the search for
# a flow's owner. A restart beside a living endpoint takes about a second. A VM that is
# down or cut off for longer can't serve its flows within their deadlines of a second or
# two, and a reset lets their clients retry. An agent that has not answered since this
# process started is given up a little sooner.
LOST_SECONDS = 2.0
UNSEEN_LOST_SECONDS = 1.5


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """A balancer's ping.

    ``version`` is that of the configuration in force at the balancer. ``is_registered``
    says whether the receiver has an entry in the store; it is also set while the
    balancer has not read the entries.
    """

    address: str
    version: int
    is_registered: bool


class Pong(msgspec.Struct, frozen=True, array_like=True):
    """An agent's answer to a ping, also sent unasked when its endpoint has changed.

    ``state`` is the endpoint's: ``READY``, ``DRAINING`` or ``DOWN``. ``running`` counts
    requests that the endpoint works on or queues, ``flows`` open flows, ``capacity``
    slots. ``is_ejected`` is set while outlier detection keeps new flows away from it,
    whatever state it reports. ``response_milliseconds`` is its recent time per request,
    0 if unknown.
    """

    address: str
    datacentre: str
    service: str
    state: int
    capacity: int
    running: int
    flows: int
    is_ejected: bool = False
    response_milliseconds: int = 0


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's announcement of itself to the seeds."""

    address: str
    role: str
    datacentre: str
    service: str


@dataclass(slots=True)
class AgentHealth:
    """One agent as seen by this balancer; times are of the loop's clock, in seconds.

    ``unanswered_pings`` counts pings since the last pong, ``placed_flows`` the flows
    sent to the agent since its last pong. Until ``cooldown_until``, after a rejection,
    the agent gets a new flow only if no other one is left.
    """

    first_pinged_at: float | None = None
    pong: Pong | None = None
    last_pong_at: float = 0.0
    unanswered_pings: int = 0
    placed_flows: int = 0
    cooldown_until: float = 0.0


@dataclass
class AgentHealthTable:
    """Health of all agents by address. One that was never pinged counts as alive."""

    missed_pings: int
    by_address: dict[str, AgentHealth] = field(default_factory=dict)

    def of(self, address: str) -> AgentHealth:
        """Return an agent's health, a new one for an unknown agent."""
        health = self.by_address.get(address)
        if health is None:
            health = AgentHealth()
            self.by_address[address] = health
        return health

    def record_ping(self, address: str, now: float) -> None:
        """Record a ping that is being sent."""
        health = self.of(address)
        health.unanswered_pings += 1
        if health.first_pinged_at is None:
            health.first_pinged_at = now

    def record_pong(self, pong: Pong, now: float) -> bool:
        """Record a pong; return whether the agent had been silent until then."""
        health = self.of(pong.address)
        was_silent = health.unanswered_pings > self.missed_pings
        health.pong = pong
        health.last_pong_at = now
        health.unanswered_pings = 0
        health.placed_flows = 0
        return was_silent

    def may_answer(self, address: str) -> bool:
        """Whether an agent is not known to be silent.

        It is silent with more than ``missed_pings`` unanswered pings; one that was
        never pinged may answer.
        """
        return self.of(address).unanswered_pings <= self.missed_pings

    def is_lost(self, address: str, now: float) -> bool:
        """Whether an agent has been silent for so long that no search waits for it."""
        health = self.of(address)
        if (
            health.unanswered_pings <= self.missed_pings
            or health.first_pinged_at is None
        ):
            return False
        if health.pong is not None and health.pong.state == DOWN:
            # Its endpoint was down before the agent fell silent, so its flows are gone
            # as well.
            return True
        if health.pong is None:
            return now - health.first_pinged_at > UNSEEN_LOST_SECONDS
        return now - health.last_pong_at > LOST_SECONDS

    def clear_unanswered_pings(self) -> None:
        """Reset the counts of unanswered pings.

        A process that was suspended could not receive pongs. Counting those pings would
        make all agents look dead at once.
        """
        for health in self.by_address.values():
            health.unanswered_pings = 0

    def unseen_agents(self, addresses: list[str]) -> list[str]:
        """Return the agents that have never answered and may still be starting."""
        return [
            address
            for address in addresses
            if self.of(address).pong is None
            and self.of(address).unanswered_pings < MAX_FAST_PINGS
        ]

    def forget(self, address: str) -> None:
        """Drop an agent's health."""
        self.by_address.pop(address, None)
