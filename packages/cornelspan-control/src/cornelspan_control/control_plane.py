"""Configuration and membership of one daemon, run beside its data path.

async with control_plane(settings, configuration, members, ...) as control:
    async with serve_peers(settings.listen, hello, streams, control.serve):
        ...
"""

import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from cornelspan_common.control import Announce, Gone
from cornelspan_common.packets import Hello
from cornelspan_common.settings import DaemonSettings
from cornelspan_common.streams import Peer
from cornelspan_common.tasks import task_group
from cornelspan_control.configuration import Configuration
from cornelspan_control.failure_detection import FailureDetector
from cornelspan_control.members import Members
from cornelspan_control.plane import Callback, Plane
from cornelspan_control.relay_links import RelayLinks
from cornelspan_control.roster import RosterPublisher, read_rosters
from cornelspan_control.store import StoreClient
from cornelspan_control.store_watch import poll_without_relays, watch_store
from cornelspan_control.subscribers import send_heartbeats, serve_subscriber


@dataclass(frozen=True, slots=True)
class Control:
    """The running parts of the control plane in one daemon."""

    plane: Plane
    detector: FailureDetector
    relays: RelayLinks
    publisher: RosterPublisher

    async def serve(self, peer: Peer) -> None:
        """Serve one process that has connected here."""
        await serve_subscriber(self.plane, self.detector, peer)

    def announce(self) -> None:
        """Say anew what this daemon is, after its announcement has changed."""
        self.plane.announce_self()

    def leave(self) -> None:
        """Say that this daemon's life ends now, in order."""
        gone = Gone(self.plane.name, self.plane.incarnation)
        self.plane.send_to_relays(gone)
        self.plane.broadcast(gone)


@asynccontextmanager
async def control_plane(
    settings: DaemonSettings,
    configuration: Configuration,
    members: Members,
    *,
    hello: Hello,
    announcement: Callable[[], Announce],
    on_new_incarnation: Callable[[int], None],
    on_members: Callback = lambda: None,
    on_configuration: Callback = lambda: None,
    tls: ssl.SSLContext | None = None,
    seed: int | None = None,
) -> AsyncIterator[Control]:
    """Keep configuration and members current as long as the context lasts.

    Args:
        settings: The daemon's settings.
        configuration: What is in force; kept current here.
        members: The members known; kept current here.
        hello: What the daemon says of itself on its streams.
        announcement: Returns what the daemon announces of itself now.
        renew: Called with a new incarnation when others took this life for ended.
        on_members: Called after members came or went.
        on_configuration: Called after a newer configuration came in force.
        tls: Client context for streams and store; None for plain ones.
        seed: Seed of jitter, for tests.
    """
    store = StoreClient(settings.store, tls=tls, seed=seed)
    async with task_group() as tasks:
        plane = Plane(
            settings,
            configuration,
            members,
            hello,
            tasks,
            store,
            announcement,
            on_new_incarnation,
            on_members,
            on_configuration,
            tls,
        )
        members.announce(announcement())
        control = _build(plane)
        _start(control)
        yield control
    store.close()


def _build(plane: Plane) -> Control:
    detector = FailureDetector(plane)
    relays = RelayLinks(plane, detector)
    plane.send_to_relays = relays.send
    return Control(plane, detector, relays, RosterPublisher(plane))


def _start(control: Control) -> None:
    """Start the tasks; only balancers have those of relays."""
    plane, tasks = control.plane, control.plane.tasks
    relays = control.relays
    tasks.start(relays.run(), name="follow relays")
    tasks.start(relays.contact_seeds(), name="meet seeds")
    tasks.start(poll_without_relays(plane, lambda: relays.connected), name="fall back")
    tasks.start(read_rosters(plane), name="read members")
    if plane.announcement().role == "balancer":
        tasks.start(watch_store(plane), name="watch store")
        tasks.start(control.detector.run(), name="judge")
        tasks.start(control.publisher.run(), name="publish members")
        tasks.start(send_heartbeats(plane), name="beat to subscribers")
