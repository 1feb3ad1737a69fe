"""Reads datagram sockets on the event loop."""

import asyncio
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from cornelspan_passthrough.datagrams import DatagramSocket


@contextmanager
def reading_sockets(sockets: Sequence[DatagramSocket]) -> Iterator[None]:
    """Read the sockets whenever datagrams arrive, until the context ends."""
    loop = asyncio.get_running_loop()
    for each in sockets:
        loop.add_reader(each.socket.fileno(), each.read)
    try:
        yield
    finally:
        for each in sockets:
            loop.remove_reader(each.socket.fileno())
