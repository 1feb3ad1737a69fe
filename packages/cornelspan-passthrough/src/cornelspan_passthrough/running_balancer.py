"""Runs a pass-through balancer: sockets, the tasks that follow the store, the stop."""

import asyncio
import time
from collections.abc import Callable
from contextlib import ExitStack

from cornelspan_common.logs import get_log
from cornelspan_common.tasks import task_group
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.calls import BINARY, NOT_FOUND, Answer, Call, Handler
from cornelspan_passthrough.fetching import fetch_from_peer
from cornelspan_passthrough.following import (
    catch_up,
    follow_configuration,
    follow_members,
    prune,
)
from cornelspan_passthrough.greeting import greet
from cornelspan_passthrough.http import http_server
from cornelspan_passthrough.members import BALANCER, Member
from cornelspan_passthrough.metrics import balancer_page
from cornelspan_passthrough.reading import reading
from cornelspan_passthrough.registration import register_member
from cornelspan_passthrough.reloading import Orders, follow_settings
from cornelspan_passthrough.settings import socket_address
from cornelspan_passthrough.snapshots import SNAPSHOT_PATH, encode_snapshot
from cornelspan_passthrough.store import (
    Backoff,
    OpenStore,
)
from cornelspan_passthrough.waking import Suspensions

# Searches wait 40 ms for a home; looking every 20 ms finds them late by half at most.
TICK_SECONDS = 0.02
# How soon an agent that comes up is noticed after a common loss of power; clients'
# first packets wait for it.
FAST_PING_SECONDS = 0.05
# Routers notice a balancer that leaves by two missed probes, half a second apart.
ROUTERS_SECONDS = 1.5
QUIET_SECONDS = 0.5
# What is left of the time that a stop may take, for the process to end by itself.
STOP_MARGIN_SECONDS = 1.0

ReadyPath = Callable[[Call], bool]

log = get_log(__name__)


async def run_balancer(
    balancer: Balancer,
    open_store: OpenStore,
    asks_readiness: ReadyPath,
    orders: Orders,
) -> None:
    """Run a balancer until it is told to stop, then until routers have let go of it.

    Packets that come before the configuration is read wait here for up to a second,
    instead of for their client's next repeat.

    Args:
        balancer: The balancer; its sockets are open and may have taken packets already.
        open_store: Returns the platform's store.
        asks_readiness: Whether a call asks for the balancer's readiness.
        orders: When to stop, and where the settings are.
    """
    settings = balancer.settings
    with ExitStack() as serving:
        serving.enter_context(reading(balancer.sockets))
        async with task_group() as tasks:
            tasks.start(_tick(balancer), name="tick")
            store = open_store(settings.store)
            backoffs = [Backoff(balancer.rng) for _ in range(3)]
            tasks.start(
                follow_configuration(balancer, store, backoffs[0]),
                name="configuration",
            )
            tasks.start(follow_members(balancer, store, backoffs[1]), name="members")
            member = Member(settings.address, BALANCER, settings.datacentre)
            tasks.start(register_member(store, member, backoffs[2]), name="listing")
            tasks.start(catch_up(balancer, store, fetch_from_peer), name="catching up")
            tasks.start(_ping(balancer), name="pings")
            tasks.start(
                greet(
                    settings,
                    member,
                    balancer.daemons,
                    lambda: balancer.members.revision > 0,
                ),
                name="greeting",
            )
            tasks.start(prune(balancer, store), name="pruning")
            tasks.start(
                follow_settings(orders, settings, balancer.take_settings),
                name="settings",
            )
            _answer_calls(balancer, asks_readiness, serving)
            log.info("started", extra={"address": settings.address})
            await orders.stop.wait()
            await _leave(balancer)
    log.info("stopped", extra={"address": settings.address})


def _answer_calls(
    balancer: Balancer, asks_readiness: ReadyPath, serving: ExitStack
) -> None:
    """Answer the routers' probes, and calls of peers and for metrics."""
    settings = balancer.settings
    handlers: dict[tuple[str, int], Handler] = {
        socket_address(settings.ready): lambda call: _readiness(
            balancer, call, asks_readiness
        ),
        (settings.address, settings.internal_port): lambda call: _peer_call(
            balancer, call
        ),
    }
    if settings.metrics_port is not None:
        address = (settings.address, settings.metrics_port)
        handlers[address] = lambda call: balancer_page(balancer)
    for address, handler in handlers.items():
        serving.enter_context(http_server(address, handler))


def _readiness(balancer: Balancer, call: Call, asks_readiness: ReadyPath) -> Answer:
    if not asks_readiness(call):
        return NOT_FOUND
    return Answer(200 if balancer.is_ready() else 503)


def _peer_call(balancer: Balancer, call: Call) -> Answer:
    if call.path != SNAPSHOT_PATH:
        return NOT_FOUND
    return Answer(200, encode_snapshot(balancer), BINARY)


async def _ping(balancer: Balancer) -> None:
    """Ask all agents and tell all balancers, spread over the interval."""
    suspensions = Suspensions()
    loop_time = asyncio.get_running_loop().time
    while True:
        policy = balancer.settings.pulse
        addresses = _others(balancer)
        least = policy.interval_milliseconds / 1000
        interval = max(least, len(addresses) / policy.pings_per_second)
        began = time.monotonic()
        if suspensions.has_been_suspended():
            log.warning("this VM was suspended")
            balancer.health.clear_unanswered_pings()
        for address, is_agent in addresses:
            if is_agent:
                balancer.ping_agent(address, loop_time())
            else:
                balancer.ping(address)
        while time.monotonic() - began < interval:
            await asyncio.sleep(FAST_PING_SECONDS)
            agents = [address for address, is_agent in _others(balancer) if is_agent]
            for address in balancer.health.unseen_agents(agents):
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


async def _tick(balancer: Balancer) -> None:
    now: Callable[[], float] = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(TICK_SECONDS)
        balancer.tick(now())


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
