"""Serves the processes that connect to this daemon."""

import asyncio

from cornelspan_common.streams import Peer, batches
from cornelspan_control.dispatch import handle_message
from cornelspan_control.failure_detection import FailureDetector
from cornelspan_control.plane import Plane


async def serve_subscriber(plane: Plane, detector: FailureDetector, peer: Peer) -> None:
    """Handle the messages of one process until its stream ends.

    The process may have died, so the failure detector then checks it soon.
    """
    try:
        async for batch in batches(peer):
            for message in batch:
                handle_message(plane, detector, peer, message)
    finally:
        subscriber = plane.subscribers.pop(peer, None)
        if subscriber is not None and not plane.is_connected(peer.name):
            detector.check_soon(peer.name)


async def send_heartbeats(plane: Plane) -> None:
    """Send heartbeats with the revision in force to all subscribers.

    A subscriber that missed a change sees the higher revision and requests it.
    """
    control = plane.settings.control
    interval = control.heartbeat_seconds * control.relay_heartbeats
    while True:
        await asyncio.sleep(interval * plane.store.random.uniform(0.9, 1.1))
        plane.broadcast(plane.heartbeat())
