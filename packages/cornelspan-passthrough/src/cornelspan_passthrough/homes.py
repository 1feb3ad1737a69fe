"""Which agents record a flow's owner: its homes, by rendezvous hashing.

The rank is over the agents of all services. Ranked within the service, a change of the
traffic split would look for open flows at the agents of another service. Liveness has
no part in it either, so balancers whose views differ in that name the same homes.

    homes = Homes()
    homes.replace(["10.1.0.11", "10.2.0.11"])
    homes.of(flow)
"""

from cornelspan_common.hashing import flow_key, name_seed, rank

# A record at two agents survives the loss of one VM. With both gone all agents are
# asked, so a third would save little and cost a datagram for each new flow.
REPLICAS = 2
# Flows are ranked by shard, each shard once a membership: ranking costs about a
# microsecond an agent, too much for each flow. 16,384 shards over 3,500 agents are
# close to five an agent.
SHARDS = 16_384


class Homes:
    """The homes of each shard of flows under one membership."""

    def __init__(self) -> None:
        self.seeds: list[tuple[str, int, float]] = []
        self.by_shard: dict[int, tuple[str, ...]] = {}

    def replace(self, agents: list[str]) -> None:
        """Take in the addresses of all agents."""
        seeds = [(name, name_seed(name), 1.0) for name in sorted(agents)]
        if seeds == self.seeds:
            return
        self.seeds = seeds
        self.by_shard.clear()

    def of(self, flow: int) -> tuple[str, ...]:
        """Return the homes of a flow, best first; fewer than two in a small fleet."""
        shard = hash(flow) % SHARDS
        homes = self.by_shard.get(shard)
        if homes is None:
            ranked = rank(flow_key(str(shard)), self.seeds)
            homes = tuple(ranked[:REPLICAS])
            self.by_shard[shard] = homes
        return homes
