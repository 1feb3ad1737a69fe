"""Streams that this process keeps open to others, each held by one task.

links.want("agent-3", address)
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

MAXIMUM_RECONNECT_SECONDS = 2.0

log = get_log(__name__)
Handler = Callable[[Peer], Awaitable[None]]


class Links:
    """The wanted streams by key, and the open ones by the other process's name.

    ``version`` grows whenever a stream opens or ends, so that what is worked out from
    the open ones can be kept until then.
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
        """Keep a stream open to an address; a changed address replaces the old."""
        known = self.targets.get(key)
        if known is not None:
            if known[0] == address:
                return
            self.drop(key)
        task = self.tasks.start(self._keep_connected(address), name=f"link to {key}")
        self.targets[key] = (address, task)

    def drop(self, key: str) -> None:
        """Close the stream of a key and open it no more."""
        known = self.targets.pop(key, None)
        if known is not None:
            known[1].cancel()

    def keep_only(self, keys: set[str]) -> None:
        """Drop every stream whose key is not among these."""
        for key in set(self.targets) - keys:
            self.drop(key)

    async def _keep_connected(self, address: Address) -> None:
        """Connect, hand the stream to the handler, and begin again when it ends."""
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
                        log.debug("no stream", extra={"why": str(error)})
            # Without jitter all that lost the same process come back at one moment.
            await asyncio.sleep(wait * random.uniform(0.5, 1.5))
            wait = min(MAXIMUM_RECONNECT_SECONDS, 2 * wait)

    async def _run_handler(self, peer: Peer) -> None:
        self.open[peer.name] = peer
        self.version += 1
        try:
            await self.handle(peer)
        finally:
            if self.open.get(peer.name) is peer:
                del self.open[peer.name]
                self.version += 1
