"""The flows that this agent owns, from OPEN until their channels are removed.

A channel is this agent's end of one flow.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cornelspan_common.channel import Channel, Transmit
from cornelspan_common.logs import get_log
from cornelspan_common.packets import Packet
from cornelspan_common.tasks import Tasks

LINGER_SECONDS = 3.0
IDLE_CHECK_SECONDS = 5.0

log = get_log(__name__)
Serve = Callable[[Channel], Awaitable[None]]


@dataclass
class FlowCounts:
    """Counts of flows by outcome; ``reset`` includes the ``idle`` ones."""

    opened: int = 0
    finished: int = 0
    reset: int = 0
    idle: int = 0
    rejected: int = 0


class Flows:
    """Channels of the owned flows, and of flows that ended recently.

    ``agent_name`` is sent to the fabric when a flow is accepted; ``transmit`` sends a
    packet to the fabric that it names. ``serve`` connects one flow to the backend
    server and returns when the flow is over. ``on_opened`` is called with the channel
    of each new flow, ``on_removed`` with the id of an ended flow when its channel is
    removed.
    """

    def __init__(
        self, agent_name: str, tasks: Tasks, transmit: Transmit, serve: Serve
    ) -> None:
        self.agent_name = agent_name
        self.tasks = tasks
        self.transmit = transmit
        self.serve = serve
        self.owned: dict[int, Channel] = {}
        self.ended: dict[int, Channel] = {}
        self.counts = FlowCounts()
        self.on_opened: Callable[[Channel], None] = lambda channel: None
        self.on_removed: Callable[[int], None] = lambda flow: None
        self.loop = asyncio.get_running_loop()

    def find(self, flow: int) -> Channel | None:
        """Return a flow's channel, until ``LINGER_SECONDS`` after the flow's end."""
        return self.owned.get(flow) or self.ended.get(flow)

    def open(self, packet: Packet) -> None:
        """Create the channel of a new flow, accept the flow and start to serve it."""
        channel = Channel(
            packet.flow,
            packet.address,
            packet.fabric,
            self.transmit,
            caller=packet.body.decode(errors="replace"),
        )
        self.owned[packet.flow] = channel
        self.counts.opened += 1
        self.on_opened(channel)
        channel.accept(self.agent_name)
        self.tasks.start(self._run(channel), name=f"flow {packet.flow:016x}")

    async def _run(self, channel: Channel) -> None:
        try:
            await self.serve(channel)
            await channel.wait_finished(LINGER_SECONDS)
        finally:
            self._end(channel)

    def _end(self, channel: Channel) -> None:
        """Keep the channel to repeat the last packet if the fabric lost it."""
        if channel.error is None:
            self.counts.finished += 1
        else:
            self.counts.reset += 1
        del self.owned[channel.flow]
        self.ended[channel.flow] = channel
        self.loop.call_later(LINGER_SECONDS, self._remove, channel)

    def _remove(self, channel: Channel) -> None:
        channel.stop()
        self.ended.pop(channel.flow, None)
        self.on_removed(channel.flow)

    async def reset_idle_flows(self, idle_seconds: Callable[[], float]) -> None:
        """Reset flows that have received no data for ``idle_seconds()``."""
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            oldest = self.loop.time() - idle_seconds()
            for channel in list(self.owned.values()):
                if channel.last_data < oldest:
                    self.counts.idle += 1
                    channel.reset("idle")
