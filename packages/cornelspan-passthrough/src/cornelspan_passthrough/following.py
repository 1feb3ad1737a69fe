"""What a balancer follows: the store, and peers that are ahead of it."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from cornelspan_common.logs import get_log
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.configuration import Configuration
from cornelspan_passthrough.store import (
    Backoff,
    ConfigurationAt,
    FollowError,
    PlatformStore,
    Unreadable,
    follow,
)

# A watch that went silent without a reset must be noticed well within the seconds in
# which a change has to be in force. It is enough that one balancer notices, as its
# pings tell the others: so all balancers together begin a watch of the configuration
# each half second, and a large fleet makes no more calls than a small one. One that is
# alone, or knows no others, takes two seconds.
FLEET_WATCH_SECONDS = 0.5
SHORTEST_WATCH_SECONDS = 2.0
LONGEST_WATCH_SECONDS = 10.0
# A change ends all balancers' watches at once. Of equal length, the next ones would all
# begin, and go silent, in step.
WATCH_JITTER = 0.5
MEMBERS_WATCH_SECONDS = 10.0
# Members come and go in bursts, and each change ends the watches of all balancers. A
# pause before the next watch takes a burst in by a few calls. With a second, the only
# agent of a service stayed unknown for so long, and its clients were refused.
MEMBERS_PAUSE_SECONDS = 0.25
# A change that a peer has told is on its way here too; the store is asked only if the
# watch has not brought it by then.
BEHIND_SECONDS = 0.15
PRUNE_SECONDS = 5.0

FetchFromPeer = Callable[[Balancer, str], Awaitable[None]]

log = get_log(__name__)


def take_configuration(
    balancer: Balancer, configuration: Configuration | None, source: str
) -> None:
    """Take in a configuration if it is newer than the one in force."""
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
    """Follow the configuration in the store for ever."""

    async def read() -> Result[int, FollowError]:
        found = await store.read_configuration()
        return found.map(take)

    async def watch(revision: int) -> Result[int, FollowError]:
        found = await store.watch_configuration(revision, _watch_seconds(balancer))
        return found.map(take)

    def take(found: ConfigurationAt) -> int:
        complain(balancer, found.unreadable)
        take_configuration(balancer, found.configuration, "store")
        return found.revision

    await follow("configuration", read, watch, backoff)


def _watch_seconds(balancer: Balancer) -> float:
    """Return how long the next watch of the configuration shall wait."""
    fair = FLEET_WATCH_SECONDS * len(balancer.members.balancers())
    seconds = min(LONGEST_WATCH_SECONDS, max(SHORTEST_WATCH_SECONDS, fair))
    return seconds * (1 - WATCH_JITTER * balancer.rng.random())


async def follow_members(
    balancer: Balancer, store: PlatformStore, backoff: Backoff
) -> None:
    """Follow the listed members for ever."""
    now = asyncio.get_running_loop().time

    async def read() -> Result[int, FollowError]:
        match await store.list_members():
            case Ok(found):
                names = [each.name for each in found.unreadable]
                complain(balancer, found.unreadable)
                balancer.members.replace(found.members, found.revision, names)
                members_are(balancer, now())
                return Ok(found.revision)
            case error:
                return error

    async def watch(revision: int) -> Result[int, FollowError]:
        match await store.watch_members(revision, MEMBERS_WATCH_SECONDS):
            case Ok(found):
                complain(balancer, found.unreadable)
                for each in found.unreadable:
                    balancer.members.mark_unreadable(each.name)
                for member in found.changed:
                    balancer.members.put(member, found.revision)
                for address in found.removed:
                    balancer.members.remove(address, found.revision)
                    balancer.health.forget(address)
                if found.changed or found.removed:
                    members_are(balancer, now())
                    await asyncio.sleep(MEMBERS_PAUSE_SECONDS)
                return Ok(found.revision)
            case error:
                return error

    await follow("members", read, watch, backoff)


def complain(balancer: Balancer, unreadable: tuple[Unreadable, ...]) -> None:
    """Count entries that can't be read, and log them while the log has room."""
    now = asyncio.get_running_loop().time()
    for each in unreadable:
        balancer.counts["unreadable_entries"] += 1
        if balancer.complaints.take(1, now):
            extra = {"entry": each.name, "reason": each.reason}
            log.warning("entry can't be read", extra=extra)


def members_are(balancer: Balancer, now: float) -> None:
    """Take in that the known members have changed."""
    balancer.members_changed(now)
    members = balancer.members
    extra = {
        "agents": len(members.agents()),
        "balancers": len(members.balancers()),
        "revision": members.revision,
    }
    log.info("members known", extra=extra)


async def catch_up(
    balancer: Balancer, store: PlatformStore, fetch: FetchFromPeer
) -> None:
    """Fetch a configuration that a peer has and this balancer has not.

    Its own watch may hang on a connection that went silent, or the store may turn just
    this VM away: it would send flows by an old configuration while its peers use the
    new one.
    """
    while True:
        await asyncio.sleep(BEHIND_SECONDS)
        if not _is_behind(balancer):
            continue
        await asyncio.sleep(BEHIND_SECONDS)
        if not _is_behind(balancer):
            continue
        match await store.read_configuration():
            case Ok(found):
                complain(balancer, found.unreadable)
                take_configuration(balancer, found.configuration, "store")
            case Err(error):
                log.info("store can't help", extra={"reason": str(error)})
        if _is_behind(balancer):
            await fetch(balancer, balancer.newest_peer)


def _is_behind(balancer: Balancer) -> bool:
    return balancer.newest_version > balancer.routes.version


async def prune(balancer: Balancer, store: PlatformStore) -> None:
    """Take away the entries of members that are gone for good."""
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(PRUNE_SECONDS)
        balancer.update_silences(now())
        for address in balancer.entries_to_remove(now()):
            removed = await store.remove_member(address)
            if removed.is_ok():
                balancer.forget_member(address, now())
            extra = {"address": address, "done": removed.is_ok()}
            log.info("entry of a silent member removed", extra=extra)
