"""Listening sockets that accept HTTP connections before a server handles them."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

# Connections of one endpoint, of routers and of a few peers at once.
CONNECTION_BACKLOG = 64


@contextmanager
def listening_socket(address: tuple[str, int]) -> Iterator[socket.socket]:
    """Yield a socket that accepts connections until the context ends."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(CONNECTION_BACKLOG)
        yield listener
    finally:
        listener.close()
