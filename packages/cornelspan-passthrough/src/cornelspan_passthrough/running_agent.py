"""Runs a pass-through agent: sockets, listing, and the endpoint's calls."""

import asyncio
import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from enum import Enum, auto

from cornelspan_common.logs import get_log
from cornelspan_common.tasks import task_group
from cornelspan_passthrough.agent import Agent
from cornelspan_passthrough.calls import JSON, NOT_FOUND, Answer, Call
from cornelspan_passthrough.delivering import release
from cornelspan_passthrough.endpoint import Hearing, Life, Report
from cornelspan_passthrough.greeting import greet
from cornelspan_passthrough.health import DOWN
from cornelspan_passthrough.hops import GONE
from cornelspan_passthrough.http import http_answers, http_server
from cornelspan_passthrough.members import AGENT, Member
from cornelspan_passthrough.metrics import agent_metrics
from cornelspan_passthrough.readers import reading_sockets
from cornelspan_passthrough.registration import register_member
from cornelspan_passthrough.reloading import ProcessSignals, follow_settings
from cornelspan_passthrough.settings import PassthroughAgentSettings
from cornelspan_passthrough.store import Backoff, OpenStore, PlatformStore

SWEEP_SECONDS = 2.0
# How often requests that wait are looked at when nothing else makes room for them.
RELEASE_SECONDS = 0.05
# The endpoint's life is looked at this often while a report is missing.
PROBE_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.3
# Without a ping for this long, or unlisted in the pings for this long, an agent lists
# itself anew: its entry may have been taken away.
UNHEARD_SECONDS = 3.0
# With no balancer alive, each try doubles the wait up to this, so that a fleet of
# thousands writes no more than some hundred times a second.
LONGEST_UNHEARD_SECONDS = 30.0
LISTING_SECONDS = 1.0
# Time for other daemons to hear that this one stops.
STOP_SECONDS = 0.1

log = get_log(__name__)


class Probe(Enum):
    """What a connection to the endpoint's address has shown."""

    TAKEN = auto()
    REFUSED = auto()
    UNANSWERED = auto()


@dataclass(frozen=True, slots=True)
class Left:
    """An endpoint's word that a life of it is over."""

    life: Life


@dataclass(frozen=True, slots=True)
class Refused:
    """A call of the endpoint that can't be read, and why."""

    reason: str


EndpointCall = Report | Left | Refused | None
ReadCall = Callable[[Call], EndpointCall]


async def run_agent(
    agent: Agent, open_store: OpenStore, read_call: ReadCall, signals: ProcessSignals
) -> None:
    """Run an agent until it is told to stop.

    Args:
        agent: The agent; its sockets are open and may have served packets already.
        open_store: Returns the platform's store.
        read_call: What an endpoint's call means; None for one that is unknown.
        orders: When to stop, and where the settings are.
    """
    settings = agent.settings
    with ExitStack() as serving:
        serving.enter_context(reading_sockets(agent.sockets))
        async with task_group() as tasks:
            member = _member(settings)
            tasks.start(_sweep(agent), name="sweep")
            tasks.start(_release(agent), name="release")
            tasks.start(
                greet(settings, member, agent.daemons, lambda: agent.pinged_at > 0),
                name="greeting",
            )
            _answer_calls(agent, read_call, serving)
            store = open_store(settings.store)
            tasks.start(_stay_listed(agent, member, store), name="listing")
            tasks.start(_watch_endpoint(agent), name="endpoint")
            tasks.start(
                follow_settings(signals, settings, agent.take_settings), name="settings"
            )
            log.info("started", extra={"address": settings.address})
            await signals.stop.wait()
            await _leave(agent, store)
    log.info("stopped", extra={"address": settings.address})


def _answer_calls(agent: Agent, read_call: ReadCall, serving: ExitStack) -> None:
    """Answer the endpoint's calls, and those for metrics."""
    settings = agent.settings
    now = asyncio.get_running_loop().time
    if agent.report_listener is not None:
        serving.enter_context(
            http_answers(
                agent.report_listener,
                lambda call: answer(agent, read_call(call), now()),
            )
        )
    if settings.metrics_port is not None:
        address = (settings.address, settings.metrics_port)
        serving.enter_context(http_server(address, lambda call: agent_metrics(agent)))


def _member(settings: PassthroughAgentSettings) -> Member:
    return Member(settings.address, AGENT, settings.datacentre, settings.service)


