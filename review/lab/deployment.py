"""A small deployment on loopback: daemons, endpoints, clients, routers, the store."""

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from lab import wire
from lab.client import Flow, Routers
from lab.endpoint import Endpoint, EndpointSocket
from lab.machines import (
    BOUNDS,
    Machine,
    Platform,
    free_network,
    ports_of_daemons,
)
from lab.record import Record, written_to
from lab.store import Store
from lab.wire import Packet

# Last two numbers of the addresses on the loopback network that is free.
HOME = "7.1"
CLIENTS = "9.1"
ROUTE = "8.1"
BALANCERS = "2.{}"
AGENTS = "1.{}"
LINKS = "6.{}"
MOST_MACHINES = 8
ROUTE_PORT = 8443
SERVICE = "order-hub"
ZONE = "chuo-hall"
REPORT_SECONDS = 1.2
IDLE_TIMEOUT_SECONDS = 15.0
BUDGET_SECONDS = 2.0
READY_SECONDS = 15.0
FIRST_CLIENT_PORT = 1025
RUN_SECONDS = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case couldn't be set up."""


@dataclass
class Deployment:
    """All parts of the deployment; ``broken`` lists breaks of the rule."""

    record: Record
    platform: Platform
    network: int
    ports: dict[str, int]
    rng: random.Random
    store: Store = field(default_factory=Store)
    routers: Routers | None = None
    balancers: list[Machine] = field(default_factory=list)
    agents: list[Machine] = field(default_factory=list)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    flows: dict[int, Flow] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    answered: int = 0
    unanswered: int = 0
    tasks: list[asyncio.Task] = field(default_factory=list)

    # Set-up

    def address(self, host: str, number: int = 1) -> str:
        """Return an address on the deployment's network."""
        return f"127.{self.network}.{host.format(number)}"

    def machine(self, name: str, address: str, role: str) -> Machine:
        """Return a machine with its settings, as the platform gives them."""
        settings = {
            "node-name": name,
            "zone": ZONE,
            "ip": address,
            "listen-addresses": {
                "datagram-address": f"{address}:{self.ports['packets']}",
                "ready": f"{address}:{self.ports['ready']}",
                "outbound": f"{address}:{self.ports['outbound']}",
                "control-plane": f"{address}:{self.ports['control']}",
            },
            "internal-port-range": [self.ports["internal"], self.ports["internal"] + 9],
            "platform": {"address": f"{self.address(HOME)}:{self.ports['store']}"},
            "seeds": [
                f"{self.address(BALANCERS, i)}:{self.ports['control']}" for i in (1, 2)
            ],
            "bounds": BOUNDS,
            "heartbeat-interval-ms": round(REPORT_SECONDS * 1000),
        }
        if role == "agent":
            settings |= {"app": f"{address}:{self.ports['app']}", "service": SERVICE}
        return Machine(name, address, role, settings)

    async def add_balancer(self, number: int) -> None:
        """Start a machine with a balancer."""
        address = self.address(BALANCERS, number)
        machine = self.machine(f"frontend-{number}", address, "balancer")
        self.balancers.append(machine)
        await self.platform.start(machine)

    async def add_agent(self, number: int) -> Endpoint:
        """Start a machine with an agent, beside an endpoint that isn't started yet."""
        address = self.address(AGENTS, number)
        machine = self.machine(f"side-{number}", address, "agent")
        self.agents.append(machine)
        await self.platform.start(machine)
        endpoint = Endpoint(
            machine.name,
            SERVICE,
            ZONE,
            (address, self.ports["app"]),
            (address, self.ports["outbound"]),
            (address, self.ports["control"]),
            REPORT_SECONDS,
            self.record,
            random.Random(self.rng.getrandbits(64)),
        )
        self.endpoints[machine.name] = endpoint
        return endpoint

    def write_configuration(self, version: int) -> None:
        """Write the operator's configuration to the store."""
        route = {
            "name": "r-order",
            "hostname": self.address(ROUTE),
            "path-prefix": f"/{ROUTE_PORT}/",
            "kind": "non_idempotent",
            "timeout-ms": round(BUDGET_SECONDS * 1000),
            "target-latency-ms": 200,
            "priority": 1,
            "service": SERVICE,
            "max-attempts": 2,
        }
        service = {
            "name": SERVICE,
            "health-check-path": "/health",
            "max-connections": 2000,
            "protocol": "h1",
            "tls": False,
        }
        limits = {"idle-timeout-ms": round(IDLE_TIMEOUT_SECONDS * 1000)}
        spec = {
            "version": version,
            "routes": [route],
            "services": [service],
            "limits": limits,
        }
        self.store.put("config", "main", spec)
        self.record.add("configuration written", version=version)

    async def wait_until_ready(self) -> None:
        """Wait until all balancers are in rotation and all endpoints are known."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_SECONDS
        while loop.time() < until:
            await asyncio.sleep(0.2)
            known = [each.life for each in self.endpoints.values()]
            is_known = all(life is None or life.sequence > 1 for life in known)
            is_ready = all(
                self.routers.misses.get(each.address, 2) == 0 for each in self.balancers
            )
            if is_ready and is_known:
                return
        raise CannotRunError("the deployment did not become ready")

    # Clients

    async def open_flow(self) -> Flow | None:
        """Open a client's flow from a new port; None if it did not open."""
        port = FIRST_CLIENT_PORT + len(self.flows)
        key = (self.address(CLIENTS), port, self.address(ROUTE), ROUTE_PORT)
        flow = Flow(key, self.routers, self.record, self.rng, self.judge_reset)
        self.flows[port] = flow
        return flow if await flow.open() else None

    async def order(self, flow: Flow, name: str) -> bool:
        """Send an order on a flow; return whether it was answered with success."""
        answer = await flow.request(name, b"two bowls of ramen" * 20, BUDGET_SECONDS)
        is_served = answer is not None and answer.status == 200
        if is_served:
            self.answered += 1
        else:
            self.unanswered += 1
        return is_served

    def receive(self, raw: bytes) -> None:
        """Hand a packet to the flow of the client that it is for."""
        packet = wire.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)

    def holder(self, flow: Flow) -> Endpoint | None:
        """Return the living endpoint at which a flow is open, None for none."""
        return next((e for e in self.endpoints.values() if e.holds(flow.key)), None)

    def judge_reset(self, flow: Flow, packet: Packet) -> None:
        """Note a break of FLOW if a flow's living endpoint did not send its reset."""
        endpoint = self.holder(flow)
        now = asyncio.get_running_loop().time()
        age = now - (flow.opened_at or now)
        fields = {"flow": flow.key[:2], "age": round(age, 3)}
        is_excused = (
            endpoint is None
            or endpoint.resets_sent(flow.key) > 0
            or age > BOUNDS["max-flow-s"]
        )
        if is_excused:
            self.record.add("client reset, endpoint gone or its own reset", **fields)
            return
        self.record.add(
            "BROKEN client reset, its endpoint lives and holds the flow",
            machine=endpoint.machine,
            life=endpoint.life.name,
            **fields,
        )
        self.broken.append(f"{flow.key[0]}:{flow.key[1]} at {endpoint.machine}")


