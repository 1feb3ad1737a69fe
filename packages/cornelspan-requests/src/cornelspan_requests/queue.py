"""The queue of requests that wait for a slot.

Requests are ordered by priority, then by the load of their caller, then by deadline.
The caller load is the number of requests that the caller has running or waiting,
divided by the number of slots. So a caller that sends many requests with short
deadlines can't get ahead of callers that send few.
"""

import bisect
from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """The sort key of a request; the smallest is served first.

    ``priority`` 0 is the most urgent. ``deadline`` is in seconds on the queue owner's
    clock. ``arrival`` is the order of arrival.
    """

    priority: int
    caller_load: int
    deadline: float
    arrival: int


@dataclass(eq=False, slots=True)
class Ticket:
    """One request that asks for a slot; times in seconds on the queue owner's clock.

    ``arrived`` is when it came, ``started`` when it got its slot, and ``latest_start``
    when it must get one to finish by its deadline. ``size`` is its body's, in bytes.
    """

    caller: str
    priority: int
    deadline: float
    arrived: float
    size: int = 0
    position: QueuePosition = field(default=QueuePosition(0, 0, 0.0, 0))
    latest_start: float = 0.0
    started: float = 0.0


@dataclass
class RequestQueue:
    """Waiting tickets in order, with counts by caller and priority.

    ``queued_bytes`` is the size of all waiting bodies.
    """

    tickets: list[Ticket] = field(default_factory=list)
    callers: Counter[str] = field(default_factory=Counter)
    priorities: Counter[int] = field(default_factory=Counter)
    queued_bytes: int = 0

    def __len__(self) -> int:
        return len(self.tickets)

    def ahead_of(self, position: QueuePosition) -> int:
        """Return how many waiting tickets are served before a position."""
        return bisect.bisect_left(self.tickets, position, key=_position_of)

    def add(self, ticket: Ticket) -> None:
        """Insert a ticket at its position."""
        bisect.insort(self.tickets, ticket, key=_position_of)
        self.callers[ticket.caller] += 1
        self.priorities[ticket.priority] += 1
        self.queued_bytes += ticket.size

    def count_up_to(self, priority: int) -> int:
        """Return how many tickets have this priority or a more urgent one."""
        return sum(n for other, n in self.priorities.items() if other <= priority)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; False if it is not in the queue."""
        index = self.ahead_of(ticket.position)
        if index == len(self.tickets) or self.tickets[index] is not ticket:
            return False
        del self.tickets[index]
        self._uncount(ticket)
        return True

    def pop(self) -> Ticket:
        """Remove and return the first ticket."""
        ticket = self.tickets.pop(0)
        self._uncount(ticket)
        return ticket

    def _uncount(self, ticket: Ticket) -> None:
        """Subtract a removed ticket from the counts."""
        self.queued_bytes -= ticket.size
        self.priorities[ticket.priority] -= 1
        self.callers[ticket.caller] -= 1
        if self.callers[ticket.caller] <= 0:
            del self.callers[ticket.caller]


def _position_of(ticket: Ticket) -> QueuePosition:
    return ticket.position