def answer(agent: Agent, call: EndpointCall, now: float) -> Answer:
    """Take in what the endpoint says and return the answer to its call."""
    match call:
        case Report():
            return _answer_report(agent, call, now)
        case Left(life):
            agent.leave(life)
            return Answer(200, b"{}", JSON)
        case Refused(reason):
            return _refuse(agent, Answer(400, reason.encode()), reason, now)
        case None:
            return NOT_FOUND


def _answer_report(agent: Agent, report: Report, now: float) -> Answer:
    """Acknowledge a report if it is obeyed.

    An endpoint that is told that its word to leave has arrived drains for as long as it
    must and no longer. Acknowledged for a life that is not the present one, its word
    would change nothing, and it would still get new flows when that time is over. Not
    acknowledged, it reports again if it lives, and is believed by its second report.
    """
    match agent.report(report, now):
        case Hearing.DOUBTED:
            reason = f"{report.life} is not the life that runs here"
            return _refuse(agent, Answer(409, reason.encode()), reason, now)
        case Hearing.FOREIGN:
            reason = f"service {report.service} is not served here"
            return _refuse(agent, Answer(409, reason.encode()), reason, now)
        case _:
            return Answer(200, b"{}", JSON)


def _refuse(agent: Agent, answer: Answer, reason: str, now: float) -> Answer:
    """Count a call that is not taken in, and log it while the log has room."""
    agent.counts["refused_reports"] += 1
    if agent.complaints.take(1, now):
        log.warning("endpoint's call refused", extra={"reason": reason})
    return answer


async def _stay_listed(agent: Agent, member: Member, store: PlatformStore) -> None:
    """List this agent, and again whenever its entry seems to be gone."""
    backoff = Backoff(random.Random())
    await register_member(store, member, backoff)
    patience = UNHEARD_SECONDS
    while True:
        await asyncio.sleep(LISTING_SECONDS)
        if not _seems_unlisted(agent, patience):
            continue
        heard_at = agent.pinged_at
        await register_member(store, member, backoff)
        agent.unlisted_at = None
        is_unheard = agent.pinged_at == heard_at
        patience = min(LONGEST_UNHEARD_SECONDS, patience * 2)
        patience = patience if is_unheard else UNHEARD_SECONDS
        agent.pinged_at = asyncio.get_running_loop().time()


def _seems_unlisted(agent: Agent, patience: float) -> bool:
    now = asyncio.get_running_loop().time()
    if agent.unlisted_at is not None and now - agent.unlisted_at > LISTING_SECONDS:
        return True
    return now - max(agent.pinged_at, agent.started_at) > patience


async def _watch_endpoint(agent: Agent) -> None:
    """Look whether the endpoint is still there when its report is missing.

    A crashed endpoint sends nothing more. A connection refused at its address is sure
    evidence, so its flows can be reset while their clients have time to try again.
    """
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(PROBE_SECONDS)
        endpoint = agent.endpoint
        if endpoint.state == DOWN or not endpoint.is_overdue(now()):
            continue
        log.info("report missing", extra={"life": str(endpoint.life)})
        match await _probe(agent.endpoint_address):
            case Probe.REFUSED:
                agent.endpoint_refuses()
            case Probe.TAKEN:
                endpoint.unanswered_probes = 0
                await asyncio.sleep(endpoint.report_seconds)
            case Probe.UNANSWERED:
                endpoint.unanswered_probes += 1
                await asyncio.sleep(endpoint.report_seconds)


async def _probe(address: tuple[str, int]) -> Probe:
    """Open a connection to the endpoint's address and close it again."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return Probe.REFUSED
    except (OSError, TimeoutError) as error:
        log.info("endpoint not reached", extra={"reason": repr(error)})
        return Probe.UNANSWERED
    writer.close()
    return Probe.TAKEN


async def _release(agent: Agent) -> None:
    """Let waiting requests go on when those at the endpoint are taken for lost."""
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(RELEASE_SECONDS)
        release(agent, now())


async def _sweep(agent: Agent) -> None:
    now = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(SWEEP_SECONDS)
        agent.sweep(now())


async def _leave(agent: Agent, store: PlatformStore) -> None:
    """Stop: tell balancers, and leave the listing if the endpoint has gone as well."""
    agent.stopping = True
    log.info("stopping", extra={"endpoint": agent.endpoint.state})
    for address in agent.balancers:
        agent.daemons.send(bytes((GONE,)), (address, agent.settings.internal_port))
    if agent.endpoint.state == DOWN:
        removed = await store.remove_member(agent.settings.address)
        if removed.is_err():
            log.warning("still listed", extra={"reason": str(removed.unwrap_err())})
    await asyncio.sleep(STOP_SECONDS)
