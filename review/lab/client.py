"""Clients and the platform's routers before the balancers."""

import asyncio
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from lab import http_text, wire
from lab.http_text import Message
from lab.record import Record
from lab.stream import Stream
from lab.wire import ACK, RST, SYN, Packet

COPIES = (0.2, 0.6)
GIVE_UP_OPENING_SECONDS = 1.4
PROBE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.4
MISSES = 2
# A client heeds a reset of an open flow within this many bytes of its last ack.
RESET_WINDOW = 76_800


@dataclass
class Routers:
    """Forward clients' packets to balancers in rotation, by a hash of the four."""

    packets_port: int
    ready_port: int
    balancers: list[str]
    record: Record
    misses: dict[str, int] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None
    sent: int = 0

    def in_rotation(self) -> list[str]:
        """Return the balancers that get packets."""
        ready = [each for each in self.balancers if self.misses.get(each, 0) < MISSES]
        return ready if 2 * len(ready) >= len(self.balancers) else self.balancers

    def forward(self, raw: bytes, key: tuple[str, int, str, int]) -> None:
        """Send a packet to the balancer of its flow."""
        targets = self.in_rotation()
        target = targets[zlib.crc32(repr(key).encode()) % len(targets)]
        self.sent += 1
        if self.transport is not None:
            self.transport.sendto(raw, (target, self.packets_port))

    async def probe(self, balancer: str) -> None:
        """Probe a balancer twice a second, for ever."""
        while True:
            status = await http_text.call(
                (balancer, self.ready_port),
                "GET",
                "/cornelspan/readiness",
                seconds=PROBE_TIMEOUT_SECONDS,
            )
            missed = 0 if status == 200 else self.misses.get(balancer, 0) + 1
            if (missed < MISSES) != (self.misses.get(balancer, 0) < MISSES):
                self.record.add("rotation", balancer=balancer, ready=missed < MISSES)
            self.misses[balancer] = missed
            await asyncio.sleep(PROBE_SECONDS)


@dataclass
class Flow:
    """A client's flow: opens, then sends one request after the other.

    ``reset_at`` is when the client got a reset that it heeds, on the loop's clock.
    """

    key: tuple[str, int, str, int]
    routers: Routers
    record: Record
    rng: random.Random
    on_reset: Callable[["Flow", Packet], None]
    first: int = 0
    stream: Stream | None = None
    received: bytes = b""
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    answer: asyncio.Future | None = None
    opened_at: float | None = None
    last_used_at: float = 0.0
    last_ack: int = 0
    reset_at: float | None = None
    refused: bool = False
    ended: bool = False
    closed_by_server: bool = False

    async def open(self) -> bool:
        """Open the flow; return whether it opened."""
        self.first = self.rng.getrandbits(32)
        started_at = asyncio.get_running_loop().time()
        self.record.add("client opens", flow=self.key[:2])
        for copy, sent_at in enumerate((0.0, *COPIES)):
            await self._wait_for_opening(started_at + sent_at)
            if self.opened.is_set() or self.refused:
                break
            self._send(SYN, self.first, copy, b"")
        await self._wait_for_opening(started_at + GIVE_UP_OPENING_SECONDS)
        self.ended = not self.opened.is_set()
        return self.opened.is_set()

    async def _wait_for_opening(self, until: float) -> None:
        seconds = until - asyncio.get_running_loop().time()
        if seconds <= 0 or self.refused:
            return
        try:
            async with asyncio.timeout(seconds):
                await self.opened.wait()
        except TimeoutError:
            return

    async def request(self, name: str, body: bytes, seconds: float) -> Message | None:
        """Send a request; return its answer, None if there is none in time."""
        loop = asyncio.get_running_loop()
        if self.stream is None or self.ended or self.closed_by_server:
            return None
        self.answer = loop.create_future()
        self.last_used_at = loop.time()
        headers = {"Host": "shop", "X-Cornelspan-Request-Id": name}
        self.record.add("client sends", flow=self.key[:2], request=name)
        self.stream.write(http_text.text("POST /orders HTTP/1.1", headers, body))
        try:
            async with asyncio.timeout(seconds):
                answer = await self.answer
        except TimeoutError:
            answer = None
        status = answer.status if answer else None
        self.record.add("client got", flow=self.key[:2], request=name, status=status)
        if answer is None:
            self._end()
        return answer

    def receive(self, packet: Packet) -> None:
        """Take a packet of the flow."""
        if self.ended:
            return
        self.last_used_at = asyncio.get_running_loop().time()
        if packet.flags & RST:
            self._receive_reset(packet)
        elif packet.flags & SYN:
            self._receive_accepted(packet)
        elif self.stream is not None:
            self.stream.receive(packet)

    def _receive_reset(self, packet: Packet) -> None:
        if self.stream is None:
            self.refused = True
            self.opened_at = None
            self.record.add("client refused", flow=self.key[:2])
            return
        if abs(wire.ahead(packet.seq, self.last_ack)) > RESET_WINDOW:
            return
        self.reset_at = asyncio.get_running_loop().time()
        self.on_reset(self, packet)
        self._end()

    def _receive_accepted(self, packet: Packet) -> None:
        if self.stream is not None or self.refused:
            return
        self.stream = Stream(
            self.first, packet.seq, self._send, self._receive_data, on_fin=self._close
        )
        self.opened_at = asyncio.get_running_loop().time()
        self.stream.acknowledge()
        self.record.add("client open", flow=self.key[:2])
        self.opened.set()

    def _receive_data(self, data: bytes) -> None:
        self.received += data
        found = http_text.take(self.received)
        if found is None:
            return
        answer, self.received = found
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(answer)

    def _close(self) -> None:
        self.closed_by_server = True
        if self.stream is not None and not self.stream.fin_sent:
            self.stream.finish()

    def _end(self) -> None:
        self.ended = True
        if self.stream is not None:
            self.stream.close()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(None)

    def _send(self, flags: int, seq: int, ack: int, data: bytes) -> None:
        src, sport, dst, dport = self.key
        if flags & ACK:
            self.last_ack = ack
        packet = Packet(src, sport, dst, dport, flags, seq, ack, data)
        self.routers.forward(wire.encode(packet), self.key)
