"""Opens the sockets of an agent; apart, as the decisions need none."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from cornelspan_passthrough.agent import Agent
from cornelspan_passthrough.datagrams import datagram_socket
from cornelspan_passthrough.listeners import listening_socket
from cornelspan_passthrough.packet_headers import PacketCodec
from cornelspan_passthrough.settings import PassthroughAgentSettings, socket_address


@contextmanager
def open_agent(
    settings: PassthroughAgentSettings, codec: PacketCodec
) -> Iterator[Agent]:
    """Yield an agent whose sockets are open until the context ends.

    Times are those of the steady clock, which is the event loop's as well.

    The endpoint reports as soon as it has started, which may be before this process can
    answer. Its connection refused, it tries again up to 0.8 s later, and until then its
    slots are unknown and some of them unused; taken up by the socket, the report waits
    for its answer.
    """
    now = time.monotonic
    internal = (settings.address, settings.internal_port)
    with (
        datagram_socket(socket_address(settings.outbound)) as packet_socket,
        datagram_socket(internal) as daemon_socket,
        listening_socket(socket_address(settings.reports)) as listener,
    ):
        agent = Agent(settings, codec, packet_socket, daemon_socket, now(), listener)
        packet_socket.on_datagram = lambda data, sender: agent.receive_from_endpoint(
            data, now()
        )
        daemon_socket.on_datagram = lambda data, sender: agent.receive_from_daemon(
            data, sender[0], now()
        )
        yield agent
