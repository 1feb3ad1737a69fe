"""Daemons with nothing but their control plane, for the bench of it.

The two relays run each on a thread of its own and all others on a third, so that a
thread's processor time is that of one role. Streams are real, on loopback.
"""

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

from cornelspan_common.control import Announce
from cornelspan_common.hashing import name_seed, rank
from cornelspan_common.packets import Hello
from cornelspan_common.settings import Address, DaemonSettings, StoreSettings
from cornelspan_common.streams import PROTOCOL, Peer, serve_peers
from cornelspan_control.configuration import Configuration
from cornelspan_control.control_plane import Control, control_plane
from cornelspan_control.members import Members

LOOPBACK = "127.0.0.1"
DATACENTRE = "chuo-hall"
AGENTS_A_SERVICE = 4
DAEMONS_A_BALANCER = 9
FIRST_LIFE = 1_000


class LoopThread:
    """A thread that runs one event loop, and its processor time."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.clock = time.pthread_getcpuclockid(self.thread.ident)

    def submit(self, work: Coroutine[Any, Any, Any]) -> Future:
        """Run a coroutine on the thread's loop."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    async def call(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the thread's loop and wait for its result."""
        return await asyncio.wrap_future(self.submit(work))

    def processor_seconds(self) -> float:
        """Return the thread's processor time so far."""
        return time.clock_gettime(self.clock)

    def stop(self) -> None:
        """End the loop and the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@dataclass
class Daemon:
    """One daemon, and when it put each revision in force."""

    settings: DaemonSettings
    announced: Announce
    configuration: Configuration = field(default_factory=Configuration)
    members: Members = field(default_factory=Members)
    control: Control | None = None
    in_force: dict[int, float] = field(default_factory=dict)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def start(self) -> None:
        """Start listening, following and, on a balancer, relaying."""
        own = self.announced
        hello = Hello(PROTOCOL, own.role, own.name, own.datacentre, own.incarnation)
        self.control = await self.stack.enter_async_context(
            control_plane(
                self.settings,
                self.configuration,
                self.members,
                hello=hello,
                announcement=lambda: self.announced,
                on_new_incarnation=lambda incarnation: None,
                on_configuration=self._note,
                seed=self.settings.listen.port,
            )
        )
        await self.stack.enter_async_context(
            serve_peers(self.settings.listen, hello, self.settings.streams, self._serve)
        )

    async def stop(self) -> None:
        """Stop without a word."""
        await self.stack.aclose()

    async def _serve(self, peer: Peer) -> None:
        await self.control.serve(peer)

    def _note(self) -> None:
        self.in_force[self.configuration.revision] = time.monotonic()

    def stream_bytes(self) -> int:
        """Return the bytes sent and received on the streams open now."""
        plane, relays = self.control.plane, self.control.relay_links
        peers = [each.peer for each in plane.subscribers.values()]
        peers += list(relays.links.open.values())
        return sum(peer.sent_bytes + peer.received_bytes for peer in peers)

    def store_bytes(self) -> int:
        """Return the bytes read from the store."""
        return self.control.plane.store.received_bytes


class ControlFleet:
    """A data centre's daemons; ``threads`` holds two relays' and the others'."""

    def __init__(self, size: int, store: Address, first_port: int) -> None:
        balancers = max(2, size // DAEMONS_A_BALANCER)
        names = [f"entry-{number}" for number in range(balancers)]
        ranked = rank(name_seed(DATACENTRE), [(n, name_seed(n), 1.0) for n in names])
        self.relay_names = ranked[:2]
        agents = [f"agent-{number}" for number in range(size - balancers)]
        ordered = ranked + agents
        seeds = (first_port, first_port + 1)
        self.daemons = [
            _daemon(name, first_port + number, store, seeds)
            for number, name in enumerate(ordered)
        ]
        self.threads = [LoopThread() for _ in range(3)]

    @property
    def relays(self) -> list[Daemon]:
        """The two relays."""
        return self.daemons[:2]

    @property
    def others(self) -> list[Daemon]:
        """All daemons that are no relays."""
        return self.daemons[2:]

    async def start(self) -> None:
        """Start all daemons."""
        for thread, relay in zip(self.threads, self.relays, strict=False):
            await thread.call(relay.start())
        await self.threads[-1].call(_each(Daemon.start, self.others))

    async def stop(self) -> None:
        """Stop all daemons and threads."""
        await self.threads[-1].call(_each(Daemon.stop, self.others))
        for thread, relay in zip(self.threads, self.relays, strict=False):
            await thread.call(relay.stop())
        for thread in self.threads:
            thread.stop()

    def ready(self, revision: int) -> bool:
        """Whether all follow both relays, know the balancers and have a revision."""
        everyone = len(self.daemons)
        known = all(len(each.members.known) == everyone for each in self.relays)
        followed = all(
            len(each.control.relay_links.links.open) == 2 for each in self.others
        )
        informed = all(each.configuration.revision >= revision for each in self.daemons)
        return known and followed and informed


async def _each(
    work: Callable[[Daemon], Awaitable[None]], daemons: list[Daemon]
) -> None:
    """Start or stop daemons one after the other, in their own thread."""
    for daemon in daemons:
        await work(daemon)


def _daemon(name: str, port: int, store: Address, seeds: tuple[int, int]) -> Daemon:
    agent = name.startswith("agent-")
    service = ""
    if agent:
        service = f"service-{int(name.removeprefix('agent-')) // AGENTS_A_SERVICE}"
    settings = DaemonSettings(
        name=name,
        datacentre=DATACENTRE,
        listen=Address(host=LOOPBACK, port=port),
        store=StoreSettings(address=store),
        fabrics=(),
        seeds=tuple(Address(host=LOOPBACK, port=seed) for seed in seeds),
    )
    announced = Announce(
        name=name,
        role="agent" if agent else "balancer",
        datacentre=DATACENTRE,
        incarnation=FIRST_LIFE,
        host=LOOPBACK,
        port=port,
        service=service,
        weight=1.0,
        slots=2 if agent else 0,
        leaving=False,
    )
    return Daemon(settings, announced)
