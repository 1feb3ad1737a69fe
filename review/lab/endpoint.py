"""An endpoint: holds flows, works on requests, reports to the agent on its machine."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lab import http_text, wire
from lab.http_text import Message
from lab.record import Record
from lab.stream import Stream
from lab.wire import ACK, BOUNCED, FIN, RST, SYN, Packet

SLOTS = 2
QUEUE = 8
# An endpoint gives a packet up after this many repeats.
MOST_REPEATS = 8
REPORT_TIMEOUT_SECONDS = 1.0
# A report without an acknowledgement is sent again this much later.
REPORT_AGAIN_SECONDS = 0.4
NOT_EXECUTED = "X-Cornelspan-Not-Executed"
STAMP = "X-Cornelspan-Server-Stamp"

FlowKey = tuple[str, int, str, int]
Send = Callable[[bytes], None]


@dataclass
class Held:
    """A flow at an endpoint; ``stream`` is None until the client has answered."""

    first: int
    client_first: int
    stream: Stream | None = None
    received: bytes = b""
    busy: bool = False
    resets_sent: int = 0

    @property
    def is_open(self) -> bool:
        """Whether the flow has opened here and has not ended."""
        return self.stream is not None and not self.stream.fin_sent


@dataclass
class Life:
    """One life of an endpoint, from its start to its end."""

    name: str
    warm_at: float
    flows: dict[FlowKey, Held] = field(default_factory=dict)
    waiting: list[tuple[FlowKey, Message]] = field(default_factory=list)
    running: int = 0
    sequence: int = 0
    draining: bool = False
    alive: bool = True


class EndpointSocket(asyncio.DatagramProtocol):
    """Hands packets to the endpoint."""

    def __init__(self, received: Callable[[bytes], None]) -> None:
        self.received = received

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one datagram."""
        self.received(data)


