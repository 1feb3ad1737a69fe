"""Agents of the ownership model, and the questions that their coroutines wait for."""

from dataclasses import dataclass, field

from cornelspan_ownership.directory import AgentId, Directory
from cornelspan_ownership.handlers import remove_peer
from cornelspan_ownership.ownership import Ownership
from cornelspan_ownership.placement import OwnLoad, load_message

SERVICE = "order-hub"


@dataclass
class PendingCall:
    """Questions of one step of a coroutine; it goes on once all have an answer."""

    names: list
    message: object
    answers: dict = field(default_factory=dict)

    def __await__(self):
        return (yield self)


@dataclass
class Agent:
    """One life of an agent, as ``Group`` and ``Local`` for its own ``Ownership``."""

    world: object
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
            lambda: self.world.now,
            Directory(idle_seconds=1000.0),
        )
        for name in self.view:
            busy = self.world.believed.get(name, 0)
            self.state.loads.update(load_message(SERVICE, name, 1, OwnLoad(2, busy)))

    async def call_peers(self, names, message):
        call = PendingCall(list(names), message)
        return await call

    def ranked(self, flow):
        return self.world.rank(flow, [*self.view, self.name])

    def find_agent(self, name):
        return AgentId(name, 1) if name in self.view else None

    def is_gone(self, name, incarnation):
        return name in self.gone

    def is_stable(self):
        return self.world.trust_time or self.stable

    def outranks(self, flow, one, other):
        return self.world.outranks(flow, one, other)

    def owns(self, flow):
        return flow in self.owned

    def open(self, packet):
        self.owned.add(packet.flow)
        self.world.accepted(self, packet.flow)

    def load(self):
        return OwnLoad(self.slots, min(self.slots, len(self.owned)))

    def learn(self, name):
        """Hear of a new agent."""
        if name not in self.view and name not in self.gone and name != self.name:
            self.view[name] = 1
            self.stable = False
            self.state.loads.update(load_message(SERVICE, name, 1, OwnLoad(2, 0)))

    def lose(self, name):
        """Hear that an agent is gone."""
        self.gone.add(name)
        if self.view.pop(name, None):
            self.stable = False
        remove_peer(self.state, name, 1)
