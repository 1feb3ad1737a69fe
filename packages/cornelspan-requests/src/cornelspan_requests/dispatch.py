"""Choice of the endpoint that runs a request, and retries at other endpoints.

A request is sent to another endpoint only if it certainly did not run, or if its method
is idempotent. A request that an agent rejected is sent on at once and doesn't count as
a retry. A request that may have reached a backend server is retried after a backoff,
within the retry budget.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from msgspec import structs
from result import Err, Ok, Result

from cornelspan_common.ejection import Standing
from cornelspan_common.packets import Message
from cornelspan_control.profiles import Profile
from cornelspan_ownership.placement import (
    UNMEASURED,
    LoadTable,
    OwnLoad,
    PeerLoad,
    rank_targets,
)
from cornelspan_requests.admission import MIN_RETRY_AFTER_SECONDS
from cornelspan_requests.backend import AnswerSink
from cornelspan_requests.endpoint import Endpoint
from cornelspan_requests.exchange import Request
from cornelspan_requests.handoff import Handoffs
from cornelspan_requests.outcomes import Failure, Reason, RequestOutcome
from cornelspan_requests.retries import (
    RandomFraction,
    RetryBudget,
    backoff_pause,
    is_repeatable,
)

MAX_MOVES = 2
PENDING_LOAD_SECONDS = 0.01
MEAN_VALID_SECONDS = 10.0
LOCAL = ""
REJECTED_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.DEADLINE, Reason.EJECTED, Reason.DRAINING}
)


@dataclass(frozen=True, slots=True)
class Peers:
    """The other agents of the service.

    ``send`` sends a message to an agent by name, and returns False if there is no
    stream to it. ``names`` returns the agents that have a stream. ``loads`` are the
    loads that they reported last.
    """

    send: Callable[[str, Message], bool] = lambda name, message: False
    names: Callable[[], list[str]] = list
    loads: LoadTable = field(default_factory=LoadTable)


def choose_destination(
    own: OwnLoad | None, loads: LoadTable, names: list[str], tried: set[str], queue: int
) -> str | None:
    """Return where to run a request: an agent's name, ``LOCAL``, or None for nowhere.

    Args:
        own: This endpoint's load; None if it accepts no new requests.
        loads: The loads that the peers reported last.
        names: The peers that can be reached.
        tried: Destinations at which the request has failed already.
        queue: Largest length of an endpoint's queue, the same for the whole service.
    """
    untried = [
        name
        for name in names
        if name not in tried
        and name in loads.peers
        and loads.peers[name].load.waiting < max(1, queue)
    ]
    ordered = rank_targets(None if LOCAL in tried else own, loads, untried)
    return ordered[0] if ordered else None


def urgent_loads(
    own: OwnLoad | None, loads: LoadTable
) -> tuple[OwnLoad | None, LoadTable]:
    """Return the loads that count for a request of the service's own priority.

    Such a request is served before all waiting requests whose callers asked for a lower
    priority, so only ``urgent`` requests count as waiting. If all were counted, it
    could be sent to an endpoint with a shorter queue but more urgent requests in it.
    """
    if own is not None:
        own = replace(own, waiting=own.urgent)
    peers = {name: _urgent_load(peer) for name, peer in loads.peers.items()}
    return own, LoadTable(peers)


def _urgent_load(peer: PeerLoad) -> PeerLoad:
    """Return the load of a peer with only its urgent requests as waiting."""
    load = structs.replace(peer.load, waiting=peer.load.urgent)
    return PeerLoad(load, peer.pending_handoffs)


class TrackedSink(AnswerSink, Protocol):
    """A sink that tells whether any part of an answer has been sent to the caller."""

    begun: bool


@dataclass
class DispatchCounts:
    """Requests run at the own endpoint, handed off, and retried.

    ``out_of_budget`` counts retries that the budget did not allow.
    """

    local: int = 0
    moved: int = 0
    retried: int = 0
    out_of_budget: int = 0


@dataclass
class Dispatcher:
    """Chooses the destination of each request of one agent, and retries it.

    ``leaving`` is set while the agent shuts down. ``sample_count`` and ``sampled_at``
    tell when the endpoint's service times last changed.
    """

    endpoint: Endpoint
    handoffs: Handoffs
    peers: Peers
    random_fraction: RandomFraction
    leaving: bool = False
    budget: RetryBudget = field(default_factory=RetryBudget)
    counts: DispatchCounts = field(default_factory=DispatchCounts)
    sample_count: int = 0
    sampled_at: float = 0.0

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def own_load(self, profile: Profile) -> OwnLoad | None:
        """Return this endpoint's load, None if it accepts no new requests.

        During slow start its mean service time is raised, so that others are preferred.
        """
        standing = self.endpoint.standing()
        if self.leaving or standing is Standing.OUT:
            return None
        admission = self.endpoint.admission
        slots = 1 if standing is Standing.PROBING else admission.slots
        waiting = len(admission.queue)
        mean = self._mean_seconds(profile)
        urgent = admission.queue.count_up_to(profile.priority)
        return OwnLoad(slots, admission.running, waiting, mean, urgent)

    def _mean_seconds(self, profile: Profile) -> float:
        """Return the mean service time to report, ``UNMEASURED`` if it is too old.

        An endpoint that was slow gets few requests. If its old mean were reported
        without limit, it would never get the requests that show that it has recovered.
        """
        now = self.loop.time()
        times = self.endpoint.admission.times
        if times.count != self.sample_count:
            self.sample_count = times.count
            self.sampled_at = now
        if not times.is_reliable or now - self.sampled_at > MEAN_VALID_SECONDS:
            return UNMEASURED
        return times.mean / self.endpoint.slow_start.load_fraction(
            now, profile.slow_start_seconds
        )

    async def serve(
        self, request: Request, sink: TrackedSink, profile: Profile
    ) -> Result[int, Failure]:
        """Run a request at the best destination, and retry elsewhere if it fails.

        Args:
            request: The request.
            sink: Gets the answer.
            profile: The profile of the service.

        Returns:
            The status of the answer, which the sink has got whole, or the last failure.
        """
        self.budget.record_request(self.loop.time())
        tried: set[str] = set()
        moves = attempts = 0
        failure = Failure(
            RequestOutcome.NOT_RUN, Reason.DRAINING, MIN_RETRY_AFTER_SECONDS
        )
        urgent = request.priority <= profile.priority
        while (
            destination := self._choose_destination(profile, tried, urgent=urgent)
        ) is not None:
            tried.add(destination)
            match await self._run(destination, request, sink, profile):
                case Ok(status):
                    return Ok(status)
                case Err(failure):
                    pass
            if sink.begun or not is_repeatable(request.method, failure):
                break
            if failure.reason is Reason.MOVED:
                # It left a queue because another endpoint had a free slot; every
                # endpoint may be chosen again.
                tried.clear()
                continue
            if (
                failure.reason in REJECTED_REASONS
                and failure.outcome is RequestOutcome.NOT_RUN
            ):
                moves += 1
                if moves > MAX_MOVES:
                    break
                continue
            attempts += 1
            if not await self._wait_to_retry(attempts, request, failure, profile):
                break
            if self._choose_destination(profile, tried, urgent=urgent) is None:
                tried.clear()
        return Err(failure)

    async def run_for_peer(
        self, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Failure]:
        """Run a request that another agent handed off; it is not handed off again."""
        if self.leaving:
            leaving = Failure(
                RequestOutcome.NOT_RUN, Reason.DRAINING, MIN_RETRY_AFTER_SECONDS
            )
            return Err(leaving)
        return await self.endpoint.run(request, sink, profile)

    def _choose_destination(
        self, profile: Profile, tried: set[str], *, urgent: bool
    ) -> str | None:
        """Return the best one not yet tried: an agent's name, ``LOCAL``, or None."""
        own = self.own_load(profile)
        names = self.peers.names()
        loads = self.peers.loads
        if urgent:
            own, loads = urgent_loads(own, loads)
        return choose_destination(own, loads, names, tried, profile.requests.queue)

    async def _run(
        self, destination: str, request: Request, sink: TrackedSink, profile: Profile
    ) -> Result[int, Failure]:
        """Run a request at this endpoint, or hand it off to an agent."""
        if destination == LOCAL:
            self.counts.local += 1
            return await self.endpoint.run(request, sink, profile)
        self.counts.moved += 1
        # Add the request to the peer's load until the peer's own report includes it.
        # Otherwise all requests of the same moment would go to the same idle peer.
        self.peers.loads.add_pending_handoff(destination)
        self.loop.call_later(
            PENDING_LOAD_SECONDS, self.peers.loads.remove_pending_handoff, destination
        )
        return await self.handoffs.send(destination, request, sink)

    async def _wait_to_retry(
        self, attempts: int, request: Request, failure: Failure, profile: Profile
    ) -> bool:
        """Take a retry from the budget and wait for its backoff; False if none."""
        now = self.loop.time()
        if failure.reason in (Reason.CALLER_SHARE, Reason.CANCELLED):
            return False
        if attempts >= profile.retry.attempts:
            return False
        pause = backoff_pause(attempts, profile.retry, self.random_fraction)
        if now + pause >= request.deadline:
            return False
        if not self.budget.spend(profile.retry, now):
            self.counts.out_of_budget += 1
            return False
        self.counts.retried += 1
        await asyncio.sleep(pause)
        return True
