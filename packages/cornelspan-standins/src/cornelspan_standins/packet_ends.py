"""Stand-ins for the two ends of a pass-through flow: endpoints and clients.

They speak the platform's packets in virtual time and keep what the product must not
break: which endpoint held which flow, what each client was told, and by whom.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelspan_passthrough.packet_headers import flow_number
from cornelspan_shirakaba import packets
from cornelspan_shirakaba.packets import HEADER, HEADER_BYTES

ROUTE_ADDRESS = 0xC6120001
REPEAT_SECONDS = (0.2, 0.6)
GIVE_UP_OPENING_SECONDS = 1.4
FIRST_RETRANSMIT_SECONDS = 0.2
LAST_RETRANSMIT_SECONDS = 1.6
# Sequence numbers from one request of a flow to the next, more than any of them has.
REQUEST_STEP = 100
# A client heeds a reset of an open flow within this many bytes of what it has seen.
RESET_WINDOW = 76_800
RAN = b"ran "
SHED = b"shed "

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
        HEADER.pack(
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
    dport, src, dst, sport, _, echo, _, seq, ack, flags = HEADER.unpack_from(data)
    return WirePacket(
        src, sport, dst, dport, flags, seq, ack, data[HEADER_BYTES:], echo
    )


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
    """A flow at an endpoint: the sequence it answered with, and whether it is open.

    ``answered`` is the last request that was taken up, ``confirmed`` the last one whose
    answer the client has confirmed.
    """

    sequence: int
    is_open: bool = False
    answered: int = -1
    confirmed: int = -1


@dataclass
class PacketEndpoint:
    """An endpoint behind an agent.

    ``slots`` requests run at once and ``queue`` more wait; the rest is shed, and told
    so with ``tells_shed``. ``work`` gives the seconds that a request takes by its data;
    until ``cold_until`` it takes ``cold_factor`` times as long. ``life`` counts starts.
    """

    service: str
    send: Send
    after: After
    chance: random.Random
    now: Callable[[], float] = lambda: 0.0
    work_seconds: float = 0.02
    work: Callable[[bytes], float] | None = None
    accepts: bool = True
    alive: bool = True
    flows: dict[tuple[int, int], HeldFlow] = field(default_factory=dict)
    slots: int = 1000
    queue: int = 0
    running: int = 0
    queued: list[tuple[tuple[int, int], WirePacket]] = field(default_factory=list)
    shed: int = 0
    mute: int = 0
    resets: bool = False
    opened: int = 0
    bounced: int = 0
    life: int = 0
    cold_until: float = 0.0
    cold_factor: float = 1.0
    tells_shed: bool = False

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
            self._take(key, packet)
        elif not packet.data and packet.flags & packets.WIRE_RST:
            self.flows.pop(key)
        elif packet.data:
            # A repeat: confirmed at once, while the answer goes out by its own clock.
            self.send(encode(answer_to(packet, packets.WIRE_ACK, 0, b"")))
        else:
            held.confirmed = packet.sequence

    def crash(self) -> None:
        """Lose all flows and say nothing more."""
        self.alive = False
        self.flows.clear()
        self.queued.clear()
        self.running = 0

    def heal(self) -> None:
        """Serve what it is sent again."""
        self.resets = False
        self.mute = 0

    def start(self, cold_until: float) -> None:
        """Start anew, slow until a time."""
        self.alive = True
        self.life += 1
        self.cold_until = cold_until

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

    def _take(self, key: tuple[int, int], packet: WirePacket) -> None:
        """Work on a request, queue it, or shed it.

        ``mute`` counts requests that it forgets at once. With ``resets`` it ends each
        request's flow instead of answering.
        """
        if self.resets:
            self.flows.pop(key)
            self.send(encode(answer_to(packet, packets.WIRE_RST, 0, b"")))
            return
        if self.mute:
            self.mute -= 1
            return
        if self.running < self.slots:
            self._run(key, packet)
        elif len(self.queued) < self.queue:
            self.queued.append((key, packet))
        else:
            self.shed += 1
            if self.tells_shed:
                self._answer(key, packet, SHED)

    def _run(self, key: tuple[int, int], packet: WirePacket) -> None:
        self.running += 1
        seconds = self.work(packet.data) if self.work else self.work_seconds
        if self.now() < self.cold_until:
            seconds *= self.cold_factor
        life = self.life
        self.after(seconds, lambda: self._done(key, packet, life))

    def _done(self, key: tuple[int, int], packet: WirePacket, life: int) -> None:
        if not self.alive or life != self.life:
            return
        self.running -= 1
        self._answer(key, packet, RAN)
        if self.queued:
            self._run(*self.queued.pop(0))

    def _answer(
        self,
        key: tuple[int, int],
        packet: WirePacket,
        word: bytes,
        wait: float = FIRST_RETRANSMIT_SECONDS,
    ) -> None:
        """Send an answer, and again until the client has confirmed it."""
        held = self.flows.get(key)
        if not self.alive or held is None or held.confirmed >= packet.sequence:
            return
        data = word + packet.data
        self.send(encode(answer_to(packet, packets.WIRE_ACK, 0, data)))
        longer = min(LAST_RETRANSMIT_SECONDS, wait * 2)
        if longer > wait:
            self.after(wait, lambda: self._answer(key, packet, word, longer))

    def _bounce(self, data: bytes) -> None:
        self.bounced += 1
        flags = data[packets.FLAGS_OFFSET] | packets.WIRE_BOUNCED
        self.send(data[: packets.FLAGS_OFFSET] + bytes((flags,)) + data[HEADER_BYTES:])


@dataclass
class PacketClient:
    """One flow of a client: opens, sends requests one after the other, repeats.

    ``events`` tells what it saw, in order: ``open``, ``answer``, ``shed``, ``reset``,
    ``refused``, ``gave up``; ``told`` is called with each. With ``asks_at_once`` the
    first request goes out when the flow opens.
    """

    address: int
    port: int
    route_port: int
    send: Send
    after: After
    chance: random.Random
    told: Callable[[str], None] = lambda event: None
    asks_at_once: bool = True
    events: list[str] = field(default_factory=list)
    peer_sequence: int | None = None
    sent_number: int = 0
    answered_number: int = 0
    last_asked: bytes = b""
    last_answer: bytes = b""

    def open(self) -> None:
        """Send the first packet, and its copies while nobody answers."""
        self.initial = self.chance.getrandbits(30)
        self._send_syn(0)
        for copy, seconds in enumerate(REPEAT_SECONDS, start=1):
            self.after(seconds, lambda copy=copy: self._send_syn(copy))
        self.after(GIVE_UP_OPENING_SECONDS, self._give_up)

    def request(self, data: bytes = b"request") -> None:
        """Send a request on the open flow, again and again until it is answered."""
        self.sent_number += 1
        self.last_asked = data
        self._send_request(self.sent_number, data, FIRST_RETRANSMIT_SECONDS)

    def abandon(self) -> None:
        """Close the flow without waiting for an answer."""
        if not self.is_over:
            self._tell("gave up")
            packet = self._packet(packets.WIRE_RST, self.initial, 0, b"")
            self.send(encode(packet))

    @property
    def flow(self) -> int:
        """The flow's number, as daemons have it."""
        return flow_number(self.address, self.port, ROUTE_ADDRESS, self.route_port)

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
            if self._heeds(packet):
                self._tell("reset" if "open" in self.events else "refused")
        elif packet.flags & packets.WIRE_SYN:
            self._opened(packet)
        elif packet.data and self._is_awaited(packet):
            self.answered_number = self.sent_number
            self.last_answer = packet.data
            self._confirm()
            self._tell("shed" if packet.data.startswith(SHED) else "answer")
        elif packet.data:
            self._confirm()

    def _heeds(self, packet: WirePacket) -> bool:
        """Whether a reset is for this flow as it stands."""
        if self.peer_sequence is None:
            return True
        return abs(packet.sequence - self.peer_sequence) <= RESET_WINDOW

    def _is_awaited(self, packet: WirePacket) -> bool:
        """Whether a packet answers the last request, not an earlier one again."""
        sequence = self.initial + self.sent_number * REQUEST_STEP
        is_last = packet.acknowledged == sequence + len(self.last_asked)
        return is_last and self.answered_number < self.sent_number

    def _opened(self, packet: WirePacket) -> None:
        if self.peer_sequence is not None:
            return
        self.peer_sequence = packet.sequence
        self._tell("open")
        if self.asks_at_once:
            self.request()

    def _tell(self, event: str) -> None:
        self.events.append(event)
        self.told(event)

    def _send_syn(self, copy: int) -> None:
        if self.peer_sequence is None and not self.is_over:
            packet = self._packet(packets.WIRE_SYN, self.initial, copy, b"")
            self.send(encode(packet))

    def _send_request(self, number: int, data: bytes, wait: float) -> None:
        if self.is_over or self.answered_number >= number:
            return
        sequence = self.initial + number * REQUEST_STEP
        packet = self._packet(packets.WIRE_ACK, sequence, self.peer_sequence or 0, data)
        self.send(encode(packet))
        longer = min(LAST_RETRANSMIT_SECONDS, wait * 2)
        self.after(wait, lambda: self._send_request(number, data, longer))

    def _confirm(self) -> None:
        sequence = self.initial + self.answered_number * REQUEST_STEP
        packet = self._packet(packets.WIRE_ACK, sequence, self.peer_sequence or 0, b"")
        self.send(encode(packet))

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
            self._tell("gave up")
