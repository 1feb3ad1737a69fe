"""A small deployment on loopback: daemons by the deploy file, stand-ins around them."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from lab2 import web
from lab2.clients import ClientFlow, Clients, Routers
from lab2.endpoint import Endpoint
from lab2.record import Record
from lab2.store import Store
from lab2.wire import Packet

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "orders"
ZONE = "hall-a"
REPORT_MILLISECONDS = 770
GRACE_SECONDS = 6.0
# What the platform calls a short delay before a process starts again.
RESTART_SECONDS = 0.75
PORTS = ("store", "packets", "ready", "app", "outbound", "reports")
INTERNAL_PORTS = 16
METRICS_PORT = 9464
ROUTE_PORT = 443


@dataclass
class Machine:
    """A machine: its daemon's role and process; the endpoint on a side machine."""

    name: str
    address: str
    role: str
    endpoint: Endpoint | None = None
    process: subprocess.Popen | None = None


@dataclass
class Deployment:
    """All machines by name, and the stand-ins around them.

    While ``turns_balancers_away`` is set the store answers balancers with 503. When
    ``silences`` grows, all channels to the store that are open go silent for good.
    """

    folder: Path
    record: Record
    network: str
    ports: dict[str, int]
    roles: dict[str, dict[str, Any]]
    store: Store = field(default_factory=Store)
    machines: dict[str, Machine] = field(default_factory=dict)
    turns_balancers_away: bool = False
    silences: int = 0
    never: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.routers = Routers({})
        self.clients = Clients(
            f"{self.network}.9.1",
            self.ports["packets"],
            (f"{self.network}.8.1", ROUTE_PORT),
            self.routers,
            self.record,
            self._judge_reset,
        )

    def _judge_reset(self, flow: ClientFlow, packet: Packet) -> None:
        """Judge a reset of the system's own on an open flow by the rule FLOW."""
        client = (self.clients.address, flow.port)
        for machine in self.machines.values():
            endpoint = machine.endpoint
            if endpoint is not None and endpoint.holds_open(client):
                name = endpoint.life.name if endpoint.life else "?"
                self.record.rule_broken(
                    f"FLOW: open flow {flow.port} was reset, its endpoint {name} lives"
                )
                return
        self.record.note(f"flow {flow.port} was reset, no endpoint has it open")

    def machine(self, name: str, number: int, role: str) -> Machine:
        """Add a machine; a side machine gets an endpoint that isn't started yet."""
        part = 2 if role == "balancer" else 1
        machine = Machine(name, f"{self.network}.{part}.{number}", role)
        self.machines[name] = machine
        if role == "agent":
            at = {each: (machine.address, self.ports[each]) for each in PORTS}
            machine.endpoint = Endpoint(
                SERVICE,
                ZONE,
                at["app"],
                at["outbound"],
                at["reports"],
                REPORT_MILLISECONDS / 1000,
                self.record,
            )
        else:
            address = (machine.address, self.ports["ready"])
            self.routers.ready[machine.address] = address
        return machine

    def start_daemon(self, machine: Machine) -> None:
        """Start a machine's daemon with the command of the deploy file."""
        role = self.roles[machine.role]
        template = (ROOT / role["template"]).read_text()
        settings = self.folder / f"{machine.name}.json"
        settings.write_text(render(template, self._fields(machine)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CORNELSPAN_BOOT"] = str(settings)
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.note(f"{machine.name} started")

    async def stop_daemon(self, machine: Machine) -> None:
        """Stop a daemon as the platform does: SIGTERM, SIGKILL after the grace."""
        process = machine.process
        if process is None or process.poll() is not None:
            return
        self.record.note(f"{machine.name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        for _ in range(round(GRACE_SECONDS / 0.02)):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        else:
            process.kill()
            process.wait()
        self.record.note(f"{machine.name} ended with {process.returncode}")

    async def restart_daemon(self, machine: Machine) -> None:
        """Stop a daemon and start it again, as in a rolling restart."""
        await self.stop_daemon(machine)
        await asyncio.sleep(RESTART_SECONDS)
        self.start_daemon(machine)

    def write(self, version: int, hosts: tuple[int, ...], idle_routes: int) -> None:
        """Write a configuration as the operator does; the store acknowledges it."""
        spec = configuration(
            self.network, version=version, routes=idle_routes, hosts=hosts
        )
        self.store.put_spec("config", "main", spec)
        self.record.note(f"operator: version {version} acknowledged, routes {hosts}")

    async def serves(self, host: int) -> bool:
        """Open a flow to a route and send a request; return whether it was answered."""
        flow = await self.clients.open_flow((f"{self.network}.8.{host}", ROUTE_PORT))
        if flow.state != "open":
            return False
        answered = await self.clients.request(flow, 1)
        self.clients.close_flow(flow)
        return answered

    async def ready(self, seconds: float = 20.0) -> bool:
        """Wait until all balancers are in rotation; return whether they are."""
        for _ in range(round(seconds / 0.1)):
            misses = self.routers.misses
            if len(misses) == len(self.routers.ready) and not any(misses.values()):
                return True
            await asyncio.sleep(0.1)
        return False

    def own_log(self, machine: Machine) -> str:
        """Return what a machine's daemon has logged."""
        return (self.folder / f"{machine.name}.log").read_text()

    def _store_address(self, role: str) -> str:
        """Return the store's address; one for each role, so that it can tell them."""
        part = 1 if role == "balancer" else 2
        return f"{self.network}.7.{part}:{self.ports['store']}"

    async def _answer_store_call(self, call: web.Call) -> web.Answer:
        """Answer a call to the store, but never on a channel that has gone silent."""
        silences = self.silences
        answer = await self.store.answer(call)
        if self.silences != silences:
            await self.never.wait()
        return answer

    async def _answer_balancers(self, call: web.Call) -> web.Answer:
        """Answer a balancer's call to the store, or turn it away."""
        if self.turns_balancers_away:
            return 503, b"{}"
        answer = await self._answer_store_call(call)
        return (503, b"{}") if self.turns_balancers_away else answer

    def _fields(self, machine: Machine) -> dict[str, Any]:
        """Return the fields that the platform fills into templates."""
        listens = {
            "datagram-address": f"{machine.address}:{self.ports['packets']}",
            "ready": f"{machine.address}:{self.ports['ready']}",
            "control-plane": f"{machine.address}:{self.ports['reports']}",
        }
        fields: dict[str, Any] = {
            "node-name": machine.name,
            "zone": ZONE,
            "ip": machine.address,
            "internal-port-range": [
                self.ports["internal"],
                self.ports["internal"] + INTERNAL_PORTS - 1,
            ],
            "seeds": [
                f"{each.address}:{self.ports['reports']}"
                for each in self.machines.values()
                if each.role == "balancer"
            ][:3],
            "heartbeat-interval-ms": REPORT_MILLISECONDS,
            "bounds": {"max-flow-s": 60, "grace-period-s": GRACE_SECONDS},
            "platform": {"address": self._store_address(machine.role)},
            "listen-addresses": listens,
        }
        if machine.role == "agent":
            listens["outbound"] = f"{machine.address}:{self.ports['outbound']}"
            fields["service"] = SERVICE
            fields["app"] = f"{machine.address}:{self.ports['app']}"
        return fields


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as DEPLOY.md tells, as far as this project's use it."""

    def section(match: re.Match) -> str:
        entries = fields.get(match[1]) or []
        last = len(entries) - 1
        return "".join(
            match[2]
            .replace("{{.|json}}", json.dumps(entry))
            .replace("{{,}}", "," if number < last else "")
            for number, entry in enumerate(entries)
        )

    def value(match: re.Match) -> str:
        found: Any = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found)

    text = re.sub(r"\{\{#([\w-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\|json\}\}", value, text)


def configuration(
    network: str, *, version: int = 3, routes: int = 1, hosts: tuple[int, ...] = (1,)
) -> dict[str, Any]:
    """Return a configuration.

    Args:
        network: The part of the loopback network.
        version: Its version.
        routes: How many further routes, without traffic, follow those of ``hosts``.
        hosts: Last numbers of the addresses of routes that clients use.
    """
    addresses = [f"{network}.8.{each}" for each in hosts]
    idle = [f"{network}.{100 + at // 200}.{at % 200 + 1}" for at in range(routes)]
    common = {
        "path-prefix": f"/{ROUTE_PORT}/",
        "service": SERVICE,
        "kind": "non_idempotent",
        "timeout-ms": 2000,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 1,
    }
    service = {"health-check-path": "/health", "max-connections": 2000}
    return {
        "version": version,
        "routes": [
            {"name": f"route-{address}", "hostname": address, **common}
            for address in addresses + idle
        ],
        "services": [{"name": SERVICE, **service}],
        "limits": {"idle-timeout-ms": 60_000},
    }


def _free_network() -> tuple[str, dict[str, int]]:
    """Return a part of the loopback network and ports that nobody uses there."""
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}"
        first = random.randrange(12_000, 30_000, 40)
        ports = {name: first + number for number, name in enumerate(PORTS)}
        ports["internal"] = first + len(PORTS)
        probes = [(f"{network}.1.1", port) for port in (*ports.values(), METRICS_PORT)]
        if all(_is_free(address) for address in probes):
            return network, ports
    raise OSError("no free ports")


def _is_free(address: tuple[str, int]) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(address)
    except OSError:
        return False
    return True


@asynccontextmanager
async def deployment(
    record: Record, *, balancers: int, agents: int
) -> AsyncIterator[Deployment]:
    """Start a deployment with warm endpoints; end all of its processes at the end."""
    network, ports = _free_network()
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    with TemporaryDirectory() as folder:
        fleet = Deployment(Path(folder), record, network, ports, roles)
        fleet.store.put_spec("config", "main", configuration(network))
        servers = [
            await web.serve((f"{network}.7.{part}", ports["store"]), answer)
            for part, answer in (
                (1, fleet._answer_balancers),
                (2, fleet._answer_store_call),
            )
        ]
        await fleet.clients.open()
        probing = asyncio.create_task(fleet.routers.probe_forever())
        try:
            for number in range(1, balancers + 1):
                fleet.machine(f"frontend-{number}", number, "balancer")
            for number in range(1, agents + 1):
                fleet.machine(f"side-{number}", number, "agent")
            for machine in fleet.machines.values():
                fleet.start_daemon(machine)
                if machine.endpoint is not None:
                    await machine.endpoint.open()
                    await machine.endpoint.start(f"i-{machine.name}-1")
            yield fleet
        finally:
            probing.cancel()
            for machine in fleet.machines.values():
                if machine.process is not None and machine.process.poll() is None:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.terminate()
            for machine in fleet.machines.values():
                await _end(machine)
                if machine.endpoint is not None:
                    with contextlib.suppress(AttributeError):
                        await machine.endpoint.close()
            fleet.clients.close()
            for server in servers:
                server.close()


async def _end(machine: Machine) -> None:
    process = machine.process
    if process is None:
        return
    for _ in range(100):
        if process.poll() is not None:
            return
        await asyncio.sleep(0.02)
    process.kill()
    process.wait()
