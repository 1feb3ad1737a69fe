"""The fault soak: real processes under load and drawn faults, promises checked.

    result = asyncio.run(run_soak(SoakPlan(seed=3), Path("out")))
    result.broken

Faults come from outside: signals, the store's proxy, the routers' links, endpoints that
crash or leave, and operators. Clients keep using their open flows all the while.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from cornelspan_common.tasks import Tasks, task_group
from cornelspan_standins.experiment_callers import Asked, Callers, Ending
from cornelspan_standins.experiment_plan import RequestPlan
from cornelspan_standins.packet_ends import PacketClient, decode
from cornelspan_standins.packet_routers import PROBE_SECONDS, PacketRouters
from cornelspan_standins.platform_store import PlatformObjects, platform_store
from cornelspan_standins.soak_checks import Broken, Promises
from cornelspan_standins.soak_faults import begin
from cornelspan_standins.soak_fleet import CLIENTS, HOME, Fleet, Vm, fleet, open_udp
from cornelspan_standins.soak_plan import SoakFault, SoakPlan, draw_faults
from cornelspan_standins.soak_proxy import Proxy, proxy

READY_SECONDS = 30.0
FIRST_CLIENT_PORT = 20_001
LAST_CLIENT_PORT = 60_000
KINDS = (
    RequestPlan(
        name="feed",
        service="orders",
        per_second=7,
        work_milliseconds=20,
        target_milliseconds=200,
        budget_milliseconds=3000,
        priority=2,
    ),
    RequestPlan(
        name="order",
        service="orders",
        per_second=2,
        work_milliseconds=25,
        target_milliseconds=200,
        budget_milliseconds=4000,
        priority=1,
        idempotent=False,
    ),
    RequestPlan(
        name="receipt",
        service="receipts",
        per_second=1,
        work_milliseconds=10,
        target_milliseconds=500,
        budget_milliseconds=5000,
        priority=2,
        own_flow=True,
    ),
)
PORTS = {kind.name: 443 + number for number, kind in enumerate(KINDS)}
NAMES = {port: name for name, port in PORTS.items()}
CALLERS = 20


@dataclass(frozen=True)
class SoakResult:
    """What came of a run."""

    plan: SoakPlan
    faults: tuple[SoakFault, ...]
    asked: tuple[Asked, ...]
    broken: tuple[Broken, ...]

    def share(self, ending: Ending) -> float:
        """Return the share of requests that ended so."""
        endings = [each.ending for each in self.asked]
        return endings.count(ending) / max(1, len(endings))


@dataclass
class Soak:
    """A run under way. ``sent`` holds when each flow's first packet was sent first."""

    plan: SoakPlan
    fleet: Fleet
    store: Proxy
    objects: PlatformObjects
    tasks: Tasks
    promises: Promises = field(default_factory=Promises)
    routers: PacketRouters = field(default_factory=PacketRouters)
    flows: dict[tuple[int, int], PacketClient] = field(default_factory=dict)
    sent: dict[tuple[int, int], float] = field(default_factory=dict)
    version: int = 1
    next_port: int = FIRST_CLIENT_PORT
    lost_share: float = 0.0
    link_delay: float = 0.0

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(self.plan.seed)
        self.services = {kind.name: kind.service for kind in KINDS}
        self.callers = Callers(
            now=self.loop.time,
            after=lambda seconds, action: self.loop.call_later(seconds, action),
            open_flow=self._open_flow,
            chance=random.Random(self.plan.seed + 1),
            count=CALLERS,
            ports=PORTS,
        )
        self.fleet.on_packet = self._opened
        self.fleet.on_work = self._work
        self.fleet.on_leaving = self._leaving
        for vm in self.fleet.of_role("balancer"):
            self.routers.add(vm.address)

    # Clients and routers

    def _open_flow(
        self, address: int, port: int, told: Callable[[str], None]
    ) -> PacketClient:
        """Return a client's flow; all clients share one socket's address."""
        source_port = self.next_port
        self.next_port += 1
        if self.next_port > LAST_CLIENT_PORT:
            self.next_port = FIRST_CLIENT_PORT
        own = int.from_bytes(bytes(int(part) for part in CLIENTS.split(".")), "big")
        key = (own, source_port)

        def hear(event: str) -> None:
            self._heard(key, client, event)
            told(event)

        client = PacketClient(
            own,
            source_port,
            port,
            lambda data: self._to_balancer(key, data),
            lambda seconds, action: self.loop.call_later(seconds, action),
            self.chance,
            hear,
            asks_at_once=False,
        )
        self.flows[key] = client
        self.sent[key] = self.loop.time()
        return client

    def _to_balancer(self, key: tuple[int, int], data: bytes) -> None:
        target = self.routers.route(key[0] << 16 | key[1])
        if self.chance.random() < self.lost_share:
            return
        delay = self.chance.uniform(0, self.link_delay)
        address = (target, self.fleet.port("packets"))
        self.loop.call_later(delay, lambda: self.socket.sendto(data, address))

    def _to_client(self, data: bytes) -> None:
        if self.chance.random() < self.lost_share:
            return
        packet = decode(data)
        client = self.flows.get((packet.target, packet.target_port))
        if client is not None:
            client.receive(data)

    def _heard(self, key: tuple[int, int], client: PacketClient, event: str) -> None:
        now = self.loop.time()
        if event == "answer":
            self.promises.answered(client, now)
        if event != "reset":
            return
        for vm in self.fleet.of_role("agent"):
            held = vm.endpoint.flows.get(key) if vm.endpoint else None
            if held is not None and held.sequence == client.peer_sequence:
                self.promises.reset(f"{key[1]}>{client.route_port}", vm.address, now)

    async def probe(self) -> None:
        """Probe the balancers as routers do."""
        while True:
            ready = {
                vm.address: await self.fleet.is_ready(vm)
                for vm in self.fleet.of_role("balancer")
            }
            self.routers.probe(ready.__getitem__)
            await asyncio.sleep(PROBE_SECONDS)

    async def load(self, seconds: float) -> None:
        """Let requests arrive at random for a while."""
        ends = self.loop.time() + seconds
        weights = [kind.per_second for kind in KINDS]
        number = 0
        while self.loop.time() < ends:
            await asyncio.sleep(self.chance.expovariate(self.plan.per_second))
            (kind,) = self.chance.choices(KINDS, weights)
            self.callers.ask(kind, number)
            number += 1

    # What endpoints see

    def _opened(self, vm: Vm, data: bytes) -> None:
        packet = decode(data)
        key = (packet.source, packet.source_port)
        now = self.loop.time()
        kind = NAMES[packet.target_port]
        sent = self.sent.get(key, now)
        self.promises.opened(kind, vm.service, vm.address, sent, now)

    def _work(self, vm: Vm, data: bytes) -> float:
        kind, _, number = data.decode().partition(":")
        self.promises.ran(kind, number, vm.service, self.loop.time())
        mean = next(each for each in KINDS if each.name == kind).work_milliseconds
        return self.chance.uniform(0.5, 1.5) * mean / 1000

    def _leaving(self, vm: Vm) -> None:
        self.promises.leaving.setdefault(vm.address, self.loop.time())

    # The operator

    def configure(self) -> None:
        """Write the configuration; the store has it from now on."""
        self.version += self.chance.randrange(1, 5)
        spec = configuration_of(self.version, self.services)
        self.objects.put("config", "main", spec)
        for kind, service in self.services.items():
            self.promises.route(kind, service, self.loop.time())


