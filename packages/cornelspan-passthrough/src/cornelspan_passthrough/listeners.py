"""Listening TCP sockets that exist before there is an HTTP server for them."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

# The kernel queues this many connections: those of the endpoint that reports, of
# routers that check readiness, and of a few balancers that fetch a configuration.
CONNECTION_BACKLOG = 64


@contextmanager
def listening_socket(address: tuple[str, int]) -> Iterator[socket.socket]:
    """Yield a listening socket that is closed when the context ends.

    The kernel queues connections until a server accepts them.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(CONNECTION_BACKLOG)
        yield listener
    finally:
        listener.close()
