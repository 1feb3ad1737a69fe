"""Runs a pass-through agent: its sockets, its registration and the endpoint's calls."""

import asyncio
import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from enum import Enum, auto

from cornelspan_common.logs import get_log
from cornelspan_common.tasks import task_group
from cornelspan_passthrough.agent import Agent
from cornelspan_passthrough.delivery import release_requests
from cornelspan_passthrough.endpoint import Incarnation, Report, ReportOutcome
from cornelspan_passthrough.health import DOWN
from cornelspan_passthrough.hello import send_hellos
from cornelspan_passthrough.http import http_server, serve_listener
from cornelspan_passthrough.http_messages import (
    JSON,
    NOT_FOUND,
    HTTPRequest,
    HTTPResponse,
)
from cornelspan_passthrough.members import AGENT, Member
from cornelspan_passthrough.messages import GONE
from cornelspan_passthrough.metrics import agent_metrics
from cornelspan_passthrough.readers import reading_sockets
from cornelspan_passthrough.registration import register_member
from cornelspan_passthrough.reloading import ProcessSignals, follow_settings
from cornelspan_passthrough.settings import PassthroughAgentSettings
from cornelspan_passthrough.store import Backoff, OpenStore, PlatformStore

SWEEP_INTERVAL_SECONDS = 2.0
# Interval at which queued requests are forwarded when no packet arrives.
RELEASE_INTERVAL_SECONDS = 0.05
# Interval of connection checks to the endpoint while a report is missing.
CONNECTION_CHECK_SECONDS = 0.1
CONNECTION_CHECK_TIMEOUT_SECONDS = 0.3
# An agent that gets no ping for this long, or that pings say is not registered,
# registers again: its entry may have been removed.
PING_TIMEOUT_SECONDS = 3.0
# While no balancer pings, each attempt doubles the timeout up to this limit. A fleet of
# thousands of agents then writes at most a few hundred entries a second.
MAX_PING_TIMEOUT_SECONDS = 30.0
REGISTRATION_CHECK_SECONDS = 1.0
# Time for the last datagrams to leave before the sockets close.
STOP_DELAY_SECONDS = 0.1

log = get_log(__name__)


class ConnectionCheck(Enum):
    """The result of a connection check of the endpoint's address.

    ``INCONCLUSIVE`` stands for a timeout and for errors other than a refused
    connection.
    """

    ACCEPTED = auto()
    REFUSED = auto()
    INCONCLUSIVE = auto()


@dataclass(frozen=True, slots=True)
class LeaveCall:
    """The endpoint's call that one of its incarnations ends."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """A call of the endpoint that can't be decoded, and the reason."""

    reason: str


EndpointCall = Report | LeaveCall | InvalidCall | None
DecodeCall = Callable[[HTTPRequest], EndpointCall]


async def run_agent(
    agent: Agent,
    open_store: OpenStore,
    decode_call: DecodeCall,
    signals: ProcessSignals,
) -> None:
    """Run an agent until it is told to stop.

    Args:
        agent: The agent. Its sockets are open and may have served packets already.
        open_store: Returns the platform's store.
        decode_call: Decodes an endpoint's request, None if its path is unknown.
        signals: Signals to stop and to reload settings.
    """
    settings = agent.settings
    with ExitStack() as serving:
        serving.enter_context(reading_sockets(agent.sockets))
        async with task_group() as tasks:
            member = _member(settings)
            tasks.start(_sweep_periodically(agent), name="sweep")
            tasks.start(_release_requests_periodically(agent), name="request release")
            tasks.start(
                send_hellos(
                    settings,
                    member,
                    agent.daemon_socket,
                    lambda: agent.last_ping_at > 0,
                ),
                name="hellos",
            )
            _serve_http(agent, decode_call, serving)
            store = open_store(settings.store)
            tasks.start(_stay_registered(agent, member, store), name="registration")
            tasks.start(_watch_endpoint(agent), name="endpoint")
            tasks.start(
                follow_settings(signals, settings, agent.take_settings), name="settings"
            )
            log.info("started", extra={"address": settings.address})
            await signals.stop.wait()
            await _stop(agent, store)
    log.info("stopped", extra={"address": settings.address})


def _serve_http(agent: Agent, decode_call: DecodeCall, serving: ExitStack) -> None:
    """Serve the endpoint's calls and the metrics."""
    settings = agent.settings
    now = asyncio.get_running_loop().time
    if agent.report_listener is not None:
        serving.enter_context(
            serve_listener(
                agent.report_listener,
                lambda request: answer_call(agent, decode_call(request), now()),
            )
        )
    if settings.metrics_port is not None:
        address = (settings.address, settings.metrics_port)
        serving.enter_context(
            http_server(address, lambda request: agent_metrics(agent))
        )


def _member(settings: PassthroughAgentSettings) -> Member:
    return Member(settings.address, AGENT, settings.datacentre, settings.service)


def answer_call(agent: Agent, call: EndpointCall, now: float) -> HTTPResponse:
    """Process a call of the endpoint and return the response."""
    match call:
        case Report():
            return _acknowledge_report(agent, call, now)
        case LeaveCall(incarnation):
            agent.leave(incarnation)
            return HTTPResponse(200, b"{}", JSON)
        case InvalidCall(reason):
            return _reject_call(agent, HTTPResponse(400, reason.encode()), reason, now)
        case None:
            return NOT_FOUND


