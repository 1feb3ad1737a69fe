"""Ranks the endpoints of a service for a flow: its home first, then the alternatives.

The ranking depends only on the flow and the members, so balancers and agents that know
the same members find the same home. Only configured weights are used: weights that
follow the load would change the home of running flows.

    ranking = Ranking(members)
    ranking.candidates("order-hub", flow).names[0]
"""

from dataclasses import dataclass

import msgspec

from cornelspan_common.hashing import name_seed, rank
from cornelspan_control.members import Members

MAX_CANDIDATES = 8
MAX_CACHED_RANKINGS = 65_536


@dataclass(frozen=True, slots=True)
class Candidates:
    """Endpoint names, best first, and the same list as msgpack for ``Routed``."""

    names: tuple[str, ...]
    encoded: msgspec.Raw


class EndpointGroup:
    """The endpoints of one service at one version of the membership."""

    def __init__(self, endpoints: list[tuple[str, int, float]]) -> None:
        self.endpoints = endpoints
        self.candidates_by_flow: dict[int, Candidates] = {}
        self.candidates_by_names: dict[tuple[str, ...], Candidates] = {}

    def candidates(self, flow: int) -> Candidates:
        """Return the flow's candidates, ranked on the first call and then cached."""
        found = self.candidates_by_flow.get(flow)
        if found is not None:
            return found
        names = tuple(rank(flow, self.endpoints)[:MAX_CANDIDATES])
        found = self._intern(names)
        if len(self.candidates_by_flow) >= MAX_CACHED_RANKINGS:
            self.candidates_by_flow.clear()
        self.candidates_by_flow[flow] = found
        return found

    def _intern(self, names: tuple[str, ...]) -> Candidates:
        """Return the candidates for a list of names, shared between flows."""
        found = self.candidates_by_names.get(names)
        if found is None:
            if len(self.candidates_by_names) >= MAX_CACHED_RANKINGS:
                self.candidates_by_names.clear()
            found = Candidates(names, msgspec.Raw(msgspec.msgpack.encode(names)))
            self.candidates_by_names[names] = found
        return found


class Ranking:
    """Endpoint groups of all services, rebuilt when the membership changes.

    If a service has up to ``MAX_CANDIDATES`` endpoints, all are candidates of each
    flow. The owner of a flow is then found even if the home died and its directory was
    lost. Leaving endpoints stay candidates for the flows they have; their agents refuse
    new flows.
    """

    def __init__(self, members: Members) -> None:
        self.members = members
        self.version = -1
        self.groups: dict[str, EndpointGroup] = {}

    def candidates(self, service: str, flow: int) -> Candidates:
        """Return the candidates of a flow; none if the service has no endpoints."""
        if self.version != self.members.version:
            self.groups.clear()
            self.version = self.members.version
        group = self.groups.get(service)
        if group is None:
            group = self._group(service)
            self.groups[service] = group
        return group.candidates(flow)

    def _group(self, service: str) -> EndpointGroup:
        agents = self.members.of_service(service)
        return EndpointGroup([(m.name, name_seed(m.name), m.weight) for m in agents])
