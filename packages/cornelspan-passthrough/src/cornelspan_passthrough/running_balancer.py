"""Runs a pass-through balancer: sockets, the tasks that follow the store, the stop."""

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import ExitStack

import msgspec
from result import Err, Ok, Result

from cornelspan_common.calls import CallBudget, HttpCaller
from cornelspan_common.logs import get_log
from cornelspan_common.tasks import task_group
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.configuration import Configuration
from cornelspan_passthrough.datagrams import DatagramSocket, datagram_socket
from cornelspan_passthrough.heads import PacketCodec
from cornelspan_passthrough.hops import HELLO
from cornelspan_passthrough.http import BINARY, NOT_FOUND, Answer, Call, http_server
from cornelspan_passthrough.members import BALANCER, Member
from cornelspan_passthrough.metrics import balancer_page
from cornelspan_passthrough.pulses import Hello
from cornelspan_passthrough.settings import PassthroughBalancerSettings, socket_address
from cornelspan_passthrough.store import (
    Backoff,
    FollowError,
    PlatformStore,
    follow,
)
from cornelspan_passthrough.waking import Suspensions

# Searches wait 40 ms for a home; looking every 20 ms finds them late by half at most.
TICK_SECONDS = 0.02
# How soon an agent that comes up is noticed after a common loss of power; clients'
# first packets wait for it.
NEWCOMER_SECONDS = 0.05
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
# pause before the next watch takes a burst in by one call; nothing waits for it, as
# agents that stop say so and new ones speak to the seeds.
MEMBERS_PAUSE_SECONDS = 1.0
# A change that a peer has told is on its way here too; the store is asked only if the
# watch has not brought it by then.
BEHIND_SECONDS = 0.15
SNAPSHOT_PATH = "/snapshot"
PEER_CALLS_PER_SECOND = 10.0
PEER_CALL_SECONDS = 1.0
# Routers notice a balancer that leaves by two missed probes, half a second apart.
ROUTERS_SECONDS = 1.5
QUIET_SECONDS = 0.5
# What is left of the time that a stop may take, for the process to end by itself.
STOP_MARGIN_SECONDS = 1.0
HELLO_SECONDS = 1.0
PRUNE_SECONDS = 5.0

ReadyPath = Callable[[Call], bool]

log = get_log(__name__)


class Snapshot(msgspec.Struct, frozen=True):
    """What a balancer tells a peer that can't reach the store."""

    configuration: Configuration | None
    members: tuple[Member, ...]


async def run_balancer(
    settings: PassthroughBalancerSettings,
    codec: PacketCodec,
    store: PlatformStore,
    asks_readiness: ReadyPath,
    stop: asyncio.Event,
) -> None:
    """Run a balancer until it is told to stop, then until routers have let go of it.

    Args:
        settings: Its settings.
        codec: The packets' form.
        store: The platform's store.
        asks_readiness: Whether a call asks for the balancer's readiness.
        stop: Set when the process shall stop.
    """
    with ExitStack() as sockets:
        balancer = open_balancer(settings, codec, sockets)
        sockets.enter_context(
            http_server(
                socket_address(settings.ready),
                lambda call: _readiness(balancer, call, asks_readiness),
            )
        )
        sockets.enter_context(
            http_server(
                (settings.address, settings.internal_port),
                lambda call: _peer_call(balancer, call),
            )
        )
        if settings.metrics_port is not None:
            sockets.enter_context(
                http_server(
                    (settings.address, settings.metrics_port),
                    lambda call: balancer_page(balancer),
                )
            )
        async with task_group() as tasks:
            backoffs = [Backoff(balancer.chance) for _ in range(3)]
            tasks.start(
                _follow_configuration(balancer, store, backoffs[0]),
                name="configuration",
            )
            tasks.start(_follow_members(balancer, store, backoffs[1]), name="members")
            tasks.start(_list_itself(balancer, store, backoffs[2]), name="listing")
            tasks.start(_catch_up(balancer, store), name="catching up")
            tasks.start(_ping(balancer), name="pings")
            tasks.start(_greet(balancer), name="greeting")
            tasks.start(_tick(balancer), name="tick")
            tasks.start(_prune(balancer, store), name="pruning")
            log.info("started", extra={"address": settings.address})
            await stop.wait()
            await _leave(balancer)
    log.info("stopped", extra={"address": settings.address})


