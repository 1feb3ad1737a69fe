"""Daemons that run only a control plane, for its tests."""

import contextlib
import itertools
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from cornelspan_common.control import Announce
from cornelspan_common.packets import Hello
from cornelspan_common.settings import (
    Address,
    ControlSettings,
    DaemonSettings,
    StoreSettings,
    StreamSettings,
)
from cornelspan_common.streams import PROTOCOL, serve_peers
from cornelspan_control.configuration import Configuration
from cornelspan_control.control_plane import Control, control_plane
from cornelspan_control.members import Members

SHORT_TIMES = ControlSettings(
    heartbeat_seconds=0.1,
    relay_heartbeats=2,
    lost_seconds=0.1,
    watch_seconds=0.4,
    fallback_seconds=0.5,
    publish_seconds=0.1,
)
STREAMS = StreamSettings(connect_seconds=0.4, reconnect_seconds=0.05)
incarnations = itertools.count(time.time_ns() // 1_000_000)


@dataclass
class Node:
    """One daemon with its configuration and members."""

    settings: DaemonSettings
    role: str
    service: str
    hello: Hello
    configuration: Configuration = field(default_factory=Configuration)
    members: Members = field(default_factory=Members)
    leaving: bool = False
    control: Control | None = None
    server: object = None

    def announcement(self) -> Announce:
        listen = self.settings.listen
        return Announce(
            self.settings.name,
            self.role,
            self.settings.datacentre,
            self.hello.incarnation,
            listen.host,
            listen.port,
            self.service,
            1.0,
            2 if self.service else 0,
            self.leaving,
        )

    def set_incarnation(self, incarnation: int) -> None:
        self.hello = msgspec.structs.replace(self.hello, incarnation=incarnation)
        self.server.hello = self.hello

    async def serve(self, peer) -> None:
        await self.control.serve(peer)


@asynccontextmanager
async def run_node(
    name: str,
    port: int,
    store: Address,
    seeds: list[int],
    *,
    datacentre: str = "chuo-hall",
    service: str = "",
    control: ControlSettings = SHORT_TIMES,
    calls_per_second: float = 1000.0,
) -> AsyncIterator[Node]:
    """Run a balancer, or the agent of a service, within the context."""
    host = store.host
    settings = DaemonSettings(
        name=name,
        datacentre=datacentre,
        listen=Address(host=host, port=port),
        store=StoreSettings(
            address=store, call_seconds=0.3, calls_per_second=calls_per_second
        ),
        fabrics=(),
        seeds=tuple(Address(host=host, port=seed) for seed in seeds),
        streams=STREAMS,
        control=control,
    )
    role = "agent" if service else "balancer"
    hello = Hello(PROTOCOL, role, name, datacentre, next(incarnations))
    node = Node(settings, role, service, hello)
    async with contextlib.AsyncExitStack() as stack:
        node.server = await stack.enter_async_context(
            serve_peers(settings.listen, hello, STREAMS, node.serve)
        )
        node.control = await stack.enter_async_context(
            control_plane(
                settings,
                node.configuration,
                node.members,
                hello=hello,
                announcement=node.announcement,
                on_new_incarnation=node.set_incarnation,
                seed=port,
            )
        )
        yield node


class Fleet:
    """Nodes by name, each with the context that stops it."""

    def __init__(self, store: Address, base_port: int, seeds: int = 2) -> None:
        self.store = store
        self.ports = itertools.count(base_port)
        self.seeds = [base_port + number for number in range(seeds)]
        self.nodes: dict[str, Node] = {}
        self.contexts: dict[str, contextlib.AsyncExitStack] = {}

    async def start(self, name: str, **options) -> Node:
        """Start a daemon."""
        stack = contextlib.AsyncExitStack()
        port = options.pop("port", None) or next(self.ports)
        running = run_node(name, port, self.store, self.seeds, **options)
        node = await stack.enter_async_context(running)
        self.nodes[name] = node
        self.contexts[name] = stack
        return node

    async def kill(self, name: str) -> None:
        """Stop a daemon without announcing it, as a crash does."""
        del self.nodes[name]
        await self.contexts.pop(name).aclose()

    async def stop(self) -> None:
        """Stop all daemons."""
        for name in list(self.nodes):
            await self.kill(name)

    def revisions(self) -> set[int]:
        """Return the distinct revisions in force."""
        return {node.configuration.revision for node in self.nodes.values()}
