"""The bounded queue of requests that wait for a slot.

Order: priority class first, then how crowded the caller is, then deadline. A caller's
crowding is how many rounds of slots its own requests fill already, so one caller that
sends a flood, however tight its deadlines, stands behind those who ask for little.
"""

import bisect
from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Where a request stands; the least goes first.

    Times are seconds of the clock that the owner of the queue goes by.
    """

    priority: int
    caller_load: int
    deadline: float
    number: int


@dataclass(eq=False, slots=True)
class Ticket:
    """One request that asks for a slot.

    ``latest_start`` is when it must have a slot so as to end by its deadline.
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
    """Waiting tickets in order, with counts by caller and of bytes held."""

    tickets: list[Ticket] = field(default_factory=list)
    callers: Counter[str] = field(default_factory=Counter)
    priorities: Counter[int] = field(default_factory=Counter)
    queued_bytes: int = 0

    def __len__(self) -> int:
        return len(self.tickets)

    def ahead_of(self, position: QueuePosition) -> int:
        """Return how many tickets go before a place."""
        return bisect.bisect_left(self.tickets, position, key=_position_of)

    def add(self, ticket: Ticket) -> None:
        """Put a ticket at its place."""
        bisect.insort(self.tickets, ticket, key=_position_of)
        self.callers[ticket.caller] += 1
        self.priorities[ticket.priority] += 1
        self.queued_bytes += ticket.size

    def count_up_to(self, priority: int) -> int:
        """Return how many tickets have this priority or a better one."""
        return sum(n for other, n in self.priorities.items() if other <= priority)

    def remove(self, ticket: Ticket) -> bool:
        """Take a ticket out; False if it is not in the queue."""
        index = self.ahead_of(ticket.position)
        if index == len(self.tickets) or self.tickets[index] is not ticket:
            return False
        del self.tickets[index]
        self._uncount(ticket)
        return True

    def pop(self) -> Ticket:
        """Take out the first ticket."""
        ticket = self.tickets.pop(0)
        self._uncount(ticket)
        return ticket

    def _uncount(self, ticket: Ticket) -> None:
        self.queued_bytes -= ticket.size
        self.priorities[ticket.priority] -= 1
        self.callers[ticket.caller] -= 1
        if self.callers[ticket.caller] <= 0:
            del self.callers[ticket.caller]


def _position_of(ticket: Ticket) -> QueuePosition:
    return ticket.position
