"""Admission control: which requests get a slot, wait in the queue, or are rejected.

Every method that depends on time takes it as an argument, so that benchmarks and tests
can use a simulated clock:

    admission = Admission(slots=2)
    decision = admission.offer(ticket, policy, now=0.0)
    started = admission.finish(ticket, now=0.05)
"""

from collections import Counter
from dataclasses import dataclass, field

from cornelspan_control.profiles import RequestPolicy
from cornelspan_requests.outcomes import Failure, Reason, RequestOutcome
from cornelspan_requests.queue import QueuePosition, RequestQueue, Ticket
from cornelspan_requests.service_times import ServiceTimes

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_QUEUED_BYTES = 33554432


@dataclass(frozen=True, slots=True)
class ShedTicket:
    """A waiting ticket that was dropped from the queue, and why."""

    ticket: Ticket
    rejection: Failure


@dataclass(frozen=True, slots=True)
class Decision:
    """The result of offering a ticket.

    ``started`` tells whether the ticket got a slot. ``rejection`` is why it was
    rejected, None if it runs or waits. ``shed`` are other tickets that were dropped
    from the queue because of the offer.
    """

    started: bool = False
    rejection: Failure | None = None
    shed: tuple[ShedTicket, ...] = ()


@dataclass
class AdmissionCounts:
    """Admitted tickets, and rejected or shed ones by reason."""

    admitted: int = 0
    queue_full: int = 0
    caller_share: int = 0
    deadline: int = 0


