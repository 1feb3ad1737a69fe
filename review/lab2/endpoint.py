"""Stand-in of an endpoint on a side machine: packets, health port and reports."""

import asyncio
import contextlib
import json
import random
from dataclasses import dataclass, field

from lab2 import web, wire
from lab2.record import Record
from lab2.wire import ACK, BOUNCED, FIN, RST, SYN, Packet

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
RETRANSMISSIONS = 8
REPORT_PREFIX = "/cornelspan/Instances.Heartbeat/"


@dataclass
class EndpointFlow:
    """One flow at an endpoint; sequence numbers are of the next byte."""

    first: int
    own_next: int
    peer_next: int
    is_open: bool = False
    running: bool = False
    unconfirmed: Packet | None = None


@dataclass
class Life:
    """One life of an endpoint: its id, its flows, and when it is no longer cold."""

    name: str
    started_at: float
    cold_until: float
    sequence: int = 0
    flows: dict[tuple[str, int], EndpointFlow] = field(default_factory=dict)
    resets_sent: set[tuple[str, int]] = field(default_factory=set)


@dataclass
class Endpoint:
    """An endpoint at an address of its own; ``life`` is None while it is down.

    ``report_to`` is the address of the daemon on the same machine.
    """

    service: str
    zone: str
    app: tuple[str, int]
    outbound: tuple[str, int]
    report_to: tuple[str, int]
    report_seconds: float
    record: Record
    work_seconds: float = 0.03
    capacity: int = 3
    life: Life | None = None
    runs: list[str] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def open(self) -> None:
        """Bind the UDP socket, which stays for all lives."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Reader(self), local_addr=self.app
        )
        self.listener: asyncio.Server | None = None

    async def start(self, name: str, *, cold_seconds: float = 0.0) -> None:
        """Begin a new life, with its reports."""
        now = asyncio.get_running_loop().time()
        life = Life(name, now, now + cold_seconds)
        self.life = life
        self.listener = await web.serve(self.app, self._answer_health)
        self.record.note(
            f"endpoint {name} starts at {self.app[0]}, cold {cold_seconds}"
        )
        self.keep(asyncio.create_task(self._report(life)))

    def crash(self) -> None:
        """End without a word; all flows are lost."""
        if self.life is not None:
            self.record.note(f"endpoint {self.life.name} crashes")
        self.life = None
        if self.listener is not None:
            self.listener.close()

    async def close(self) -> None:
        """Close all sockets and end all tasks."""
        self.life = None
        for task in list(self.tasks):
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        self.transport.close()

    def keep(self, task: asyncio.Task) -> None:
        """Keep a task from being collected while it runs."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def holds_open(self, client: tuple[str, int]) -> bool:
        """Whether the present life has a client's flow open."""
        if self.life is None or client in self.life.resets_sent:
            return False
        flow = self.life.flows.get(client)
        return flow is not None and flow.is_open

    def report_body(self, life: Life) -> bytes:
        """Return the next report of a life."""
        life.sequence += 1
        left = life.cold_until - asyncio.get_running_loop().time()
        body = {
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": "ready",
            "warmup-remaining-ms": max(0, round(left * 1000)),
            "sequence": life.sequence,
        }
        return json.dumps(body).encode()

    async def send_report(self, name: str, body: bytes) -> int:
        """Make one report; return the status, 0 if there was no answer."""
        return await web.request(self.report_to, "POST", REPORT_PREFIX + name, body)

    async def _report(self, life: Life) -> None:
        while self.life is life:
            status = await self.send_report(life.name, self.report_body(life))
            self.record.note(f"report {life.sequence} of {life.name}: {status}")
            await asyncio.sleep(self.report_seconds if status == 200 else 0.25)

    async def _answer_health(self, call: web.Call) -> web.Answer:
        return 200 if self.life else 503, b"{}"

    def receive(self, data: bytes) -> None:
        """Take a packet from the daemon on the same machine."""
        life = self.life
        if life is None:
            return
        packet = wire.decode(data)
        if not wire.is_as_written(packet):
            self.record.rule_broken(f"UNASKED: {life.name} got a changed packet")
            return
        if packet.flags & SYN:
            self._receive_first(life, packet)
            return
        flow = life.flows.get((packet.src, packet.sport))
        if flow is not None and not flow.is_open and packet.ack == flow.first:
            flow.is_open = True
            self.record.note(f"{life.name} has flow {packet.sport} open")
        if flow is None or not flow.is_open:
            bounced = data[: wire.HEADER.size - 1]
            bounced += bytes((packet.flags | BOUNCED,)) + data[wire.HEADER.size :]
            self.transport.sendto(bounced, self.outbound)
            return
        self._receive_on_flow(life, flow, packet)

    def _receive_first(self, life: Life, packet: Packet) -> None:
        key = (packet.src, packet.sport)
        flow = life.flows.get(key)
        if flow is None or flow.peer_next != packet.seq + 1 & wire.MASK:
            if flow is not None and flow.is_open:
                return
            first = random.getrandbits(32)
            flow = EndpointFlow(first, first, packet.seq + 1 & wire.MASK)
            life.flows[key] = flow
        self._send(packet, SYN | ACK, flow.first - 1 & wire.MASK, flow.peer_next)

    def _receive_on_flow(self, life: Life, flow: EndpointFlow, packet: Packet) -> None:
        key = (packet.src, packet.sport)
        if packet.flags & RST:
            del life.flows[key]
            return
        if flow.unconfirmed is not None and packet.ack == flow.own_next:
            flow.unconfirmed = None
        if packet.flags & FIN:
            self._send(packet, FIN | ACK, flow.own_next, packet.seq + 1 & wire.MASK)
            del life.flows[key]
            return
        if not packet.data:
            return
        if packet.seq != flow.peer_next or flow.running:
            self._send(packet, ACK, flow.own_next, flow.peer_next)
            return
        flow.peer_next = packet.seq + len(packet.data) & wire.MASK
        flow.running = True
        self.keep(asyncio.create_task(self._work(life, flow, packet)))

    async def _work(self, life: Life, flow: EndpointFlow, packet: Packet) -> None:
        request_id = _request_id(packet.data)
        self.runs.append(request_id)
        self.record.note(f"{life.name} runs {request_id}")
        await asyncio.sleep(self.work_seconds)
        flow.running = False
        body = f"done {request_id}".encode()
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Cornelspan-Server-Stamp: {life.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        sequence = flow.own_next
        flow.own_next = sequence + len(answer) & wire.MASK
        wait = RETRY_SECONDS
        for _ in range(RETRANSMISSIONS + 1):
            if (
                self.life is not life
                or life.flows.get((packet.src, packet.sport)) is not flow
            ):
                return
            flow.unconfirmed = packet
            self._send(packet, ACK, sequence, flow.peer_next, answer)
            await asyncio.sleep(wait)
            if flow.unconfirmed is not packet:
                return
            wait = min(MAX_RETRY_SECONDS, wait * 2)

    def _send(
        self, to: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        packet = Packet(to.dst, to.dport, to.src, to.sport, flags, seq, ack, data)
        self.transport.sendto(wire.encode(packet), self.outbound)


class _Reader(asyncio.DatagramProtocol):
    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        with contextlib.suppress(ValueError):
            self.endpoint.receive(data)


def _request_id(data: bytes) -> str:
    for line in data.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-cornelspan-request-id":
            return value.strip().decode()
    return "?"
