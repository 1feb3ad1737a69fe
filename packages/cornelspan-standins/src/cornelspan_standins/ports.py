"""Blocks of free loopback ports, below those that the system hands out."""

import contextlib
import socket
from collections.abc import Iterator

FIRST_PORT = 24_000
LAST_PORT = 32_000
BLOCK = 400
LOOPBACK = "127.0.0.1"


@contextlib.contextmanager
def port_block() -> Iterator[int]:
    """Yield the first of ``BLOCK`` ports that nobody else takes meanwhile.

    The block's last port is held as a lock, so that runs side by side on one machine
    never share a block. Without it they failed now and then with an address in use.
    """
    for base in range(FIRST_PORT, LAST_PORT, BLOCK):
        with contextlib.closing(socket.socket()) as lock:
            try:
                lock.bind((LOOPBACK, base + BLOCK - 1))
            except OSError:
                continue
            yield base
            return
    raise OSError(f"no free block of ports from {FIRST_PORT} to {LAST_PORT}")
