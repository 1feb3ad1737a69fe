"""Keeps a balancer up to date with the store, and with peers that are ahead of it."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from cornelspan_common.logs import get_log
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.configuration import Configuration
from cornelspan_passthrough.store import (
    Backoff,
    ConfigurationUpdate,
    FollowError,
    PlatformStore,
    UnreadableEntry,
    follow,
)

# A watch whose connection went silent without a reset must be noticed well within the
# seconds in which a change has to be in force. It is enough that one balancer notices,
# as its pings carry the new version to the others. So all balancers together start one
# watch of the configuration every half second, and a large fleet makes no more calls
# than a small one. A balancer without peers watches for two seconds at a time.
FLEET_WATCH_INTERVAL_SECONDS = 0.5
MIN_WATCH_SECONDS = 2.0
MAX_WATCH_SECONDS = 10.0
# A change ends the watches of all balancers at the same time. Without jitter the next
# ones would all start, and go silent, in step.
WATCH_JITTER = 0.5
MEMBERS_WATCH_SECONDS = 10.0
# Members come and go in bursts, and each change ends the watches of all balancers. A
# pause before the next watch collects a burst into a few calls. With a pause of one
# second the only agent of a service stayed unknown for that long, and its clients were
# rejected.
MEMBERS_BATCH_SECONDS = 0.25
# How often a version named by a peer is compared with the one in force. A newer one is
# usually on its way here too, so the store is read only if the watch has not delivered
# it one interval later.
CATCH_UP_INTERVAL_SECONDS = 0.15
PRUNE_INTERVAL_SECONDS = 5.0

FetchSnapshot = Callable[[Balancer, str], Awaitable[None]]

log = get_log(__name__)


def apply_configuration(
    balancer: Balancer, configuration: Configuration | None, source: str
) -> None:
    """Put a configuration in force if it is newer than the current one."""
    if configuration is None or not balancer.routes.replace(configuration):
        return
    balancer.newest_version = max(balancer.newest_version, configuration.version)
    extra = {
        "version": configuration.version,
        "routes": len(configuration.routes),
        "source": source,
    }
    log.info("configuration in force", extra=extra)


async def follow_configuration(
    balancer: Balancer, store: PlatformStore, backoff: Backoff
) -> None:
    """Read the configuration from the store and keep it up to date, until cancelled."""

    async def read() -> Result[int, FollowError]:
        found = await store.read_configuration()
        return found.map(apply)

    async def watch(revision: int) -> Result[int, FollowError]:
        found = await store.watch_configuration(revision, _watch_seconds(balancer))
        return found.map(apply)

    def apply(found: ConfigurationUpdate) -> int:
        report_unreadable(balancer, found.unreadable)
        apply_configuration(balancer, found.configuration, "store")
        return found.revision

    await follow("configuration", read, watch, backoff)


def _watch_seconds(balancer: Balancer) -> float:
    """Return the length of the next watch of the configuration, with jitter."""
    interval = FLEET_WATCH_INTERVAL_SECONDS * len(balancer.members.balancers())
    seconds = min(MAX_WATCH_SECONDS, max(MIN_WATCH_SECONDS, interval))
    return seconds * (1 - WATCH_JITTER * balancer.rng.random())


async def follow_members(
    balancer: Balancer, store: PlatformStore, backoff: Backoff
) -> None:
    """Read the registered members and keep them up to date, until cancelled."""
    now = asyncio.get_running_loop().time

    async def read() -> Result[int, FollowError]:
        match await store.list_members():
            case Ok(found):
                names = [each.name for each in found.unreadable]
                report_unreadable(balancer, found.unreadable)
                balancer.members.replace(found.members, found.revision, names)
                recompute_and_log_members(balancer, now())
                return Ok(found.revision)
            case error:
                return error

    async def watch(revision: int) -> Result[int, FollowError]:
        match await store.watch_members(revision, MEMBERS_WATCH_SECONDS):
            case Ok(found):
                report_unreadable(balancer, found.unreadable)
                for each in found.unreadable:
                    balancer.members.mark_unreadable(each.name)
                for member in found.changed:
                    balancer.members.put(member, found.revision)
                for address in found.removed:
                    balancer.members.remove(address, found.revision)
                    balancer.health.forget(address)
                if found.changed or found.removed:
                    recompute_and_log_members(balancer, now())
                    await asyncio.sleep(MEMBERS_BATCH_SECONDS)
                return Ok(found.revision)
            case error:
                return error

    await follow("members", read, watch, backoff)


def report_unreadable(
    balancer: Balancer, unreadable: tuple[UnreadableEntry, ...]
) -> None:
    """Count entries that can't be read, and log them within the log's rate limit."""
    now = asyncio.get_running_loop().time()
    for each in unreadable:
        balancer.counts["unreadable_entries"] += 1
        if balancer.log_rate_limit.take(1, now):
            extra = {"entry": each.name, "reason": each.reason}
            log.warning("unreadable entry", extra=extra)


def recompute_and_log_members(balancer: Balancer, now: float) -> None:
    """Recompute what is derived from the members, and log how many are known."""
    balancer.recompute_from_members(now)
    members = balancer.members
    extra = {
        "agents": len(members.agents()),
        "balancers": len(members.balancers()),
        "revision": members.revision,
    }
    log.info("members updated", extra=extra)


async def catch_up_with_peers(
    balancer: Balancer, store: PlatformStore, fetch_and_apply: FetchSnapshot
) -> None:
    """Catch up with a newer configuration that a peer's ping named, until cancelled.

    The store is read if a version newer than the one in force is still missing one
    interval later. If that doesn't help, the peer's snapshot is fetched. This
    balancer's own watch may hang on a silent connection, or the store may reject only
    this VM's calls. This balancer would then place flows by an old configuration while
    its peers use the new one.
    """
    while True:
        await asyncio.sleep(CATCH_UP_INTERVAL_SECONDS)
        if not _is_behind(balancer):
            continue
        await asyncio.sleep(CATCH_UP_INTERVAL_SECONDS)
        if not _is_behind(balancer):
            continue
        match await store.read_configuration():
            case Ok(found):
                report_unreadable(balancer, found.unreadable)
                apply_configuration(balancer, found.configuration, "store")
            case Err(error):
                log.info("configuration read failed", extra={"reason": str(error)})
        if _is_behind(balancer):
            await fetch_and_apply(balancer, balancer.newest_version_peer)


def _is_behind(balancer: Balancer) -> bool:
    """Whether a peer's ping has named a newer configuration than the one in force."""
    return balancer.newest_version > balancer.routes.version


async def prune(balancer: Balancer, store: PlatformStore) -> None:
    """Remove the store entries of dead members at intervals, until cancelled."""
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(PRUNE_INTERVAL_SECONDS)
        balancer.update_failure_detector(now())
        for address in balancer.dead_members_to_prune(now()):
            removed = await store.remove_member(address)
            if removed.is_ok():
                balancer.forget_member(address, now())
            extra = {"address": address, "done": removed.is_ok()}
            log.info("removal of dead member attempted", extra=extra)
