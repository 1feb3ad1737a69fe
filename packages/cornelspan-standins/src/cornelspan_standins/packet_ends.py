"""Stand-ins for the two ends of a pass-through flow: endpoints and clients.

They speak the platform's packets in virtual time and keep what the product must not
break: which endpoint held which flow, what each client was told, and by whom.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelspan_shirakaba import packets
from cornelspan_shirakaba.packets import HEAD, HEAD_BYTES

ROUTE_ADDRESS = 0xC6120001
REPEAT_SECONDS = (0.2, 0.6)
GIVE_UP_OPENING_SECONDS = 1.4
FIRST_RETRANSMIT_SECONDS = 0.2
LAST_RETRANSMIT_SECONDS = 1.6

Send = Callable[[bytes], None]
After = Callable[[float, Callable[[], None]], None]


@dataclass(frozen=True, slots=True)
class WirePacket:
    """All fields of a packet; ``data`` is what follows the head."""

    source: int
    source_port: int
    target: int
    target_port: int
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    echo: int = 0


def encode(packet: WirePacket) -> bytes:
    """Return a packet as bytes; the keyed sum stands for its sender's word."""
    return (
        HEAD.pack(
            packet.target_port,
            packet.source,
            packet.target,
            packet.source_port,
            0,
            packet.echo,
            len(packet.data),
            packet.sequence,
            packet.acknowledged,
            packet.flags,
        )
        + packet.data
    )


def decode(data: bytes) -> WirePacket:
    """Return the packet that bytes hold."""
    dport, src, dst, sport, _, echo, _, seq, ack, flags = HEAD.unpack_from(data)
    return WirePacket(src, sport, dst, dport, flags, seq, ack, data[HEAD_BYTES:], echo)


def answer_to(packet: WirePacket, flags: int, sequence: int, data: bytes) -> WirePacket:
    """Return a packet back to where one came from."""
    return WirePacket(
        packet.target,
        packet.target_port,
        packet.source,
        packet.source_port,
        flags,
        sequence,
        packet.sequence + len(packet.data),
        data,
    )


@dataclass
class HeldFlow:
    """A flow at an endpoint: the sequence it answered with, and whether it is open."""

    sequence: int
    is_open: bool = False
    answered: int = -1


@dataclass
class PacketEndpoint:
    """An endpoint behind an agent. ``foreign`` counts packets of flows not held."""

    service: str
    send: Send
    after: After
    chance: random.Random
    work_seconds: float = 0.02
    accepts: bool = True
    alive: bool = True
    flows: dict[tuple[int, int], HeldFlow] = field(default_factory=dict)
    slots: int = 1000
    queue: int = 0
    running: int = 0
    queued: list[Callable[[], None]] = field(default_factory=list)
    shed: int = 0
    mute: int = 0
    opened: int = 0
    bounced: int = 0

    def receive(self, data: bytes) -> None:
        """Take a packet from the agent on the same VM."""
        if not self.alive:
            return
        packet = decode(data)
        key = (packet.source, packet.source_port)
        held = self.flows.get(key)
        if packet.flags & packets.WIRE_SYN:
            self._open(key, held, packet, data)
        elif held is None or not self._holds(held, packet):
            self._bounce(data)
        elif packet.data and packet.sequence > held.answered:
            held.answered = packet.sequence
            self._take(lambda: self._answer(key, packet))

    def crash(self) -> None:
        """Lose all flows and say nothing more."""
        self.alive = False
        self.flows.clear()

    def _open(
        self,
        key: tuple[int, int],
        held: HeldFlow | None,
        packet: WirePacket,
        data: bytes,
    ) -> None:
        if held is None and not self.accepts:
            self._bounce(data)
            return
        if held is None:
            held = HeldFlow(self.chance.getrandbits(30))
            self.flows[key] = held
        flags = packets.WIRE_SYN | packets.WIRE_ACK
        self.send(encode(answer_to(packet, flags, held.sequence, b"")))

    def _holds(self, held: HeldFlow, packet: WirePacket) -> bool:
        if held.is_open:
            return True
        if packet.acknowledged != held.sequence:
            return False
        held.is_open = True
        self.opened += 1
        return True

    def _take(self, answer: Callable[[], None]) -> None:
        """Work on a request, queue it, or shed it and never answer.

        ``mute`` counts requests that it forgets at once.
        """
        if self.mute:
            self.mute -= 1
            return
        if self.running < self.slots:
            self.running += 1
            self.after(self.work_seconds, lambda: self._done(answer))
        elif len(self.queued) < self.queue:
            self.queued.append(answer)
        else:
            self.shed += 1

    def _done(self, answer: Callable[[], None]) -> None:
        self.running -= 1
        answer()
        if self.queued:
            self._take(self.queued.pop(0))

    def _answer(self, key: tuple[int, int], packet: WirePacket) -> None:
        if self.alive and key in self.flows:
            data = b"ran " + packet.data
            self.send(encode(answer_to(packet, packets.WIRE_ACK, 0, data)))

    def _bounce(self, data: bytes) -> None:
        self.bounced += 1
        flags = data[packets.FLAGS_AT] | packets.WIRE_BOUNCED
        self.send(data[: packets.FLAGS_AT] + bytes((flags,)) + data[HEAD_BYTES:])


