"""Configuration and membership state of one daemon, and how it is forwarded."""

import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cornelspan_common.control import (
    Announce,
    Gone,
    Heartbeat,
    Membership,
    Revision,
    Subscribe,
)
from cornelspan_common.logs import get_log
from cornelspan_common.packets import Hello, Message
from cornelspan_common.service_levels import SealedMinute, ServiceCounts
from cornelspan_common.settings import DaemonSettings
from cornelspan_common.streams import Peer
from cornelspan_common.tasks import Tasks
from cornelspan_control.configuration import Configuration, Delta, Snapshot
from cornelspan_control.members import Members
from cornelspan_control.relay_selection import select_relays
from cornelspan_control.revisions import decode, encode
from cornelspan_control.store import StoreClient

MAX_KEPT_DELTAS = 64

log = get_log(__name__)
Callback = Callable[[], None]


@dataclass
class Subscriber:
    """A process that receives updates from this one, and which updates it wants.

    ``relays`` are the relays of its data centre, which may be in other data centres.
    """

    peer: Peer
    subscription: Subscribe
    datacentre: str
    relays: tuple[str, ...] = ()

    def wants(self, member: Announce) -> bool:
        """Whether the subscription covers a member."""
        if self.subscription.scope and member.datacentre != self.subscription.scope:
            return False
        if not self.subscription.service:
            return True
        if member.role == "balancer":
            return member.datacentre == self.datacentre or member.name in self.relays
        return member.service == self.subscription.service


