"""Reloads the settings file while the process runs.

SIGHUP announces a change. The file may also change without a signal, so it is polled as
well. Settings that a running process can't change, such as its addresses and its
service, take effect at the next start, and a log line names them.
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

# A poll costs one system call. It is also the longest wait for a change without a
# signal.
POLL_SECONDS = 2.0
RELOADABLE_FIELDS = frozenset(
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

FileStamp = tuple[int, int]

log = get_log(__name__)


@dataclass(frozen=True, slots=True)
class ProcessSignals:
    """Events that the operating system's signals set, and the settings file.

    ``stop`` is set when the process shall stop, ``reload`` when its settings may have
    changed. ``settings_file`` is "" if there is no file to poll.
    """

    stop: asyncio.Event = field(default_factory=asyncio.Event)
    reload: asyncio.Event = field(default_factory=asyncio.Event)
    settings_file: str = ""


async def follow_settings(
    signals: ProcessSignals,
    settings: PassthroughSettings,
    apply: Callable[[Any], None],
) -> None:
    """Apply the settings each time the file has changed, until cancelled.

    A file that can't be loaded changes nothing; it may be half written.

    Args:
        signals: The settings file, and when to read it at once.
        settings: The settings that the process has started with.
        apply: Puts settings in force.
    """
    # The file may have changed since the process read it, so the first poll reads it
    # again.
    last_stamp: FileStamp | None = None
    while signals.settings_file:
        is_requested = await _wait_for_reload(signals)
        stamp = _file_stamp(signals.settings_file)
        if stamp == last_stamp and not is_requested:
            continue
        last_stamp = stamp
        match load_settings(signals.settings_file, type(settings)):
            case Ok(loaded):
                settings = merge_settings(settings, loaded)
                apply(settings)
            case Err(error):
                log.warning("settings file not loaded", extra={"reason": str(error)})


async def _wait_for_reload(signals: ProcessSignals) -> bool:
    """Wait for a signal or the next poll; return whether it was a signal."""
    try:
        async with asyncio.timeout(POLL_SECONDS):
            await signals.reload.wait()
    except TimeoutError:
        return False
    signals.reload.clear()
    return True


def merge_settings(
    settings: PassthroughSettings, loaded: PassthroughSettings
) -> PassthroughSettings:
    """Return the settings with those changes that need no restart.

    A log line names these changes and those that take effect at the next start.
    """
    changed = {
        name: getattr(loaded, name)
        for name in settings.__struct_fields__
        if getattr(loaded, name) != getattr(settings, name)
    }
    reloaded = {
        name: value for name, value in changed.items() if name in RELOADABLE_FIELDS
    }
    deferred = sorted(changed.keys() - reloaded.keys())
    if changed:
        extra = {"in_force": sorted(reloaded), "at_next_start": deferred}
        log.info("settings reloaded", extra=extra)
    return msgspec.structs.replace(settings, **reloaded)


def _file_stamp(file: str) -> FileStamp | None:
    """Return modification time and size of a file; None if it can't be read."""
    try:
        status = os.stat(file)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
