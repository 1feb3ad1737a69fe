"""Opens a balancer's sockets; the class ``Balancer`` takes them as arguments."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.datagrams import datagram_socket
from cornelspan_passthrough.packet_headers import PacketCodec
from cornelspan_passthrough.settings import PassthroughBalancerSettings, socket_address


@contextmanager
def open_balancer(
    settings: PassthroughBalancerSettings, codec: PacketCodec
) -> Iterator[Balancer]:
    """Yield a balancer whose sockets are open until the context ends.

    Clients' packets arrive at ``settings.packets``. Times come from the monotonic
    clock, which the event loop uses as well.
    """
    now = time.monotonic
    internal_address = (settings.address, settings.internal_port)
    with (
        datagram_socket(socket_address(settings.packets)) as client_socket,
        datagram_socket(internal_address) as daemon_socket,
    ):
        balancer = Balancer(
            settings, codec, client_socket, daemon_socket, random.Random()
        )
        client_socket.on_datagram = lambda data, sender: balancer.receive_from_client(
            data, now()
        )
        daemon_socket.on_datagram = lambda data, sender: balancer.receive_from_daemon(
            data, sender[0], now()
        )
        yield balancer