@dataclass
class Plane:
    """State of the control plane in one daemon.

    Attributes:
        on_new_incarnation: Called with a new incarnation number when other processes
            have removed the current one while this daemon is alive.
        collect_counts: On balancers, takes an agent's service-level counts and the
            agent's data centre; returns up to which minute they are stored.
        on_counts_stored: On agents, called with the minute up to which the relay has
            stored the service-level counts.
        subscribers: Subscriptions by stream, not by name. A process that connects
            again while its first stream is open has two; closing one must not remove
            the subscription of the other.
        last_heard: Monotonic time of the last message from each member; for one that
            has sent nothing to this daemon, when it was first announced here.
        last_heartbeats: The last heartbeat of each member.
        silent_relays: Relays that have sent nothing to this daemon for too long or
            can't be connected, with the monotonic time at which that was found.
        epochs: Newest known epoch of each data centre's primary relay.
        relays_state: Member version and silent relays for which
            ``relays_by_datacentre`` is valid.
        deltas: The newest configuration changes, oldest first, for subscribers that
            are a few revisions behind.
        false_removals: How often this daemon was removed while it was alive.
        stale_removals: Messages with removals ignored because of an older epoch.
    """

    settings: DaemonSettings
    configuration: Configuration
    members: Members
    hello: Hello
    tasks: Tasks
    store: StoreClient
    announcement: Callable[[], Announce]
    on_new_incarnation: Callable[[int], None]
    on_members: Callback
    on_configuration: Callback
    tls: ssl.SSLContext | None = None
    send_to_relays: Callable[[Message], None] = lambda message: None
    collect_counts: Callable[[ServiceCounts, str], SealedMinute] | None = None
    on_counts_stored: Callable[[int], None] = lambda minute: None
    subscribers: dict[Peer, Subscriber] = field(default_factory=dict)
    last_heard: dict[str, float] = field(default_factory=dict)
    last_heartbeats: dict[str, Heartbeat] = field(default_factory=dict)
    silent_relays: dict[str, float] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    relays_by_datacentre: dict[str, list[str]] = field(default_factory=dict)
    relays_state: tuple[int, frozenset[str]] = (-1, frozenset())
    deltas: list[Revision] = field(default_factory=list)
    last_store_read: float = 0.0
    in_force_since: float = 0.0
    started: float = field(default_factory=time.monotonic)
    false_removals: int = 0
    stale_removals: int = 0

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self.settings.name

    @property
    def datacentre(self) -> str:
        """Data centre of this daemon."""
        return self.settings.datacentre

    @property
    def incarnation(self) -> int:
        """The incarnation that this daemon announces."""
        return self.announcement().incarnation

    def relays(self, datacentre: str = "") -> list[str]:
        """Return the relays of a data centre as selected from this daemon's view.

        The result is cached until members or silent relays change, because selection
        iterates over all members and this method is called very often.

        Args:
            datacentre: Name of the data centre; this daemon's own if empty.
        """
        state = (self.members.version, frozenset(self.silent_relays))
        if state != self.relays_state:
            self.relays_state = state
            self.relays_by_datacentre.clear()
        wanted = datacentre or self.datacentre
        if wanted not in self.relays_by_datacentre:
            found = select_relays(self.members, wanted, excluding=self.silent_relays)
            self.relays_by_datacentre[wanted] = found
        return self.relays_by_datacentre[wanted]

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is one of its data centre's relays."""
        return self.name in self.relays()

    def datacentres_as_primary(self) -> list[str]:
        """Return the data centres whose primary relay this daemon is.

        The primary relay runs failure detection and writes the roster to the store.
        Only balancers are relays. A data centre without balancers has its relays in
        other data centres.
        """
        if self.announcement().role != "balancer":
            return []
        known = self.members.datacentres()
        return [each for each in known if self.relays(each)[:1] == [self.name]]

    @property
    def epoch(self) -> int:
        """The newest epoch known of this data centre."""
        return self.epochs.get(self.datacentre, 0)

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat of this daemon."""
        return Heartbeat(
            self.name, self.incarnation, self.configuration.revision, self.epoch
        )

    def subscription(self, scope: str = "") -> Subscribe:
        """Return the subscription that this daemon sends to a relay.

        Args:
            scope: Data centre to receive members of; all if empty.
        """
        own = self.announcement()
        digests = () if own.service else self._digests()
        return Subscribe(
            self.name,
            own.incarnation,
            self.configuration.revision,
            own.service,
            scope,
            digests,
        )

    def _digests(self) -> tuple[tuple[str, int], ...]:
        centres = self.members.datacentres()
        return tuple((each, self.members.digest(each)) for each in centres)

    def put_in_force(self, newer: Snapshot | Delta) -> bool:
        """Put a newer configuration in force and forward it to subscribers.

        Returns:
            False if it is not newer, or if revisions before it are missing.
        """
        before = self.configuration.revision
        if isinstance(newer, Delta):
            applied = self.configuration.advance(newer)
        else:
            applied = self.configuration.apply(newer)
        if not applied:
            return False
        self.in_force_since = time.monotonic()
        log.info("configuration in force", extra={"revision": newer.revision})
        if isinstance(newer, Delta):
            self._keep_delta(encode(newer))
        else:
            self.deltas.clear()
        self._forward_configuration(before)
        self.on_configuration()
        return True

    def _keep_delta(self, delta: Revision) -> None:
        self.deltas.append(delta)
        del self.deltas[:-MAX_KEPT_DELTAS]

    def _forward_configuration(self, before: int) -> None:
        """Send subscribers the newest delta, or a heartbeat.

        If the delta doesn't cover the revision in force before, the heartbeat shows
        subscribers the newer revision and they request what they lack.
        """
        newest = self.deltas[-1] if self.deltas else None
        if newest is None or newest.base > before:
            self.broadcast(self.heartbeat())
        else:
            self.broadcast(newest)

    def is_connected(self, name: str) -> bool:
        """Whether a stream from a process is open here."""
        return any(
            each.subscription.name == name and not each.peer.closed
            for each in self.subscribers.values()
        )

    def broadcast(self, message: Message) -> None:
        """Send a message to each subscriber."""
        for subscriber in self.subscribers.values():
            subscriber.peer.send(message)

    def apply_revision(self, revision: Revision) -> bool:
        """Put a received configuration in force.

        Returns:
            False if revisions before it are missing and have to be requested.
        """
        if revision.revision <= self.configuration.revision:
            return True
        if not revision.whole and revision.base > self.configuration.revision:
            return False
        newer = decode(revision)
        return newer is None or self.put_in_force(newer)

    def updates_since(self, revision: int) -> list[Revision]:
        """Return the deltas that follow a revision, or a snapshot if none do."""
        if revision >= self.configuration.revision:
            return []
        for number, delta in enumerate(self.deltas):
            if delta.base <= revision < delta.revision:
                return self.deltas[number:]
        return [encode(self.configuration.snapshot())]

    def apply_membership(self, update: Membership) -> None:
        """Apply announcements and removals, and forward those that were new.

        Removals under an epoch older than the newest one known are ignored. They come
        from a relay that was paused or cut off and may name members that are alive.
        Announcements are always applied, since incarnations order them.
        """
        known = self.epochs.get(update.datacentre, 0)
        removals = update.gone
        if update.epoch < known:
            self.stale_removals += bool(removals)
            removals = ()
        self.epochs[update.datacentre] = max(known, update.epoch)
        joined = tuple(m for m in update.members if self._record(m))
        removed = tuple(g for g in removals if self._remove(g))
        if joined or removed:
            self.send_membership(update.datacentre, joined, removed)

    def record_announcement(self, member: Announce) -> None:
        """Record a member's own announcement and forward it if it is new."""
        self.last_heard[member.name] = time.monotonic()
        if self._record(member):
            self.send_membership(member.datacentre, (member,), ())

    def remove(self, gone: Gone, datacentre: str) -> None:
        """Remove a member's incarnation and forward the removal if it is new."""
        if self._remove(gone):
            self.send_membership(datacentre, (), (gone,))

    def _record(self, member: Announce) -> bool:
        """Record an announcement; return whether it was new.

        If it is of a newer incarnation of this daemon than the present one, this daemon
        starts an incarnation after it.
        """
        if member.name == self.name and member.incarnation > self.incarnation:
            self._begin_incarnation(member.incarnation + 1)
            return False
        if not self.members.record(member):
            return False
        self.last_heard.setdefault(member.name, time.monotonic())
        self.silent_relays.pop(member.name, None)
        return True

    def _remove(self, gone: Gone) -> bool:
        """Remove an incarnation; return whether it was known.

        If it is the one of this daemon, others have removed it while it is alive. It
        then starts a new incarnation, which all members accept.
        """
        if gone.name == self.name and gone.incarnation >= self.incarnation:
            self.false_removals += 1
            log.warning(
                "declared dead while alive", extra={"incarnation": gone.incarnation}
            )
            self.members.remove(gone.name, gone.incarnation)
            self._begin_incarnation(gone.incarnation + 1)
            return False
        if not self.members.remove(gone.name, gone.incarnation):
            return False
        self.last_heard.pop(gone.name, None)
        self.last_heartbeats.pop(gone.name, None)
        log.info("member removed", extra={"member": gone.name})
        return True

    def _begin_incarnation(self, incarnation: int) -> None:
        """Continue under a new incarnation, which supersedes all older ones."""
        self.on_new_incarnation(incarnation)
        self.hello = msgspec.structs.replace(self.hello, incarnation=incarnation)
        self.announce_self()

    def announce_self(self) -> None:
        """Send this daemon's own announcement to relays and subscribers."""
        own = self.announcement()
        self.send_to_relays(own)
        if self.members.record(own):
            self.send_membership(self.datacentre, (own,), ())

    def send_membership(
        self, datacentre: str, joined: tuple[Announce, ...], removed: tuple[Gone, ...]
    ) -> None:
        """Send announcements and removals to the subscribers that they concern."""
        epoch = self.epochs.get(datacentre, 0)
        for subscriber in self.subscribers.values():
            wanted = tuple(m for m in joined if subscriber.wants(m))
            scope = subscriber.subscription.scope
            removals = removed if scope in ("", datacentre) else ()
            if wanted or removals:
                update = Membership(datacentre, epoch, wanted, removals)
                subscriber.peer.send(update)
        self.on_members()
