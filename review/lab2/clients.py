"""Stand-ins of clients with long flows, and of the routers before the balancers."""

import asyncio
import contextlib
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from lab2 import web, wire
from lab2.record import Record
from lab2.wire import ACK, FIN, RST, SYN, Packet

COPIES_SECONDS = (0.2, 0.4, 0.8)
RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
PROBE_SECONDS = 0.5
MISSES = 2


@dataclass
class Routers:
    """The platform's routers: which balancer gets a flow's packets now."""

    ready: dict[str, tuple[str, int]]
    misses: dict[str, int] = field(default_factory=dict)

    async def probe_forever(self) -> None:
        """Probe the readiness of all balancers twice a second."""
        while True:
            await asyncio.gather(*(self._probe(each) for each in self.ready))
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe(self, balancer: str) -> None:
        path = "/cornelspan/readiness"
        status = await web.request(
            self.ready[balancer], "GET", path, seconds=PROBE_SECONDS
        )
        missed = self.misses.get(balancer, MISSES)
        self.misses[balancer] = 0 if status == 200 else missed + 1

    def rotation(self) -> list[str]:
        """Return the balancers in rotation; all of them, if fewer than half are."""
        ready = [each for each in self.ready if self.misses.get(each, MISSES) < MISSES]
        return ready if 2 * len(ready) >= len(self.ready) else list(self.ready)

    def route(self, key: str) -> str:
        """Return the balancer that gets a flow's packets (hash ``mod``)."""
        rotation = self.rotation()
        return rotation[zlib.crc32(key.encode()) % len(rotation)]


@dataclass
class ClientFlow:
    """One flow of a client; ``state`` is opening, open, refused, reset or over."""

    port: int
    seq: int
    route: tuple[str, int]
    ack: int = 0
    state: str = "opening"
    answer: asyncio.Event = field(default_factory=asyncio.Event)
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    awaits: str = ""


@dataclass
class Clients:
    """All clients, at one address; flows are told apart by their ports.

    ``on_reset`` is called when an open flow gets a reset of the system's own.
    """

    address: str
    packets_port: int
    route: tuple[str, int]
    routers: Routers
    record: Record
    on_reset: Callable[[ClientFlow, Packet], None]
    budget_seconds: float = 2.0
    next_port: int = field(default_factory=lambda: random.randrange(20_000, 50_000))
    flows: dict[int, ClientFlow] = field(default_factory=dict)
    served: int = 0
    unserved: int = 0

    async def open(self) -> None:
        """Bind the address that packets for clients are sent to."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Reader(self), local_addr=(self.address, self.packets_port)
        )

    def close(self) -> None:
        """Close the socket."""
        self.transport.close()

    async def open_flow(self, route: tuple[str, int] | None = None) -> ClientFlow:
        """Open a flow from a new port; its state tells whether it opened."""
        self.next_port += 1
        flow = ClientFlow(self.next_port, random.getrandbits(32), route or self.route)
        self.flows[flow.port] = flow
        self.record.note(f"client opens flow {flow.port} to {flow.route[0]}")
        first = flow.seq
        for copy, wait in enumerate(COPIES_SECONDS):
            self._send(flow, SYN, first, copy)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await flow.opened.wait()
            if flow.state != "opening":
                break
        if flow.state == "opening":
            flow.state = "over"
        self.record.note(f"flow {flow.port} is {flow.state}")
        return flow

    async def request(self, flow: ClientFlow, number: int) -> bool:
        """Send one request on an open flow; return whether it was answered in time."""
        request_id = f"r-{flow.port}-{number}"
        data = (
            "POST /orders HTTP/1.1\r\nHost: orders\r\n"
            f"X-Cornelspan-Request-Id: {request_id}\r\nContent-Length: 2\r\n\r\n{{}}"
        ).encode()
        flow.answer.clear()
        flow.awaits = request_id
        sequence = flow.seq
        flow.seq = sequence + len(data) & wire.MASK
        self.record.note(f"client sends {request_id}")
        wait = RETRY_SECONDS
        deadline = asyncio.get_running_loop().time() + self.budget_seconds
        while flow.state == "open" and not flow.answer.is_set():
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                break
            self._send(flow, ACK, sequence, flow.ack, data)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(wait, left)):
                    await flow.answer.wait()
            wait = min(MAX_RETRY_SECONDS, wait * 2)
        answered = flow.answer.is_set() and flow.state == "open"
        self.served += answered
        self.unserved += not answered
        if not answered:
            self.record.note(f"client got no answer to {request_id}: {flow.state}")
            if flow.state == "open":
                self._send(flow, RST | ACK, flow.seq, flow.ack)
                flow.state = "over"
        return answered

    def close_flow(self, flow: ClientFlow) -> None:
        """End an open flow."""
        if flow.state == "open":
            self._send(flow, FIN | ACK, flow.seq, flow.ack)
            flow.state = "over"

    def receive(self, data: bytes) -> None:
        """Take a packet for a client."""
        packet = wire.decode(data)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if wire.is_system_reset(packet):
            self._receive_reset(flow, packet)
        elif not wire.is_as_written(packet):
            self.record.rule_broken(f"MIXED: flow {flow.port} got a changed packet")
        elif packet.flags & SYN:
            self._receive_accept(flow, packet)
        elif flow.state == "open" and packet.data:
            self._receive_answer(flow, packet)

    def _receive_reset(self, flow: ClientFlow, packet: Packet) -> None:
        if flow.state == "opening":
            flow.state = "refused"
            flow.opened.set()
        elif flow.state == "open":
            if wire.distance(packet.seq, flow.ack) > wire.RESET_WINDOW:
                return
            flow.state = "reset"
            self.on_reset(flow, packet)
            flow.answer.set()

    def _receive_accept(self, flow: ClientFlow, packet: Packet) -> None:
        if flow.state == "opening":
            flow.state = "open"
            flow.seq = flow.seq + 1 & wire.MASK
            flow.ack = packet.seq + 1 & wire.MASK
            flow.opened.set()
        if flow.state == "open" and packet.seq + 1 & wire.MASK == flow.ack:
            self._send(flow, ACK, flow.seq, flow.ack)

    def _receive_answer(self, flow: ClientFlow, packet: Packet) -> None:
        if packet.seq == flow.ack:
            flow.ack = packet.seq + len(packet.data) & wire.MASK
            if flow.awaits.encode() in packet.data:
                flow.answer.set()
                self.record.note(f"client got the answer to {flow.awaits}")
            else:
                self.record.rule_broken(f"MIXED: flow {flow.port} got another answer")
        self._send(flow, ACK, flow.seq, flow.ack)

    def _send(
        self, flow: ClientFlow, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        packet = Packet(self.address, flow.port, *flow.route, flags, seq, ack, data)
        balancer = self.routers.route(f"{self.address}:{flow.port}>{flow.route}")
        self.transport.sendto(wire.encode(packet), (balancer, self.packets_port))


class _Reader(asyncio.DatagramProtocol):
    def __init__(self, clients: Clients) -> None:
        self.clients = clients

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        with contextlib.suppress(ValueError):
            self.clients.receive(data)
