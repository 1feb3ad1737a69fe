"""Takes in a settings file that changes while the process runs.

SIGHUP says that the file has changed; it may also change without a word. So it is
looked at every few seconds as well. What a running process can't change under itself,
its addresses and its service, takes effect at its next start, and a log line says so.
"""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Err, Ok

from cornelspan_common.logs import get_log
from cornelspan_common.settings import load_settings
from cornelspan_passthrough.settings import PassthroughSettings

# A look costs one call of the system; operators wait no longer for a change that they
# have not signalled.
LOOK_SECONDS = 2.0
LIVE_FIELDS = frozenset(
    {
        "ejection",
        "flow_seconds",
        "grace_seconds",
        "learned_flows",
        "log",
        "pulse",
        "report_milliseconds",
    }
)

Stamp = tuple[int, int]

log = get_log(__name__)


@dataclass(frozen=True, slots=True)
class Orders:
    """What the operating system tells a process.

    ``stop`` is set when it shall stop, ``reload`` when its settings may have changed.
    ``file`` is its settings file, "" if there is none to look at.
    """

    stop: asyncio.Event = field(default_factory=asyncio.Event)
    reload: asyncio.Event = field(default_factory=asyncio.Event)
    file: str = ""


async def follow_settings(
    orders: Orders,
    settings: PassthroughSettings,
    take: Callable[[Any], None],
) -> None:
    """Hand on the settings each time that the file has changed, for ever.

    A file that can't be used leaves everything as it is; it may be half written.

    Args:
        orders: Where the file is, and when to look at once.
        settings: Those that the process has started with.
        take: Puts settings into force.
    """
    # Not the file's stamp of now: it may have changed since the process read it.
    seen: Stamp | None = None
    while orders.file:
        asked = await _look_again(orders)
        stamp = _stamp(orders.file)
        if stamp == seen and not asked:
            continue
        seen = stamp
        match load_settings(orders.file, type(settings)):
            case Ok(loaded):
                settings = merged(settings, loaded)
                take(settings)
            case Err(error):
                log.warning("settings refused", extra={"reason": str(error)})


async def _look_again(orders: Orders) -> bool:
    """Wait for a signal or the next look; return whether it was a signal."""
    try:
        async with asyncio.timeout(LOOK_SECONDS):
            await orders.reload.wait()
    except TimeoutError:
        return False
    orders.reload.clear()
    return True


def merged(
    settings: PassthroughSettings, loaded: PassthroughSettings
) -> PassthroughSettings:
    """Return the settings with what may change in a running process, and log both."""
    changed = {
        name: getattr(loaded, name)
        for name in settings.__struct_fields__
        if getattr(loaded, name) != getattr(settings, name)
    }
    live = {name: value for name, value in changed.items() if name in LIVE_FIELDS}
    later = sorted(changed.keys() - live.keys())
    if changed:
        extra = {"in_force": sorted(live), "at_next_start": later}
        log.info("settings reloaded", extra=extra)
    return msgspec.structs.replace(settings, **live)


def _stamp(file: str) -> Stamp | None:
    """Return what changes when a file is written; None if it can't be looked at."""
    try:
        found = os.stat(file)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
