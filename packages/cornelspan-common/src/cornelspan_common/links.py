"""Streams that this process keeps open to others, with one task for each.

links.keep_open("agent-3", address)
if peer := links.get("agent-3"):
    peer.send(message)
"""

import asyncio
import random
import ssl
from collections.abc import Awaitable, Callable

from result import Err, Ok

from cornelspan_common.logs import get_log
from cornelspan_common.packets import Hello
from cornelspan_common.settings import Address, StreamSettings
from cornelspan_common.streams import Peer, open_peer
from cornelspan_common.tasks import Tasks

MAX_RECONNECT_SECONDS = 2.0

log = get_log(__name__)
Handler = Callable[[Peer], Awaitable[None]]


class Links:
    """Streams to other processes that are opened again whenever they end.

    Attributes:
        targets: Address and task of each stream to keep open, by the caller's key.
        open: The streams that are open now, by the other process's name.
        version: Incremented whenever a stream opens or ends, so that values computed
            from ``open`` can be cached until it changes.
    """

    def __init__(
        self,
        hello: Hello,
        settings: StreamSettings,
        tasks: Tasks,
        handle: Handler,
        *,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.hello = hello
        self.settings = settings
        self.tasks = tasks
        self.handle = handle
        self.tls = tls
        self.targets: dict[str, tuple[Address, asyncio.Task]] = {}
        self.open: dict[str, Peer] = {}
        self.version = 0

    def get(self, name: str) -> Peer | None:
        """Return the open stream to a process, if there is one."""
        return self.open.get(name)

    def keep_open(self, key: str, address: Address) -> None:
        """Keep a stream to an address open, until ``drop``.

        A stream is opened now and again whenever it ends. If the address of a key has
        changed, the stream to the old one is closed.

        Args:
            key: The caller's key of the stream, for ``drop`` and ``keep_only``.
            address: Where the other process listens.
        """
        known = self.targets.get(key)
        if known is not None:
            if known[0] == address:
                return
            self.drop(key)
        task = self.tasks.start(self._keep_connected(address), name=f"link to {key}")
        self.targets[key] = (address, task)

    def drop(self, key: str) -> None:
        """Close the stream of a key and don't open it again."""
        known = self.targets.pop(key, None)
        if known is not None:
            known[1].cancel()

    def keep_only(self, keys: set[str]) -> None:
        """Drop every stream whose key is not among these."""
        for key in set(self.targets) - keys:
            self.drop(key)

    async def _keep_connected(self, address: Address) -> None:
        """Connect and run the handler; start again, with a backoff, when it ends."""
        wait = self.settings.reconnect_seconds
        while True:
            async with open_peer(
                address, self.hello, self.settings, tls=self.tls
            ) as opened:
                match opened:
                    case Ok(peer):
                        wait = self.settings.reconnect_seconds
                        await self._run_handler(peer)
                    case Err(error):
                        log.debug("stream not opened", extra={"why": str(error)})
            # Without jitter all processes that lost the same peer would reconnect to it
            # at the same moment.
            await asyncio.sleep(wait * random.uniform(0.5, 1.5))
            wait = min(MAX_RECONNECT_SECONDS, 2 * wait)

    async def _run_handler(self, peer: Peer) -> None:
        self.open[peer.name] = peer
        self.version += 1
        try:
            await self.handle(peer)
        finally:
            if self.open.get(peer.name) is peer:
                del self.open[peer.name]
                self.version += 1
