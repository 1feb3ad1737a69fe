"""The HTTP gateway of an agent: requests of ``http`` services from flow to server.

async with gateway(settings, configuration, members, peers) as requests:
    await requests.handle_stream(stream, "10.0.0.7")
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from result import Err, Ok, Result
from tornado.iostream import IOStream

from cornelspan_common.metrics import Metrics
from cornelspan_common.ownership import Load
from cornelspan_common.packets import Message
from cornelspan_common.requests import (
    KeyClaim,
    KeyDone,
    KeyLeave,
    KeyRecords,
    KeyRelease,
    KeySync,
    KeyVote,
)
from cornelspan_common.settings import AgentSettings
from cornelspan_common.tasks import Tasks, task_group
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_control.profiles import Profile
from cornelspan_ownership.placement import OwnLoad
from cornelspan_requests.admission import MIN_RETRY_AFTER_SECONDS, Admission
from cornelspan_requests.backend import AnswerSink
from cornelspan_requests.claims import Claims
from cornelspan_requests.dispatch import Dispatcher, Peers
from cornelspan_requests.endpoint import SERVER_ERROR, create_endpoint
from cornelspan_requests.exchange import (
    Answer,
    IncomingRequest,
    Request,
    end_to_end_headers,
    serve_requests,
)
from cornelspan_requests.handoff import Handoffs
from cornelspan_requests.keyed import RecordingSink, needs_claim, serve_keyed
from cornelspan_requests.objectives import ObjectiveCounts
from cornelspan_requests.outcomes import (
    CALLER_FAULTS,
    DEADLINE_HEADER,
    KEY_HEADER,
    PRIORITY_HEADER,
    Failure,
    Reason,
    RequestOutcome,
)
from cornelspan_requests.slow_start import SlowStart
from cornelspan_requests.voters import VoterSet

__all__ = ["Gateway", "Peers", "gateway"]

LOWEST_PRIORITY = 9
MEMBER_CHECK_SECONDS = 0.25
DEFAULT_PROFILE = Profile(name="default")
KEY_MESSAGES = (
    KeyClaim,
    KeyVote,
    KeyRelease,
    KeyDone,
    KeySync,
    KeyRecords,
    KeyLeave,
)


class Gateway:
    """The HTTP gateway of one agent: admission, dispatch, handoffs and key claims."""

    def __init__(
        self,
        settings: AgentSettings,
        configuration: Configuration,
        members: Members,
        peers: Peers,
        tasks: Tasks,
        incarnation: int,
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.members = members
        self.peers = peers
        self.tasks = tasks
        self.loop = asyncio.get_running_loop()
        self.streams: set[IOStream] = set()
        self.active = 0
        self.refused_connections = 0
        self.objective_counts = ObjectiveCounts()
        endpoint = create_endpoint(
            Admission(settings.slots),
            SlowStart(self.loop.time()),
            settings.endpoint,
            lambda: self.profile.requests.answer_bytes,
            self._peer_loads,
        )
        handoffs = Handoffs(peers.send, self._run_for_peer, tasks)
        self.dispatcher = Dispatcher(endpoint, handoffs, peers, random.random)
        voters = VoterSet(settings.name, incarnation, self.loop.time())
        self.claims = Claims(
            voters, peers.send, self.loop.time, self._record_window, self._voter_window
        )

    @property
    def profile(self) -> Profile:
        """The profile of the service; default values until one is known."""
        known = self.configuration.profile_of(self.settings.service)
        return known or DEFAULT_PROFILE

    @property
    def idle(self) -> bool:
        """Whether no request of a caller or of another agent is being served."""
        handoffs = self.dispatcher.handoffs
        return not self.active and not handoffs.incoming

    def own_load(self) -> OwnLoad | None:
        """Return this endpoint's load; None while it accepts no new requests."""
        return self.dispatcher.own_load(self.profile)

    def register(self, metrics: Metrics) -> None:
        """Register the metrics of this gateway."""
        admission = self.dispatcher.endpoint.admission
        admission_counts, dispatch_counts = admission.counts, self.dispatcher.counts
        key_store = self.claims.key_store
        metrics.gauge("requests_running", "Slots in use", lambda: admission.running)
        metrics.gauge("requests_waiting", "In queue", lambda: len(admission.queue))
        metrics.count(
            "requests_admitted", "Got a slot", lambda: admission_counts.admitted
        )
        metrics.count(
            "requests_shed_full", "Queue full", lambda: admission_counts.queue_full
        )
        metrics.count(
            "requests_shed_late", "Too late", lambda: admission_counts.deadline
        )
        metrics.count(
            "requests_shed_caller", "Over share", lambda: admission_counts.caller_share
        )
        metrics.count("requests_moved", "Handed over", lambda: dispatch_counts.moved)
        metrics.count(
            "requests_retried", "Tried again", lambda: dispatch_counts.retried
        )
        metrics.count(
            "retries_denied", "Over budget", lambda: dispatch_counts.out_of_budget
        )
        metrics.gauge("keys_held", "Keys remembered", lambda: len(key_store.records))
        metrics.count("keys_refused", "No room for a key", lambda: key_store.refused)

    async def handle_stream(self, stream: IOStream, caller: str) -> None:
        """Serve HTTP/1.1 on a flow until it ends.

        Args:
            stream: The flow's bytes.
            caller: The client's address without port, as the unit of fair sharing.
        """
        over_connection_limit = len(self.streams) >= self.settings.connections
        profile = self.profile

        async def respond(incoming: IncomingRequest, answer: Answer) -> None:
            answer.close_after = over_connection_limit or self.dispatcher.leaving
            await self._respond(
                incoming, answer, caller, over_connection_limit=over_connection_limit
            )

        self.refused_connections += over_connection_limit
        self.streams.add(stream)
        try:
            await serve_requests(
                stream,
                respond,
                body_limit=profile.requests.body_bytes,
                idle_seconds=profile.idle_seconds,
            )
        finally:
            self.streams.discard(stream)
            stream.close()

    def receive(self, sender: str, message: Message) -> None:
        """Process a message of another agent of the service (tags 40-59)."""
        if isinstance(message, KEY_MESSAGES):
            self.claims.receive(sender, message)
        else:
            self.dispatcher.handoffs.receive(sender, message)

    def peer_lost(self, name: str) -> None:
        """Fail the handoffs to and from an agent whose stream has ended."""
        self.dispatcher.handoffs.peer_lost(name)

    def leave(self) -> None:
        """Stop running new requests here; those on open flows go to other agents."""
        self.dispatcher.leaving = True

    async def drain(self, seconds: float) -> None:
        """Leave, wait for running requests, and send the key records to the others.

        Args:
            seconds: How long to wait at most.
        """
        self.leave()
        deadline = self.loop.time() + seconds
        while not self.idle and self.loop.time() < deadline:
            await asyncio.sleep(0.02)
        self.claims.leave()

    async def watch_members(self) -> None:
        """Keep the voters up to date, join them, and end excess ejections."""
        joining = self.tasks.start(self.claims.join(), name="join voters")
        try:
            while True:
                self._update_voters()
                self.dispatcher.endpoint.end_excess_ejection(
                    self.settings.name, self.profile
                )
                await asyncio.sleep(MEMBER_CHECK_SECONDS)
        finally:
            joining.cancel()

    def _update_voters(self) -> None:
        """Update the voters on key claims from the current members."""
        members = self.members.of_service(self.settings.service)
        now = self.loop.time()
        self.claims.voters.observe(members, now, self._voter_window())

    async def _respond(
        self,
        incoming: IncomingRequest,
        answer: Answer,
        caller: str,
        *,
        over_connection_limit: bool,
    ) -> None:
        """Answer one request, and count it as good or bad for the service's objective.

        A failure that the caller caused is not counted.
        """
        profile = self.profile
        request = request_of(incoming, profile, caller, self.loop.time())
        self.active += 1
        try:
            result = await self._serve(
                incoming,
                request,
                answer,
                profile,
                over_connection_limit=over_connection_limit,
            )
        finally:
            self.active -= 1
        match result:
            case Ok(status):
                answer.finish()
                succeeded = status < SERVER_ERROR
            case Err(failure):
                await answer.send_failure(failure)
                if failure.reason in CALLER_FAULTS:
                    return
                succeeded = False
        self.objective_counts.record(
            succeeded=succeeded,
            seconds=self.loop.time() - request.arrived,
            objective=profile.objective,
        )

    async def _serve(
        self,
        incoming: IncomingRequest,
        request: Request,
        answer: Answer,
        profile: Profile,
        *,
        over_connection_limit: bool,
    ) -> Result[int, Failure]:
        """Serve a request, or return why it is not served."""
        if incoming.too_large:
            return Err(Failure(RequestOutcome.NOT_RUN, Reason.TOO_LARGE))
        if over_connection_limit:
            reason = Reason.CONNECTIONS
            return Err(Failure(RequestOutcome.NOT_RUN, reason, MIN_RETRY_AFTER_SECONDS))
        if not needs_claim(request):
            return await self.dispatcher.serve(request, answer, profile)

        async def serve(request: Request, sink: RecordingSink) -> Result[int, Failure]:
            return await self.dispatcher.serve(request, sink, profile)

        self._update_voters()
        return await serve_keyed(request, answer, self.claims, serve, self.tasks)

    async def _run_for_peer(
        self, request: Request, sink: AnswerSink
    ) -> Result[int, Failure]:
        """Run a request that another agent handed off to this one."""
        return await self.dispatcher.run_for_peer(request, sink, self.profile)

    def _peer_loads(self) -> list[Load]:
        """Return the last loads of the other endpoints of the service."""
        return [peer.load for peer in self.peers.loads.peers.values()]

    def _record_window(self) -> float:
        """Return the seconds for which the record of a key is kept."""
        return self.profile.requests.claim_seconds

    def _voter_window(self) -> float:
        """Return the seconds for which a missing agent stays a voter."""
        requests = self.profile.requests
        return requests.claim_seconds + requests.deadline_seconds