def _acknowledge_report(agent: Agent, report: Report, now: float) -> HTTPResponse:
    """Acknowledge a report only if it takes effect.

    An endpoint whose draining report is acknowledged drains for its configured time and
    then stops. If a report of a stale incarnation were acknowledged, it would have no
    effect, and the endpoint would still get new flows after that time. Without an
    acknowledgement, a running endpoint reports again, and its second report is
    accepted.
    """
    match agent.receive_report(report, now):
        case ReportOutcome.STALE:
            reason = f"{report.incarnation} is not the life that runs here"
            return _reject_call(agent, HTTPResponse(409, reason.encode()), reason, now)
        case ReportOutcome.WRONG_SERVICE:
            reason = f"service {report.service} is not served here"
            return _reject_call(agent, HTTPResponse(409, reason.encode()), reason, now)
        case _:
            return HTTPResponse(200, b"{}", JSON)


def _reject_call(
    agent: Agent, response: HTTPResponse, reason: str, now: float
) -> HTTPResponse:
    """Count a rejected call, and log it within the log's rate limit."""
    agent.counts["refused_reports"] += 1
    if agent.log_rate_limit.take(1, now):
        log.warning("call from endpoint rejected", extra={"reason": reason})
    return response


async def _stay_registered(agent: Agent, member: Member, store: PlatformStore) -> None:
    """Register this agent, and do so again whenever its entry may be gone."""
    backoff = Backoff(random.Random())
    await register_member(store, member, backoff)
    ping_timeout = PING_TIMEOUT_SECONDS
    while True:
        await asyncio.sleep(REGISTRATION_CHECK_SECONDS)
        if not _may_be_unregistered(agent, ping_timeout):
            continue
        last_ping_at = agent.last_ping_at
        await register_member(store, member, backoff)
        agent.unregistered_since = None
        was_not_pinged = agent.last_ping_at == last_ping_at
        ping_timeout = min(MAX_PING_TIMEOUT_SECONDS, ping_timeout * 2)
        ping_timeout = ping_timeout if was_not_pinged else PING_TIMEOUT_SECONDS
        agent.last_ping_at = asyncio.get_running_loop().time()


def _may_be_unregistered(agent: Agent, ping_timeout: float) -> bool:
    """Whether pings say so, or none has arrived within the timeout.

    Args:
        agent: The agent.
        ping_timeout: Seconds without a ping after which the entry may be gone.
    """
    now = asyncio.get_running_loop().time()
    if (
        agent.unregistered_since is not None
        and now - agent.unregistered_since > REGISTRATION_CHECK_SECONDS
    ):
        return True
    return now - max(agent.last_ping_at, agent.started_at) > ping_timeout


async def _watch_endpoint(agent: Agent) -> None:
    """Check the endpoint's port while its report is missing.

    A crashed endpoint sends nothing more. A refused connection proves that it is gone,
    so its flows are reset while their clients still have time to retry.
    """
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(CONNECTION_CHECK_SECONDS)
        endpoint = agent.endpoint
        if endpoint.state == DOWN or not endpoint.is_overdue(now()):
            continue
        log.info("endpoint report overdue", extra={"life": str(endpoint.incarnation)})
        match await _check_connection(agent.endpoint_address):
            case ConnectionCheck.REFUSED:
                agent.mark_endpoint_down()
            case ConnectionCheck.ACCEPTED:
                endpoint.unanswered_checks = 0
                await asyncio.sleep(endpoint.report_seconds)
            case ConnectionCheck.INCONCLUSIVE:
                endpoint.unanswered_checks += 1
                await asyncio.sleep(endpoint.report_seconds)


async def _check_connection(address: tuple[str, int]) -> ConnectionCheck:
    """Check whether something accepts connections at the endpoint's address."""
    try:
        async with asyncio.timeout(CONNECTION_CHECK_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return ConnectionCheck.REFUSED
    except (OSError, TimeoutError) as error:
        log.info(
            "connection check of endpoint inconclusive", extra={"reason": repr(error)}
        )
        return ConnectionCheck.INCONCLUSIVE
    writer.close()
    return ConnectionCheck.ACCEPTED


async def _release_requests_periodically(agent: Agent) -> None:
    """Forward queued requests regularly, also when no packet arrives.

    A running request that counts as lost frees its slot although no packet arrives.
    """
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(RELEASE_INTERVAL_SECONDS)
        release_requests(agent, now())


async def _sweep_periodically(agent: Agent) -> None:
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
        agent.sweep(now())


async def _stop(agent: Agent, store: PlatformStore) -> None:
    """Tell the balancers, and remove the entry if the endpoint is down as well."""
    agent.stopping = True
    log.info("stopping", extra={"endpoint": agent.endpoint.state})
    for address in agent.balancers:
        agent.daemon_socket.send(
            bytes((GONE,)), (address, agent.settings.internal_port)
        )
    if agent.endpoint.state == DOWN:
        removed = await store.remove_member(agent.settings.address)
        if removed.is_err():
            log.warning(
                "deregistration failed",
                extra={"reason": str(removed.unwrap_err())},
            )
    await asyncio.sleep(STOP_DELAY_SECONDS)
