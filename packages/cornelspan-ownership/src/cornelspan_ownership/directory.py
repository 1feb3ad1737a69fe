"""What an agent knows of flows that others own, and of who may place them.

directory = Directory(idle_seconds=300.0)
directory.owners.put(flow, Holder("agent-3", 17), now)
directory.owners.get(flow, now)
"""

from collections import OrderedDict
from dataclasses import dataclass

LIMIT = 100_000
ENDED_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class Holder:
    """One life of an agent."""

    name: str
    incarnation: int


@dataclass(slots=True)
class Entry:
    """A holder and when the entry was last used, in seconds of the loop's clock."""

    holder: Holder
    used_at: float


class Records:
    """Flow to holder; bounded, and forgotten after a time without use.

    The dictionary keeps the order of use, so both bounds look at its first entries
    only.
    """

    def __init__(self, *, idle_seconds: float, limit: int = LIMIT) -> None:
        self.idle_seconds = idle_seconds
        self.limit = limit
        self.entries: OrderedDict[int, Entry] = OrderedDict()
        self.evicted = 0

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, flow: int, now: float) -> Holder | None:
        """Return a flow's holder and note the use; None if none is recorded."""
        entry = self.entries.get(flow)
        if entry is None:
            return None
        if now - entry.used_at > self.idle_seconds:
            del self.entries[flow]
            return None
        entry.used_at = now
        self.entries.move_to_end(flow)
        return entry.holder

    def put(self, flow: int, holder: Holder, now: float) -> None:
        """Record a flow's holder in place of any other."""
        self.entries[flow] = Entry(holder, now)
        self.entries.move_to_end(flow)
        while len(self.entries) > self.limit:
            self.entries.popitem(last=False)
            self.evicted += 1

    def drop(self, flow: int) -> None:
        """Forget a flow."""
        self.entries.pop(flow, None)

    def drop_holder(self, name: str, before: int) -> list[int]:
        """Forget all flows of the lives of an agent up to an incarnation.

        Returns:
            The flows that were forgotten.
        """
        flows = [
            flow
            for flow, entry in self.entries.items()
            if entry.holder.name == name and entry.holder.incarnation <= before
        ]
        for flow in flows:
            del self.entries[flow]
        return flows

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


class Directory:
    """Owners and homes of flows, and the flows that have ended of late.

    ``owners`` are the flows that this agent placed, or was told of. ``homes`` are
    other agents that have claimed a flow here; an open is passed on to them. ``ended``
    remembers a flow for a while after its end, so that a late packet of it is
    neither sent round the group nor taken for a new flow.
    """

    def __init__(self, *, idle_seconds: float, limit: int = LIMIT) -> None:
        self.owners = Records(idle_seconds=idle_seconds, limit=limit)
        self.homes = Records(idle_seconds=idle_seconds, limit=limit)
        self.ended = Records(idle_seconds=ENDED_SECONDS, limit=limit)

    def end(self, flow: int, owner: Holder, now: float) -> None:
        """Note a flow's end."""
        self.owners.drop(flow)
        self.homes.drop(flow)
        self.ended.put(flow, owner, now)

    def gone(self, name: str, incarnation: int) -> list[int]:
        """Forget an agent that is gone, as owner and as home.

        A recorded home that is dead must not hold a flow for ever: the next open of it
        would be passed on to nobody.

        Returns:
            The flows that it owned.
        """
        self.homes.drop_holder(name, incarnation)
        return self.owners.drop_holder(name, incarnation)

    def expire(self, now: float) -> int:
        """Forget what is idle; return how many owners and homes they were."""
        self.ended.expire(now)
        return self.owners.expire(now) + self.homes.expire(now)
