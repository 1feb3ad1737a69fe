"""``cornelspan bench path``: what a packet and an open flow cost.

A balancer and a bare forwarder of the same stream library forward the same packets
in one run. Each runs in a process of its own, so that its processor time is its alone;
sender and sinks are in this one.
"""

import asyncio
import random
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import msgspec

from cornelspan_common.packets import Hello, Kind, Packet, Routed
from cornelspan_common.settings import Address, StreamSettings
from cornelspan_common.streams import (
    PROTOCOL,
    Peer,
    batches,
    open_peer,
    serve_peers,
)
from cornelspan_standins._measured import (
    AGENTS,
    SERVICE,
    Measured,
    measured_plan,
)
from cornelspan_standins.bench import BenchResult, BenchSettings, Bound, bench
from cornelspan_standins.deployment import (
    Plan,
    agent_settings,
    caller_address,
    fabric_settings,
)
from cornelspan_standins.ports import port_block

BODY_BYTES = 200
BATCH_PACKETS = 200
PACKETS = 400_000
# Each forwarder is measured this often, by turns, so that a change of the load between
# the two does not count as a difference of theirs.
ROUNDS = 5
SHORT_PACKETS = 80_000
FLOWS = 2_000
MEMORY_FLOWS = 1_000
SHORT_MEMORY_FLOWS = 300
AHEAD_PACKETS = 4_000
CPU_RATIO_LIMIT = 3.0
FLOW_BYTES_LIMIT = 65_536
LIMITS = StreamSettings()
CONNECT_TRIES = 200

Ask = Callable[[], Awaitable[Measured]]
Condition = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class Forwarding:
    """One forwarder's figures."""

    name: str
    packets: int
    seconds: float
    cpu_seconds: float
    bytes_a_flow: float

    @property
    def cpu_microseconds(self) -> float:
        """Processor time of one packet."""
        return 1e6 * self.cpu_seconds / self.packets


class Sink:
    """Counts the packets that arrive at the end of the path."""

    def __init__(self) -> None:
        self.packets = 0
        self.accepted = 0
        self.sources: list[Peer] = []

    async def collect(self, peer: Peer) -> None:
        """Count what one stream brings."""
        async for batch in batches(peer):
            self.packets += len(batch)

    async def be_fabric(self, peer: Peer) -> None:
        """Keep a balancer's stream, to send packets on it; count accepts of agents."""
        self.sources.append(peer)
        async for batch in batches(peer):
            self.accepted += sum(1 for each in batch if each.kind == Kind.ACCEPT)


@bench("path")
async def bench_path(settings: BenchSettings) -> BenchResult:
    """Measure forwarding and memory, and check the bounds."""
    packets = SHORT_PACKETS if settings.short else PACKETS
    flows = SHORT_MEMORY_FLOWS if settings.short else MEMORY_FLOWS
    with port_block() as base_port:
        plan = measured_plan(base_port)
        return await _measure_all(plan, packets, flows, settings.seed)


async def _measure_all(plan: Plan, packets: int, flows: int, seed: int) -> BenchResult:
    bare = []
    balancer = []
    for _ in range(ROUNDS):
        bare.append(await measure_forwarding("bare", plan, packets, seed))
        balancer.append(await measure_forwarding("balancer", plan, packets, seed))
    stream = await measure_flows("agent-stream", plan, flows)
    http = await measure_flows("agent-http", plan, flows)
    return _result(_middle(bare), _middle(balancer), stream, http)


