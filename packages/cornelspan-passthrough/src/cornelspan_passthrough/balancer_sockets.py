"""Opens the sockets of a balancer; apart, as the decisions need none."""

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

    Times are those of the steady clock, which is the event loop's as well.
    """
    now = time.monotonic
    internal = (settings.address, settings.internal_port)
    with (
        datagram_socket(socket_address(settings.packets)) as clients,
        datagram_socket(internal) as daemons,
    ):
        balancer = Balancer(settings, codec, clients, daemons, random.Random())
        clients.on_datagram = lambda data, sender: balancer.from_client(data, now())
        daemons.on_datagram = lambda data, sender: balancer.from_daemon(
            data, sender[0], now()
        )
        yield balancer
