"""Routing counters, and the adapter from ``Flows`` to ``LocalAgent``."""

from collections.abc import Callable
from dataclasses import dataclass

from cornelspan_common.packets import Packet
from cornelspan_ownership.flows import Flows
from cornelspan_ownership.placement import OwnLoad


@dataclass
class RoutingCounts:
    """Counts of packets by outcome.

    ``wrong_service`` counts packets for another address or service, and rejected claims
    and hand-offs. ``unreachable`` counts packets that were dropped because there was no
    open stream to the next agent, or no next agent yet.
    """

    delivered: int = 0
    forwarded: int = 0
    wrong_service: int = 0
    unknown_flow: int = 0
    unreachable: int = 0


class LocalFlows:
    """Implements ``LocalAgent`` for ``Ownership`` with the flows owned here."""

    def __init__(self, flows: Flows, load: Callable[[], OwnLoad]) -> None:
        self.flows = flows
        self.load = load

    def owns(self, flow: int) -> bool:
        """Whether a flow is owned here, or ended here recently."""
        return self.flows.find(flow) is not None

    def open(self, packet: Packet) -> None:
        """Become the owner of a flow and accept it."""
        self.flows.open(packet)
