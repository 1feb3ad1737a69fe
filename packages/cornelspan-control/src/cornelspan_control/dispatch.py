"""What a process of the control plane does with each message of another."""

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
from cornelspan_common.service_levels import Sealed, ServiceCounts
from cornelspan_common.streams import Peer
from cornelspan_control.plane import Plane, Subscriber
from cornelspan_control.status import status_of
from cornelspan_control.suspicion import Judge, witness


def take(plane: Plane, judge: Judge, peer: Peer, message: Message) -> None:
    """Act on one message; what doesn't belong here is counted as refused."""
    match message:
        case Heartbeat():
            _take_heartbeat(plane, peer, message)
        case Announce():
            plane.announce(message)
        case Subscribe():
            _subscribe(plane, peer, message)
        case Membership():
            plane.take_membership(message)
        case Gone():
            plane.remove(message, peer.hello.datacentre)
        case Revision():
            _take_revision(plane, peer, message)
        case RevisionRequest():
            _send_newer(plane, peer, message.revision)
        case Suspect():
            plane.tasks.start(witness(plane, peer, message), name="witness")
        case Verdict():
            judge.answered(message)
        case ServiceCounts() if plane.collect is not None:
            peer.send(plane.collect(message, peer.hello.datacentre))
        case Sealed():
            plane.on_sealed(message.minute)
        case StatusRequest():
            peer.send(status_of(plane))
        case _:
            peer.refused += 1


def _take_heartbeat(plane: Plane, peer: Peer, beat: Heartbeat) -> None:
    """Note that a member lives; the one with the older revision is brought up."""
    if beat.revision > plane.configuration.revision:
        peer.send(RevisionRequest(plane.configuration.revision))
    if peer.hello.datacentre == plane.datacentre:
        plane.epochs[plane.datacentre] = max(plane.epoch, beat.epoch)
    if plane.members.is_alive(beat.name, beat.incarnation):
        plane.heard[beat.name] = time.monotonic()
        plane.reports[beat.name] = beat
        return
    ended = plane.members.gone.get(beat.name, 0)
    if beat.incarnation <= ended:
        # It was taken for dead and lives. Told so, it begins a new life and says so.
        theirs = peer.hello.datacentre
        news = Membership(
            theirs, plane.epochs.get(theirs, 0), (), (Gone(beat.name, ended),)
        )
        peer.send(news)


def _take_revision(plane: Plane, peer: Peer, revision: Revision) -> None:
    if not plane.take_revision(revision):
        peer.send(RevisionRequest(plane.configuration.revision))


def _send_newer(plane: Plane, peer: Peer, revision: int) -> None:
    for message in plane.newer_than(revision):
        peer.send(message)


def _subscribe(plane: Plane, peer: Peer, wants: Subscribe) -> None:
    """Send what a new subscriber lacks, and all news from now on."""
    theirs = peer.hello.datacentre
    subscriber = Subscriber(peer, wants, theirs, tuple(plane.relays(theirs)))
    plane.subscribers[peer] = subscriber
    # A stream that has just come is a sign of life; without this the end of the one
    # before it would have each member probed after its start.
    plane.heard[wants.name] = time.monotonic()
    equal = dict(wants.digests)
    for datacentre in plane.members.datacentres():
        if equal.get(datacentre) == plane.members.digest(datacentre):
            continue
        members = plane.members.of_datacentre(datacentre)
        wanted = tuple(member for member in members if subscriber.wanted(member))
        if wanted:
            epoch = plane.epochs.get(datacentre, 0)
            peer.send(Membership(datacentre, epoch, wanted, ()))
    departed = plane.members.departed()
    if departed:
        peer.send(Membership(theirs, plane.epochs.get(theirs, 0), (), departed))
    _send_newer(plane, peer, wants.revision)
    peer.send(plane.heartbeat())
