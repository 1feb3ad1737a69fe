"""Opens an agent's sockets; the agent itself also runs with simulated ones."""

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

    The endpoint sends its packets to ``settings.outbound``. Times are of the monotonic
    clock, which the event loop uses too.

    The endpoint reports as soon as it has started, perhaps before this process can
    answer. If the connection were refused, the endpoint would retry as late as 0.8 s
    afterwards. Until then the agent would assume one slot and leave the others unused.
    The listening socket queues the connection instead, and the report waits there for
    its answer.
    """
    clock = time.monotonic
    internal = (settings.address, settings.internal_port)
    with (
        datagram_socket(socket_address(settings.outbound)) as packet_socket,
        datagram_socket(internal) as daemon_socket,
        listening_socket(socket_address(settings.reports)) as listener,
    ):
        agent = Agent(settings, codec, packet_socket, daemon_socket, clock(), listener)
        packet_socket.on_datagram = lambda data, sender: agent.receive_from_endpoint(
            data, clock()
        )
        daemon_socket.on_datagram = lambda data, sender: agent.receive_from_daemon(
            data, sender[0], clock()
        )
        yield agent
