"""The relay's side: serving the processes that connect here."""

import asyncio

from cornelspan_common.streams import Peer, batches
from cornelspan_control.dispatch import handle_message
from cornelspan_control.failure_detection import FailureDetector
from cornelspan_control.plane import Plane


async def serve_subscriber(plane: Plane, detector: FailureDetector, peer: Peer) -> None:
    """Hear one process out until its stream ends.

    The end of a stream is a hint that the process died; the judge looks at it soon.
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
    """Tell subscribers now and then that this relay lives, and its revision.

    A subscriber that missed a change sees the higher revision and asks for it.
    """
    control = plane.settings.control
    interval = control.heartbeat_seconds * control.relay_heartbeats
    while True:
        await asyncio.sleep(interval * plane.store.random.uniform(0.9, 1.1))
        plane.broadcast(plane.heartbeat())