@dataclass
class PacketClient:
    """One flow of a client: opens, sends requests one after the other, repeats.

    ``events`` tells what it saw, in order: ``open``, ``answer``, ``reset``,
    ``refused``, ``gave up``.
    """

    address: int
    port: int
    route_port: int
    send: Send
    after: After
    chance: random.Random
    events: list[str] = field(default_factory=list)
    peer_sequence: int | None = None
    sent_number: int = 0
    answered_number: int = 0

    def open(self) -> None:
        """Send the first packet, and its copies while nobody answers."""
        self.initial = self.chance.getrandbits(30)
        self._send_syn(0)
        for copy, seconds in enumerate(REPEAT_SECONDS, start=1):
            self.after(seconds, lambda copy=copy: self._send_syn(copy))
        self.after(GIVE_UP_OPENING_SECONDS, self._give_up)

    def request(self) -> None:
        """Send a request on the open flow, again and again until it is answered."""
        self.sent_number += 1
        self._send_request(self.sent_number, FIRST_RETRANSMIT_SECONDS)

    @property
    def is_over(self) -> bool:
        """Whether the flow has ended for the client."""
        return any(each in self.events for each in ("reset", "refused", "gave up"))

    def receive(self, data: bytes) -> None:
        """Take a packet from the system."""
        packet = decode(data)
        if self.is_over:
            return
        if packet.flags & packets.WIRE_RST:
            self.events.append("reset" if "open" in self.events else "refused")
        elif packet.flags & packets.WIRE_SYN:
            self._opened(packet)
        elif packet.data and self.answered_number < self.sent_number:
            self.answered_number = self.sent_number
            self.events.append("answer")

    def _opened(self, packet: WirePacket) -> None:
        if self.peer_sequence is not None:
            return
        self.peer_sequence = packet.sequence
        self.events.append("open")
        self.request()

    def _send_syn(self, copy: int) -> None:
        if self.peer_sequence is None and not self.is_over:
            packet = self._packet(packets.WIRE_SYN, self.initial, copy, b"")
            self.send(encode(packet))

    def _send_request(self, number: int, wait: float) -> None:
        if self.is_over or self.answered_number >= number:
            return
        sequence = self.initial + number
        data = b"request"
        packet = self._packet(packets.WIRE_ACK, sequence, self.peer_sequence or 0, data)
        self.send(encode(packet))
        longer = min(LAST_RETRANSMIT_SECONDS, wait * 2)
        self.after(wait, lambda: self._send_request(number, longer))

    def _packet(
        self, flags: int, sequence: int, acknowledged: int, data: bytes
    ) -> WirePacket:
        return WirePacket(
            self.address,
            self.port,
            ROUTE_ADDRESS,
            self.route_port,
            flags,
            sequence,
            acknowledged,
            data,
        )

    def _give_up(self) -> None:
        if self.peer_sequence is None and not self.is_over:
            self.events.append("gave up")
