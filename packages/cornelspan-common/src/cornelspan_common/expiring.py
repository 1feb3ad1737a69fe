"""What is known of flows for as long as they are spoken of.

owners: Expiring[str] = Expiring(idle_seconds=300.0)
owners.put(flow, "agent-3", now)
owners.get(flow, now)
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_ENTRIES = 100_000

Value = TypeVar("Value")


@dataclass(slots=True)
class Entry(Generic[Value]):
    """A value and when the entry was last used, in seconds of the loop's clock."""

    value: Value
    used_at: float


class ExpiringMap(Generic[Value]):
    """Flow to value; bounded, and forgotten after a time without use.

    The dictionary keeps the order of use, so both bounds look at its first entries
    only.
    """

    def __init__(self, *, idle_seconds: float, limit: int = MAX_ENTRIES) -> None:
        self.idle_seconds = idle_seconds
        self.limit = limit
        self.entries: OrderedDict[int, Entry[Value]] = OrderedDict()
        self.evicted = 0

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, flow: int, now: float) -> Value | None:
        """Return a flow's value and note the use; None if none is recorded."""
        entry = self.entries.get(flow)
        if entry is None:
            return None
        if now - entry.used_at > self.idle_seconds:
            del self.entries[flow]
            return None
        entry.used_at = now
        self.entries.move_to_end(flow)
        return entry.value

    def put(self, flow: int, value: Value, now: float) -> None:
        """Record a flow's value in place of any other."""
        self.entries[flow] = Entry(value, now)
        self.entries.move_to_end(flow)
        while len(self.entries) > self.limit:
            self.entries.popitem(last=False)
            self.evicted += 1

    def drop(self, flow: int) -> None:
        """Forget a flow."""
        self.entries.pop(flow, None)

    def expire(self, now: float) -> int:
        """Forget what was not used for the idle time; return how many they were."""
        count = 0
        while self.entries:
            flow, entry = next(iter(self.entries.items()))
            if now - entry.used_at <= self.idle_seconds:
                break
            del self.entries[flow]
            count += 1
        return count
