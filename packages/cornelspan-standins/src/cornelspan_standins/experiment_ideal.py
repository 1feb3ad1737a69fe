"""A bound on what any system could do: one that starts in no time and knows all.

It has the same callers, endpoints, network and outages as the product. It knows at once
where each flow lives, which flows are dead and how busy each endpoint is, and tells
each caller of a dead flow at the first moment at which it runs. What an experiment
loses with it is lost to any system; the rest is what the product could still save.

The line before a busy endpoint is the product's: what may wait and in which order is a
choice, not knowledge.
"""

import random
from collections.abc import Iterable, Mapping

from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.packet_headers import (
    PORT_BITS,
    PORT_MASK,
    ROUTE_BITS,
    RST,
    SYN,
)
from cornelspan_passthrough.placing import Candidate
from cornelspan_shirakaba.packets import CODEC
from cornelspan_standins.packet_world import PACKETS_PORT, PacketWorld

# A flow that was placed takes this long to show at its endpoint: two hops, and the
# request after a round trip to the client.
COMING_SECONDS = 0.01
# A first packet that no endpoint can take yet is looked at again after this.
LOOK_SECONDS = 0.002


class Oracle:
    """What the ideal system knows of a world, at once and without error.

    ``slow`` tells by how much endpoints are slower than usual, by address.
    """

    def __init__(self, world: PacketWorld, slow: Mapping[str, float]) -> None:
        self.world = world
        self.slow = slow
        self.placed: dict[str, list[float]] = {}

    def choose(
        self, candidates: Iterable[Candidate], chance: random.Random, now: float
    ) -> str:
        """Return the endpoint at which a request would be done first, "" for none."""
        found = [
            (self._wait(each.address), chance.random(), each.address)
            for each in candidates
            if self._takes(each.address)
        ]
        if not found:
            return ""
        chosen = min(found)[2]
        self.placed.setdefault(chosen, []).append(now)
        return chosen

    def guide(self, balancer: Balancer) -> None:
        """Have a balancer know the owner of each packet's flow, and what is dead."""
        own = (balancer.settings.address, PACKETS_PORT)
        balancer.choose_endpoint = self.choose

        def from_client(data: bytes, sender: str) -> None:
            head = CODEC.read_client(data)
            if head is None:
                return
            if head.flags & SYN and not self._can_place(balancer, head.flow):
                self.world.after(LOOK_SECONDS, lambda: from_client(data, sender))
                return
            if not head.flags & (SYN | RST):
                owner = self._owner(head.flow)
                if not owner:
                    balancer.reset(head.flow, head.acknowledged)
                    return
                balancer.owners.learn(head.flow, owner)
            balancer.receive_from_client(data, self.world.now)

        self.world.handlers[own] = from_client

    def tell_dead(self) -> None:
        """Reset all flows that are open at their clients and nowhere else."""
        if not self.world.balancers:
            return
        for client in self.world.clients.values():
            if client.peer_sequence is None or client.is_over:
                continue
            if not self._holder(client.address, client.port):
                client.receive(CODEC.reset(client.flow, client.peer_sequence))

    def _can_place(self, balancer: Balancer, flow: int) -> bool:
        """Whether an endpoint lives that may take a flow."""
        route = balancer.routes.route(flow)
        if route is None:
            return True
        services = {share.service for share in route.shares}
        return any(
            self.world.endpoints[address].service in services and self._takes(address)
            for address in self.world.endpoints
        )

    def _owner(self, flow: int) -> str:
        client = flow >> ROUTE_BITS
        return self._holder(client >> PORT_BITS, client & PORT_MASK)

    def _holder(self, address: int, port: int) -> str:
        for name, endpoint in self.world.endpoints.items():
            if endpoint.alive and (address, port) in endpoint.flows:
                return name
        return ""

    def _takes(self, address: str) -> bool:
        endpoint = self.world.endpoints[address]
        return endpoint.alive and endpoint.accepts and address in self.world.agents

    def _wait(self, address: str) -> float:
        """Return how many rounds of its slots a new request would take there."""
        endpoint = self.world.endpoints[address]
        waiting = len(self.world.agents[address].request_queue)
        now = self.world.now
        coming = [
            at for at in self.placed.get(address, []) if now - at < COMING_SECONDS
        ]
        self.placed[address] = coming
        load = endpoint.running + len(endpoint.queued) + waiting + len(coming)
        rounds = load / endpoint.slots + 1
        cold = endpoint.cold_factor if now < endpoint.cold_until else 1.0
        return rounds * cold * self.slow.get(address, 1.0)
