"""The home agents of a flow, which record its owner, chosen by rendezvous hashing.

Agents of all services are ranked together. If only those of the flow's service were, a
change of the traffic split would make balancers look for open flows at another
service's agents. Liveness is ignored, so balancers that disagree about it choose the
same homes.

    homes = Homes()
    homes.replace(["10.1.0.11", "10.2.0.11"])
    homes.of(flow)
"""

from cornelspan_common.hashing import flow_key, name_seed, rank

# Two copies of a record survive the loss of one VM. If both are lost, all agents are
# asked, so a third copy would save little and cost one more datagram for each new flow.
REPLICAS = 2
# Agents are ranked once for each shard and membership, not for each flow, because
# ranking takes about a microsecond for each agent. 16,384 shards make almost five for
# each of 3,500 agents.
SHARDS = 16_384


class Homes:
    """The homes of each shard of flows under one membership."""

    def __init__(self) -> None:
        self.seeds: list[tuple[str, int, float]] = []
        self.by_shard: dict[int, tuple[str, ...]] = {}

    def replace(self, agents: list[str]) -> None:
        """Replace the agents by those with these addresses."""
        seeds = [(name, name_seed(name), 1.0) for name in sorted(agents)]
        if seeds == self.seeds:
            return
        self.seeds = seeds
        self.by_shard.clear()

    def of(self, flow: int) -> tuple[str, ...]:
        """Return the homes of a flow, best first; fewer if there are too few agents."""
        shard = hash(flow) % SHARDS
        homes = self.by_shard.get(shard)
        if homes is None:
            ranked = rank(flow_key(str(shard)), self.seeds)
            homes = tuple(ranked[:REPLICAS])
            self.by_shard[shard] = homes
        return homes
