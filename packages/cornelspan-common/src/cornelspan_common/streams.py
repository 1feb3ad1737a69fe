"""Streams between processes: frames of msgpack messages over TCP.

A frame is four bytes of length and a msgpack array of messages, so the cost of a write
is shared by all that was sent in one turn of the event loop.

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
    """One end of a stream: what waits to be sent, and what was counted.

    Packets of flows are lossy: beyond ``outgoing_bytes`` they are dropped and counted,
    since a slow peer must cost memory nowhere else, and the ends of a flow repeat what
    was lost. Control messages are never dropped; where even they find no room, the
    stream is closed, and the peer starts again from a snapshot.
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
        """Queue a message; it leaves in this turn of the loop.

        Returns:
            False if it was dropped, because the stream is closed or full.
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
        """Queue a packet of a flow; dropped and counted if the peer is too slow.

        As ``send``, without the checks that cost a balancer more than all the rest: on
        a closed stream the packet is dropped with its frame.
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
        """Whether packets are being dropped for want of room."""
        return self.waiting_bytes > self.settings.outgoing_bytes

    def flush(self) -> None:
        """Write what was queued as one frame."""
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
            # Packets stop at the limit, so the rest is control that a stalled peer
            # never reads. Kept, it would grow without bound; closed, the peer starts
            # again from a snapshot once it reads.
            log.warning("stalled peer closed", extra={"peer": self.name})
            self.stream.close()

    def _written(self, size: int) -> None:
        self.waiting_bytes -= size

    def close(self) -> None:
        """Close the stream; what was queued is written first if it can be at once."""
        self.flush()
        self.stream.close()


async def batches(peer: Peer) -> AsyncIterator[list[AnyMessage]]:
    """Yield the messages of each frame until the stream ends.

    A frame that is too long or no msgpack array ends the stream. A message that is none
    of ours is counted in ``peer.refused`` and left out, without harm to its neighbours.
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
                # Frames that are already here are read without a pause. A fast peer
                # would then keep all other tasks waiting, and what is sent on would
                # count as unwritten and be dropped. A turn for the others after each
                # frame would write as often as it reads, which costs a balancer more
                # than forwarding does.
                unpaused_bytes += len(frame)
                if unpaused_bytes >= TURN_BYTES:
                    unpaused_bytes = 0
                    await asyncio.sleep(0)
            case Err(error):
                peer.refused += 1
                log.warning("stream refused", extra={"peer": peer.name, "why": error})
                peer.stream.close()
                return


def decode_batch(frame: bytes) -> Result[tuple[list[AnyMessage], int], FrameError]:
    """Decode a frame into its messages and the number of those refused."""
    try:
        return Ok((batch_decoder.decode(frame), 0))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _decode_one_by_one(frame)


def _decode_one_by_one(
    frame: bytes,
) -> Result[tuple[list[AnyMessage], int], FrameError]:
    """Decode message by message, so that one bad message costs only itself."""
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
    """Read one frame, whole."""
    try:
        length_field = await peer.stream.read_bytes(LENGTH_BYTES)
        length = int.from_bytes(length_field, "big")
        if length > peer.settings.frame_bytes:
            peer.refused += 1
            peer.stream.close()
            return Err(FrameError(f"{length} bytes are over the limit"))
        peer.received_bytes += LENGTH_BYTES + length
        return Ok(await peer.stream.read_bytes(length))
    except StreamClosedError:
        return Err(StreamError(peer.name, "closed"))


async def _exchange_hellos(peer: Peer, hello: Hello) -> Result[Peer, StreamError]:
    """Exchange hellos; a peer of another protocol is refused."""
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
            return Err(StreamError(peer.name, "no hello of this protocol"))


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
        hello: What this process says of itself.
        settings: Limits and time-outs of the stream.
        tls: Context for mutual TLS; None for a plain stream.
    """
    try:
        # asyncio.timeout and not wait_for: that one can lose a cancellation that comes
        # in the same turn as the connection, and its task then never ends.
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
    """Listens for peers and runs one task for each."""

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
        """Greet the peer, then hand it to the handler until either ends."""
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
    """Listen for peers as long as the context lasts, then close their streams."""
    server = PeerServer(hello, settings, handle, tls=tls)
    server.listen(listen.port, listen.host)
    try:
        yield server
    finally:
        server.stop()
        for peer in list(server.peers):
            peer.close()
