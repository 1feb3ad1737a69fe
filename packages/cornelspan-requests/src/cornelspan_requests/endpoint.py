"""The endpoint beside this agent: its slots, its standing and its warming up.

match await endpoint.run(request, answer, profile):
    case Ok(status): ...
    case Err(refusal): ...
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelspan_common.ejection import Judgement, Standing, has_room, must_return
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
LEAST_MEASURED = 20
RECONSIDER_SECONDS = 0.1

log = get_log(__name__)
Ask = Callable[[Request, AnswerSink], Awaitable[Result[int, Failure]]]
PeerLoads = Callable[[], Iterable[Load]]


@dataclass
class Endpoint:
    """What an agent holds of its backend server.

    ``ask`` runs one request at the server; ``peer_loads`` are the loads of the other
    endpoints of the service, which bound how many may be out at once.
    """

    admission: Admission
    ramp: SlowStart
    ask: Ask
    peer_loads: PeerLoads
    judgement: Judgement = field(default_factory=Judgement)
    turns: dict[Ticket, asyncio.Future] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def standing(self) -> Standing:
        """Return how the endpoint stands now."""
        return self.judgement.standing(self.loop.time())

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.admission.running == 0 and not self.admission.queue.tickets

    async def run(
        self, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        """Get a slot for a request, run it, and judge the endpoint by it."""
        if (failure := self._turn_away(profile)) is not None:
            return Err(failure)
        probing = self.standing() is Standing.PROBING
        self.judgement.probing += probing
        try:
            return await self._admit(request, sink, profile)
        finally:
            self.judgement.probing -= probing

    def return_if_too_many(self, name: str, profile: Profile) -> None:
        """End an ejection when more endpoints are out than the profile allows."""
        if not self.judgement.ejected:
            return
        loads = list(self.peer_loads())
        out = [name, *(load.name for load in loads if load.slots == 0)]
        share = profile.ejection.share_limit
        if must_return(name, out, len(loads) + 1, share):
            self.judgement.readmit()
            log.warning("endpoint readmitted", extra={"why": "too many are out"})

    def _turn_away(self, profile: Profile) -> Failure | None:
        """Refuse while the endpoint is ejected, but for one probe at a time."""
        standing = self.standing()
        probed = standing is Standing.PROBING and self.judgement.probing
        if standing is Standing.OUT or probed:
            left = self.judgement.ejected_until - self.loop.time()
            return Failure(RequestOutcome.NOT_RUN, Reason.EJECTED, max(1.0, left))
        return None

    async def _admit(
        self, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        now = self.loop.time()
        self._warm_up(profile, now)
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
            self.turns[ticket] = self.loop.create_future()
            self._reject_shed(decision.shed)
            failure = await self._turn(ticket)
            if failure is not None:
                return Err(failure)
        return await self._hold_slot(ticket, request, sink, profile)

    async def _turn(self, ticket: Ticket) -> Failure | None:
        """Wait for a slot; the refusal if there is none in time."""
        turn = self.turns[ticket]
        try:
            while self.loop.time() < ticket.latest_start:
                pause = RECONSIDER_SECONDS * random.uniform(1, 2)
                until_latest = ticket.latest_start - self.loop.time()
                await asyncio.wait({turn}, timeout=min(pause, until_latest))
                if turn.done():
                    return turn.result()
                if self._should_move(ticket):
                    self._withdraw(ticket, turn)
                    return Failure(
                        RequestOutcome.NOT_RUN, Reason.MOVED, MIN_RETRY_AFTER_SECONDS
                    )
            self._withdraw(ticket, turn)
            return Failure(
                RequestOutcome.NOT_RUN, Reason.DEADLINE, MIN_RETRY_AFTER_SECONDS
            )
        except asyncio.CancelledError:
            self._withdraw(ticket, turn)
            raise
        finally:
            del self.turns[ticket]

    def _should_move(self, ticket: Ticket) -> bool:
        """Whether a request waits here while another endpoint has a slot free.

        Only the first of the queue moves, or all that wait anywhere would fall on the
        one free slot. Without moving, a request behind two very long ones misses its
        deadline while the rest of the service is idle.
        """
        first = self.admission.queue.tickets[0] is ticket
        return first and has_idle_peer(self.peer_loads())

    def _withdraw(self, ticket: Ticket, turn: asyncio.Future) -> None:
        """Leave the queue, or give back the slot that came in the same moment."""
        if not self.admission.cancel(ticket) and _started(turn):
            self._free(ticket, measured=False)

    async def _hold_slot(
        self, ticket: Ticket, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        measured = False
        try:
            result = await self.ask(request, sink)
            measured = self._judge(result, profile)
            return result
        finally:
            self._free(ticket, measured=measured)

    def _free(self, ticket: Ticket, *, measured: bool) -> None:
        now = self.loop.time()
        started = self.admission.finish(ticket, now=now, measured=measured)
        for next_ticket in started:
            self._resolve(next_ticket, None)
        self._reject_shed(self.admission.shed_late(now))

    def _reject_shed(self, shed: Iterable[ShedTicket]) -> None:
        """Tell those given up at once, so that their callers can go elsewhere."""
        for dropped in shed:
            self._resolve(dropped.ticket, dropped.rejection)

    def _resolve(self, ticket: Ticket, failure: Failure | None) -> None:
        turn = self.turns.get(ticket)
        if turn is not None and not turn.done():
            turn.set_result(failure)
        elif failure is None:
            # Its caller went away in this very turn of the loop; the slot goes on.
            self._free(ticket, measured=False)

    def _judge(self, result: Result[int, Failure], profile: Profile) -> bool:
        """Judge the endpoint by one result.

        Returns:
            Whether the time that it took tells how long requests take.
        """
        now = self.loop.time()
        match result:
            case Ok(status) if status < SERVER_ERROR:
                self._succeeded(profile, now)
                return True
            case Err(Failure(reason=Reason.CANCELLED)):
                return False
            case Err(Failure(reason=reason)):
                self._failed(profile, now)
                return reason is Reason.DEADLINE
        self._failed(profile, now)
        return True

    def _succeeded(self, profile: Profile, now: float) -> None:
        if self.judgement.succeed(now):
            self.ramp.restart(now)
            # Times of before the ejection would eject it again at once.
            self.admission.times = ServiceTimes()
            log.info("endpoint readmitted")
        if self.admission.times.count < LEAST_MEASURED:
            return
        loads = list(self.peer_loads())
        others = [
            load.mean_seconds
            for load in loads
            if load.slots > 0 and load.mean_seconds > UNMEASURED
        ]
        own = self.admission.times.mean
        room = self._room(profile, loads)
        if self.judgement.eject_if_slow(own, others, profile.ejection, now, room=room):
            log.warning("endpoint ejected", extra={"why": "slow", "seconds": own})

    def _failed(self, profile: Profile, now: float) -> None:
        room = self._room(profile, list(self.peer_loads()))
        if self.judgement.fail(profile.ejection, now, room=room):
            log.warning("endpoint ejected", extra={"why": "failures"})

    def _room(self, profile: Profile, loads: list[Load]) -> bool:
        out = sum(1 for load in loads if load.slots == 0)
        return has_room(out, len(loads) + 1, profile.ejection)

    def _warm_up(self, profile: Profile, now: float) -> None:
        """Use fewer slots while the endpoint is new and others can take the load."""
        slots = self.admission.slots
        self.admission.limit = slots
        if has_idle_peer(self.peer_loads()):
            seconds = profile.slow_start_seconds
            self.admission.limit = self.ramp.slots(now, seconds, slots)


def has_idle_peer(loads: Iterable[Load]) -> bool:
    """Whether any endpoint has a slot free and nothing waiting for it."""
    return any(load.running + load.waiting < load.slots for load in loads)


def _started(turn: asyncio.Future) -> bool:
    return turn.done() and not turn.cancelled() and turn.result() is None


def endpoint_of(
    admission: Admission,
    ramp: SlowStart,
    server: Address,
    answer_bytes: Callable[[], int],
    peer_loads: PeerLoads,
) -> Endpoint:
    """Return an endpoint whose requests run at a backend server.

    Args:
        admission: Slots and queue.
        ramp: When the endpoint began.
        server: The backend server's address.
        answer_bytes: Limit of an answer's body.
        peer_loads: Loads of the service's other endpoints.
    """

    async def ask(request: Request, sink: AnswerSink) -> Result[int, Failure]:
        return await call(request, server, sink, answer_bytes=answer_bytes())

    return Endpoint(admission, ramp, ask, peer_loads)
