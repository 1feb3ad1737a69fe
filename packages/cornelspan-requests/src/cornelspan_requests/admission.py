"""Which requests get a slot, which wait, and which are turned away at once.

Every decision takes the clock's value, so that a bench can drive it without waiting:

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
    """A waiting ticket that is given up, and what its caller is told, at once."""

    ticket: Ticket
    rejection: Failure


@dataclass(frozen=True, slots=True)
class Decision:
    """What an offer has led to.

    ``started`` may run now, ``rejection`` is the offered ticket's own, and ``shed``
    are others that the offered one has pushed out.
    """

    started: bool = False
    rejection: Failure | None = None
    shed: tuple[ShedTicket, ...] = ()


@dataclass
class AdmissionCounts:
    """Tickets by what became of them."""

    admitted: int = 0
    queue_full: int = 0
    caller_share: int = 0
    deadline: int = 0


@dataclass
class Admission:
    """The slots of one endpoint and the queue before them.

    ``limit`` is how many slots may be used now, fewer while the endpoint warms up.
    """

    slots: int
    limit: int = 0
    running: int = 0
    queue: RequestQueue = field(default_factory=RequestQueue)
    running_callers: Counter[str] = field(default_factory=Counter)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    counts: AdmissionCounts = field(default_factory=AdmissionCounts)
    number: int = 0

    def __post_init__(self) -> None:
        self.limit = self.limit or self.slots

    def expected_wait(self, ahead: int) -> float:
        """Return the seconds until a slot is likely free behind ``ahead`` others."""
        if self.running < self.limit and not ahead:
            return 0.0
        busy = self.running + ahead - self.limit + 1
        return max(0.0, busy * self.times.mean / self.limit)

    def offer(self, ticket: Ticket, policy: RequestPolicy, *, now: float) -> Decision:
        """Start a ticket, let it wait, or refuse it.

        A full queue gives up its last ticket for a better one. A ticket that can't end
        by its deadline behind those before it is refused now, since the work would be
        for nobody and the caller can ask elsewhere.
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
        self, ticket: Ticket, *, now: float, measured: bool = True
    ) -> list[Ticket]:
        """Free a ticket's slot.

        Args:
            ticket: A started ticket.
            now: The clock.
            measured: Whether its time tells how long a request takes.

        Returns:
            The tickets that run next.
        """
        self.running -= 1
        self.running_callers[ticket.caller] -= 1
        if self.running_callers[ticket.caller] <= 0:
            del self.running_callers[ticket.caller]
        if measured:
            self.times.record(now - ticket.started)
        return self.start_waiting(now=now)

    def start_waiting(self, *, now: float) -> list[Ticket]:
        """Start tickets as long as slots are free, as after ``limit`` has grown."""
        started = []
        while self.queue.tickets and self.running < self.limit:
            ticket = self.queue.pop()
            self._start(ticket, now)
            started.append(ticket)
        return started

    def cancel(self, ticket: Ticket) -> bool:
        """Forget a waiting ticket whose caller is gone."""
        return self.queue.remove(ticket)

    def shed_late(self, now: float) -> list[ShedTicket]:
        """Give up the waiting tickets that can no longer end by their deadline."""
        late = [
            ticket
            for ahead, ticket in enumerate(self.queue.tickets)
            if now + self.expected_wait(ahead) > ticket.latest_start
        ]
        return [self._shed(ticket, Reason.DEADLINE) for ticket in late]

    def _assign_position(self, ticket: Ticket) -> None:
        outstanding = (
            self.queue.callers[ticket.caller] + self.running_callers[ticket.caller]
        )
        self.number += 1
        caller_load = outstanding // self.slots
        ticket.position = QueuePosition(
            ticket.priority, caller_load, ticket.deadline, self.number
        )
        # The measured need is cut for callers whose deadline is shorter than it: they
        # start at once or not at all, but a slow phase can't shut them out for good.
        window = ticket.deadline - ticket.arrived
        ticket.latest_start = ticket.deadline - min(
            self.times.high_estimate, window / 2
        )

    def _check_rejection(
        self, ticket: Ticket, policy: RequestPolicy, now: float
    ) -> Failure | None:
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
        """Whether a caller fills its part of the queue while others wait too.

        Alone it may have all of the queue, as a hall full of kiosks behind one address:
        whoever comes then is less crowded and pushes out its last.
        """
        waiting = self.queue.callers[caller]
        max_waiting = max(1, int(policy.queue * policy.caller_share))
        return waiting >= max_waiting and len(self.queue) > waiting

    def _shed_overflow(self, policy: RequestPolicy) -> list[ShedTicket]:
        surplus = self.queue.tickets[policy.queue :]
        return [self._shed(ticket, Reason.QUEUE_FULL) for ticket in surplus]

    def _shed(self, ticket: Ticket, reason: Reason) -> ShedTicket:
        self.queue.remove(ticket)
        if reason is Reason.DEADLINE:
            self.counts.deadline += 1
        else:
            self.counts.queue_full += 1
        return ShedTicket(ticket, self._rejection(reason))

    def _rejection(self, reason: Reason) -> Failure:
        wait = self.expected_wait(len(self.queue))
        return Failure(
            RequestOutcome.NOT_RUN, reason, max(MIN_RETRY_AFTER_SECONDS, wait)
        )

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started = now
        self.running += 1
        self.running_callers[ticket.caller] += 1
        self.counts.admitted += 1
