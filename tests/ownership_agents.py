"""Agents of the ownership simulation, and the calls that their coroutines await."""

from dataclasses import dataclass, field

from cornelspan_ownership.directory import AgentId, Directory
from cornelspan_ownership.handlers import remove_incarnation
from cornelspan_ownership.ownership import Ownership
from cornelspan_ownership.placement import OwnLoad, load_message

SERVICE = "order-hub"


@dataclass
class PendingCall:
    """One call to several peers; the coroutine continues when all have answered."""

    names: list
    message: object
    answers: dict = field(default_factory=dict)

    def __await__(self):
        return (yield self)


@dataclass
class Agent:
    """One incarnation of an agent, also as ``PeerGroup`` and ``LocalAgent``."""

    simulation: object
    name: str
    slots: int
    view: dict
    stable: bool = True
    alive: bool = True
    owned: set = field(default_factory=set)
    gone: set = field(default_factory=set)

    def __post_init__(self):
        self.state = Ownership(
            AgentId(self.name, 1),
            SERVICE,
            self,
            self,
            self.call_peers,
            lambda: self.simulation.now,
            Directory(idle_seconds=1000.0),
        )
        for name in self.view:
            busy = self.simulation.initial_loads.get(name, 0)
            self.state.loads.update(load_message(SERVICE, name, 1, OwnLoad(2, busy)))

    async def call_peers(self, names, message):
        call = PendingCall(list(names), message)
        return await call

    def ranked(self, flow):
        return self.simulation.rank(flow, [*self.view, self.name])

    def find_agent(self, name):
        return AgentId(name, 1) if name in self.view else None

    def is_gone(self, name, incarnation):
        return name in self.gone

    def is_stable(self):
        return self.simulation.always_stable or self.stable

    def outranks(self, flow, one, other):
        return self.simulation.outranks(flow, one, other)

    def owns(self, flow):
        return flow in self.owned

    def open(self, packet):
        self.owned.add(packet.flow)
        self.simulation.accepted(self, packet.flow)

    def load(self):
        return OwnLoad(self.slots, min(self.slots, len(self.owned)))

    def add_agent(self, name):
        """Add a new agent to this agent's view."""
        if name not in self.view and name not in self.gone and name != self.name:
            self.view[name] = 1
            self.stable = False
            self.state.loads.update(load_message(SERVICE, name, 1, OwnLoad(2, 0)))

    def remove_agent(self, name):
        """Remove an agent that is gone from this agent's view."""
        self.gone.add(name)
        if self.view.pop(name, None):
            self.stable = False
        remove_incarnation(self.state, name, 1)
