"""What the router counts, and the flows owned here as ``Ownership`` needs them."""

from collections.abc import Callable
from dataclasses import dataclass

from cornelspan_common.packets import Packet
from cornelspan_ownership.flows import Flows
from cornelspan_ownership.placement import OwnLoad


@dataclass
class RoutingCounts:
    """Packets by what became of them; ``foreign`` are of another service."""

    delivered: int = 0
    forwarded: int = 0
    wrong_service: int = 0
    unknown: int = 0
    unreachable: int = 0


class LocalFlows:
    """The flows owned here, as ``Ownership`` needs them."""

    def __init__(self, flows: Flows, load: Callable[[], OwnLoad]) -> None:
        self.flows = flows
        self.load = load

    def owns(self, flow: int) -> bool:
        """Whether a flow is owned here, or has ended here a moment ago."""
        return self.flows.find(flow) is not None

    def open(self, packet: Packet) -> None:
        """Become the owner and accept."""
        self.flows.open(packet)
