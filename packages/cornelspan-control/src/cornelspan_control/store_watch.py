"""Reads accepted changes from the store.

Relays watch the store; other daemons poll it only while they have no relay.
"""

import asyncio
import time
from collections.abc import Callable

from result import Err, Ok

from cornelspan_common.logs import get_log
from cornelspan_control.configuration_reader import read_newer
from cornelspan_control.plane import Plane
from cornelspan_control.records import HEAD_NAME

STALE_READ_ATTEMPTS = 5
STALE_RETRY_SECONDS = 0.1
BACKOFF_SECONDS = 1.0
BACKOFF_LIMIT_SECONDS = 10.0
RELAY_CHECK_SECONDS = 0.5
INITIAL_POLL_SECONDS = 4.0

log = get_log(__name__)


async def watch_store(plane: Plane) -> None:
    """Watch the head while this daemon is a relay, and put newer revisions in force.

    The head is read after each watch, even if the watch reported no change: a watch may
    miss an event, and the change is then found when that watch times out. Each
    successful read resets the backoff.
    """
    store_version = 0
    failures = 0
    while True:
        if not plane.is_relay:
            await asyncio.sleep(RELAY_CHECK_SECONDS)
            continue
        if not await refresh_configuration(plane):
            failures += 1
            await asyncio.sleep(_backoff(plane, failures))
            continue
        failures = 0
        seconds = plane.settings.control.watch_seconds
        match await plane.store.watch(HEAD_NAME, after=store_version, seconds=seconds):
            case Ok(result):
                store_version = result.version
                if result.changed:
                    await _refresh_after_event(plane)
            case Err(error):
                failures += 1
                log.info("store watch failed", extra={"why": str(error)})
                await asyncio.sleep(_backoff(plane, failures))


async def _refresh_after_event(plane: Plane) -> None:
    """Read until a newer configuration is in force; the first reads may be stale."""
    before = plane.configuration.revision
    for _ in range(STALE_READ_ATTEMPTS):
        await refresh_configuration(plane)
        if plane.configuration.revision > before:
            return
        await asyncio.sleep(STALE_RETRY_SECONDS)


async def refresh_configuration(plane: Plane) -> bool:
    """Read the configuration from the store and put it in force if it is newer.

    Returns:
        Whether the read succeeded.
    """
    match await read_newer(plane.store, plane.configuration.revision):
        case Ok(newer):
            plane.last_store_read = time.monotonic()
            if newer is not None:
                plane.put_in_force(newer)
            return True
        case Err(error):
            log.info(
                "could not read configuration from the store", extra={"why": str(error)}
            )
            return False


async def poll_without_relays(plane: Plane, connected: Callable[[], bool]) -> None:
    """Poll the store while no stream to a relay is open.

    All daemons of a data centre may lose their relays at the same time. The jitter
    before each poll keeps them from calling the store at once.

    Args:
        plane: State of the daemon.
        connected: Returns whether a stream to a relay is open.
    """
    control = plane.settings.control
    while True:
        # Without a configuration the daemon serves no traffic, so it polls sooner.
        unconfigured = plane.configuration.revision == 0
        period = INITIAL_POLL_SECONDS if unconfigured else control.fallback_seconds
        period = min(period, control.fallback_seconds)
        await asyncio.sleep(period * plane.store.random.uniform(0.5, 1.5))
        if not plane.is_relay and not connected():
            await refresh_configuration(plane)


def _backoff(plane: Plane, failures: int) -> float:
    uncapped = BACKOFF_SECONDS * 2 ** min(failures - 1, 10)
    return min(uncapped, BACKOFF_LIMIT_SECONDS) * plane.store.random.uniform(0.5, 1)
