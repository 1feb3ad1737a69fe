"""What one daemon holds of configuration and membership, and how it passes them on."""

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
from cornelspan_common.service_levels import Sealed, ServiceCounts
from cornelspan_common.settings import DaemonSettings
from cornelspan_common.streams import Peer
from cornelspan_common.tasks import Tasks
from cornelspan_control.configuration import Configuration, Delta, Snapshot
from cornelspan_control.election import elect
from cornelspan_control.members import Members
from cornelspan_control.revisions import decode, encode
from cornelspan_control.store import StoreClient

KEPT_DELTAS = 64

log = get_log(__name__)
Listener = Callable[[], None]


@dataclass
class Subscriber:
    """A process that hears from this one, and what it wants to hear."""

    peer: Peer
    wants: Subscribe
    datacentre: str
    relays: tuple[str, ...] = ()

    def wanted(self, member: Announce) -> bool:
        """Whether the subscriber wants to know of a member."""
        if self.wants.scope and member.datacentre != self.wants.scope:
            return False
        if not self.wants.service:
            return True
        if member.role == "balancer":
            return member.datacentre == self.datacentre or member.name in self.relays
        return member.service == self.wants.service


@dataclass
class Plane:
    """State of the control plane in one daemon.

    ``heard`` holds when a member of this data centre last spoke to this process, and
    ``silent`` the relays that can't be heard from here, with when that was found.
    ``subscribers`` are held by stream: a process that meets this one anew while its
    first stream still lives has two, and the end of one must not silence the other.
    ``epochs`` holds the newest epoch known of each data centre's primary relay.
    ``renew`` gives the daemon a new life when others take the present one for ended.
    A relay's ``collect`` takes agents' service-level counts, with their data centre; an
    agent's ``on_sealed`` hears up to which minute they are in the store.
    """

    settings: DaemonSettings
    configuration: Configuration
    members: Members
    hello: Hello
    tasks: Tasks
    store: StoreClient
    announcement: Callable[[], Announce]
    renew: Callable[[int], None]
    on_members: Listener
    on_configuration: Listener
    tls: ssl.SSLContext | None = None
    tell_relays: Callable[[Message], None] = lambda message: None
    collect: Callable[[ServiceCounts, str], Sealed] | None = None
    on_sealed: Callable[[int], None] = lambda minute: None
    subscribers: dict[Peer, Subscriber] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)
    reports: dict[str, Heartbeat] = field(default_factory=dict)
    silent: dict[str, float] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    elected: dict[str, list[str]] = field(default_factory=dict)
    elected_at: tuple[int, frozenset[str]] = (-1, frozenset())
    deltas: list[Revision] = field(default_factory=list)
    store_heard: float = 0.0
    in_force_since: float = 0.0
    started: float = field(default_factory=time.monotonic)
    wrongly_gone: int = 0
    refused_epochs: int = 0

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
        """The life that this daemon announces."""
        return self.announcement().incarnation

    def relays(self, datacentre: str = "") -> list[str]:
        """Return the relays of a data centre, this one's by default, seen from here.

        The ranking is kept until members or silent relays change, since it is asked
        for at every turn and looks at each member.
        """
        state = (self.members.version, frozenset(self.silent))
        if state != self.elected_at:
            self.elected_at = state
            self.elected.clear()
        wanted = datacentre or self.datacentre
        if wanted not in self.elected:
            found = elect(self.members, wanted, without=self.silent)
            self.elected[wanted] = found
        return self.elected[wanted]

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is one of its data centre's relays."""
        return self.name in self.relays()

    def offices(self) -> list[str]:
        """Return the data centres whose primary relay this daemon is.

        The primary judges and writes to the store. One without balancers of its own
        has a primary elsewhere.
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
        """Return what this daemon says of itself at each beat."""
        return Heartbeat(
            self.name, self.incarnation, self.configuration.revision, self.epoch
        )

    def subscription(self, scope: str = "") -> Subscribe:
        """Return what this daemon wants to hear from a relay."""
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
        """Put a newer configuration in force and pass it on.

        Returns:
            False if it is not newer, or leaves a gap.
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
            self._keep(encode(newer))
        else:
            self.deltas.clear()
        self._pass_on(before)
        self.on_configuration()
        return True

    def _keep(self, delta: Revision) -> None:
        self.deltas.append(delta)
        del self.deltas[:-KEPT_DELTAS]

    def _pass_on(self, before: int) -> None:
        """Send subscribers the newest delta, or a beat that has them ask."""
        newest = self.deltas[-1] if self.deltas else None
        if newest is None or newest.base > before:
            self.tell_all(self.heartbeat())
        else:
            self.tell_all(newest)

    def is_connected(self, name: str) -> bool:
        """Whether a stream from a process is open here."""
        return any(
            each.wants.name == name and not each.peer.closed
            for each in self.subscribers.values()
        )

    def tell_all(self, message: Message) -> None:
        """Send a message to each subscriber."""
        for subscriber in self.subscribers.values():
            subscriber.peer.send(message)

    def take_revision(self, revision: Revision) -> bool:
        """Put a received configuration in force.

        Returns:
            False if it leaves a gap, so that the sender has to be asked for the whole.
        """
        if revision.revision <= self.configuration.revision:
            return True
        if not revision.whole and revision.base > self.configuration.revision:
            return False
        newer = decode(revision)
        return newer is None or self.put_in_force(newer)

    def newer_than(self, revision: int) -> list[Revision]:
        """Return what brings a process from a revision to the one in force here."""
        if revision >= self.configuration.revision:
            return []
        for number, delta in enumerate(self.deltas):
            if delta.base <= revision < delta.revision:
                return self.deltas[number:]
        return [encode(self.configuration.snapshot())]

    def take_membership(self, news: Membership) -> None:
        """Take in members that came or went, and pass on what was new.

        News of a departure under an older epoch than known comes from a relay that was
        paused or cut off: its judgement is of a time that has passed, and would take
        living members away. Announcements are safe, since incarnations order them.
        """
        known = self.epochs.get(news.datacentre, 0)
        departed = news.gone
        if news.epoch < known:
            self.refused_epochs += bool(departed)
            departed = ()
        self.epochs[news.datacentre] = max(known, news.epoch)
        came = tuple(m for m in news.members if self._announce(m))
        went = tuple(g for g in departed if self._remove(g))
        if came or went:
            self.publish(news.datacentre, came, went)

    def announce(self, member: Announce) -> None:
        """Take in what a member says of itself, and pass it on if it is new."""
        self.heard[member.name] = time.monotonic()
        if self._announce(member):
            self.publish(member.datacentre, (member,), ())

    def remove(self, gone: Gone, datacentre: str) -> None:
        """Take a member's life for ended, and pass it on if it is new."""
        if self._remove(gone):
            self.publish(datacentre, (), (gone,))

    def _announce(self, member: Announce) -> bool:
        """Take in an announcement; one of another life of ours is outdone by ours."""
        if member.name == self.name and member.incarnation > self.incarnation:
            self._begin_life(member.incarnation + 1)
            return False
        if not self.members.announce(member):
            return False
        self.heard.setdefault(member.name, time.monotonic())
        self.silent.pop(member.name, None)
        return True

    def _remove(self, gone: Gone) -> bool:
        """Forget a life. Ours, if we live, begins a new one that all will believe."""
        if gone.name == self.name and gone.incarnation >= self.incarnation:
            self.wrongly_gone += 1
            log.warning("taken for dead", extra={"incarnation": gone.incarnation})
            self.members.remove(gone.name, gone.incarnation)
            self._begin_life(gone.incarnation + 1)
            return False
        if not self.members.remove(gone.name, gone.incarnation):
            return False
        self.heard.pop(gone.name, None)
        self.reports.pop(gone.name, None)
        log.info("member gone", extra={"member": gone.name})
        return True

    def _begin_life(self, incarnation: int) -> None:
        """Go on under a new incarnation, which outdoes what is said of the old one."""
        self.renew(incarnation)
        self.hello = msgspec.structs.replace(self.hello, incarnation=incarnation)
        self.announce_self()

    def announce_self(self) -> None:
        """Make this daemon's own announcement known to relays and subscribers."""
        own = self.announcement()
        self.tell_relays(own)
        if self.members.announce(own):
            self.publish(self.datacentre, (own,), ())

    def publish(
        self, datacentre: str, came: tuple[Announce, ...], went: tuple[Gone, ...]
    ) -> None:
        """Send news of members to the subscribers that want them."""
        epoch = self.epochs.get(datacentre, 0)
        for subscriber in self.subscribers.values():
            wanted = tuple(m for m in came if subscriber.wanted(m))
            scope = subscriber.wants.scope
            departed = went if scope in ("", datacentre) else ()
            if wanted or departed:
                news = Membership(datacentre, epoch, wanted, departed)
                subscriber.peer.send(news)
        self.on_members()