def open_balancer(
    settings: PassthroughBalancerSettings, codec: PacketCodec, sockets: ExitStack
) -> Balancer:
    """Open a balancer's sockets and return its state."""
    now = asyncio.get_running_loop().time
    received: list[Balancer] = []

    def from_client(data: bytes, sender: tuple[str, int]) -> None:
        received[0].from_client(data, now())

    def from_daemon(data: bytes, sender: tuple[str, int]) -> None:
        received[0].from_daemon(data, sender[0], now())

    clients = sockets.enter_context(
        datagram_socket(socket_address(settings.packets), from_client)
    )
    daemons: DatagramSocket = sockets.enter_context(
        datagram_socket((settings.address, settings.internal_port), from_daemon)
    )
    balancer = Balancer(settings, codec, clients, daemons, random.Random())
    received.append(balancer)
    return balancer


def _readiness(balancer: Balancer, call: Call, asks_readiness: ReadyPath) -> Answer:
    if not asks_readiness(call):
        return NOT_FOUND
    return Answer(200 if balancer.is_ready() else 503)


def _peer_call(balancer: Balancer, call: Call) -> Answer:
    if call.path != SNAPSHOT_PATH:
        return NOT_FOUND
    snapshot = Snapshot(balancer.routes.configuration, tuple(balancer.members.all()))
    return Answer(200, msgspec.msgpack.encode(snapshot), BINARY)


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


async def _follow_configuration(
    balancer: Balancer, store: PlatformStore, backoff: Backoff
) -> None:
    async def read() -> Result[int, FollowError]:
        found = await store.read_configuration()
        return found.map(take)

    async def watch(revision: int) -> Result[int, FollowError]:
        found = await store.watch_configuration(revision, _watch_seconds(balancer))
        return found.map(take)

    def take(found) -> int:  # noqa: ANN001
        take_configuration(balancer, found.configuration, "store")
        return found.revision

    await follow("configuration", read, watch, backoff)


def _watch_seconds(balancer: Balancer) -> float:
    """Return how long the next watch of the configuration shall wait."""
    fair = FLEET_WATCH_SECONDS * len(balancer.members.balancers())
    seconds = min(LONGEST_WATCH_SECONDS, max(SHORTEST_WATCH_SECONDS, fair))
    return seconds * (1 - WATCH_JITTER * balancer.chance.random())


async def _follow_members(
    balancer: Balancer, store: PlatformStore, backoff: Backoff
) -> None:
    async def read() -> Result[int, FollowError]:
        match await store.list_members():
            case Ok(found):
                balancer.members.replace(found.members, found.revision)
                _members_are(balancer)
                return Ok(found.revision)
            case error:
                return error

    async def watch(revision: int) -> Result[int, FollowError]:
        match await store.watch_members(revision, MEMBERS_WATCH_SECONDS):
            case Ok(found):
                for member in found.changed:
                    balancer.members.put(member, found.revision)
                for address in found.removed:
                    balancer.members.remove(address, found.revision)
                    balancer.pulses.forget(address)
                if found.changed or found.removed:
                    _members_are(balancer)
                    await asyncio.sleep(MEMBERS_PAUSE_SECONDS)
                return Ok(found.revision)
            case error:
                return error

    await follow("members", read, watch, backoff)


def _members_are(balancer: Balancer) -> None:
    balancer.members_changed()
    members = balancer.members
    extra = {
        "agents": len(members.agents()),
        "balancers": len(members.balancers()),
        "revision": members.revision,
    }
    log.info("members known", extra=extra)


async def _list_itself(
    balancer: Balancer, store: PlatformStore, backoff: Backoff
) -> None:
    """List this balancer, so that agents' news and peers reach it."""
    settings = balancer.settings
    member = Member(settings.address, BALANCER, settings.datacentre)
    await list_member(store, member, backoff)


async def list_member(store: PlatformStore, member: Member, backoff: Backoff) -> None:
    """List a member, again and again until the store has taken it."""
    while True:
        match await store.put_member(member):
            case Ok(_):
                log.info("listed", extra={"address": member.address})
                return
            case Err(error):
                log.warning("not listed yet", extra={"reason": str(error)})
                await backoff.wait()


async def _catch_up(balancer: Balancer, store: PlatformStore) -> None:
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
                take_configuration(balancer, found.configuration, "store")
            case Err(error):
                log.info("store can't help", extra={"reason": str(error)})
        if _is_behind(balancer):
            await _fetch_from_peer(balancer, balancer.newest_peer)