@dataclass
class Endpoint:
    """The endpoint of a machine, over all of its lives.

    ``report_via`` is where it sends its reports, the agent's address or a proxy's.
    """

    machine: str
    service: str
    zone: str
    app: tuple[str, int]
    outbound: tuple[str, int]
    report_via: tuple[str, int]
    report_seconds: float
    record: Record
    rng: random.Random
    work_seconds: float = 0.03
    life: Life | None = None
    lives: int = 0
    transport: asyncio.DatagramTransport | None = None
    listener: asyncio.Server | None = None
    reporter: asyncio.Task | None = None
    runs: dict[str, int] = field(default_factory=dict)
    forged: int = 0

    async def start(self, warm_up_seconds: float) -> Life:
        """Start a new life, slow for a while."""
        loop = asyncio.get_running_loop()
        self.lives += 1
        name = f"i-{self.rng.getrandbits(40):010x}"
        self.life = Life(name, loop.time() + warm_up_seconds)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: EndpointSocket(self.receive), local_addr=self.app
        )
        self.listener = await asyncio.start_server(self._answer_check, *self.app)
        self.reporter = asyncio.create_task(self._report(self.life))
        self.record.add("endpoint started", machine=self.machine, life=name)
        return self.life

    async def crash(self) -> None:
        """End the present life without a word; its flows are gone."""
        if self.life is None:
            return
        self.record.add("endpoint crashed", machine=self.machine, life=self.life.name)
        self.life.alive = False
        for held in self.life.flows.values():
            if held.stream is not None:
                held.stream.close()
        self.life = None
        if self.reporter is not None:
            self.reporter.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.listener is not None:
            self.listener.close()

    def holds(self, key: FlowKey) -> bool:
        """Whether the present life has this flow open."""
        held = self.life.flows.get(key) if self.life else None
        return held is not None and held.is_open

    def resets_sent(self, key: FlowKey) -> int:
        """Return how often the present life has itself reset a flow."""
        held = self.life.flows.get(key) if self.life else None
        return held.resets_sent if held else 0

    # Packets

    def receive(self, raw: bytes) -> None:
        """Take a packet from the agent."""
        life = self.life
        if life is None:
            return
        if not wire.is_genuine(raw):
            self.forged += 1
            self.record.add("forged packet", machine=self.machine)
            return
        packet = wire.decode(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        held = life.flows.get(key)
        if packet.flags & SYN:
            self._receive_syn(life, key, held, packet)
        elif held is None or not self._is_open(life, key, held, packet):
            self._bounce(raw)
        elif packet.flags & RST:
            held.stream.close()
            del life.flows[key]
        elif held.stream.is_done:
            self._answer_ended(key, held, packet)
        else:
            held.stream.receive(packet)

    def _receive_syn(
        self, life: Life, key: FlowKey, held: Held | None, packet: Packet
    ) -> None:
        if held is None:
            held = Held(self.rng.getrandbits(32), packet.seq)
            life.flows[key] = held
        self._send(key, SYN | ACK, held.first, packet.seq + 1, b"")

    def _is_open(self, life: Life, key: FlowKey, held: Held, packet: Packet) -> bool:
        """Whether the flow is open here; it opens with this endpoint's number."""
        if held.stream is not None:
            return True
        if packet.ack != (held.first + 1) % wire.SEQUENCES:
            return False
        held.stream = Stream(
            held.first,
            held.client_first,
            lambda flags, seq, ack, data: self._send(key, flags, seq, ack, data),
            lambda data: self._receive_data(life, key, held, data),
            on_fin=lambda: held.stream.fin_sent or held.stream.finish(),
            most_repeats=MOST_REPEATS,
        )
        self.record.add("flow opened", machine=self.machine, flow=key[:2])
        return True

    def _answer_ended(self, key: FlowKey, held: Held, packet: Packet) -> None:
        if packet.data:
            held.resets_sent += 1
            self._send(key, RST, held.stream.next_out, held.stream.next_in, b"")
        elif packet.flags & FIN:
            held.stream.acknowledge()

    def _send(self, key: FlowKey, flags: int, seq: int, ack: int, data: bytes) -> None:
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, data)
        self._transmit(wire.encode(packet))

    def _transmit(self, raw: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(raw, self.outbound)

    def _bounce(self, raw: bytes) -> None:
        flags = raw[wire.FLAGS_OFFSET] | BOUNCED
        head = raw[: wire.FLAGS_OFFSET] + bytes((flags,))
        self._transmit(head + raw[wire.HEAD.size :])

    # Requests

    def _receive_data(self, life: Life, key: FlowKey, held: Held, data: bytes) -> None:
        held.received += data
        while not held.busy:
            found = http_text.take(held.received)
            if found is None:
                return
            request, held.received = found
            held.busy = True
            if life.running < SLOTS:
                self._run(life, key, request)
            elif len(life.waiting) < QUEUE:
                life.waiting.append((key, request))
            else:
                self._respond(life, key, request, 503, {NOT_EXECUTED: "1"}, b"full")

    def _run(self, life: Life, key: FlowKey, request: Message) -> None:
        name = request.headers.get("x-cornelspan-request-id", "?")
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record.add("request runs", machine=self.machine, request=name)
        life.running += 1
        loop = asyncio.get_running_loop()
        slowness = 1.6 if loop.time() < life.warm_at else 1.0
        loop.call_later(
            self.work_seconds * slowness, self._end_run, life, key, request, name
        )

    def _end_run(self, life: Life, key: FlowKey, request: Message, name: str) -> None:
        if not life.alive:
            return
        life.running -= 1
        headers = {STAMP: f"{life.name}/{name}"}
        self._respond(life, key, request, 200, headers, f"done {name}".encode())
        if life.waiting:
            self._run(life, *life.waiting.pop(0))

    def _respond(
        self,
        life: Life,
        key: FlowKey,
        request: Message,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        held = life.flows.get(key)
        if held is None or held.stream is None:
            return
        if life.draining:
            headers = {**headers, "Connection": "close"}
        held.busy = False
        held.stream.write(http_text.text(f"HTTP/1.1 {status} -", headers, body))
        if life.draining:
            held.stream.finish()
        elif held.received:
            self._receive_data(life, key, held, b"")

    # Status checks and reports

    async def _answer_check(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await http_text.read(reader)) is not None:
            life = self.life
            if life is None:
                break
            is_well = request.first.split()[1] == "/health" and not life.draining
            headers = {"X-Cornelspan-Instance-Id": life.name}
            status = 200 if is_well else 503
            writer.write(http_text.text(f"HTTP/1.1 {status} -", headers, b""))
        writer.close()

    def report_body(self, life: Life) -> bytes:
        """Return the body of the next report of a life."""
        life.sequence += 1
        left = life.warm_at - asyncio.get_running_loop().time()
        report = {
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": SLOTS,
            "state": "draining" if life.draining else "ready",
            "warmup-remaining-ms": max(0, round(left * 1000)),
            "sequence": life.sequence,
        }
        return json.dumps(report).encode()

    async def _report(self, life: Life) -> None:
        while life.alive:
            path = f"/cornelspan/Instances.Heartbeat/{life.name}"
            body = self.report_body(life)
            status = await http_text.call(
                self.report_via, "POST", path, body, seconds=REPORT_TIMEOUT_SECONDS
            )
            self.record.add(
                "report",
                machine=self.machine,
                life=life.name,
                warm_up=json.loads(body)["warmup-remaining-ms"],
                status=status,
            )
            is_acknowledged = 200 <= status < 300
            await asyncio.sleep(
                self.report_seconds if is_acknowledged else REPORT_AGAIN_SECONDS
            )
