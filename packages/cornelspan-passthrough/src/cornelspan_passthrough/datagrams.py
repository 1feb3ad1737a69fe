"""UDP sockets, read from by whoever polls them; see ``readers`` for the event loop."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cornelspan_common.logs import get_log

# Room for about a quarter of a second of packets of 1.2 kB at 100 Mbit/s.
RECEIVE_BYTES = 4 * 1024 * 1024
# More than the largest datagram of the system: a head, 1,200 bytes and our own head.
DATAGRAM_BYTES = 65_536
# Datagrams read in one turn; then timers and other sockets have theirs.
READ_AT_ONCE = 64

Received = Callable[[bytes, tuple[str, int]], None]

log = get_log(__name__)


class DatagramSocket:
    """A bound UDP socket whose datagrams go to ``received``.

    ``dropped`` counts what the kernel would not send. Nothing is kept for later: the
    ends of a flow repeat what was lost.
    """

    def __init__(self, bound: socket.socket) -> None:
        self.socket = bound
        self.received: Received = _unheard
        self.dropped = 0

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram, or drop and count it."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.dropped += 1

    def read(self) -> None:
        """Hand on what has arrived."""
        for _ in range(READ_AT_ONCE):
            try:
                data, sender = self.socket.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("socket error", extra={"reason": str(error)})
                return
            self.received(data, sender)


@contextmanager
def datagram_socket(address: tuple[str, int]) -> Iterator[DatagramSocket]:
    """Yield a socket that is open until the context ends."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        bound.bind(address)
        yield DatagramSocket(bound)
    finally:
        bound.close()


def _unheard(data: bytes, sender: tuple[str, int]) -> None:
    """Take a datagram that comes before there is anybody to hear it."""
