"""Flows whose first packet reached this balancer within the last seconds."""

from dataclasses import dataclass, field

# A client gives up opening a flow this long after its first packet.
CLIENT_TIMEOUT_SECONDS = 1.4
# A first packet that arrives later than this opens another flow on the same port.
RETENTION_SECONDS = 3.0
MAX_OPENINGS = 65_536
# A first packet is held this long until an agent answers. After a power loss, agents
# come up within a second of the balancers. A client that is rejected by then still has
# time to retry, while its own retransmissions come only after 200 and 600 ms.
HOLD_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class Opening:
    """A flow whose first packet has arrived, until some seconds later.

    ``first_sent_at`` is when the client sent the first copy, ``received_at`` when the
    first copy reached this balancer. ``owner`` is the agent that the packet was last
    sent to, "" before it was sent to any. ``rejected_by`` are agents whose endpoint
    takes no new flows, ``busy_agents`` those whose endpoint only had too much work; in
    the ``is_final`` attempt, busy agents accept. ``confirmed`` is set once the endpoint
    has accepted the flow. ``held_packet`` is the first packet while no agent is known
    to be up. ``service`` is the service that the configuration selected.
    """

    sequence: int
    owner: str
    received_at: float
    first_sent_at: float
    rejected_by: set[str] = field(default_factory=set)
    confirmed: bool = False
    held_packet: bytes = b""
    service: str = ""
    busy_agents: set[str] = field(default_factory=set)
    is_final: bool = False

    @property
    def rejections(self) -> int:
        """How many agents have rejected the flow."""
        return len(self.rejected_by) + len(self.busy_agents)

    @property
    def excluded_agents(self) -> set[str]:
        """Agents that are skipped while others are left to try."""
        return self.rejected_by | self.busy_agents | {self.owner}


@dataclass
class Openings:
    """Openings by flow; ``sweep`` limits their age and number."""

    by_flow: dict[int, Opening] = field(default_factory=dict)

    def get(self, flow: int, sequence: int, now: float) -> Opening | None:
        """Return the opening of a flow whose first packet has this sequence number."""
        opening = self.by_flow.get(flow)
        if opening is None or opening.sequence != sequence:
            return None
        if now - opening.received_at > RETENTION_SECONDS:
            return None
        return opening

    def start(
        self, flow: int, sequence: int, now: float, first_sent_at: float
    ) -> Opening:
        """Add an opening, replacing any earlier one of the same flow."""
        self.by_flow.pop(flow, None)
        opening = Opening(sequence, "", now, first_sent_at)
        self.by_flow[flow] = opening
        return opening

    def confirm(self, flow: int, owner: str) -> None:
        """Record that an endpoint has accepted the flow."""
        opening = self.by_flow.get(flow)
        if opening is not None and opening.owner == owner:
            opening.confirmed = True

    def with_held_packet(self) -> list[tuple[int, Opening]]:
        """Return the openings whose first packet is held until an agent is up."""
        return [pair for pair in self.by_flow.items() if pair[1].held_packet]

    def sweep(self, now: float) -> None:
        """Remove openings that are too old, and the oldest if there are too many."""
        for flow in list(self.by_flow):
            is_recent = now - self.by_flow[flow].received_at <= RETENTION_SECONDS
            if is_recent and len(self.by_flow) <= MAX_OPENINGS:
                return
            del self.by_flow[flow]