@dataclass
class Admission:
    """The slots of one endpoint and the queue of requests that wait for one.

    ``limit`` is how many of the slots may be used now: fewer than ``slots`` during slow
    start. ``arrivals`` counts the offered tickets.
    """

    slots: int
    limit: int = 0
    running: int = 0
    queue: RequestQueue = field(default_factory=RequestQueue)
    running_callers: Counter[str] = field(default_factory=Counter)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    counts: AdmissionCounts = field(default_factory=AdmissionCounts)
    arrivals: int = 0

    def __post_init__(self) -> None:
        self.limit = self.limit or self.slots

    def expected_wait(self, ahead: int) -> float:
        """Return the expected seconds until a slot is free for a ticket.

        This assumes that running tickets finish at even intervals: one every mean
        service time divided by the number of usable slots.

        Args:
            ahead: Waiting tickets that get a slot before it.
        """
        if self.running < self.limit and not ahead:
            return 0.0
        must_finish = self.running + ahead - self.limit + 1
        return max(0.0, must_finish * self.times.mean / self.limit)

    def offer(self, ticket: Ticket, policy: RequestPolicy, *, now: float) -> Decision:
        """Start a ticket, add it to the queue, or reject it.

        If the queue is full, a ticket that sorts before others replaces the last one. A
        ticket that is not expected to finish by its deadline is rejected at once: its
        caller would no longer use the answer, and can try another endpoint.

        Args:
            ticket: The ticket.
            policy: Bounds of the queue and of one caller's share.
            now: The time.
        """
        self._assign_position(ticket)
        rejection = self._check_rejection(ticket, policy, now)
        if rejection is not None:
            return Decision(rejection=rejection)
        if self.running < self.limit and not self.queue.tickets:
            self._start(ticket, now)
            return Decision(started=True)
        self.queue.add(ticket)
        return Decision(shed=tuple(self._shed_overflow(policy) + self.shed_late(now)))

    def finish(
        self, ticket: Ticket, *, now: float, record_time: bool = True
    ) -> list[Ticket]:
        """Free a ticket's slot and start waiting tickets.

        Args:
            ticket: A started ticket.
            now: The time.
            record_time: Whether to record its service time.

        Returns:
            The waiting tickets that got a slot.
        """
        self.running -= 1
        self.running_callers[ticket.caller] -= 1
        if self.running_callers[ticket.caller] <= 0:
            del self.running_callers[ticket.caller]
        if record_time:
            self.times.record(now - ticket.started)
        return self.start_waiting(now=now)

    def start_waiting(self, *, now: float) -> list[Ticket]:
        """Start waiting tickets while slots are free, and return them."""
        started = []
        while self.queue.tickets and self.running < self.limit:
            ticket = self.queue.pop()
            self._start(ticket, now)
            started.append(ticket)
        return started

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a ticket from the queue; False if it isn't waiting."""
        return self.queue.remove(ticket)

    def shed_late(self, now: float) -> list[ShedTicket]:
        """Drop waiting tickets that are not expected to finish by their deadline."""
        late = [
            ticket
            for ahead, ticket in enumerate(self.queue.tickets)
            if now + self.expected_wait(ahead) > ticket.latest_start
        ]
        return [self._shed(ticket, Reason.DEADLINE) for ticket in late]

    def _assign_position(self, ticket: Ticket) -> None:
        """Set the position of a ticket in the queue, and when it must start."""
        outstanding = (
            self.queue.callers[ticket.caller] + self.running_callers[ticket.caller]
        )
        self.arrivals += 1
        caller_load = outstanding // self.slots
        ticket.position = QueuePosition(
            ticket.priority, caller_load, ticket.deadline, self.arrivals
        )
        # The reserved service time is at most half of the time until the deadline.
        # Without this bound a slow phase would shut out for good the callers whose
        # deadlines are shorter than the estimate: none of their requests would run and
        # lower it again. With it, they run if a slot is free or free very soon.
        window = ticket.deadline - ticket.arrived
        ticket.latest_start = ticket.deadline - min(
            self.times.high_estimate, window / 2
        )

    def _check_rejection(
        self, ticket: Ticket, policy: RequestPolicy, now: float
    ) -> Failure | None:
        """Return why a ticket is rejected, None if it may run or wait."""
        ahead = self.queue.ahead_of(ticket.position)
        if now + self.expected_wait(ahead) > ticket.latest_start:
            self.counts.deadline += 1
            return self._rejection(Reason.DEADLINE)
        if self.running < self.limit and not self.queue.tickets:
            return None
        if self._exceeds_share(ticket.caller, policy):
            self.counts.caller_share += 1
            return self._rejection(Reason.CALLER_SHARE)
        if (
            ahead >= policy.queue
            or self.queue.queued_bytes + ticket.size > MAX_QUEUED_BYTES
        ):
            self.counts.queue_full += 1
            return self._rejection(Reason.QUEUE_FULL)
        return None

    def _exceeds_share(self, caller: str, policy: RequestPolicy) -> bool:
        """Whether a caller fills its share of the queue while other callers wait.

        A caller that waits alone may fill the whole queue, e.g. many client devices
        behind one address. A request of another caller then sorts first because of its
        lower caller load, and replaces the last ticket.
        """
        waiting = self.queue.callers[caller]
        max_waiting = max(1, int(policy.queue * policy.caller_share))
        return waiting >= max_waiting and len(self.queue) > waiting

    def _shed_overflow(self, policy: RequestPolicy) -> list[ShedTicket]:
        """Drop the tickets beyond the largest length of the queue."""
        surplus = self.queue.tickets[policy.queue :]
        return [self._shed(ticket, Reason.QUEUE_FULL) for ticket in surplus]

    def _shed(self, ticket: Ticket, reason: Reason) -> ShedTicket:
        """Drop a waiting ticket and count it."""
        self.queue.remove(ticket)
        if reason is Reason.DEADLINE:
            self.counts.deadline += 1
        else:
            self.counts.queue_full += 1
        return ShedTicket(ticket, self._rejection(reason))

    def _rejection(self, reason: Reason) -> Failure:
        """Return the failure for a reason, with the time to retry after."""
        wait = self.expected_wait(len(self.queue))
        return Failure(
            RequestOutcome.NOT_RUN, reason, max(MIN_RETRY_AFTER_SECONDS, wait)
        )

    def _start(self, ticket: Ticket, now: float) -> None:
        """Give a slot to a ticket."""
        ticket.started = now
        self.running += 1
        self.running_callers[ticket.caller] += 1
        self.counts.admitted += 1
