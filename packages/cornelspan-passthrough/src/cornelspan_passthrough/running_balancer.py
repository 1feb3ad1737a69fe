"""Runs a pass-through balancer: its sockets, its background tasks and its shutdown."""

import asyncio
import time
from collections.abc import Callable
from contextlib import ExitStack

from cornelspan_common.logs import get_log
from cornelspan_common.tasks import task_group
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.fetching import fetch_and_apply_snapshot
from cornelspan_passthrough.following import (
    catch_up_with_peers,
    follow_configuration,
    follow_members,
    prune,
)
from cornelspan_passthrough.hello import send_hellos
from cornelspan_passthrough.http import http_server
from cornelspan_passthrough.http_messages import (
    BINARY,
    NOT_FOUND,
    Handler,
    HTTPRequest,
    HTTPResponse,
)
from cornelspan_passthrough.members import BALANCER, Member
from cornelspan_passthrough.metrics import balancer_metrics
from cornelspan_passthrough.readers import reading_sockets
from cornelspan_passthrough.registration import register_member
from cornelspan_passthrough.reloading import ProcessSignals, follow_settings
from cornelspan_passthrough.settings import socket_address
from cornelspan_passthrough.snapshots import SNAPSHOT_PATH, encode_snapshot
from cornelspan_passthrough.store import (
    Backoff,
    OpenStore,
)
from cornelspan_passthrough.suspension import SuspensionDetector

# A search waits 40 ms for a home. With a tick every 20 ms a timeout is noticed after 60
# ms at the latest.
TICK_SECONDS = 0.02
# How soon an agent that starts is noticed after a power loss; held first packets wait
# for it.
FAST_PING_SECONDS = 0.05
# Routers remove a balancer after two failed probes, half a second apart.
ROUTER_REMOVAL_SECONDS = 1.5
# A stopping balancer exits once no client packet has arrived for this long.
IDLE_SECONDS = 0.5
# Part of the grace period that is left for the process to exit.
STOP_MARGIN_SECONDS = 1.0

ReadinessMatcher = Callable[[HTTPRequest], bool]

log = get_log(__name__)


async def run_balancer(
    balancer: Balancer,
    open_store: OpenStore,
    is_readiness_request: ReadinessMatcher,
    signals: ProcessSignals,
) -> None:
    """Run a balancer until it is stopped, then until routers send it nothing more.

    Packets that arrive before the configuration is read are held for up to a second, so
    that their clients need not retransmit.

    Args:
        balancer: The balancer; its sockets are open and may have received packets
            already.
        open_store: Returns the platform's store.
        is_readiness_request: Whether an HTTP request asks for the balancer's readiness.
        signals: When to stop, and the settings file.
    """
    settings = balancer.settings
    with ExitStack() as resources:
        resources.enter_context(reading_sockets(balancer.sockets))
        async with task_group() as tasks:
            tasks.start(_run_ticks(balancer), name="tick")
            store = open_store(settings.store)
            backoffs = [Backoff(balancer.rng) for _ in range(3)]
            tasks.start(
                follow_configuration(balancer, store, backoffs[0]),
                name="configuration",
            )
            tasks.start(follow_members(balancer, store, backoffs[1]), name="members")
            member = Member(settings.address, BALANCER, settings.datacentre)
            tasks.start(
                register_member(store, member, backoffs[2]), name="registration"
            )
            tasks.start(
                catch_up_with_peers(balancer, store, fetch_and_apply_snapshot),
                name="catching up",
            )
            tasks.start(_ping_members(balancer), name="pings")
            tasks.start(
                send_hellos(
                    settings,
                    member,
                    balancer.daemon_socket,
                    lambda: balancer.members.revision > 0,
                ),
                name="hellos",
            )
            tasks.start(prune(balancer, store), name="pruning")
            tasks.start(
                follow_settings(signals, settings, balancer.apply_settings),
                name="settings",
            )
            _serve_http(balancer, is_readiness_request, resources)
            log.info("started", extra={"address": settings.address})
            await signals.stop.wait()
            await _drain(balancer)
    log.info("stopped", extra={"address": settings.address})


