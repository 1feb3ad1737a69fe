"""Stand-in for the users' fabric: terminates callers' TCP and sprays packets.

Real TCP packets can't be sprayed over plain processes, so this process ends a caller's
connection and sends its bytes as packets of a flow, each by way of a balancer chosen at
random. It drops, repeats and delays packets in both directions by seeded rates. Agents
answer straight to it, past the balancers (direct server return).
"""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from cornelspan_common.channel import Channel
from cornelspan_common.hashing import flow_key
from cornelspan_common.logs import get_log
from cornelspan_common.packets import Hello, Leaving, Packet
from cornelspan_common.pump import pump
from cornelspan_common.settings import Address, Checked, Name, StreamSettings
from cornelspan_common.streams import PROTOCOL, Peer, batches, serve_peers
from cornelspan_common.tasks import task_group

LINGER_SECONDS = 3.0
KEEP_ALIVE_SECONDS = 1.0
REORDER_SECONDS = 0.002

log = get_log(__name__)
Rate = Annotated[float, Meta(ge=0, le=0.5)]
Carry = Callable[[Packet], None]
CallerHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class FabricSettings(Checked, frozen=True, kw_only=True):
    """Where the fabric listens, and what it does to packets."""

    name: Name
    listen: Address
    addresses: tuple[Address, ...]
    loss: Rate = 0.0
    duplicate: Rate = 0.0
    reorder: Rate = 0.0
    seed: int = 1
    streams: StreamSettings = StreamSettings()


@dataclass
class FabricCounts:
    """What the fabric has seen of flows and packets."""

    opened: int = 0
    finished: int = 0
    refused: int = 0
    broken: int = 0
    sprayed: int = 0
    unsprayed: int = 0
    lost: int = 0
    repeated: int = 0
    late: int = 0


class Fabric:
    """Balancers that packets are sprayed over, and the flows of callers."""

    def __init__(self, settings: FabricSettings) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.loop = asyncio.get_running_loop()
        self.balancers: list[Peer] = []
        self.flows: dict[int, Channel] = {}
        self.counts = FabricCounts()
        self.connections: set[asyncio.Task] = set()

    def spray(self, packet: Packet) -> None:
        """Send a caller's packet by way of a balancer chosen at random."""
        if not self.balancers:
            self.counts.unsprayed += 1
            return
        self._impair(self._spray_now, packet)

    def deliver(self, packet: Packet) -> None:
        """Take an agent's packet to the caller's end of its flow."""
        self._impair(self._deliver_now, packet)

    def _spray_now(self, packet: Packet) -> None:
        if self.balancers:
            self.counts.sprayed += 1
            self.random.choice(self.balancers).send(packet)

    def _deliver_now(self, packet: Packet) -> None:
        channel = self.flows.get(packet.flow)
        if channel is not None:
            channel.receive(packet)

    def _impair(self, carry: Carry, packet: Packet) -> None:
        """Carry a packet as a network with the set rates would."""
        copies = 1
        if self.random.random() < self.settings.duplicate:
            self.counts.repeated += 1
            copies = 2
        for _ in range(copies):
            if self.random.random() < self.settings.loss:
                self.counts.lost += 1
            elif self.random.random() < self.settings.reorder:
                self.counts.late += 1
                delay = self.random.uniform(0, REORDER_SECONDS)
                self.loop.call_later(delay, carry, packet)
            else:
                carry(packet)

    async def handle_peer(self, peer: Peer) -> None:
        """Serve one stream of a balancer or an agent until it ends."""
        spraying = peer.hello is not None and peer.hello.role == "balancer"
        if spraying:
            self.balancers.append(peer)
        try:
            async for batch in batches(peer):
                for message in batch:
                    self._take(peer, message)
        finally:
            self._spray_no_more(peer)

    def _take(self, peer: Peer, message: object) -> None:
        match message:
            case Packet():
                self.deliver(message)
            case Leaving():
                self._spray_no_more(peer)
            case _:
                peer.refused += 1

    def _spray_no_more(self, peer: Peer) -> None:
        if peer in self.balancers:
            self.balancers.remove(peer)

    async def serve_caller(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry one caller's connection as a flow."""
        self.counts.opened += 1
        host, port = writer.get_extra_info("peername")[:2]
        name = self.settings.name
        start = f"{host}:{port}>{address}@{name}#{self.counts.opened}"
        channel = Channel(flow_key(start), address, name, self.spray, caller=host)
        self.flows[channel.flow] = channel
        try:
            await self._carry(channel, reader, writer)
        finally:
            # The peer may repeat its last packets if our answers were lost, so the
            # channel stays for a while to answer them.
            self.loop.call_later(LINGER_SECONDS, self._forget, channel)

    async def _carry(
        self,
        channel: Channel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        opened = await channel.open()
        if opened.is_err():
            self.counts.refused += 1
            log.info("open refused: %s", opened.unwrap_err())
            writer.transport.abort()
            return
        await pump(channel, reader, writer)
        if channel.error is None:
            self.counts.finished += 1
        elif "stream broke" not in channel.error.reason:
            self.counts.broken += 1
            log.warning("flow broken", extra={"why": str(channel.error)})

    async def keep_alive(self) -> None:
        """Send an acknowledgement on silent flows.

        The owner of a flow may have died while the caller waits for its answer. Who
        gets the packet instead does not know the flow and resets it; without it the
        caller would wait for ever.
        """
        while True:
            await asyncio.sleep(KEEP_ALIVE_SECONDS)
            oldest = self.loop.time() - KEEP_ALIVE_SECONDS
            for channel in list(self.flows.values()):
                if channel.accepted and channel.last_received < oldest:
                    channel.acknowledge()

    def _forget(self, channel: Channel) -> None:
        channel.stop()
        self.flows.pop(channel.flow, None)

    def listen_for(self, address: Address) -> CallerHandler:
        """Return the connection handler of one address."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            self.connections.add(task)
            try:
                await self.serve_caller(str(address), reader, writer)
            finally:
                self.connections.discard(task)

        return handle


@asynccontextmanager
async def fabric(settings: FabricSettings) -> AsyncIterator[Fabric]:
    """Run a fabric as long as the context lasts.

    Args:
        settings: Addresses, rates and seed.
    """
    state = Fabric(settings)
    hello = Hello(PROTOCOL, "fabric", settings.name, "", 1)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            serve_peers(settings.listen, hello, settings.streams, state.handle_peer)
        )
        tasks = await stack.enter_async_context(task_group())
        tasks.start(state.keep_alive(), name="keep alive")
        for address in settings.addresses:
            server = await asyncio.start_server(
                state.listen_for(address), address.host, address.port
            )
            stack.callback(server.close)
        try:
            yield state
        finally:
            for channel in list(state.flows.values()):
                channel.stop()
            if state.connections:
                await asyncio.wait(state.connections, timeout=LINGER_SECONDS)
