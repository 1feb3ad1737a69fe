"""Where a request runs: here, or at another agent of the service, and what is retried.

A request moves on only when it surely did not run, or may run twice by its method. What
an agent turned away itself is moved without a retry's price; what reached a backend
server is retried within the budget and after a pause.
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
from cornelspan_requests.admission import LEAST_RETRY_AFTER
from cornelspan_requests.backend import AnswerSink
from cornelspan_requests.endpoint import Endpoint
from cornelspan_requests.exchange import Request
from cornelspan_requests.handoff import Handoffs
from cornelspan_requests.outcomes import Outcome, Reason, Refusal
from cornelspan_requests.retries import Draw, RetryBudget, is_repeatable, pause_before

MOST_MOVES = 2
UNSEEN_SECONDS = 0.01
MEASURE_SECONDS = 10.0
HERE = ""
TURNED_AWAY = frozenset(
    {Reason.QUEUE_FULL, Reason.DEADLINE, Reason.EJECTED, Reason.DRAINING}
)


@dataclass(frozen=True, slots=True)
class Peers:
    """The other agents of the service, as the flow layer reaches them.

    ``send`` gives a message to an agent by name, and returns False if there is no
    stream to it. ``names`` are the agents that can be reached, ``loads`` what they told
    last.
    """

    send: Callable[[str, Message], bool] = lambda name, message: False
    names: Callable[[], list[str]] = list
    loads: LoadTable = field(default_factory=LoadTable)


def best_place(
    own: OwnLoad | None, loads: LoadTable, names: list[str], tried: set[str], queue: int
) -> str | None:
    """Return where to run a request: an agent's name, ``HERE``, or None for nowhere.

    Args:
        own: This endpoint's load; None if it takes nothing new.
        loads: What the peers told last.
        names: The peers that can be reached.
        tried: Places that have turned the request away.
        queue: Bound of each endpoint's queue; the service's profile sets it for all.
    """
    untried = [
        name
        for name in names
        if name not in tried
        and name in loads.peers
        and loads.peers[name].load.waiting < max(1, queue)
    ]
    ordered = rank_targets(None if HERE in tried else own, loads, untried)
    return ordered[0] if ordered else None


def urgent_view(
    own: OwnLoad | None, loads: LoadTable
) -> tuple[OwnLoad | None, LoadTable]:
    """Return the loads as a request sees them whose priority was not lowered.

    It goes before all lowered ones that wait, so they are no load to it. Counted, they
    would send it to an endpoint with a short queue of its own kind.
    """
    if own is not None:
        own = replace(own, waiting=own.urgent)
    peers = {name: _urgent(peer) for name, peer in loads.peers.items()}
    return own, LoadTable(peers)


def _urgent(peer: PeerLoad) -> PeerLoad:
    load = structs.replace(peer.load, waiting=peer.load.urgent)
    return PeerLoad(load, peer.unanswered)


class TrackedSink(AnswerSink, Protocol):
    """A sink that knows whether its caller has begun to get an answer."""

    begun: bool


@dataclass
class DispatchCounts:
    """Requests by where they went."""

    here: int = 0
    moved: int = 0
    retried: int = 0
    out_of_budget: int = 0


@dataclass
class Dispatch:
    """What decides on the place of each request of one agent."""

    endpoint: Endpoint
    handoffs: Handoffs
    peers: Peers
    draw: Draw
    leaving: bool = False
    budget: RetryBudget = field(default_factory=RetryBudget)
    counts: DispatchCounts = field(default_factory=DispatchCounts)
    measured: int = 0
    measured_at: float = 0.0

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def own_load(self, profile: Profile) -> OwnLoad | None:
        """Return this endpoint's load, None if it takes nothing new.

        While it warms up it seems slower than it is, so that others are preferred.
        """
        standing = self.endpoint.standing()
        if self.leaving or standing is Standing.OUT:
            return None
        admission = self.endpoint.admission
        slots = 1 if standing is Standing.PROBING else admission.slots
        waiting = len(admission.queue)
        mean = self._mean_seconds(profile)
        urgent = admission.queue.up_to(profile.priority)
        return OwnLoad(slots, admission.running, waiting, mean, urgent)

    def _mean_seconds(self, profile: Profile) -> float:
        """Return the service time to tell of, ``UNMEASURED`` if it is not of late.

        An endpoint that was slow once gets little work. Its old figure kept, it would
        never get the requests that show that it has recovered.
        """
        now = self.loop.time()
        times = self.endpoint.admission.times
        if times.count != self.measured:
            self.measured = times.count
            self.measured_at = now
        if not times.is_telling or now - self.measured_at > MEASURE_SECONDS:
            return UNMEASURED
        return times.mean / self.endpoint.ramp.share(now, profile.slow_start_seconds)

    async def serve(
        self, request: Request, sink: TrackedSink, profile: Profile
    ) -> Result[int, Refusal]:
        """Run a request where it is best placed, and elsewhere if it comes to nothing.

        Returns:
            The status of the whole answer that the sink has got, or what is known of a
            request that has none.
        """
        self.budget.request(self.loop.time())
        tried: set[str] = set()
        moves = attempts = 0
        refusal = Refusal(Outcome.NOT_RUN, Reason.DRAINING, LEAST_RETRY_AFTER)
        urgent = request.priority <= profile.priority
        while (place := self._place(profile, tried, urgent=urgent)) is not None:
            tried.add(place)
            match await self._run(place, request, sink, profile):
                case Ok(status):
                    return Ok(status)
                case Err(refusal):
                    pass
            if sink.begun or not is_repeatable(request.method, refusal):
                break
            if refusal.reason is Reason.MOVED:
                # It waited there while another had a slot free; all are open again.
                tried.clear()
                continue
            if refusal.reason in TURNED_AWAY and refusal.outcome is Outcome.NOT_RUN:
                moves += 1
                if moves > MOST_MOVES:
                    break
                continue
            attempts += 1
            if not await self._may_retry(attempts, request, refusal, profile):
                break
            if self._place(profile, tried, urgent=urgent) is None:
                tried.clear()
        return Err(refusal)

    async def run_for_peer(
        self, request: Request, sink: AnswerSink, profile: Profile
    ) -> Result[int, Refusal]:
        """Run a request that another agent handed over; it goes no further."""
        if self.leaving:
            leaving = Refusal(Outcome.NOT_RUN, Reason.DRAINING, LEAST_RETRY_AFTER)
            return Err(leaving)
        return await self.endpoint.run(request, sink, profile)

    def _place(self, profile: Profile, tried: set[str], *, urgent: bool) -> str | None:
        """Return the best place not yet tried: an agent's name, ``HERE``, or None."""
        own = self.own_load(profile)
        names = self.peers.names()
        loads = self.peers.loads
        if urgent:
            own, loads = urgent_view(own, loads)
        return best_place(own, loads, names, tried, profile.requests.queue)

    async def _run(
        self, place: str, request: Request, sink: TrackedSink, profile: Profile
    ) -> Result[int, Refusal]:
        if place == HERE:
            self.counts.here += 1
            return await self.endpoint.run(request, sink, profile)
        self.counts.moved += 1
        # Counted against the peer until its own load shows the request; without this
        # all requests of one moment would fall on the same idle peer.
        self.peers.loads.add_unanswered(place)
        self.loop.call_later(UNSEEN_SECONDS, self.peers.loads.remove_unanswered, place)
        return await self.handoffs.send(place, request, sink)

    async def _may_retry(
        self, attempts: int, request: Request, refusal: Refusal, profile: Profile
    ) -> bool:
        """Spend a retry and pause; False if there is none, or no time for it."""
        now = self.loop.time()
        if refusal.reason in (Reason.CALLER_SHARE, Reason.CANCELLED):
            return False
        if attempts >= profile.retry.attempts:
            return False
        pause = pause_before(attempts, profile.retry, self.draw)
        if now + pause >= request.deadline:
            return False
        if not self.budget.spend(profile.retry, now):
            self.counts.out_of_budget += 1
            return False
        self.counts.retried += 1
        await asyncio.sleep(pause)
        return True
