"""One end of a flow: a reliable, ordered byte stream over packets that may be lost.

Balancers keep no flow state and may die, and the fabric may drop, duplicate and reorder
packets. So the two ends of a flow, at the fabric and at the owner agent, acknowledge
and retransmit packets themselves. The protocol is TCP's, in units of packets:
cumulative and selective acknowledgements (RFC 2018), a retransmission timeout (RFC
6298), loss detection by send time (RACK, RFC 8985), and a congestion window that grows
linearly and halves on a timeout.

    channel = Channel(flow, address, fabric, transmit)
    await channel.write(b"...")
    data = (await channel.read()).unwrap()
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from cornelspan_common._sending import Sending
from cornelspan_common.packets import Kind, Packet

BUFFER_BYTES = 262_144
MAX_OUT_OF_ORDER_PACKETS = 256
SEGMENT_BYTES = 16_384
MAX_SELECTIVE_ENTRIES = 32
OPEN_RETRY_SECONDS = 0.1
MAX_OPEN_RETRY_SECONDS = 1.0
OPEN_ATTEMPTS = 14

Transmit = Callable[[Packet], None]


@dataclass(frozen=True, slots=True)
class FlowError:
    """A flow that was reset, by the peer or here."""

    flow: int
    reason: str

    def __str__(self) -> str:
        return f"flow {self.flow:016x}: {self.reason}"


class Channel:
    """State of one end of a flow.

    Both directions are bounded: ``write`` waits while the peer's window is full, and at
    most ``BUFFER_BYTES`` are buffered for ``read``.

    Args:
        flow: The flow's key.
        address: The address and port that the caller connected to.
        fabric: Name of the fabric that the flow came through.
        transmit: Sends a packet to the other end; it may get lost.
        caller: The caller's IP number, sent when the flow is opened.
    """

    def __init__(
        self,
        flow: int,
        address: str,
        fabric: str,
        transmit: Transmit,
        *,
        caller: str = "",
    ) -> None:
        self.flow = flow
        self.address = address
        self.fabric = fabric
        self.transmit = transmit
        self.caller = caller
        self.loop = asyncio.get_running_loop()
        self.sending = Sending()
        self.timer: asyncio.TimerHandle | None = None
        self.expected = 1
        self.out_of_order: dict[int, Packet] = {}
        self.out_of_order_bytes = 0
        self.ready: deque[bytes] = deque()
        self.ready_bytes = 0
        self.close_received = False
        self.close_read = False
        self.ack_scheduled = False
        self.accepted = False
        self.owner = b""
        self.error: FlowError | None = None
        self.on_error: Callable[[], object] | None = None
        self.changed = asyncio.Event()
        self.last_received = self.loop.time()
        self.last_data = self.last_received
        self.last_window = BUFFER_BYTES

    @property
    def finished(self) -> bool:
        """Whether both directions are closed and the peer has acknowledged all data."""
        return self.close_received and self.sending.finished

    @property
    def window(self) -> int:
        """Bytes that can still be received from the peer."""
        return max(0, BUFFER_BYTES - self.ready_bytes - self.out_of_order_bytes)

    async def open(self) -> Result[None, FlowError]:
        """Send OPEN until an owner accepts the flow; no data may be sent before.

        Returns:
            ``FlowError`` if the flow is reset, or no owner answers in time.
        """
        wait = OPEN_RETRY_SECONDS
        for _ in range(OPEN_ATTEMPTS):
            self.transmit(self._packet(Kind.OPEN, 0, self.caller.encode()))
            if await self._wait_for(lambda: self.accepted, wait):
                return Err(self.error) if self.error is not None else Ok(None)
            wait = min(MAX_OPEN_RETRY_SECONDS, 2 * wait)
        self.reset("no answer to open")
        return Err(FlowError(self.flow, "no answer to open"))

    def accept(self, owner: str) -> None:
        """Send ACCEPT: the fabric's end learns that this agent owns the flow."""
        self.accepted = True
        self.transmit(self._packet(Kind.ACCEPT, 0, owner.encode()))

    async def write(self, data: bytes) -> Result[None, FlowError]:
        """Send bytes, waiting while the peer's window or the congestion window is full.

        Returns:
            ``FlowError`` once the flow is reset; bytes sent before may have arrived.
        """
        for start in range(0, len(data), SEGMENT_BYTES):
            await self._wait_until(self._can_send)
            if self.error is not None:
                return Err(self.error)
            self._send(Kind.DATA, data[start : start + SEGMENT_BYTES])
        return Ok(None)

    async def close_write(self) -> Result[None, FlowError]:
        """Close this direction after the data written so far; the other stays open."""
        if self.error is not None:
            return Err(self.error)
        if not self.sending.closed:
            self.sending.closed = True
            self._send(Kind.CLOSE, b"")
        return Ok(None)

    async def read(self) -> Result[bytes, FlowError]:
        """Return the next bytes in order; empty once the peer has closed its side.

        Returns:
            ``FlowError`` once the flow is reset and all received bytes have been read.
        """
        await self._wait_until(lambda: bool(self.ready) or self.close_received)
        if self.ready:
            body = self.ready.popleft()
            self.ready_bytes -= len(body)
            self._reopen_window()
            return Ok(body)
        if self.error is not None:
            return Err(self.error)
        return Ok(b"")

    async def wait_finished(self, seconds: float) -> bool:
        """Wait until the flow has finished or was reset.

        Returns:
            Whether it finished in time; False also if it was reset.
        """
        await self._wait_for(lambda: self.finished, seconds)
        return self.finished

    def receive(self, packet: Packet) -> None:
        """Process a packet of this flow from the network."""
        if self.error is not None:
            return
        self.last_received = self.loop.time()
        if packet.kind == Kind.RESET:
            reason = packet.body.decode(errors="replace")
            self._fail(f"reset by peer: {reason}")
            return
        if packet.kind == Kind.ACCEPT and not self._record_owner(packet.body):
            return
        lost = self.sending.acknowledge(
            packet.acknowledged, packet.selective, packet.window, self.last_received
        )
        for segment in lost:
            self._retransmit(segment)
        if packet.kind in (Kind.DATA, Kind.CLOSE):
            self._receive_data(packet)
        self._restart_timer()
        self.changed.set()

    def reset(self, reason: str) -> None:
        """Abort the flow and send the peer a RESET with the reason."""
        if self.error is not None or self.finished:
            return
        self.transmit(
            Packet(
                Kind.RESET, self.flow, self.address, self.fabric, body=reason.encode()
            )
        )
        self._fail(reason)

    def stop(self) -> None:
        """Drop the flow without a message to the peer."""
        self._fail("stopped")

    def acknowledge(self) -> None:
        """Send an acknowledgement of what was received, with the current window."""
        self.ack_scheduled = False
        if self.error is None:
            self.transmit(self._packet(Kind.ACK, 0, b""))

    def _record_owner(self, owner: bytes) -> bool:
        """Record the owner that accepts; return False and reset on a second owner.

        If the first owner has died and a second one takes over, the data already sent
        would be sent again. The first may have run the request, so it would run twice.
        """
        if self.accepted and owner != self.owner:
            self.reset("accepted by a second owner")
            return False
        self.accepted = True
        self.owner = owner
        return True

    def _can_send(self) -> bool:
        return self.sending.can_send(SEGMENT_BYTES)

    async def _wait_until(self, ready: Callable[[], bool]) -> None:
        while self.error is None and not ready():
            self.changed.clear()
            await self.changed.wait()

    async def _wait_for(self, ready: Callable[[], bool], seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds):
                await self._wait_until(ready)
        except TimeoutError:
            return False
        return True

    def _send(self, kind: Kind, body: bytes) -> None:
        now = self.loop.time()
        self.last_data = now
        sequence = self.sending.add(int(kind), body, now)
        self.transmit(self._packet(kind, sequence, body))
        if self.timer is None:
            self._restart_timer()

    def _retransmit(self, sequence: int) -> None:
        segment = self.sending.mark_retransmitted(sequence, self.loop.time())
        self.transmit(self._packet(segment.kind, sequence, segment.body))

    def _packet(self, kind: int, sequence: int, body: bytes) -> Packet:
        selective = (
            tuple(sorted(self.out_of_order)[:MAX_SELECTIVE_ENTRIES])
            if self.out_of_order
            else ()
        )
        self.last_window = self.window
        return Packet(
            int(kind),
            self.flow,
            self.address,
            self.fabric,
            sequence,
            self.expected - 1,
            selective,
            self.last_window,
            body,
        )

    def _receive_data(self, packet: Packet) -> None:
        """Deliver a packet in order, and those behind it that were out of order."""
        self._acknowledge_soon()
        self.last_data = self.last_received
        if packet.sequence < self.expected or packet.sequence in self.out_of_order:
            return
        if packet.sequence > self.expected:
            self._buffer_out_of_order(packet)
            return
        if len(packet.body) > self.window and self.ready:
            # A sender may probe a closed window with one packet. To keep it would
            # exceed the buffer; dropped, it is retransmitted after a timeout.
            return
        self._deliver(packet)
        while self.expected in self.out_of_order:
            next_packet = self.out_of_order.pop(self.expected)
            self.out_of_order_bytes -= len(next_packet.body)
            self._deliver(next_packet)

    def _buffer_out_of_order(self, packet: Packet) -> None:
        """Buffer a packet that arrived before earlier ones, unless a limit is hit."""
        fits = len(packet.body) <= self.window
        if fits and len(self.out_of_order) < MAX_OUT_OF_ORDER_PACKETS:
            self.out_of_order[packet.sequence] = packet
            self.out_of_order_bytes += len(packet.body)

    def _deliver(self, packet: Packet) -> None:
        self.expected += 1
        if packet.kind == Kind.CLOSE:
            self.close_received = True
        elif packet.body:
            self.ready.append(packet.body)
            self.ready_bytes += len(packet.body)

    def _acknowledge_soon(self) -> None:
        if not self.ack_scheduled:
            self.ack_scheduled = True
            self.loop.call_soon(self.acknowledge)

    def _reopen_window(self) -> None:
        """Send a window update once half the buffer is free again."""
        half = BUFFER_BYTES // 2
        if self.last_window < half <= self.window:
            self._acknowledge_soon()

    def _restart_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.sending.unacknowledged and self.error is None:
            self.timer = self.loop.call_later(self.sending.timeout, self._timed_out)

    def _timed_out(self) -> None:
        self.timer = None
        sequence = self.sending.time_out()
        if sequence is None:
            # The peer may be alive and unreachable in one direction only. Without a
            # reset, its caller would wait for ever.
            self.reset("peer lost")
            return
        self._retransmit(sequence)
        self._restart_timer()

    def _fail(self, reason: str) -> None:
        if self.error is None:
            self.error = FlowError(self.flow, reason)
            if self.on_error is not None:
                self.on_error()
        self.out_of_order.clear()
        self.sending.unacknowledged.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.changed.set()
