"""One end of a flow: numbers, acknowledges and repeats the bytes of its channel."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.wire import ACK, FIN, MAX_DATA, SEQUENCES, Packet, ahead

WINDOW = 16
FIRST_REPEAT_SECONDS = 0.2
LAST_REPEAT_SECONDS = 1.6
# A last odd packet is acknowledged this much later; every second one at once.
LATE_ACK_SECONDS = 0.02

Transmit = Callable[[int, int, int, bytes], None]


@dataclass
class Stream:
    """The bytes of a flow at one end.

    ``transmit`` sends a packet by flags, sequence, acknowledgement and data. The first
    numbers of both ends stand for their handshake and count as one byte each.
    ``most_repeats`` is after how many repeats in a row this end gives up.
    """

    first: int
    peer_first: int
    transmit: Transmit
    on_data: Callable[[bytes], None]
    on_fin: Callable[[], None] = lambda: None
    on_give_up: Callable[[], None] = lambda: None
    most_repeats: int = 1000
    queue: list[tuple[int, bytes]] = field(default_factory=list)
    flight: list[tuple[int, int, bytes]] = field(default_factory=list)
    early: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    unacknowledged: int = 0
    repeats: int = 0
    fin_sent: bool = False
    fin_received: bool = False
    closed: bool = False
    timer: asyncio.TimerHandle | None = None
    ack_timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.next_out = (self.first + 1) % SEQUENCES
        self.next_in = (self.peer_first + 1) % SEQUENCES

    def write(self, data: bytes) -> None:
        """Send bytes."""
        for start in range(0, len(data), MAX_DATA):
            self.queue.append((0, data[start : start + MAX_DATA]))
        self._pump()

    def finish(self) -> None:
        """Send the end of this direction."""
        self.queue.append((FIN, b""))
        self._pump()

    def close(self) -> None:
        """Send nothing more."""
        self.closed = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()

    @property
    def is_done(self) -> bool:
        """Whether both ends have sent their end, and this one's is acknowledged."""
        return self.fin_sent and self.fin_received and not self.flight

    def acknowledge(self) -> None:
        """Tell the peer what has arrived."""
        self.unacknowledged = 0
        self.transmit(ACK, self.next_out, self.next_in, b"")

    def receive(self, packet: Packet) -> None:
        """Take a packet of the peer."""
        if self.closed:
            return
        self._take_acknowledgement(packet.ack)
        if packet.data or packet.flags & FIN:
            self._take_data(packet)

    def _pump(self) -> None:
        while self.queue and len(self.flight) < WINDOW and not self.closed:
            flags, data = self.queue.pop(0)
            self.flight.append((self.next_out, flags, data))
            self.transmit(ACK | flags, self.next_out, self.next_in, data)
            self.next_out = (self.next_out + len(data) + bool(flags)) % SEQUENCES
            self.fin_sent = self.fin_sent or bool(flags)
        if self.flight and self.timer is None and not self.closed:
            self._arm()

    def _arm(self) -> None:
        wait = min(LAST_REPEAT_SECONDS, FIRST_REPEAT_SECONDS * 2**self.repeats)
        self.timer = asyncio.get_running_loop().call_later(wait, self._repeat)

    def _repeat(self) -> None:
        self.timer = None
        if not self.flight or self.closed:
            return
        if self.repeats >= self.most_repeats:
            self.close()
            self.on_give_up()
            return
        self.repeats += 1
        seq, flags, data = self.flight[0]
        self.transmit(ACK | flags, seq, self.next_in, data)
        self._arm()

    def _take_acknowledgement(self, ack: int) -> None:
        before = len(self.flight)
        self.flight = [
            (seq, flags, data)
            for seq, flags, data in self.flight
            if ahead(seq + len(data) + bool(flags), ack) > 0
        ]
        if len(self.flight) == before:
            return
        self.repeats = 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._pump()

    def _take_data(self, packet: Packet) -> None:
        distance = ahead(packet.seq, self.next_in)
        if distance < 0:
            self.acknowledge()
            return
        self.early[packet.seq] = (packet.flags, packet.data)
        arrived = []
        while (found := self.early.pop(self.next_in, None)) is not None:
            flags, data = found
            step = len(data) + bool(flags & FIN)
            self.next_in = (self.next_in + step) % SEQUENCES
            self.fin_received = self.fin_received or bool(flags & FIN)
            arrived.append(data)
        self.unacknowledged += 1
        if self.unacknowledged >= 2 or self.fin_received:
            self.acknowledge()
        elif self.ack_timer is None:
            loop = asyncio.get_running_loop()
            self.ack_timer = loop.call_later(LATE_ACK_SECONDS, self._acknowledge_late)
        if any(arrived):
            self.on_data(b"".join(arrived))
        if self.fin_received and not self.closed:
            self.on_fin()

    def _acknowledge_late(self) -> None:
        self.ack_timer = None
        if self.unacknowledged and not self.closed:
            self.acknowledge()