def _is_behind(balancer: Balancer) -> bool:
    return balancer.newest_version > balancer.routes.version


async def _fetch_from_peer(balancer: Balancer, peer: str) -> None:
    """Take configuration and members from a peer."""
    port = balancer.settings.internal_port
    budget = CallBudget(PEER_CALLS_PER_SECOND)
    caller = HttpCaller(f"http://{peer}:{port}", budget, call_seconds=PEER_CALL_SECONDS)
    try:
        match await caller.send("GET", SNAPSHOT_PATH):
            case Ok(response) if response.code == 200:
                _take_snapshot(balancer, response.body, peer)
            case Ok(response):
                log.info("peer can't help", extra={"peer": peer, "code": response.code})
            case Err(error):
                log.info("peer can't help", extra={"peer": peer, "reason": str(error)})
    finally:
        caller.close()


def _take_snapshot(balancer: Balancer, body: bytes, peer: str) -> None:
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        log.warning("broken snapshot", extra={"peer": peer, "reason": str(error)})
        return
    take_configuration(balancer, snapshot.configuration, peer)
    if balancer.members.revision:
        return
    news = [balancer.members.tell(member) for member in snapshot.members]
    if any(news):
        _members_are(balancer)


async def _ping(balancer: Balancer) -> None:
    """Ask all agents and tell all balancers, spread over the interval."""
    pulse = balancer.settings.pulse
    suspensions = Suspensions()
    loop_time = asyncio.get_running_loop().time
    while True:
        addresses = _others(balancer)
        least = pulse.interval_milliseconds / 1000
        interval = max(least, len(addresses) / pulse.pings_per_second)
        began = time.monotonic()
        if suspensions.has_been_suspended():
            log.warning("this VM was suspended")
            balancer.pulses.doubt_nothing()
        for address, is_agent in addresses:
            if is_agent:
                balancer.ping_agent(address, loop_time())
            else:
                balancer.ping(address)
        while time.monotonic() - began < interval:
            await asyncio.sleep(NEWCOMER_SECONDS)
            agents = [address for address, is_agent in _others(balancer) if is_agent]
            for address in balancer.pulses.newcomers(agents):
                balancer.ping_agent(address, loop_time())


def _others(balancer: Balancer) -> list[tuple[str, bool]]:
    agents = [(member.address, True) for member in balancer.members.agents()]
    own = balancer.settings.address
    peers = [
        (member.address, False)
        for member in balancer.members.balancers()
        if member.address != own
    ]
    return agents + peers


async def _greet(balancer: Balancer) -> None:
    """Speak up to the seeds until a listing or a peer has been heard of.

    A daemon that starts while the store turns it away would else know nobody.
    """
    settings = balancer.settings
    hello = Hello(settings.address, BALANCER, settings.datacentre, "")
    datagram = bytes((HELLO,)) + msgspec.msgpack.encode(hello)
    while not balancer.members.revision:
        for seed in settings.seeds:
            address = socket_address(seed)[0]
            if address != settings.address:
                balancer.daemons.send(datagram, (address, settings.internal_port))
        await asyncio.sleep(HELLO_SECONDS)


async def _tick(balancer: Balancer) -> None:
    now: Callable[[], float] = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(TICK_SECONDS)
        balancer.tick(now())


async def _prune(balancer: Balancer, store: PlatformStore) -> None:
    """Take away the entries of members that are gone for good."""
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(PRUNE_SECONDS)
        balancer.update_silences(now())
        for address in balancer.entries_to_remove(now()):
            removed = await store.remove_member(address)
            extra = {"address": address, "done": removed.is_ok()}
            log.info("entry of a silent member removed", extra=extra)


async def _leave(balancer: Balancer) -> None:
    """Go on forwarding until routers send nothing more, within the grace."""
    balancer.stopping = True
    log.info("stopping")
    loop = asyncio.get_running_loop()
    deadline = loop.time() + balancer.settings.grace_seconds - STOP_MARGIN_SECONDS
    await asyncio.sleep(min(ROUTERS_SECONDS, max(0.0, deadline - loop.time())))
    while loop.time() + QUIET_SECONDS < deadline:
        seen = balancer.client_packets
        await asyncio.sleep(QUIET_SECONDS)
        if balancer.client_packets == seen:
            return
