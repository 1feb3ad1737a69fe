"""UDP sockets on the event loop."""

import asyncio
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
    """A bound UDP socket. ``dropped`` counts what the kernel would not send.

    Nothing is kept for later: the ends of a flow repeat what was lost.
    """

    def __init__(self, bound: socket.socket) -> None:
        self.socket = bound
        self.dropped = 0

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram, or drop and count it."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.dropped += 1


@contextmanager
def datagram_socket(
    address: tuple[str, int], received: Received
) -> Iterator[DatagramSocket]:
    """Yield a socket whose datagrams go to a function until the context ends."""
    loop = asyncio.get_running_loop()
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        bound.bind(address)
        loop.add_reader(bound.fileno(), _read, bound, received)
        yield DatagramSocket(bound)
    finally:
        loop.remove_reader(bound.fileno())
        bound.close()


def _read(bound: socket.socket, received: Received) -> None:
    """Read what has arrived. A datagram that can't be handled ends nothing else."""
    for _ in range(READ_AT_ONCE):
        try:
            data, sender = bound.recvfrom(DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            log.warning("socket error", extra={"reason": str(error)})
            return
        received(data, sender)
