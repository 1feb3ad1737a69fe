"""Streams from a member to its relays: subscription, announcements, heartbeats."""

import asyncio
import time

from result import Err, Ok

from cornelspan_common.control import Heartbeat
from cornelspan_common.links import Links
from cornelspan_common.logs import get_log
from cornelspan_common.packets import Message
from cornelspan_common.settings import Address
from cornelspan_common.streams import Peer, batches, open_peer
from cornelspan_control.dispatch import handle_message
from cornelspan_control.failure_detection import FailureDetector
from cornelspan_control.plane import Plane

SILENT_RETRY_SECONDS = 60.0
SEED_EXCHANGE_SECONDS = 2.0
SEED_RETRY_SECONDS = 30.0
HEARTBEAT_JITTER = 0.1

log = get_log(__name__)


class RelayLinks:
    """Streams to the relays that one daemon follows.

    Attributes:
        scopes: Data centre that each followed relay is subscribed to for; "" is all.
        last_heard: Monotonic time of the last message from each followed relay.
        last_exchange: Monotonic time at which a seed last accepted a stream.
    """

    def __init__(self, plane: Plane, detector: FailureDetector) -> None:
        self.plane = plane
        self.detector = detector
        self.links = Links(
            plane.hello,
            plane.settings.streams,
            plane.tasks,
            self.follow,
            tls=plane.tls,
        )
        self.scopes: dict[str, str] = {}
        self.last_heard: dict[str, float] = {}
        self.last_exchange: float = 0.0

    @property
    def connected(self) -> bool:
        """Whether a stream to some relay is open."""
        return bool(self.links.open)

    async def follow(self, peer: Peer) -> None:
        """Subscribe to one relay and handle its messages until the stream ends."""
        self.subscribe(peer)
        async for batch in batches(peer):
            self.last_heard[peer.name] = time.monotonic()
            for message in batch:
                handle_message(self.plane, self.detector, peer, message)

    def subscribe(self, peer: Peer) -> None:
        """Send this daemon's announcement, subscription and heartbeat."""
        plane = self.plane
        self.last_heard[peer.name] = time.monotonic()
        plane.silent_relays.pop(peer.name, None)
        peer.send(plane.announcement())
        peer.send(plane.subscription(self.scopes.get(peer.name, "")))
        peer.send(plane.heartbeat())

    def send(self, message: Message) -> None:
        """Send a message to all relays with an open stream."""
        self.links.hello = self.plane.hello
        for peer in self.links.open.values():
            peer.send(message)

    async def run(self) -> None:
        """Follow the current relays and send them heartbeats until cancelled."""
        control = self.plane.settings.control
        random = self.plane.store.random
        interval = min(control.heartbeat_seconds, control.lost_seconds)
        last_iteration = time.monotonic()
        next_heartbeat = last_iteration
        while True:
            now = time.monotonic()
            if now - last_iteration > 2 * interval:
                self._reset_timeouts()
            last_iteration = now
            self.update_links()
            if now >= next_heartbeat:
                self.send(self.plane.heartbeat())
                jitter = random.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
                next_heartbeat = now + control.heartbeat_seconds * jitter
            await asyncio.sleep(interval)

    def update_links(self) -> None:
        """Open streams to the relays selected now and close all others."""
        now = time.monotonic()
        self._mark_silent(now)
        wanted = self._wanted_relays()
        for name, scope in wanted.items():
            member = self.plane.members.known[name]
            self._update_scope(name, scope)
            self.last_heard.setdefault(name, now)
            self.links.keep_open(name, Address(host=member.host, port=member.port))
        for name in set(self.last_heard) - set(wanted):
            del self.last_heard[name]
            self.scopes.pop(name, None)
        self.links.keep_only(set(wanted))

    def _update_scope(self, name: str, scope: str) -> None:
        """Set a relay's scope; subscribe again if its open stream has another one."""
        before = self.scopes.get(name)
        self.scopes[name] = scope
        peer = self.links.get(name)
        if peer is not None and before not in (None, scope):
            peer.send(self.plane.subscription(scope))

    def _wanted_relays(self) -> dict[str, str]:
        """Return the relays to follow, each with the scope of the subscription.

        A daemon follows the relays of its own data centre for all members. Relays also
        follow the relays of the other data centres, for the members there.
        """
        plane = self.plane
        wanted = dict.fromkeys(plane.relays(), "")
        if plane.is_relay:
            for datacentre in plane.members.datacentres():
                for name in plane.relays(datacentre):
                    wanted.setdefault(name, datacentre)
        wanted.pop(plane.name, None)
        return wanted

    def _reset_timeouts(self) -> None:
        """Restart the timeout of every relay after a pause of this process.

        Messages that arrived during the pause are still unread. Without the restart all
        relays would be considered silent and dropped for a minute.
        """
        now = time.monotonic()
        for name in self.last_heard:
            self.last_heard[name] = now

    def _mark_silent(self, now: float) -> None:
        """Mark relays that have timed out as silent; they are then not selected.

        A relay has timed out if its stream delivered nothing, or if no stream to it
        could be opened in time. The mark expires after ``SILENT_RETRY_SECONDS``, and
        the relay gets a new timeout.
        """
        silent = self.plane.silent_relays
        for name, last_heard in self.last_heard.items():
            if now - last_heard > self._silence_timeout(name) and name not in silent:
                silent[name] = now
                log.warning("relay is silent", extra={"relay": name})
        for name in [n for n, at in silent.items() if now - at > SILENT_RETRY_SECONDS]:
            del silent[name]
            self.last_heard.pop(name, None)

    def _silence_timeout(self, name: str) -> float:
        """Return after how many seconds without a message a relay is silent.

        Without an open stream this is the time for two attempts to connect, plus the
        time that a member is given after its stream has ended.
        """
        settings = self.plane.settings
        if self.links.get(name) is not None:
            return settings.control.relay_silent_seconds
        return 2 * settings.streams.connect_seconds + settings.control.lost_seconds

    async def contact_seeds(self) -> None:
        """Fetch members from the seeds while no stream to a relay is open.

        A balancer that knows no other one is its own relay. It contacts the seeds again
        periodically, otherwise two that started apart would never find each other.
        """
        plane = self.plane
        interval = plane.settings.streams.reconnect_seconds
        while True:
            retry_due = time.monotonic() - self.last_exchange > SEED_RETRY_SECONDS
            if not self.connected and (retry_due or not plane.is_relay):
                await self.contact_one_seed()
                self.update_links()
            await asyncio.sleep(interval * plane.store.random.uniform(0.5, 1.5))
            interval = min(SEED_EXCHANGE_SECONDS, 2 * interval)

    async def contact_one_seed(self) -> None:
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
                        self.last_exchange = time.monotonic()
                        await self._exchange(peer)
                        return
                    case Err(error):
                        log.debug(
                            "could not open stream to seed", extra={"why": str(error)}
                        )

    async def _exchange(self, peer: Peer) -> None:
        plane = self.plane
        self.subscribe(peer)
        try:
            async with asyncio.timeout(SEED_EXCHANGE_SECONDS):
                async for batch in batches(peer):
                    for message in batch:
                        handle_message(plane, self.detector, peer, message)
                    if any(isinstance(message, Heartbeat) for message in batch):
                        return
        except TimeoutError:
            log.info("seed did not answer in time", extra={"seed": peer.name})
