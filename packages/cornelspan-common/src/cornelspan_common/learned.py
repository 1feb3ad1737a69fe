"""Owners of flows as learned from agents' hints: a cache that saves a hop.

Losing an entry costs a hop by way of the flow's home, never the flow, so the cache is
bounded and drops what was used longest ago.

    learned = Learned(limit=200_000)
    learned.learn(flow, "agent-3")
    learned.owner(flow)
"""

from collections import OrderedDict


class OwnerCache:
    """Flow to owner, least recently used first."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.owners: OrderedDict[int, str] = OrderedDict()
        self.hits = 0
        self.misses = 0
        self.evicted = 0

    def __len__(self) -> int:
        return len(self.owners)

    def owner(self, flow: int) -> str:
        """Return the owner of a flow, "" if none is known."""
        owner = self.owners.get(flow)
        if owner is None:
            self.misses += 1
            return ""
        self.hits += 1
        self.owners.move_to_end(flow)
        return owner

    def learn(self, flow: int, owner: str) -> None:
        """Take in a hint; an owner of "" forgets the flow."""
        if not owner:
            self.owners.pop(flow, None)
            return
        self.owners[flow] = owner
        self.owners.move_to_end(flow)
        while len(self.owners) > self.limit:
            self.owners.popitem(last=False)
            self.evicted += 1

    def forget_owner(self, owner: str) -> int:
        """Forget all flows of an owner that is gone; return how many they were.

        Kept, each would send its next packet to a process that is no more.
        """
        flows = [flow for flow, name in self.owners.items() if name == owner]
        for flow in flows:
            del self.owners[flow]
        return len(flows)
