"""UDP sockets, independent of what polls them; see ``readers`` for the event loop."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cornelspan_common.logs import get_log

# Holds about a quarter of a second of 1.2 kB packets at 100 Mbit/s.
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
# More than the largest datagram: the packet's header, 1,200 bytes of data and the
# message header.
MAX_DATAGRAM_BYTES = 65_536
# Limit of datagrams read in one turn. The rest is read in the next turn, after due
# timers have run and other sockets have been read.
MAX_READS_PER_TURN = 64

DatagramHandler = Callable[[bytes, tuple[str, int]], None]

log = get_log(__name__)


class DatagramSocket:
    """A bound UDP socket that passes its datagrams to ``on_datagram``.

    ``dropped`` counts datagrams that the kernel did not accept. They are not queued,
    because the ends of a flow retransmit lost packets.
    """

    def __init__(self, bound: socket.socket) -> None:
        self.socket = bound
        self.on_datagram: DatagramHandler = _discard
        self.dropped = 0

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or drop and count it."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.dropped += 1

    def read(self) -> None:
        """Pass up to ``MAX_READS_PER_TURN`` received datagrams to ``on_datagram``."""
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("datagram receive failed", extra={"reason": str(error)})
                return
            self.on_datagram(data, sender)


@contextmanager
def datagram_socket(address: tuple[str, int]) -> Iterator[DatagramSocket]:
    """Yield a socket that is open until the context ends."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        bound.bind(address)
        yield DatagramSocket(bound)
    finally:
        bound.close()


def _discard(data: bytes, sender: tuple[str, int]) -> None:
    """Discard a datagram that arrives before a handler is set."""
