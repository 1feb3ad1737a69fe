"""Streams between processes: frames of msgpack messages over TCP.

A frame is a length of four bytes and a msgpack array of messages. All messages sent in
one iteration of the event loop share a frame, and so the cost of one write.

    async with open_peer(address, hello, settings) as opened:
        match opened:
            case Ok(peer):
                peer.send(Heartbeat(...))
                async for message in messages(peer):
                    ...
"""

import asyncio
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from cornelspan_common.errors import FrameError, StreamError
from cornelspan_common.logs import get_log
from cornelspan_common.messages import AnyMessage
from cornelspan_common.packets import Hello, Message, Packet, Routed
from cornelspan_common.settings import Address, StreamSettings
from cornelspan_common.tls import reason_of

PROTOCOL = 1
LENGTH_BYTES = 4
BATCH_MESSAGES = 512
TURN_BYTES = 262_144
LOSSY_MESSAGES = (Packet, Routed)

log = get_log(__name__)
encoder = msgspec.msgpack.Encoder()
batch_decoder = msgspec.msgpack.Decoder(list[AnyMessage])
raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
message_decoder = msgspec.msgpack.Decoder(AnyMessage)


class Peer:
    """One end of a stream, with its send buffer and counters.

    Packets of flows may be dropped: beyond ``outgoing_bytes`` they are dropped and
    counted, so that a slow peer can't use up memory, and the ends of the flow
    retransmit them. Control messages are never dropped. If more than twice that limit
    waits, the stream is closed, and the peer starts again from a snapshot.

    Attributes:
        hello: The peer's hello; None before it has arrived.
        own_name: Name of this process.
        waiting_bytes: Bytes of frames not yet written to the socket.
        sent: Messages sent.
        received: Messages received.
        sent_bytes: Bytes sent, frame headers included.
        received_bytes: Bytes received, frame headers included.
        dropped: Packets dropped because the peer is too slow.
        refused: Invalid messages and frames received.
    """

    def __init__(self, stream: IOStream, settings: StreamSettings) -> None:
        self.stream = stream
        self.settings = settings
        self.hello: Hello | None = None
        self.own_name = ""
        self.outgoing: list[Message] = []
        self.outgoing_limit = settings.outgoing_bytes
        self.waiting_bytes = 0
        self.flushing = False
        self.sent = 0
        self.received = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.refused = 0
        self.loop = asyncio.get_running_loop()

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self.stream.closed()

    @property
    def name(self) -> str:
        """The other process's name, "" before its hello."""
        return self.hello.name if self.hello else ""

    def send(self, message: Message) -> bool:
        """Queue a message; it is written in this iteration of the event loop.

        Returns:
            False if it was dropped, because the stream is closed or its buffer full.
        """
        if self.stream.closed():
            return False
        if len(self.outgoing) >= BATCH_MESSAGES:
            self.flush()
        if isinstance(message, LOSSY_MESSAGES) and self.full:
            self.dropped += 1
            return False
        self.outgoing.append(message)
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)
        return True

    def send_packet(self, message: Packet | Routed) -> None:
        """Queue a packet of a flow; it is dropped and counted if the peer is too slow.

        Like ``send``, but without checking for a closed stream, which would cost a
        balancer more than the rest of the call. On a closed stream the packet is
        dropped with its frame.
        """
        if self.waiting_bytes > self.outgoing_limit:
            self.dropped += 1
            return
        self.outgoing.append(message)
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)
        elif len(self.outgoing) >= BATCH_MESSAGES:
            self.flush()

    @property
    def full(self) -> bool:
        """Whether packets are being dropped because too many bytes wait."""
        return self.waiting_bytes > self.settings.outgoing_bytes

    def flush(self) -> None:
        """Write the queued messages as one frame."""
        self.flushing = False
        if not self.outgoing or self.stream.closed():
            self.outgoing.clear()
            return
        body = encoder.encode(self.outgoing)
        self.sent += len(self.outgoing)
        self.outgoing.clear()
        frame = len(body).to_bytes(LENGTH_BYTES, "big") + body
        self.waiting_bytes += len(frame)
        self.sent_bytes += len(frame)
        written = self.stream.write(frame)
        written.add_done_callback(lambda _: self._written(len(frame)))
        if self.waiting_bytes > 2 * self.settings.outgoing_bytes:
            # Packets are dropped at the limit, so the excess is control messages that a
            # stalled peer doesn't read. They would grow without bound. After the close
            # the peer starts again from a snapshot.
            log.warning("stalled peer closed", extra={"peer": self.name})
            self.stream.close()

    def _written(self, size: int) -> None:
        self.waiting_bytes -= size

    def close(self) -> None:
        """Close the stream; queued messages are first written if that doesn't block."""
        self.flush()
        self.stream.close()


async def batches(peer: Peer) -> AsyncIterator[list[AnyMessage]]:
    """Yield the messages of each frame until the stream ends.

    A frame that is too long or not a msgpack array ends the stream. An unknown or
    invalid message is counted in ``peer.refused`` and skipped; the others of its frame
    are kept.
    """
    unpaused_bytes = 0
    while True:
        match await _read_frame(peer):
            case Ok(frame):
                messages = decode_batch(frame)
            case Err(error):
                log.debug("stream ended", extra={"peer": peer.name, "why": str(error)})
                return
        match messages:
            case Ok((batch, refused)):
                peer.received += len(batch)
                peer.refused += refused
                yield batch
                # Buffered frames are read without yielding to the event loop. With a
                # fast peer no other task would run, and forwarded packets would count
                # as unwritten and be dropped. Yielding after every frame would cause a
                # write for each read, which costs a balancer more than forwarding.
                unpaused_bytes += len(frame)
                if unpaused_bytes >= TURN_BYTES:
                    unpaused_bytes = 0
                    await asyncio.sleep(0)
            case Err(error):
                peer.refused += 1
                log.warning(
                    "invalid frame received", extra={"peer": peer.name, "why": error}
                )
                peer.stream.close()
                return


