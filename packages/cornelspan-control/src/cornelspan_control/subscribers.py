"""The relay's side: serving the processes that connect here."""

import asyncio

from cornelspan_common.streams import Peer, batches
from cornelspan_control.dispatch import take
from cornelspan_control.plane import Plane
from cornelspan_control.suspicion import Judge


async def serve_subscriber(plane: Plane, judge: Judge, peer: Peer) -> None:
    """Hear one process out until its stream ends.

    The end of a stream is a hint that the process died; the judge looks at it soon.
    """
    try:
        async for batch in batches(peer):
            for message in batch:
                take(plane, judge, peer, message)
    finally:
        known = plane.subscribers.pop(peer, None)
        if known is not None and not plane.is_connected(peer.name):
            judge.hurry(peer.name)


async def beat_to_subscribers(plane: Plane) -> None:
    """Tell subscribers now and then that this relay lives, and its revision.

    A subscriber that missed a change sees the higher revision and asks for it.
    """
    control = plane.settings.control
    pause = control.heartbeat_seconds * control.relay_heartbeats
    while True:
        await asyncio.sleep(pause * plane.store.random.uniform(0.9, 1.1))
        plane.tell_all(plane.heartbeat())
