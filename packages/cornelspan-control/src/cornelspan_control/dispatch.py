"""Handles the messages of the control plane."""

import time

from cornelspan_common.control import (
    Announce,
    Gone,
    Heartbeat,
    Membership,
    Revision,
    RevisionRequest,
    StatusRequest,
    Subscribe,
    Suspect,
    Verdict,
)
from cornelspan_common.packets import Message
from cornelspan_common.service_levels import SealedMinute, ServiceCounts
from cornelspan_common.streams import Peer
from cornelspan_control.failure_detection import FailureDetector, handle_suspect
from cornelspan_control.plane import Plane, Subscriber
from cornelspan_control.status import status_of


def handle_message(
    plane: Plane, detector: FailureDetector, peer: Peer, message: Message
) -> None:
    """Handle one message.

    A message that this daemon doesn't handle is ignored and counted in
    ``peer.refused``, for example service-level counts on a daemon that doesn't collect
    them.
    """
    match message:
        case Heartbeat():
            _handle_heartbeat(plane, peer, message)
        case Announce():
            plane.record_announcement(message)
        case Subscribe():
            _handle_subscribe(plane, peer, message)
        case Membership():
            plane.apply_membership(message)
        case Gone():
            plane.remove(message, peer.hello.datacentre)
        case Revision():
            _handle_revision(plane, peer, message)
        case RevisionRequest():
            _send_newer(plane, peer, message.revision)
        case Suspect():
            plane.tasks.start(
                handle_suspect(plane, peer, message), name="answer suspect"
            )
        case Verdict():
            detector.receive_verdict(message)
        case ServiceCounts() if plane.collect_counts is not None:
            peer.send(plane.collect_counts(message, peer.hello.datacentre))
        case SealedMinute():
            plane.on_counts_stored(message.minute)
        case StatusRequest():
            peer.send(status_of(plane))
        case _:
            peer.refused += 1


def _handle_heartbeat(plane: Plane, peer: Peer, heartbeat: Heartbeat) -> None:
    """Record that a member is alive, and request its configuration if it is newer."""
    if heartbeat.revision > plane.configuration.revision:
        peer.send(RevisionRequest(plane.configuration.revision))
    if peer.hello.datacentre == plane.datacentre:
        plane.epochs[plane.datacentre] = max(plane.epoch, heartbeat.epoch)
    if plane.members.is_alive(heartbeat.name, heartbeat.incarnation):
        plane.last_heard[heartbeat.name] = time.monotonic()
        plane.last_heartbeats[heartbeat.name] = heartbeat
        return
    removed_incarnation = plane.members.tombstones.get(heartbeat.name, 0)
    if heartbeat.incarnation <= removed_incarnation:
        # The sender was removed but is alive. Told so, it starts a new incarnation and
        # announces it.
        sender_datacentre = peer.hello.datacentre
        update = Membership(
            sender_datacentre,
            plane.epochs.get(sender_datacentre, 0),
            (),
            (Gone(heartbeat.name, removed_incarnation),),
        )
        peer.send(update)


def _handle_revision(plane: Plane, peer: Peer, revision: Revision) -> None:
    if not plane.apply_revision(revision):
        peer.send(RevisionRequest(plane.configuration.revision))


def _send_newer(plane: Plane, peer: Peer, revision: int) -> None:
    for message in plane.updates_since(revision):
        peer.send(message)


def _handle_subscribe(plane: Plane, peer: Peer, subscription: Subscribe) -> None:
    """Register a subscriber and send it the members and configuration it lacks."""
    sender_datacentre = peer.hello.datacentre
    subscriber = Subscriber(
        peer, subscription, sender_datacentre, tuple(plane.relays(sender_datacentre))
    )
    plane.subscribers[peer] = subscriber
    # The new stream shows that the member is alive. Otherwise the end of its previous
    # stream would cause a probe of every member that has just connected.
    plane.last_heard[subscription.name] = time.monotonic()
    digests = dict(subscription.digests)
    for datacentre in plane.members.datacentres():
        if digests.get(datacentre) == plane.members.digest(datacentre):
            continue
        members = plane.members.of_datacentre(datacentre)
        wanted = tuple(member for member in members if subscriber.wants(member))
        if wanted:
            epoch = plane.epochs.get(datacentre, 0)
            peer.send(Membership(datacentre, epoch, wanted, ()))
    removals = plane.members.recent_removals()
    if removals:
        peer.send(
            Membership(
                sender_datacentre, plane.epochs.get(sender_datacentre, 0), (), removals
            )
        )
    _send_newer(plane, peer, subscription.revision)
    peer.send(plane.heartbeat())