def decode_batch(frame: bytes) -> Result[tuple[list[AnyMessage], int], FrameError]:
    """Decode a frame into its valid messages and the number of invalid ones."""
    try:
        return Ok((batch_decoder.decode(frame), 0))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _decode_one_by_one(frame)


def _decode_one_by_one(
    frame: bytes,
) -> Result[tuple[list[AnyMessage], int], FrameError]:
    """Decode message by message, so that only the invalid ones are lost."""
    try:
        parts = raw_decoder.decode(frame)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(FrameError(str(error)))
    good: list[AnyMessage] = []
    for part in parts:
        try:
            good.append(message_decoder.decode(part))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            continue
    return Ok((good, len(parts) - len(good)))


async def _read_frame(peer: Peer) -> Result[bytes, StreamError | FrameError]:
    """Read one complete frame."""
    try:
        length_field = await peer.stream.read_bytes(LENGTH_BYTES)
        length = int.from_bytes(length_field, "big")
        if length > peer.settings.frame_bytes:
            peer.refused += 1
            peer.stream.close()
            return Err(FrameError(f"{length} bytes exceed the limit"))
        peer.received_bytes += LENGTH_BYTES + length
        return Ok(await peer.stream.read_bytes(length))
    except StreamClosedError:
        return Err(StreamError(peer.name, "closed"))


async def _exchange_hellos(peer: Peer, hello: Hello) -> Result[Peer, StreamError]:
    """Exchange hellos; a peer with another protocol version is refused."""
    peer.own_name = hello.name
    peer.send(hello)
    peer.flush()
    match await _read_frame(peer):
        case Err(error):
            return Err(StreamError(peer.name, str(error)))
        case Ok(frame):
            decoded = decode_batch(frame)
    match decoded:
        case Ok(([Hello() as remote], 0)) if remote.protocol == hello.protocol:
            peer.hello = remote
            return Ok(peer)
        case _:
            peer.close()
            return Err(StreamError(peer.name, "no hello with this protocol version"))


@asynccontextmanager
async def open_peer(
    address: Address,
    hello: Hello,
    settings: StreamSettings,
    *,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[Result[Peer, StreamError]]:
    """Connect to another process and exchange hellos.

    Args:
        address: Where the other process listens.
        hello: First message to the other process, which identifies this one.
        settings: Limits and timeouts of the stream.
        tls: Context for mutual TLS; None for a plain stream.

    Yields:
        The peer, or ``StreamError`` if the connection fails or no valid hello arrives
        in time. The stream is closed when the context ends.
    """
    try:
        # asyncio.timeout, because wait_for can lose a cancellation that comes in the
        # same loop iteration as the connection, and its task would then never end.
        async with asyncio.timeout(settings.connect_seconds):
            stream = await TCPClient().connect(
                address.host, address.port, ssl_options=tls
            )
    except (OSError, StreamClosedError, TimeoutError) as error:
        yield Err(StreamError(str(address), reason_of(error)))
        return
    stream.set_nodelay(True)
    peer = Peer(stream, settings)
    try:
        yield await _exchange_hellos_in_time(peer, hello)
    finally:
        peer.close()


async def _exchange_hellos_in_time(
    peer: Peer, hello: Hello
) -> Result[Peer, StreamError]:
    try:
        async with asyncio.timeout(peer.settings.connect_seconds):
            return await _exchange_hellos(peer, hello)
    except TimeoutError:
        return Err(StreamError(peer.name, "no hello in time"))


Handler = Callable[[Peer], Awaitable[None]]


class PeerServer(TCPServer):
    """Accepts peers and runs a handler for each of them."""

    def __init__(
        self,
        hello: Hello,
        settings: StreamSettings,
        handle: Handler,
        *,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(ssl_options=tls)
        self.hello = hello
        self.settings = settings
        self.handle = handle
        self.peers: set[Peer] = set()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Exchange hellos, then run the handler until it returns."""
        stream.set_nodelay(True)
        peer = Peer(stream, self.settings)
        match await _exchange_hellos_in_time(peer, self.hello):
            case Err(error):
                log.info("peer refused", extra={"why": str(error)})
                stream.close()
                return
        self.peers.add(peer)
        try:
            await self.handle(peer)
        finally:
            self.peers.discard(peer)
            peer.close()


@asynccontextmanager
async def serve_peers(
    listen: Address,
    hello: Hello,
    settings: StreamSettings,
    handle: Handler,
    *,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[PeerServer]:
    """Accept peers while the context is open, then close their streams.

    Args:
        listen: The address to listen at.
        hello: First message to each peer, which identifies this process.
        settings: Limits and timeouts of the streams.
        handle: Runs for each peer after the hellos; its stream is closed afterwards.
        tls: Context for mutual TLS; None for plain streams.
    """
    server = PeerServer(hello, settings, handle, tls=tls)
    server.listen(listen.port, listen.host)
    try:
        yield server
    finally:
        server.stop()
        for peer in list(server.peers):
            peer.close()