def _middle(runs: list[Forwarding]) -> Forwarding:
    """Return the run in the middle by processor time a packet.

    Other processes share the cores' caches and units: at a load of twice the cores a
    single run of the bare forwarder took from 0.39 to 1.45 us a packet.
    """
    return sorted(runs, key=lambda run: run.cpu_microseconds)[len(runs) // 2]


def _result(
    bare: Forwarding, balancer: Forwarding, stream: float, http: float
) -> BenchResult:
    ratio = balancer.cpu_microseconds / bare.cpu_microseconds
    rows = [_row(bare), _row(balancer)]
    rows.append(("agent, stream flow", "", "", f"{stream:,.0f}"))
    rows.append(("agent, http flow", "", "", f"{http:,.0f}"))
    return BenchResult(
        title=f"Packets of {BODY_BYTES} bytes, {BATCH_PACKETS} a write; open flows",
        columns=("process", "packets/s", "CPU µs a packet", "bytes an open flow"),
        rows=tuple(rows),
        bounds=(
            Bound("balancer CPU / bare forwarder", ratio, CPU_RATIO_LIMIT),
            Bound("agent bytes a stream flow", stream, FLOW_BYTES_LIMIT),
            Bound("agent bytes an http flow", http, FLOW_BYTES_LIMIT),
        ),
        summary={
            "cpu_ratio": round(ratio, 3),
            "balancer_packets_per_second": round(balancer.packets / balancer.seconds),
            "balancer_cpu_us": round(balancer.cpu_microseconds, 3),
            "bare_cpu_us": round(bare.cpu_microseconds, 3),
            "balancer_flow_bytes": round(balancer.bytes_a_flow),
            "agent_stream_flow_bytes": round(stream),
            "agent_http_flow_bytes": round(http),
        },
    )


def _row(figures: Forwarding) -> tuple[str, ...]:
    return (
        figures.name,
        f"{figures.packets / figures.seconds:,.0f}",
        f"{figures.cpu_microseconds:.2f}",
        f"{figures.bytes_a_flow:,.0f}",
    )


async def measure_forwarding(
    role: str, plan: Plan, packets: int, seed: int
) -> Forwarding:
    """Send packets through one forwarder, and wait until all have arrived."""
    sink = Sink()
    batch = make_packets(plan, seed)
    async with sinks(plan, sink), child(role, plan) as ask:
        await until(lambda: bool(sink.sources))
        await send_packets(sink, batch, 2 * len(batch))
        before = await ask()
        began = time.perf_counter()
        await send_packets(sink, batch, packets)
        seconds = time.perf_counter() - began
        after = await ask()
        fresh = [msgspec.structs.replace(p, flow=p.flow + 1) for p in batch]
        await send_packets(sink, fresh, len(fresh))
        grown = (await ask()).resident_bytes - after.resident_bytes
    cpu = after.cpu_seconds - before.cpu_seconds
    return Forwarding(role, packets, seconds, cpu, max(0.0, grown / len(fresh)))


def make_packets(plan: Plan, seed: int) -> list[Packet]:
    """Return one data packet of each of ``FLOWS`` flows."""
    numbers = random.Random(seed)
    address = str(caller_address(plan, SERVICE))
    body = numbers.randbytes(BODY_BYTES)
    return [
        Packet(Kind.DATA, numbers.getrandbits(63), address, "fabric", 1, body=body)
        for _ in range(FLOWS)
    ]


async def send_packets(sink: Sink, packets: list[Packet], count: int) -> None:
    """Send packets over and over, never too far ahead of the sinks."""
    source = sink.sources[-1]
    wanted = sink.packets + count
    sent = 0
    while sent < count:
        for number in range(sent, sent + BATCH_PACKETS):
            source.send(packets[number % len(packets)])
        sent += BATCH_PACKETS
        while sent - (count - (wanted - sink.packets)) > AHEAD_PACKETS:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
    await until(lambda: sink.packets >= wanted)


async def measure_flows(role: str, plan: Plan, flows: int) -> float:
    """Open idle flows on one agent; return the bytes that each one holds."""
    sink = Sink()
    settings = agent_settings(plan, SERVICE, 0)
    hello = Hello(PROTOCOL, "balancer", "bench", "", 1)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(fabric_end(plan, sink))
        server = await asyncio.start_server(
            hold, settings.endpoint.host, settings.endpoint.port
        )
        stack.callback(server.close)
        ask = await stack.enter_async_context(child(role, plan))
        await until(lambda: bool(sink.sources))
        peer = await stack.enter_async_context(connected(settings.listen, hello))
        await open_flows(plan, sink, peer, range(100))
        before = await ask()
        await open_flows(plan, sink, peer, range(100, 100 + flows))
        after = await ask()
    return (after.resident_bytes - before.resident_bytes) / flows


async def open_flows(plan: Plan, sink: Sink, peer: Peer, numbers: range) -> None:
    """Open flows as a balancer does, and wait until the agent has accepted them."""
    address = str(caller_address(plan, SERVICE))
    candidates = msgspec.Raw(msgspec.msgpack.encode([f"{SERVICE}-1"]))
    for number in numbers:
        packet = Packet(Kind.OPEN, number, address, "fabric", body=b"127.0.0.1")
        peer.send(Routed(packet, candidates, 0, "bench"))
    await until(lambda: sink.accepted >= numbers.stop)
    await asyncio.sleep(0.5)


async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Keep a backend server's connection open without a word."""
    await reader.read()
    writer.close()


@asynccontextmanager
async def connected(address: Address, hello: Hello) -> AsyncIterator[Peer]:
    """Yield a stream to a process, waiting until it listens."""
    for _ in range(CONNECT_TRIES):
        async with open_peer(address, hello, LIMITS) as opened:
            if opened.is_ok():
                peer = opened.unwrap()
                reader = asyncio.create_task(Sink().collect(peer))
                yield peer
                reader.cancel()
                return
        await asyncio.sleep(0.05)
    raise TimeoutError(str(address))


@asynccontextmanager
async def fabric_end(plan: Plan, sink: Sink) -> AsyncIterator[None]:
    """Listen where the fabric does."""
    hello = Hello(PROTOCOL, "fabric", "fabric", "", 1)
    listen = fabric_settings(plan).listen
    async with serve_peers(listen, hello, LIMITS, sink.be_fabric):
        yield


@asynccontextmanager
async def sinks(plan: Plan, sink: Sink) -> AsyncIterator[None]:
    """Listen where the fabric and all agents do."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(fabric_end(plan, sink))
        for number in range(AGENTS):
            name = f"{SERVICE}-{number + 1}"
            hello = Hello(PROTOCOL, "agent", name, "", 1)
            listen = agent_settings(plan, SERVICE, number).listen
            server = serve_peers(listen, hello, LIMITS, sink.collect)
            await stack.enter_async_context(server)
        yield


@asynccontextmanager
async def child(role: str, plan: Plan) -> AsyncIterator[Ask]:
    """Run a measured process; yields how to ask it what it has used."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cornelspan_standins._measured",
        role,
        str(plan.base_port),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )

    async def ask() -> Measured:
        process.stdin.write(b"\n")
        line = await process.stdout.readline()
        return msgspec.json.decode(line, type=Measured)

    try:
        yield ask
    finally:
        process.stdin.close()
        await process.wait()


async def until(condition: Condition) -> None:
    """Wait until a condition holds; a bench that never gets there fails."""
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.005)
