"""The bounded queue of requests that wait for a slot.

Order: priority class first, then how crowded the caller is, then deadline. A caller's
crowding is how many rounds of slots its own requests fill already, so one caller that
sends a flood, however tight its deadlines, stands behind those who ask for little.
"""

import bisect
from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a request stands; the least goes first.

    Times are seconds of the clock that the owner of the queue goes by.
    """

    priority: int
    crowding: int
    deadline: float
    number: int


@dataclass(eq=False, slots=True)
class Ticket:
    """One request that asks for a slot.

    ``latest`` is when it must have a slot so as to end by its deadline.
    """

    caller: str
    priority: int
    deadline: float
    arrived: float
    size: int = 0
    place: Place = field(default=Place(0, 0, 0.0, 0))
    latest: float = 0.0
    started: float = 0.0


@dataclass
class RequestQueue:
    """Waiting tickets in order, with counts by caller and of bytes held."""

    tickets: list[Ticket] = field(default_factory=list)
    callers: Counter[str] = field(default_factory=Counter)
    priorities: Counter[int] = field(default_factory=Counter)
    held_bytes: int = 0

    def __len__(self) -> int:
        return len(self.tickets)

    def ahead_of(self, place: Place) -> int:
        """Return how many tickets go before a place."""
        return bisect.bisect_left(self.tickets, place, key=_place)

    def add(self, ticket: Ticket) -> None:
        """Put a ticket at its place."""
        bisect.insort(self.tickets, ticket, key=_place)
        self.callers[ticket.caller] += 1
        self.priorities[ticket.priority] += 1
        self.held_bytes += ticket.size

    def up_to(self, priority: int) -> int:
        """Return how many tickets have this priority or a better one."""
        return sum(n for known, n in self.priorities.items() if known <= priority)

    def remove(self, ticket: Ticket) -> bool:
        """Take a ticket out; False if it is not in the queue."""
        at = self.ahead_of(ticket.place)
        if at == len(self.tickets) or self.tickets[at] is not ticket:
            return False
        del self.tickets[at]
        self._forget(ticket)
        return True

    def pop(self) -> Ticket:
        """Take out the first ticket."""
        ticket = self.tickets.pop(0)
        self._forget(ticket)
        return ticket

    def _forget(self, ticket: Ticket) -> None:
        self.held_bytes -= ticket.size
        self.priorities[ticket.priority] -= 1
        self.callers[ticket.caller] -= 1
        if self.callers[ticket.caller] <= 0:
            del self.callers[ticket.caller]


def _place(ticket: Ticket) -> Place:
    return ticket.place
