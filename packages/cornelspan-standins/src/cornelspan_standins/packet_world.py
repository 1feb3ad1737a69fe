"""A small deployment of pass-through daemons in virtual time, without sockets.

The real balancers and agents decide; the network between them is a queue of events
with a delay, on which datagrams can be lost by choice. Everything follows from a seed.

    world = PacketWorld(seed=1)
    world.add_agent("10.1.0.11", "orders")
    world.add_balancer("10.1.0.10")
    client = world.open_flow(over="10.1.0.10", route_port=443)
    world.run(1.0)
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from itertools import count
from typing import TypeVar

from cornelspan_passthrough.agent import Agent
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.configuration import Configuration, Route, Share
from cornelspan_passthrough.delivery import release_requests
from cornelspan_passthrough.endpoint import Incarnation, Report
from cornelspan_passthrough.members import AGENT, BALANCER, Member
from cornelspan_passthrough.packet_headers import route_number
from cornelspan_passthrough.running_balancer import FAST_PING_SECONDS
from cornelspan_passthrough.settings import (
    ObjectStoreSettings,
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
)
from cornelspan_shirakaba.packets import CODEC
from cornelspan_standins.packet_ends import (
    ROUTE_ADDRESS,
    PacketClient,
    PacketEndpoint,
)
from cornelspan_standins.packet_routers import PROBE_SECONDS, PacketRouters

INTERNAL_PORT = 7720
PACKETS_PORT = 8172
OUTBOUND_PORT = 8162
APP_PORT = 8165
DELAY_SECONDS = 0.001
FIRST_CLIENT_PORT = 40_001
LAST_PORT = 65_535
TICK_SECONDS = 0.02
PING_SECONDS = 0.2
REPORT_SECONDS = 0.8

Address = tuple[str, int]
Daemon = TypeVar("Daemon", Balancer, Agent)
Lost = Callable[[Address, Address, bytes], bool]


@dataclass
class WorldSocket:
    """What a daemon sends goes into the world's queue."""

    world: "PacketWorld"
    own: Address
    dropped: int = 0

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram."""
        self.world.post(self.own, address, data)


@dataclass
class PacketWorld:
    """Daemons, endpoints and clients by address, and the datagrams between them.

    ``report_capacity`` is the most slots that an endpoint reports; without ``reports``
    none does by itself. VMs in ``frozen_until`` stand still until that time.
    """

    seed: int
    now: float = 0.0
    balancers: dict[str, Balancer] = field(default_factory=dict)
    agents: dict[str, Agent] = field(default_factory=dict)
    endpoints: dict[str, PacketEndpoint] = field(default_factory=dict)
    clients: dict[tuple[int, int], PacketClient] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    lost: Lost = lambda source, target, data: False
    sequences: dict[str, int] = field(default_factory=dict)
    routers: PacketRouters = field(default_factory=PacketRouters)
    report_capacity: int = 2
    reports: bool = True
    frozen_until: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.ports: dict[int, int] = {}
        self.handlers: dict[Address, Callable[[bytes, str], None]] = {}
        self.configuration = configuration(1, [("orders", 1)])
        self.after(TICK_SECONDS, self._tick)
        self.after(0.0, self._ping)
        self.after(0.0, self._report)
        self.after(0.0, self._ping_newcomers)
        self.after(0.0, self._probe)

    # Time and datagrams

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        event = (self.now + seconds, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def post(self, source: Address, target: Address, data: bytes) -> None:
        """Carry a datagram, unless the network loses it."""
        if not self.lost(source, target, data):
            self.after(DELAY_SECONDS, lambda: self._arrive(source, target, data))

    def freeze(self, address: str, seconds: float) -> None:
        """Have a VM stand still; what is sent to it waits in its sockets."""
        self.frozen_until[address] = self.now + seconds

    def is_frozen(self, address: str) -> bool:
        """Whether a VM stands still now."""
        return self.now < self.frozen_until.get(address, 0.0)

    def _arrive(self, source: Address, target: Address, data: bytes) -> None:
        if self.is_frozen(target[0]):
            waits = self.frozen_until[target[0]] - self.now
            self.after(waits, lambda: self._arrive(source, target, data))
            return
        handler = self.handlers.get(target)
        if handler is not None:
            handler(data, source[0])

    # Daemons

    def add_balancer(self, address: str) -> Balancer:
        """Start a balancer that knows the configuration and all members."""
        settings = PassthroughBalancerSettings(**_daemon_settings(address))
        clients = WorldSocket(self, (address, PACKETS_PORT))
        daemons = WorldSocket(self, (address, INTERNAL_PORT))
        chance = random.Random(self.chance.random())
        balancer = Balancer(settings, CODEC, clients, daemons, chance)
        balancer.routes.replace(self.configuration)
        self.balancers[address] = balancer
        self.handlers[clients.own] = lambda data, _: balancer.receive_from_client(
            data, self.now
        )
        self.handlers[daemons.own] = lambda data, sender: balancer.receive_from_daemon(
            data, sender, self.now
        )
        self.routers.add(address)
        self.members[address] = Member(address, BALANCER, "hall")
        self.tell_members()
        return balancer

    def add_agent(self, address: str, service: str) -> Agent:
        """Start an agent and its endpoint."""
        self.endpoints[address] = PacketEndpoint(
            service,
            lambda data: self.post((address, APP_PORT), (address, OUTBOUND_PORT), data),
            self.after,
            random.Random(self.chance.random()),
            lambda: self.now,
        )
        self.members[address] = Member(address, AGENT, "hall", service)
        agent = self.start_agent(address)
        self.tell_members()
        return agent

    def start_agent(self, address: str) -> Agent:
        """Start an agent anew beside its endpoint; it has forgotten everything."""
        endpoint = self.endpoints[address]
        self.handlers[(address, APP_PORT)] = lambda data, _: endpoint.receive(data)
        service = self.members[address].service
        settings = PassthroughAgentSettings(
            **_daemon_settings(address),
            service=service,
            endpoint=f"{address}:{APP_PORT}",
            outbound=f"{address}:{OUTBOUND_PORT}",
            reports=f"{address}:8166",
            report_milliseconds=round(REPORT_SECONDS * 1000),
        )
        local = WorldSocket(self, (address, OUTBOUND_PORT))
        daemons = WorldSocket(self, (address, INTERNAL_PORT))
        agent = Agent(settings, CODEC, local, daemons, self.now)
        self.agents[address] = agent
        self.handlers[local.own] = lambda data, _: agent.receive_from_endpoint(
            data, self.now
        )
        self.handlers[daemons.own] = lambda data, sender: agent.receive_from_daemon(
            data, sender, self.now
        )
        return agent

    def remove(self, address: str) -> None:
        """Take a VM away without a word."""
        self.balancers.pop(address, None)
        self.agents.pop(address, None)
        self.handlers = {
            key: handler for key, handler in self.handlers.items() if key[0] != address
        }

    def stop_daemon(self, address: str) -> None:
        """End a daemon's process; its VM and its endpoint go on."""
        self.balancers.pop(address, None)
        self.agents.pop(address, None)
        for port in (PACKETS_PORT, INTERNAL_PORT, OUTBOUND_PORT):
            self.handlers.pop((address, port), None)

    def tell_members(self) -> None:
        """Give all balancers the present listing."""
        for balancer in self.balancers.values():
            balancer.members.replace(list(self.members.values()), 1)
            balancer.recompute_from_members(self.now)

    def configure(self, shares: list[tuple[str, int]]) -> None:
        """Put a new configuration in force."""
        version = self.configuration.version + 1
        self.configuration = configuration(version, shares)
        for balancer in self.balancers.values():
            balancer.routes.replace(self.configuration)

    # Clients

    def open_flow(self, *, over: str, route_port: int = 443) -> PacketClient:
        """Open a flow whose packets go over one balancer; see ``move``."""
        client = self.new_client(int(IPv4Address("100.64.0.7")), route_port)
        client.asks_at_once = True
        self.move(client, over=over)
        client.open()
        return client

    def new_client(
        self,
        address: int,
        route_port: int,
        told: Callable[[str], None] = lambda event: None,
    ) -> PacketClient:
        """Return a flow, not opened yet, whose packets the routers distribute.

        Args:
            address: The client's.
            route_port: Port of the route.
            told: Called with each event of the flow.
        """
        port = self._free_port(address)
        source = (str(IPv4Address(address)), port)
        flow = address << 16 | port
        client = PacketClient(
            address,
            port,
            route_port,
            lambda data: self.post(
                source, (self.routers.route(flow), PACKETS_PORT), data
            ),
            self.after,
            random.Random(self.chance.random()),
            told,
            asks_at_once=False,
        )
        self.clients[(address, port)] = client
        self.handlers[(source[0], PACKETS_PORT)] = self._to_client
        return client

    def _free_port(self, address: int) -> int:
        """Return the next port of a client, from the beginning after the last."""
        number = self.ports.get(address, FIRST_CLIENT_PORT)
        self.ports[address] = FIRST_CLIENT_PORT if number == LAST_PORT else number + 1
        return number

    def move(self, client: PacketClient, *, over: str) -> None:
        """Have the routers send a flow's packets over another balancer."""
        source = (str(IPv4Address(client.address)), client.port)
        client.send = lambda data: self.post(source, (over, PACKETS_PORT), data)

    def _to_client(self, data: bytes, sender: str) -> None:
        head = CODEC.read_endpoint(data)
        if head is None:
            return
        port = head.flow >> 48 & 0xFFFF
        client = self.clients.get((head.flow >> 64, port))
        if client is not None:
            client.receive(data)

    # What goes on by itself

    def _awake(self, daemons: dict[str, Daemon]) -> list[Daemon]:
        """Return the daemons whose VMs don't stand still."""
        return [
            daemon for address, daemon in daemons.items() if not self.is_frozen(address)
        ]

    def _tick(self) -> None:
        for balancer in self._awake(self.balancers):
            balancer.tick(self.now)
        for agent in self._awake(self.agents):
            release_requests(agent, self.now)
        self.after(TICK_SECONDS, self._tick)

    def _ping(self) -> None:
        for balancer in self._awake(self.balancers):
            for member in balancer.members.agents():
                balancer.ping_agent(member.address, self.now)
        self.after(PING_SECONDS, self._ping)

    def _probe(self) -> None:
        self.routers.probe(
            lambda address: (
                address in self.balancers
                and not self.is_frozen(address)
                and self.balancers[address].is_ready()
            )
        )
        self.after(PROBE_SECONDS, self._probe)

    def _ping_newcomers(self) -> None:
        for balancer in self._awake(self.balancers):
            agents = [member.address for member in balancer.members.agents()]
            for address in balancer.health.unseen_agents(agents):
                balancer.ping_agent(address, self.now)
        self.after(FAST_PING_SECONDS, self._ping_newcomers)

    def _report(self) -> None:
        for address, endpoint in self.endpoints.items():
            agent = self.agents.get(address)
            is_able = self.reports and endpoint.alive and not self.is_frozen(address)
            if agent is None or not is_able:
                continue
            sequence = self.sequences.get(address, 0) + 1
            self.sequences[address] = sequence
            draining = not endpoint.accepts
            capacity = min(endpoint.slots, self.report_capacity)
            life = Incarnation(f"i-{address}-{endpoint.life}")
            cold = max(0, round((endpoint.cold_until - self.now) * 1000))
            report = Report(life, endpoint.service, sequence, capacity, draining, cold)
            agent.receive_report(report, self.now)
        self.after(REPORT_SECONDS, self._report)


def configuration(version: int, shares: list[tuple[str, int]]) -> Configuration:
    """Return a configuration whose one route goes to services by weight."""
    route = Route(
        number=route_number(str(IPv4Address(ROUTE_ADDRESS)), 443),
        name="route",
        shares=tuple(Share(service, weight) for service, weight in shares),
        priority=1,
        idempotent=False,
        timeout_milliseconds=2000,
        target_milliseconds=200,
    )
    return Configuration(version, (route,), 15_000)


def _daemon_settings(address: str) -> dict:
    return {
        "name": f"vm-{address}",
        "datacentre": "hall",
        "address": address,
        "packets": f"{address}:{PACKETS_PORT}",
        "ready": f"{address}:8167",
        "internal_port": INTERNAL_PORT,
        "store": ObjectStoreSettings(address="10.200.1.7:8169"),
    }
