"""Runs the control plane of one daemon: configuration and membership.

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
from cornelspan_control.roster import RosterWriter, read_rosters
from cornelspan_control.store import StoreClient
from cornelspan_control.store_watch import poll_without_relays, watch_store
from cornelspan_control.subscribers import send_heartbeats, serve_process


@dataclass(frozen=True, slots=True)
class Control:
    """The running control plane of one daemon."""

    plane: Plane
    detector: FailureDetector
    relay_links: RelayLinks
    roster_writer: RosterWriter

    async def serve(self, peer: Peer) -> None:
        """Serve one process that has connected to this daemon."""
        await serve_process(self.plane, self.detector, peer)

    def announce(self) -> None:
        """Send this daemon's announcement again, after it has changed."""
        self.plane.announce_self()

    def leave(self) -> None:
        """Announce the graceful shutdown of this daemon."""
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
    """Keep configuration and members up to date within the context.

    Args:
        settings: The daemon's settings.
        configuration: The configuration in force; updated in place.
        members: The known members; updated in place.
        hello: First message of the daemon on each of its streams.
        announcement: Returns the current announcement of the daemon.
        on_new_incarnation: Called with a new incarnation number when others have
            removed the current one while the daemon is alive.
        on_members: Called after members were added, changed or removed.
        on_configuration: Called after a newer configuration was put in force.
        tls: Client context for streams and store; None for plain TCP.
        seed: Seed of the jitter, for tests.
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
        members.record(announcement())
        control = _build(plane)
        _start(control)
        yield control
    store.close()


def _build(plane: Plane) -> Control:
    detector = FailureDetector(plane)
    relay_links = RelayLinks(plane, detector)
    plane.send_to_relays = relay_links.send
    return Control(plane, detector, relay_links, RosterWriter(plane))


def _start(control: Control) -> None:
    """Start the background tasks.

    Only balancers watch the store, detect failures, write rosters and send heartbeats,
    since only balancers can become relays.
    """
    plane, tasks = control.plane, control.plane.tasks
    relay_links = control.relay_links
    tasks.start(relay_links.run(), name="follow relays")
    tasks.start(relay_links.contact_seeds(), name="contact seeds")
    tasks.start(
        poll_without_relays(plane, lambda: relay_links.connected), name="poll store"
    )
    tasks.start(read_rosters(plane), name="read rosters")
    if plane.announcement().role == "balancer":
        tasks.start(watch_store(plane), name="watch store")
        tasks.start(control.detector.run(), name="detect failures")
        tasks.start(control.roster_writer.run(), name="write rosters")
        tasks.start(send_heartbeats(plane), name="send heartbeats")