def configuration_of(version: int, services: dict[str, str]) -> dict:
    """Return the operator's configuration, as the platform spells it."""
    routes = [
        {
            "name": f"r-{kind.name}",
            "hostname": "198.18.0.1",
            "path-prefix": f"/{PORTS[kind.name]}/",
            "kind": "idempotent" if kind.idempotent else "non_idempotent",
            "timeout-ms": kind.budget_milliseconds,
            "target-latency-ms": kind.target_milliseconds,
            "priority": kind.priority,
            "service": services[kind.name],
            "max-attempts": 2,
        }
        for kind in KINDS
    ]
    known = [{"name": name, "max-connections": 2000} for name in ("orders", "receipts")]
    limits = {"idle-timeout-ms": 15000}
    return {
        "version": version,
        "routes": routes,
        "services": known,
        "limits": limits,
    }


async def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Play a plan; logs and history of the run stay in the folder.

    Told to stop, it ends the processes that it has started before it goes.
    """
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    folder.mkdir(parents=True, exist_ok=True)
    objects = PlatformObjects()
    faults = draw_faults(plan)
    port = plan.first_port
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(platform_store((HOME, port), objects))
        store = await stack.enter_async_context(proxy((HOME, port + 1), (HOME, port)))
        vms = await stack.enter_async_context(fleet(plan, folder))
        tasks = await stack.enter_async_context(task_group())
        soak = Soak(plan, vms, store, objects, tasks)
        soak.socket = await open_udp((CLIENTS, vms.port("packets")), soak._to_client)
        stack.callback(soak.socket.close)
        soak.configure()
        tasks.start(soak.probe(), name="routers")
        await _until_ready(soak)
        loading = tasks.start(soak.load(plan.seconds + plan.quiet_seconds), name="load")
        await _play(soak, faults)
        await loading
        longest = max(kind.budget_milliseconds for kind in KINDS) / 1000
        await asyncio.sleep(longest)
        unsafe = {kind.name for kind in KINDS if not kind.idempotent}
        soak.promises.finish(soak.callers.done, unsafe, soak.loop.time() - longest)
    for seen in vms.ended_badly:
        soak.promises.fail("own end", soak.loop.time(), seen)
    result = SoakResult(
        plan, tuple(faults), tuple(soak.callers.done), tuple(soak.promises.broken)
    )
    write_history(result, folder / "history.jsonl")
    return result


async def _until_ready(soak: Soak) -> None:
    async with asyncio.timeout(READY_SECONDS):
        while any(missed for missed in soak.routers.misses.values()):
            await asyncio.sleep(0.05)


async def _play(soak: Soak, faults: list[SoakFault]) -> None:
    begun = soak.loop.time()
    for fault in faults:
        await asyncio.sleep(max(0.0, begun + fault.at - soak.loop.time()))
        begin(soak, fault)
    await asyncio.sleep(max(0.0, begun + soak.plan.seconds - soak.loop.time()))


def write_history(result: SoakResult, file: Path) -> None:
    """Write plan, faults, requests and broken promises as JSON lines."""
    lines: list[object] = [{"plan": result.plan}]
    lines += [{"fault": fault} for fault in result.faults]
    lines += [{"request": asked} for asked in result.asked]
    lines += [{"broken": broken} for broken in result.broken]
    file.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines))


def show_result(result: SoakResult, console: Console) -> None:
    """Print what was broken, then one line of JSON."""
    if result.broken:
        table = Table("promise", "at", "seen", title=f"Broken, seed {result.plan.seed}")
        for each in result.broken[:20]:
            table.add_row(each.promise, f"{each.at:.2f}", each.seen)
        console.print(table)
    summary = {
        "seed": result.plan.seed,
        "faults": len(result.faults),
        "requests": len(result.asked),
        "on_time": round(result.share(Ending.ON_TIME), 4),
        "late": round(result.share(Ending.LATE), 4),
        "failed": round(result.share(Ending.FAILED), 4),
        "broken": [asdict(each) for each in result.broken],
    }
    print(msgspec.json.encode(summary).decode(), file=console.file, flush=True)