def request_of(
    incoming: IncomingRequest, profile: Profile, caller: str, now: float
) -> Request:
    """Return a request with its deadline and priority.

    The headers can only shorten the profile's deadline and lower its priority.

    Args:
        incoming: The request as it was read.
        profile: The profile of the service.
        caller: The client's address without port.
        now: The time of arrival.
    """
    headers = incoming.headers
    allowed = profile.requests.deadline_seconds
    asked = _parse_number(headers.get(DEADLINE_HEADER, ""))
    if asked is not None:
        allowed = min(allowed, asked / 1000)
    wanted = _parse_number(headers.get(PRIORITY_HEADER, ""))
    priority = profile.priority
    if wanted is not None:
        priority = max(priority, min(wanted, LOWEST_PRIORITY))
    return Request(
        incoming.line.method,
        incoming.line.path,
        end_to_end_headers(headers),
        bytes(incoming.body),
        caller,
        now,
        now + allowed,
        priority,
        headers.get(KEY_HEADER, "").strip(),
    )


def _parse_number(text: str) -> int | None:
    """Return a non-negative header value, None if it is not a number."""
    return int(text) if text.isdecimal() and len(text) < 10 else None


@asynccontextmanager
async def gateway(
    settings: AgentSettings,
    configuration: Configuration,
    members: Members,
    peers: Peers,
    *,
    incarnation: int | None = None,
) -> AsyncIterator[Gateway]:
    """Run the HTTP gateway of an agent until the context ends.

    Args:
        settings: The agent's settings.
        configuration: The configuration in force.
        members: The members known here.
        peers: The other agents of the service.
        incarnation: The agent's incarnation, as in its hello message; by default the
            current time in milliseconds.
    """
    own_incarnation = incarnation or time.time_ns() // 1_000_000
    async with task_group() as tasks:
        instance = Gateway(
            settings, configuration, members, peers, tasks, own_incarnation
        )
        tasks.start(instance.watch_members(), name="watch members")
        try:
            yield instance
        finally:
            for stream in list(instance.streams):
                stream.close()
