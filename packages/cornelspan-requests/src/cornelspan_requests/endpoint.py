"""The agent's own endpoint: its slots, outlier detection and slow start.

match await endpoint.run(request, answer, profile):
    case Ok(status): ...
    case Err(failure): ...
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelspan_common.ejection import EjectionState, Standing, can_eject, must_readmit
from cornelspan_common.logs import get_log
from cornelspan_common.ownership import Load
from cornelspan_common.settings import Address
from cornelspan_control.profiles import Profile
from cornelspan_ownership.placement import UNMEASURED
from cornelspan_requests.admission import MIN_RETRY_AFTER_SECONDS, Admission, ShedTicket
from cornelspan_requests.backend import AnswerSink, call
from cornelspan_requests.exchange import Request
from cornelspan_requests.outcomes import Failure, Reason, RequestOutcome
from cornelspan_requests.queue import Ticket
from cornelspan_requests.service_times import ServiceTimes
from cornelspan_requests.slow_start import SlowStart

SERVER_ERROR = 500
MIN_LATENCY_SAMPLES = 20
MOVE_CHECK_SECONDS = 0.1

log = get_log(__name__)
CallServer = Callable[[Request, AnswerSink], Awaitable[Result[int, Failure]]]
PeerLoads = Callable[[], Iterable[Load]]


@dataclass
class Endpoint:
    """An agent's view of its backend server: admission, ejection and slow start.

    ``call_server`` runs one request at the server. ``peer_loads`` returns the loads of
    the other endpoints of the service. They limit how many endpoints may be ejected at
    once, and show whether another endpoint has a free slot. ``waiters`` are the futures
    of waiting tickets; each resolves to None with a slot, or to the failure.
    """

    admission: Admission
    slow_start: SlowStart
    call_server: CallServer
    peer_loads: PeerLoads
    ejection_state: EjectionState = field(default_factory=EjectionState)
    waiters: dict[Ticket, asyncio.Future] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def standing(self) -> Standing:
        """Return whether the endpoint is in service, ejected or being probed."""
        return self.ejection_state.standing(self.loop.time())

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.admission.running == 0 and not self.admission.queue.tickets

    async def run(
        self, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        """Run a request once it gets a slot.

        It is rejected while the endpoint is ejected, or while another request probes
        it. The result of the request may eject or readmit the endpoint.

        Args:
            request: The request.
            sink: Gets the answer.
            profile: The profile of the service.

        Returns:
            The status once the whole answer was passed on, or why it was not.
        """
        if (failure := self._reject_if_ejected(profile)) is not None:
            return Err(failure)
        is_probe = self.standing() is Standing.PROBING
        self.ejection_state.probes_running += is_probe
        try:
            return await self._admit(request, sink, profile)
        finally:
            self.ejection_state.probes_running -= is_probe

    def end_excess_ejection(self, name: str, profile: Profile) -> None:
        """End this endpoint's ejection if more are ejected than the profile allows.

        Agents eject their endpoints without coordination, so together they can exceed
        the limit.
        """
        if not self.ejection_state.ejected:
            return
        loads = list(self.peer_loads())
        unavailable = [name, *(load.name for load in loads if load.slots == 0)]
        share = profile.ejection.share_limit
        if must_readmit(name, unavailable, len(loads) + 1, share):
            self.ejection_state.readmit()
            log.warning(
                "endpoint readmitted", extra={"why": "too many endpoints ejected"}
            )

    def _reject_if_ejected(self, profile: Profile) -> Failure | None:
        """Return a failure while ejected; afterwards let one probe run at a time."""
        standing = self.standing()
        probe_running = (
            standing is Standing.PROBING and self.ejection_state.probes_running
        )
        if standing is Standing.OUT or probe_running:
            remaining = self.ejection_state.ejected_until - self.loop.time()
            return Failure(RequestOutcome.NOT_RUN, Reason.EJECTED, max(1.0, remaining))
        return None

    async def _admit(
        self, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        """Wait for a slot if needed, and run a request in it."""
        now = self.loop.time()
        self._apply_slow_start(profile, now)
        ticket = Ticket(
            request.caller,
            request.priority,
            request.deadline,
            now,
            size=len(request.body),
        )
        decision = self.admission.offer(ticket, profile.requests, now=now)
        if decision.rejection is not None:
            return Err(decision.rejection)
        if not decision.started:
            self.waiters[ticket] = self.loop.create_future()
            self._reject_shed(decision.shed)
            failure = await self._wait_for_slot(ticket)
            if failure is not None:
                return Err(failure)
        return await self._run_in_slot(ticket, request, sink, profile)

    async def _wait_for_slot(self, ticket: Ticket) -> Failure | None:
        """Wait for a slot; return a failure if there is none in time."""
        waiter = self.waiters[ticket]
        try:
            while self.loop.time() < ticket.latest_start:
                pause = MOVE_CHECK_SECONDS * random.uniform(1, 2)
                until_latest = ticket.latest_start - self.loop.time()
                await asyncio.wait({waiter}, timeout=min(pause, until_latest))
                if waiter.done():
                    return waiter.result()
                if self._should_move(ticket):
                    self._withdraw(ticket, waiter)
                    return Failure(
                        RequestOutcome.NOT_RUN, Reason.MOVED, MIN_RETRY_AFTER_SECONDS
                    )
            self._withdraw(ticket, waiter)
            return Failure(
                RequestOutcome.NOT_RUN, Reason.DEADLINE, MIN_RETRY_AFTER_SECONDS
            )
        except asyncio.CancelledError:
            self._withdraw(ticket, waiter)
            raise
        finally:
            del self.waiters[ticket]

    def _should_move(self, ticket: Ticket) -> bool:
        """Whether a waiting request should move to another endpoint with a free slot.

        Without moving, a request that waits behind very long ones misses its deadline
        while the rest of the service is idle. Only the first request in the queue
        moves; otherwise all waiting requests would be sent to the same free slot.
        """
        first = self.admission.queue.tickets[0] is ticket
        return first and has_idle_peer(self.peer_loads())

    def _withdraw(self, ticket: Ticket, waiter: asyncio.Future) -> None:
        """Leave the queue, or free the slot if one was assigned at the same time."""
        if not self.admission.cancel(ticket) and _has_slot(waiter):
            self._free_slot(ticket, record_time=False)

    async def _run_in_slot(
        self, ticket: Ticket, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        """Run a request, use its result, and free its slot."""
        record_time = False
        try:
            result = await self.call_server(request, sink)
            record_time = self._record_result(result, profile)
            return result
        finally:
            self._free_slot(ticket, record_time=record_time)

    def _free_slot(self, ticket: Ticket, *, record_time: bool) -> None:
        """Free the slot of a ticket, and give it to the next ones."""
        now = self.loop.time()
        started = self.admission.finish(ticket, now=now, record_time=record_time)
        for next_ticket in started:
            self._resolve(next_ticket, None)
        self._reject_shed(self.admission.shed_late(now))

    def _reject_shed(self, shed: Iterable[ShedTicket]) -> None:
        """Fail shed tickets at once, so that their requests can run elsewhere."""
        for dropped in shed:
            self._resolve(dropped.ticket, dropped.rejection)

    def _resolve(self, ticket: Ticket, failure: Failure | None) -> None:
        """Tell a waiting ticket that it has a slot, or why it has none."""
        waiter = self.waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(failure)
        elif failure is None:
            # The caller cancelled in the same iteration of the event loop. The slot was
            # already assigned to its ticket, so pass it on to the next one.
            self._free_slot(ticket, record_time=False)

    def _record_result(self, result: Result[int, Failure], profile: Profile) -> bool:
        """Count a result as success or failure, or as neither if it was cancelled.

        This may eject or readmit the endpoint.

        Returns:
            Whether the request's duration counts as a service time.
        """
        now = self.loop.time()
        match result:
            case Ok(status) if status < SERVER_ERROR:
                self._record_success(profile, now)
                return True
            case Err(Failure(reason=Reason.CANCELLED)):
                return False
            case Err(Failure(reason=reason)):
                self._record_failure(profile, now)
                # A request that ran into its deadline held its slot for that long.
                # Other failures may end early, so their durations don't count.
                return reason is Reason.DEADLINE
        # A status of ``SERVER_ERROR`` or above.
        self._record_failure(profile, now)
        return True

    def _record_success(self, profile: Profile, now: float) -> None:
        """Readmit an endpoint that is being probed; eject one that is too slow."""
        if self.ejection_state.record_success(now):
            self.slow_start.restart(now)
            # Service times from before the ejection would eject it again at once.
            self.admission.times = ServiceTimes()
            log.info("endpoint readmitted after probe")
        if self.admission.times.count < MIN_LATENCY_SAMPLES:
            return
        loads = list(self.peer_loads())
        other_means = [
            load.mean_seconds
            for load in loads
            if load.slots > 0 and load.mean_seconds > UNMEASURED
        ]
        own_mean = self.admission.times.mean
        may_eject = self._may_eject(profile, loads)
        if self.ejection_state.eject_if_slow(
            own_mean, other_means, profile.ejection, now, may_eject=may_eject
        ):
            log.warning("endpoint ejected", extra={"why": "slow", "seconds": own_mean})

    def _record_failure(self, profile: Profile, now: float) -> None:
        """Count a failure; eject the endpoint after too many in a row."""
        may_eject = self._may_eject(profile, list(self.peer_loads()))
        if self.ejection_state.record_failure(
            profile.ejection, now, may_eject=may_eject
        ):
            log.warning("endpoint ejected", extra={"why": "failures"})

    def _may_eject(self, profile: Profile, loads: list[Load]) -> bool:
        """Whether one more endpoint of the service may be ejected."""
        unavailable = sum(1 for load in loads if load.slots == 0)
        return can_eject(unavailable, len(loads) + 1, profile.ejection)

    def _apply_slow_start(self, profile: Profile, now: float) -> None:
        """Limit the slots during slow start if another endpoint has a free slot."""
        slots = self.admission.slots
        self.admission.limit = slots
        if has_idle_peer(self.peer_loads()):
            seconds = profile.slow_start_seconds
            self.admission.limit = self.slow_start.slots(now, seconds, slots)


def has_idle_peer(loads: Iterable[Load]) -> bool:
    """Whether any endpoint has a free slot and no waiting requests for it."""
    return any(load.running + load.waiting < load.slots for load in loads)


def _has_slot(waiter: asyncio.Future) -> bool:
    """Whether a waiting ticket has got a slot."""
    return waiter.done() and not waiter.cancelled() and waiter.result() is None


def create_endpoint(
    admission: Admission,
    slow_start: SlowStart,
    server: Address,
    answer_bytes: Callable[[], int],
    peer_loads: PeerLoads,
) -> Endpoint:
    """Return an endpoint whose requests run at a backend server.

    Args:
        admission: Slots and queue.
        slow_start: Slow start since the endpoint's last start.
        server: The backend server's address.
        answer_bytes: Returns the largest size of an answer's body, in bytes.
        peer_loads: Returns the loads of the service's other endpoints.
    """

    async def call_server(request: Request, sink: AnswerSink) -> Result[int, Failure]:
        return await call(request, server, sink, answer_bytes=answer_bytes())

    return Endpoint(admission, slow_start, call_server, peer_loads)