@asynccontextmanager
async def deployment(record: Record, seed: int) -> AsyncIterator[Deployment]:
    """Run an empty deployment: store, routers and clients; end all processes after."""
    numbers = range(1, MOST_MACHINES + 1)
    kinds = (BALANCERS, AGENTS, LINKS)
    hosts = [HOME, CLIENTS, *(kind.format(n) for kind in kinds for n in numbers)]
    network = free_network(hosts)
    if network is None:
        raise CannotRunError("no free loopback network")
    ports = ports_of_daemons()
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder), record)
        made = Deployment(record, platform, network, ports, random.Random(seed))
        made.routers = Routers(ports["packets"], ports["ready"], [], record)
        home = made.address(HOME)
        made.routers.transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(home, 0)
        )
        clients, _ = await loop.create_datagram_endpoint(
            lambda: EndpointSocket(made.receive),
            local_addr=(made.address(CLIENTS), ports["packets"]),
        )
        server = await asyncio.start_server(made.store.serve, home, ports["store"])
        try:
            yield made
        finally:
            for task in made.tasks:
                task.cancel()
            for endpoint in made.endpoints.values():
                await endpoint.crash()
            await platform.end_all()
            keep_logs(platform.folder)
            server.close()
            clients.close()
            made.routers.transport.close()


def keep_logs(folder: Path) -> None:
    """Copy the daemons' logs to the folder that REVIEW_LOGS names, if any."""
    target = os.environ.get("REVIEW_LOGS")
    if not target:
        return
    Path(target).mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (Path(target) / log.name).write_bytes(log.read_bytes())


async def start_fleet(made: Deployment, balancers: int, agents: int) -> None:
    """Start balancers, agents and warm endpoints, and wait until all serve."""
    made.write_configuration(3)
    for number in range(1, balancers + 1):
        await made.add_balancer(number)
    for number in range(1, agents + 1):
        endpoint = await made.add_agent(number)
        await endpoint.start(warm_up_seconds=2.0)
    made.routers.balancers = [each.address for each in made.balancers]
    made.routers.misses = dict.fromkeys(made.routers.balancers, 2)
    for each in made.routers.balancers:
        made.tasks.append(asyncio.create_task(made.routers.probe(each)))
    await made.wait_until_ready()
    await asyncio.sleep(2.0)
    made.record.add("ready")


Case = Callable[[Deployment, bool], Awaitable[None]]


def main(case: Case, folder: Path) -> int:
    """Run a case; return its exit code and write its record."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))
    with written_to(folder / "record.txt") as record:
        record.add("case", trouble=with_trouble, seed=seed)
        try:
            code = asyncio.run(_run(case, record, seed, with_trouble))
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            record.add("could not run", reason=repr(error))
            code = NOT_RUN
        record.add("exit", code=code)
        print("\n".join(record.lines[-12:]), file=sys.stderr)
    return code


async def _run(case: Case, record: Record, seed: int, with_trouble: bool) -> int:
    # Asked to stop, the run still ends the processes that it started.
    this_task = asyncio.current_task()
    if this_task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    async with asyncio.timeout(RUN_SECONDS), deployment(record, seed) as made:
        await case(made, with_trouble)
        forged = sum(each.forged for each in made.endpoints.values())
        twice = [
            name
            for each in made.endpoints.values()
            for name, times in each.runs.items()
            if times > 1
        ]
        record.add(
            "summary",
            flows=len(made.flows),
            answered=made.answered,
            unanswered=made.unanswered,
            flow_broken=len(made.broken),
            forged=forged,
            ran_twice=len(twice),
        )
        return BROKEN if made.broken else HELD
