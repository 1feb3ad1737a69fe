"""The fleet of a soak: the platform's daemons as processes, endpoints in this one."""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from cornelspan_shirakaba import packets
from cornelspan_standins.packet_ends import PacketEndpoint, decode
from cornelspan_standins.soak_plan import SoakPlan

PORTS = ("store", "proxy", "packets", "ready", "internal", "app", "outbound", "reports")
HOME = "127.0.0.1"
CLIENTS = "127.0.9.1"
REPORT_SECONDS = 0.5
CALL_SECONDS = 1.0
MILLISECONDS = 1000
SLOTS = 2
QUEUE = 8
# An orderly stop may take a balancer its grace, and a busy machine a little longer.
STOP_SECONDS = 12.0
GRACE_SECONDS = 4.0
# A process that is told to stop before it has set its handlers just ends.
HANDLER_SECONDS = 2.0


class UdpReader(asyncio.DatagramProtocol):
    """Hands datagrams to a function."""

    def __init__(self, received: Callable[[bytes], None]) -> None:
        self.received = received

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one datagram."""
        self.received(data)


async def open_udp(
    address: tuple[str, int], received: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Bind a UDP socket whose datagrams go to a function."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: UdpReader(received), local_addr=address
    )
    return transport


@dataclass
class Vm:
    """One VM: its daemon, and its endpoint beside an agent.

    ``is_stopping`` says that the soak has asked the process to end, ``reporting`` is
    the task that reports for the endpoint, ``born`` the Unix millisecond at which the
    endpoint's present life began, and ``sequence`` counts its reports.
    """

    address: str
    role: str
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    is_stopping: bool = False
    endpoint: PacketEndpoint | None = None
    listener: asyncio.Server | None = None
    started_at: float = 0.0
    born: int = 0
    sequence: int = 0
    draining: bool = False
    starting: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass
class Fleet:
    """All VMs by address; ``ended_badly`` holds what the soak did not ask for."""

    plan: SoakPlan
    folder: Path
    vms: dict[str, Vm] = field(default_factory=dict)
    ended_badly: list[str] = field(default_factory=list)
    watchers: set[asyncio.Task] = field(default_factory=set)
    transports: list[asyncio.DatagramTransport] = field(default_factory=list)
    on_packet: Callable[[Vm, bytes], None] = lambda vm, data: None
    on_work: Callable[[Vm, bytes], float] = lambda vm, data: 0.02
    on_leaving: Callable[[Vm], None] = lambda vm: None

    def port(self, name: str) -> int:
        """Return a port; it is the same on all VMs."""
        return self.plan.first_port + PORTS.index(name)

    def of_role(self, role: str) -> list[Vm]:
        """Return the VMs of a role."""
        return [vm for vm in self.vms.values() if vm.role == role]

    async def start_daemon(self, vm: Vm, **changes: object) -> None:
        """Start a VM's daemon as a process, if none runs."""
        async with vm.starting:
            if vm.process is None or vm.process.returncode is not None:
                await self._start_process(vm, **changes)

    async def _start_process(self, vm: Vm, **changes: object) -> None:
        file = self.write_settings(vm, **changes)
        vm.is_stopping = False
        vm.started_at = asyncio.get_running_loop().time()
        log = (self.folder / f"{vm.address}.log").open("ab")
        vm.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cornelspan_shirakaba",
            vm.role,
            env={**os.environ, "CORNELSPAN_BOOT": str(file)},
            stdout=log,
            stderr=log,
            # In the soak's group a paused daemon would have the kernel hang up all of
            # the group as soon as the shell that started it ends.
            process_group=0,
        )
        log.close()
        watcher = asyncio.create_task(self._watch(vm, vm.process))
        self.watchers.add(watcher)
        watcher.add_done_callback(self.watchers.discard)

    async def _watch(self, vm: Vm, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        orderly = {0, -signal.SIGKILL}
        if asyncio.get_running_loop().time() - vm.started_at < HANDLER_SECONDS:
            orderly.add(-signal.SIGTERM)
        if not vm.is_stopping or code not in orderly:
            self.ended_badly.append(f"{vm.role} {vm.address} ended with {code}")

    def send_signal(self, vm: Vm, number: int) -> None:
        """Send a signal to a VM's daemon, if it runs."""
        process = vm.process
        if process is None or process.returncode is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            vm.is_stopping = True
        # Not by the process's own method: that looks whether it has ended, and its exit
        # code is then lost to the task that waits for it.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)

    async def ended(self, vm: Vm) -> None:
        """Wait until a VM's daemon has ended; one that doesn't is killed, and told."""
        if vm.process is None:
            return
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await vm.process.wait()
        except TimeoutError:
            self.ended_badly.append(f"{vm.role} {vm.address} did not stop")
            vm.process.kill()
            await vm.process.wait()

    def write_settings(self, vm: Vm, **changes: object) -> Path:
        """Write a VM's settings file and return its path."""
        settings = {
            "name": f"vm-{vm.address}",
            "datacentre": "hall",
            "address": vm.address,
            "packets": f"{vm.address}:{self.port('packets')}",
            "ready": f"{vm.address}:{self.port('ready')}",
            "internal_port": self.port("internal"),
            "store": {"address": f"{HOME}:{self.port('proxy')}"},
            "seeds": [f"{each.address}:1" for each in self.of_role("balancer")[:3]],
            "grace_seconds": GRACE_SECONDS,
        }
        if vm.role == "agent":
            settings |= {
                "service": vm.service,
                "endpoint": f"{vm.address}:{self.port('app')}",
                "outbound": f"{vm.address}:{self.port('outbound')}",
                "reports": f"{vm.address}:{self.port('reports')}",
                "report_milliseconds": round(REPORT_SECONDS * 1000),
            }
        file = self.folder / f"{vm.address}.json"
        file.write_text(json.dumps({**settings, **changes}))
        return file

    # Endpoints

    async def start_endpoint(self, vm: Vm) -> None:
        """Start a new life of a VM's endpoint."""
        outbound = (vm.address, self.port("outbound"))
        if vm.endpoint is None:
            loop = asyncio.get_running_loop()
            transport = await open_udp(
                (vm.address, self.port("app")), lambda data: self._receive(vm, data)
            )
            self.transports.append(transport)
            vm.endpoint = PacketEndpoint(
                vm.service,
                lambda data: transport.sendto(data, outbound),
                lambda seconds, action: loop.call_later(seconds, action),
                # Not of one seed: endpoints would answer with the same numbers, and a
                # flow could open at two of them.
                random.Random(f"{self.plan.seed}:{vm.address}"),
                loop.time,
                work=lambda data: self.on_work(vm, data),
                slots=SLOTS,
                queue=QUEUE,
                tells_shed=True,
            )
        vm.endpoint.start(cold_until=0.0)
        # Never the same twice, however soon an endpoint is back.
        vm.born = max(vm.born + 1, round(time.time() * MILLISECONDS))
        vm.sequence = 0
        vm.draining = False
        vm.listener = await asyncio.start_server(
            lambda reader, writer: writer.close(), vm.address, self.port("app")
        )

    def _receive(self, vm: Vm, data: bytes) -> None:
        if vm.endpoint is None or not vm.endpoint.alive:
            return
        packet = decode(data)
        is_known = (packet.source, packet.source_port) in vm.endpoint.flows
        if packet.flags & packets.WIRE_SYN and not is_known:
            self.on_packet(vm, data)
        vm.endpoint.receive(data)

    def crash_endpoint(self, vm: Vm) -> None:
        """End an endpoint without a word; its port is closed."""
        if vm.endpoint is not None:
            vm.endpoint.crash()
        if vm.listener is not None:
            vm.listener.close()

    async def report(self, vm: Vm) -> None:
        """Report for a VM's endpoint for ever, as endpoints do."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            if vm.endpoint is None or not vm.endpoint.alive:
                continue
            vm.sequence += 1
            draining = vm.draining
            body = {
                "service": vm.service,
                "address": f"{vm.address}:{self.port('app')}",
                "zone": "hall",
                "version": "v1",
                "capacity": SLOTS,
                "state": "draining" if draining else "ready",
                "warmup-remaining-ms": 0,
                "sequence": vm.sequence,
                "born": vm.born,
            }
            path = f"/cornelspan/Instances.Heartbeat/{self.name_of(vm)}"
            code = await self._call(vm, path, msgspec.json.encode(body))
            if draining and code == 200:
                self.on_leaving(vm)

    async def say_leave(self, vm: Vm) -> None:
        """Say for an endpoint that it goes now."""
        path = f"/cornelspan/Instances.Leave/{self.name_of(vm)}"
        await self._call(vm, path, msgspec.json.encode({"born": vm.born}))

    def name_of(self, vm: Vm) -> str:
        """Return the name of a VM's endpoint, the same in all of its lives."""
        return f"i-{vm.address}"

    async def _call(self, vm: Vm, path: str, body: bytes) -> int:
        url = f"http://{vm.address}:{self.port('reports')}{path}"
        return await call(url, method="POST", body=body)

    async def is_ready(self, vm: Vm) -> bool:
        """Probe a balancer as routers do."""
        url = f"http://{vm.address}:{self.port('ready')}/cornelspan/readiness"
        return await call(url) == 200


async def call(url: str, *, method: str = "GET", body: bytes | None = None) -> int:
    """Make an HTTP call; return its status, 0 if nobody answers."""
    request = HTTPRequest(
        url,
        method=method,
        body=body,
        connect_timeout=CALL_SECONDS,
        request_timeout=CALL_SECONDS,
    )
    try:
        return (await AsyncHTTPClient().fetch(request, raise_error=False)).code
    except (OSError, HTTPClientError):
        return 0


@asynccontextmanager
async def fleet(plan: SoakPlan, folder: Path) -> AsyncIterator[Fleet]:
    """Start all VMs of a plan; end just these processes when the context ends."""
    state = Fleet(plan, folder)
    for number in range(plan.balancers):
        address = f"127.0.2.{number + 1}"
        state.vms[address] = Vm(address, "balancer")
    services = ["orders"] * plan.orders + ["receipts"] * plan.receipts
    for number, service in enumerate(services):
        address = f"127.0.1.{number + 1}"
        state.vms[address] = Vm(address, "agent", service)
    reports = []
    try:
        for vm in state.vms.values():
            if vm.role == "agent":
                await state.start_endpoint(vm)
                reports.append(asyncio.create_task(state.report(vm)))
            await state.start_daemon(vm)
        yield state
    finally:
        for task in reports:
            task.cancel()
        await asyncio.gather(*reports, return_exceptions=True)
        for vm in state.vms.values():
            state.send_signal(vm, signal.SIGCONT)
            state.send_signal(vm, signal.SIGTERM)
        for vm in state.vms.values():
            await state.ended(vm)
            if vm.listener is not None:
                vm.listener.close()
        await asyncio.gather(*state.watchers, return_exceptions=True)
        for transport in state.transports:
            transport.close()
