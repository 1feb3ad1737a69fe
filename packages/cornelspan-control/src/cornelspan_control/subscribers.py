"""Serves the processes that connect to this daemon."""

import asyncio

from cornelspan_common.streams import Peer, batches
from cornelspan_control.dispatch import handle_message
from cornelspan_control.failure_detection import FailureDetector
from cornelspan_control.plane import Plane


async def serve_process(plane: Plane, detector: FailureDetector, peer: Peer) -> None:
    """Handle the messages of one process until its stream ends.

    If it had subscribed and has no other stream here, it may have died. The failure
    detector then checks it after ``lost_seconds``.
    """
    try:
        async for batch in batches(peer):
            for message in batch:
                handle_message(plane, detector, peer, message)
    finally:
        subscriber = plane.subscribers.pop(peer, None)
        if subscriber is not None and not plane.is_connected(peer.name):
            detector.note_stream_ended(peer.name)


async def send_heartbeats(plane: Plane) -> None:
    """Send heartbeats with the revision in force to all subscribers.

    A subscriber that missed a change sees the higher revision and requests it.
    """
    control = plane.settings.control
    interval = control.heartbeat_seconds * control.relay_heartbeats
    while True:
        await asyncio.sleep(interval * plane.store.random.uniform(0.9, 1.1))
        plane.broadcast(plane.heartbeat())
