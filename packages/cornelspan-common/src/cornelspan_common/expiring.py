"""A bounded map of flows whose entries expire after a time without use.

owners: ExpiringMap[str] = ExpiringMap(idle_seconds=300.0)
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
    """A value and the time of its last use, in seconds of the caller's clock."""

    value: Value
    used_at: float


class ExpiringMap(Generic[Value]):
    """Values by flow; an entry expires ``idle_seconds`` after its last use.

    The dictionary is in the order of use, so expiry and eviction look at its first
    entries only. ``evicted`` counts the entries removed because of ``limit``.
    """

    def __init__(self, *, idle_seconds: float, limit: int = MAX_ENTRIES) -> None:
        self.idle_seconds = idle_seconds
        self.limit = limit
        self.entries: OrderedDict[int, Entry[Value]] = OrderedDict()
        self.evicted = 0

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, flow: int, now: float) -> Value | None:
        """Return a flow's value and mark it as used; None if there is none."""
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
        """Set a flow's value; evict the least recently used ones over the limit."""
        self.entries[flow] = Entry(value, now)
        self.entries.move_to_end(flow)
        while len(self.entries) > self.limit:
            self.entries.popitem(last=False)
            self.evicted += 1

    def drop(self, flow: int) -> None:
        """Remove a flow's entry, if there is one."""
        self.entries.pop(flow, None)

    def expire(self, now: float) -> int:
        """Remove entries not used for ``idle_seconds``; return their number."""
        count = 0
        while self.entries:
            flow, entry = next(iter(self.entries.items()))
            if now - entry.used_at <= self.idle_seconds:
                break
            del self.entries[flow]
            count += 1
        return count
