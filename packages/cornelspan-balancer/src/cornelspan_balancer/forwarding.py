"""Forwards packets from the fabrics to agents.

No flow depends on the state of one balancer. The ranking of a service's agents
depends on the flow and the membership alone, so every balancer ranks the same home
first. A learned owner only saves a hop.
"""

from dataclasses import dataclass

import msgspec

from cornelspan_common.learned import OwnerCache
from cornelspan_common.links import Links
from cornelspan_common.packets import Hint, Packet, Routed
from cornelspan_common.streams import Peer
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_control.ranking import Candidates, Ranking

MAX_ROUTES = 65_536


@dataclass(frozen=True, slots=True)
class Route:
    """The next hop of a flow's packets, and its candidates encoded as msgpack."""

    address: str
    peer: Peer
    encoded_candidates: msgspec.Raw


@dataclass
class ForwardingCounts:
    """Counts of packets by outcome, and of learned owners.

    ``no_endpoint`` counts packets of a service without known agents, ``no_stream``
    those of a flow whose candidates are all disconnected.
    """

    forwarded: int = 0
    no_service: int = 0
    no_endpoint: int = 0
    no_stream: int = 0
    learned: int = 0


class Forwarder:
    """Forwards packets by ranked candidates and learned owners.

    A flow's route is cached until members, configuration or streams change: ranking
    and lookup for each packet took a third of a balancer's processor time.
    """

    def __init__(
        self,
        name: str,
        configuration: Configuration,
        members: Members,
        links: Links,
        *,
        learned_flows: int,
    ) -> None:
        self.name = name
        self.configuration = configuration
        self.members = members
        self.links = links
        self.ranking = Ranking(members)
        self.learned = OwnerCache(learned_flows)
        self.routes: dict[int, Route] = {}
        self.routes_version = (-1, -1, -1)
        self.counts = ForwardingCounts()

    def forward(self, packet: Packet) -> None:
        """Forward a packet; count and drop it if it has no route."""
        if self.routes_version != self._current_version():
            self._clear_routes()
        route = self.routes.get(packet.flow)
        if route is None or route.address != packet.address:
            route = self._find_route(packet)
            if route is None:
                return
        route.peer.send_packet(Routed(packet, route.encoded_candidates, 0, self.name))
        self.counts.forwarded += 1

    def learn(self, hint: Hint) -> None:
        """Store the owner named in a hint; an empty name removes the stored one."""
        self.counts.learned += bool(hint.owner)
        self.learned.learn(hint.flow, hint.owner)
        self.routes.pop(hint.flow, None)

    def _current_version(self) -> tuple[int, int, int]:
        """Return the versions that cached routes depend on."""
        return (
            self.members.version,
            self.configuration.revision,
            self.links.version,
        )

    def _clear_routes(self) -> None:
        self.routes_version = self._current_version()
        self.routes.clear()

    def _find_route(self, packet: Packet) -> Route | None:
        """Find and cache a flow's route.

        Returns:
            The route; None, with the packet counted as dropped, if no service has its
            address or no candidate of the flow is connected.
        """
        service = self.configuration.by_address.get(packet.address)
        if service is None:
            self.counts.no_service += 1
            return None
        candidates = self.ranking.candidates(service.name, packet.flow)
        peer = self.links.open.get(self.learned.owner(packet.flow))
        if peer is None:
            peer = self._first_connected(candidates)
        if peer is None:
            self._count_dropped(candidates)
            return None
        if len(self.routes) >= MAX_ROUTES:
            self.routes.clear()
        route = Route(packet.address, peer, candidates.encoded)
        self.routes[packet.flow] = route
        return route

    def _first_connected(self, candidates: Candidates) -> Peer | None:
        """Return the stream to the best connected candidate."""
        for name in candidates.names:
            peer = self.links.open.get(name)
            if peer is not None:
                return peer
        return None

    def _count_dropped(self, candidates: Candidates) -> None:
        if candidates.names:
            self.counts.no_stream += 1
        else:
            self.counts.no_endpoint += 1
