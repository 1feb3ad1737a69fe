"""The member's side: streams to its relays, announcing, and beating."""

import asyncio
import time

from result import Err, Ok

from cornelspan_common.control import Heartbeat
from cornelspan_common.links import Links
from cornelspan_common.logs import get_log
from cornelspan_common.packets import Message
from cornelspan_common.settings import Address
from cornelspan_common.streams import Peer, batches, open_peer
from cornelspan_control.dispatch import take
from cornelspan_control.plane import Plane
from cornelspan_control.suspicion import Judge

SILENT_KEPT_SECONDS = 60.0
MEET_SECONDS = 2.0
MEET_AGAIN_SECONDS = 30.0
BEAT_JITTER = 0.1

log = get_log(__name__)


class RelayLinks:
    """The relays that one daemon follows, and when it last heard from each."""

    def __init__(self, plane: Plane, judge: Judge) -> None:
        self.plane = plane
        self.judge = judge
        self.links = Links(
            plane.hello,
            plane.settings.streams,
            plane.tasks,
            self.follow,
            tls=plane.tls,
        )
        self.scopes: dict[str, str] = {}
        self.heard: dict[str, float] = {}
        self.met: float = 0.0

    @property
    def connected(self) -> bool:
        """Whether a stream to some relay is open."""
        return bool(self.links.open)

    async def follow(self, peer: Peer) -> None:
        """Announce to one relay, subscribe, and take what it sends."""
        self.greet(peer)
        async for batch in batches(peer):
            self.heard[peer.name] = time.monotonic()
            for message in batch:
                take(self.plane, self.judge, peer, message)

    def greet(self, peer: Peer) -> None:
        """Say who we are and what we want to hear."""
        plane = self.plane
        self.heard[peer.name] = time.monotonic()
        plane.silent.pop(peer.name, None)
        peer.send(plane.announcement())
        peer.send(plane.subscription(self.scopes.get(peer.name, "")))
        peer.send(plane.heartbeat())

    def tell(self, message: Message) -> None:
        """Send a message to the relays that are followed."""
        self.links.hello = self.plane.hello
        for peer in self.links.open.values():
            peer.send(message)

    async def run(self) -> None:
        """Follow the relays of the moment and beat to them, as long as we run."""
        control = self.plane.settings.control
        random = self.plane.store.random
        pause = min(control.heartbeat_seconds, control.lost_seconds)
        turn = time.monotonic()
        beat = turn
        while True:
            now = time.monotonic()
            if now - turn > 2 * pause:
                self._forgive()
            turn = now
            self.choose()
            if now >= beat:
                self.tell(self.plane.heartbeat())
                jitter = random.uniform(1 - BEAT_JITTER, 1 + BEAT_JITTER)
                beat = now + control.heartbeat_seconds * jitter
            await asyncio.sleep(pause)

    def choose(self) -> None:
        """Want streams to the relays as elected from here, and to no others."""
        now = time.monotonic()
        self._drop_silent(now)
        wanted = self._wanted()
        for name, scope in wanted.items():
            member = self.plane.members.known[name]
            self._rescope(name, scope)
            self.heard.setdefault(name, now)
            self.links.want(name, Address(host=member.host, port=member.port))
        for name in set(self.heard) - set(wanted):
            del self.heard[name]
            self.scopes.pop(name, None)
        self.links.keep_only(set(wanted))

    def _rescope(self, name: str, scope: str) -> None:
        """Subscribe anew where an open stream has to carry something else."""
        before = self.scopes.get(name)
        self.scopes[name] = scope
        peer = self.links.get(name)
        if peer is not None and before not in (None, scope):
            peer.send(self.plane.subscription(scope))

    def _wanted(self) -> dict[str, str]:
        """Return the relays to follow, each with the data centre it is heard for.

        Relays also follow those of the other data centres; one that is followed for
        everything already needs no narrower subscription.
        """
        plane = self.plane
        wanted = dict.fromkeys(plane.relays(), "")
        if plane.is_relay:
            for datacentre in plane.members.datacentres():
                for name in plane.relays(datacentre):
                    wanted.setdefault(name, datacentre)
        wanted.pop(plane.name, None)
        return wanted

    def _forgive(self) -> None:
        """Give every relay its whole time again after a pause of this process.

        What they said meanwhile waits in the streams unread; without this the pause
        would be taken for their silence, and all relays dropped for a minute.
        """
        now = time.monotonic()
        for name in self.heard:
            self.heard[name] = now

    def _drop_silent(self, now: float) -> None:
        """Note relays that say nothing, and try them again after a while."""
        silent = self.plane.silent
        for name, heard in self.heard.items():
            if now - heard > self._patience(name) and name not in silent:
                silent[name] = now
                log.warning("relay is silent", extra={"relay": name})
        for name in [n for n, at in silent.items() if now - at > SILENT_KEPT_SECONDS]:
            del silent[name]
            self.heard.pop(name, None)

    def _patience(self, name: str) -> float:
        settings = self.plane.settings
        if self.links.get(name) is not None:
            return settings.control.relay_silent_seconds
        return 2 * settings.streams.connect_seconds + settings.control.lost_seconds

    async def meet(self) -> None:
        """Ask seeds who is there, as long as no relay is followed.

        A balancer that believes it is alone asks again now and then, or two that
        started apart would never learn of each other.
        """
        plane = self.plane
        pause = plane.settings.streams.reconnect_seconds
        while True:
            rested = time.monotonic() - self.met > MEET_AGAIN_SECONDS
            if not self.connected and (rested or not plane.is_relay):
                await self.meet_one()
                self.choose()
            await asyncio.sleep(pause * plane.store.random.uniform(0.5, 1.5))
            pause = min(MEET_SECONDS, 2 * pause)

    async def meet_one(self) -> None:
        """Exchange members and configuration with the first seed that answers."""
        plane = self.plane
        listen = plane.settings.listen
        seeds = [seed for seed in plane.settings.seeds if seed != listen]
        plane.store.random.shuffle(seeds)
        for seed in seeds:
            async with open_peer(
                seed, plane.hello, plane.settings.streams, tls=plane.tls
            ) as opened:
                match opened:
                    case Ok(peer):
                        self.met = time.monotonic()
                        await self._exchange(peer)
                        return
                    case Err(error):
                        log.debug("no seed", extra={"why": str(error)})

    async def _exchange(self, peer: Peer) -> None:
        plane = self.plane
        self.greet(peer)
        try:
            async with asyncio.timeout(MEET_SECONDS):
                async for batch in batches(peer):
                    for message in batch:
                        take(plane, self.judge, peer, message)
                    if any(isinstance(message, Heartbeat) for message in batch):
                        return
        except TimeoutError:
            log.info("seed gave no members", extra={"seed": peer.name})
