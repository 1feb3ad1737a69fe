"""The operators' configuration in the form that a balancer uses."""

import bisect
from itertools import accumulate

import msgspec

from cornelspan_common.hashing import flow_key
from cornelspan_passthrough.packet_headers import route_of

HASH_RANGE = 1 << 64


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A service that a route's new flows go to, and its weight among them."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Where new flows to one address and port go.

    ``number`` stands for the address and port, see ``packet_headers.route_number``.
    ``priority`` is 0 for the highest. ``timeout_milliseconds`` is the longest time a
    request may take and ``target_milliseconds`` its target latency. ``idempotent`` says
    whether a request may run again.
    """

    number: int
    name: str
    shares: tuple[Share, ...]
    priority: int
    idempotent: bool
    timeout_milliseconds: int
    target_milliseconds: int


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """One accepted configuration in full; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    idle_milliseconds: int


class RouteTable:
    """The routes in force, which are only replaced by a newer version.

    A late answer of the store, or a peer that is behind, may deliver an older version,
    which would send flows where the operator no longer allows them.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.by_number: dict[int, Route] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def replace(self, configuration: Configuration) -> bool:
        """Put a configuration in force; return False if it is not newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.by_number = {route.number: route for route in configuration.routes}
        return True

    def route(self, flow: int) -> Route | None:
        """Return the route of a flow, None if the configuration has none."""
        return self.by_number.get(route_of(flow))


def services_in_order(route: Route, flow: int) -> list[str]:
    """Return the services that may take a flow, in the order in which they are tried.

    The first one is chosen by weight from a hash of the flow's number, so a first
    packet that is retransmitted over another balancer goes to the same service.
    Services of weight 0 get no flows.
    """
    shares = [share for share in route.shares if share.weight > 0]
    if len(shares) < 2:
        return [share.service for share in shares]
    cumulative_weights = list(accumulate(share.weight for share in shares))
    position = flow_key(str(flow)) * cumulative_weights[-1] // HASH_RANGE
    chosen = bisect.bisect_right(cumulative_weights, position)
    rest = [share.service for share in shares[:chosen] + shares[chosen + 1 :]]
    return [shares[chosen].service, *rest]