def _serve_http(
    balancer: Balancer, is_readiness_request: ReadinessMatcher, resources: ExitStack
) -> None:
    """Serve the routers' probes, peers' snapshot calls and metrics."""
    settings = balancer.settings
    handlers: dict[tuple[str, int], Handler] = {
        socket_address(settings.ready): lambda request: _answer_readiness(
            balancer, request, is_readiness_request
        ),
        (settings.address, settings.internal_port): lambda request: _answer_peer(
            balancer, request
        ),
    }
    if settings.metrics_port is not None:
        address = (settings.address, settings.metrics_port)
        handlers[address] = lambda request: balancer_metrics(balancer)
    for address, handler in handlers.items():
        resources.enter_context(http_server(address, handler))


def _answer_readiness(
    balancer: Balancer, request: HTTPRequest, is_readiness_request: ReadinessMatcher
) -> HTTPResponse:
    """Answer 200 if routers may send packets here, else 503."""
    if not is_readiness_request(request):
        return NOT_FOUND
    return HTTPResponse(200 if balancer.is_ready() else 503)


def _answer_peer(balancer: Balancer, request: HTTPRequest) -> HTTPResponse:
    """Answer a peer's request for a snapshot."""
    if request.path != SNAPSHOT_PATH:
        return NOT_FOUND
    return HTTPResponse(200, encode_snapshot(balancer), BINARY)


async def _ping_members(balancer: Balancer) -> None:
    """Ping all members once per interval, and new agents more often.

    Those have not answered this process yet. They may just be starting, and held first
    packets wait for them.
    """
    suspension_detector = SuspensionDetector()
    loop_time = asyncio.get_running_loop().time
    while True:
        health_check = balancer.settings.pulse
        addresses = _other_members(balancer)
        min_interval = health_check.interval_milliseconds / 1000
        interval = max(min_interval, len(addresses) / health_check.pings_per_second)
        started_at = time.monotonic()
        if suspension_detector.has_been_suspended():
            log.warning("this VM was suspended")
            balancer.health.clear_unanswered_pings()
        for address, is_agent in addresses:
            if is_agent:
                balancer.ping_agent(address, loop_time())
            else:
                balancer.ping(address)
        while time.monotonic() - started_at < interval:
            await asyncio.sleep(FAST_PING_SECONDS)
            agents = [
                address for address, is_agent in _other_members(balancer) if is_agent
            ]
            for address in balancer.health.unseen_agents(agents):
                balancer.ping_agent(address, loop_time())


def _other_members(balancer: Balancer) -> list[tuple[str, bool]]:
    """Return address and whether it is an agent, for all members but this balancer."""
    agents = [(member.address, True) for member in balancer.members.agents()]
    own_address = balancer.settings.address
    peers = [
        (member.address, False)
        for member in balancer.members.balancers()
        if member.address != own_address
    ]
    return agents + peers


async def _run_ticks(balancer: Balancer) -> None:
    """Call the balancer's tick at intervals."""
    now: Callable[[], float] = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(TICK_SECONDS)
        balancer.tick(now())


async def _drain(balancer: Balancer) -> None:
    """Keep forwarding until routers send nothing more, within the grace period."""
    balancer.stopping = True
    log.info("stopping")
    loop = asyncio.get_running_loop()
    deadline = loop.time() + balancer.settings.grace_seconds - STOP_MARGIN_SECONDS
    await asyncio.sleep(min(ROUTER_REMOVAL_SECONDS, max(0.0, deadline - loop.time())))
    while loop.time() + IDLE_SECONDS < deadline:
        packets_before = balancer.client_packets
        await asyncio.sleep(IDLE_SECONDS)
        if balancer.client_packets == packets_before:
            return
