"""Cache of flow owners, learned from agents' hints; it saves a hop.

A missing entry only costs a hop by way of the flow's home. So the cache is bounded and
evicts the least recently used entries.

    learned = OwnerCache(limit=200_000)
    learned.learn(flow, "agent-3")
    learned.owner(flow)
"""

from collections import OrderedDict


class OwnerCache:
    """Owners by flow, least recently used first.

    ``hits`` and ``misses`` count look-ups, ``evicted`` entries removed by the limit.
    """

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
        """Record the owner from a hint; "" removes the flow's entry."""
        if not owner:
            self.owners.pop(flow, None)
            return
        self.owners[flow] = owner
        self.owners.move_to_end(flow)
        while len(self.owners) > self.limit:
            self.owners.popitem(last=False)
            self.evicted += 1

    def forget_owner(self, owner: str) -> int:
        """Remove all flows of an owner that is gone; return their number.

        Otherwise the next packet of each flow would be sent to a process that no longer
        exists.
        """
        flows = [flow for flow, name in self.owners.items() if name == owner]
        for flow in flows:
            del self.owners[flow]
        return len(flows)
