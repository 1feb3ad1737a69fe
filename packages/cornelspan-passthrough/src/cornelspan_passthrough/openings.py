"""First packets that a balancer has placed and not seen opened yet."""

from dataclasses import dataclass, field

# A client gives up a flow this long after its first packet.
CLIENT_TIMEOUT_SECONDS = 1.4
# What is older than this is another flow on the same port.
RETENTION_SECONDS = 3.0
MAX_OPENINGS = 65_536
# A first packet waits this long for an agent to answer. After a loss of power agents
# come up within a second of the balancers; a client whose flow is refused by then still
# has time for a try of its own, while its own repeat comes after 200 and 600 ms only.
HOLD_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class Opening:
    """A flow on its way to an endpoint; ``confirmed`` once the endpoint took it.

    ``first_sent_at`` is when its client sent the first copy, ``received_at`` when one came
    here first. ``owner`` is the agent it was sent to last, ``rejected_by`` those whose
    endpoint takes no flow, ``busy_agents`` those that only had too much to do; at the
    ``is_final`` try that doesn't count. ``held_packet`` is its first packet while no agent is
    known to be there, ``service`` what the configuration chose for it.
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
        """How many agents have handed it back."""
        return len(self.rejected_by) + len(self.busy_agents)

    @property
    def excluded_agents(self) -> set[str]:
        """Agents that are not tried while another is left."""
        return self.rejected_by | self.busy_agents | {self.owner}


@dataclass
class Openings:
    """Openings by flow, bounded; the oldest go first."""

    by_flow: dict[int, Opening] = field(default_factory=dict)

    def get(self, flow: int, sequence: int, now: float) -> Opening | None:
        """Return the opening of a flow that began with this sequence number."""
        opening = self.by_flow.get(flow)
        if opening is None or opening.sequence != sequence:
            return None
        if now - opening.received_at > RETENTION_SECONDS:
            return None
        return opening

    def start(
        self, flow: int, sequence: int, now: float, first_sent_at: float
    ) -> Opening:
        """Begin an opening in place of any older one of that flow."""
        self.by_flow.pop(flow, None)
        opening = Opening(sequence, "", now, first_sent_at)
        self.by_flow[flow] = opening
        return opening

    def confirm(self, flow: int, owner: str) -> None:
        """Note that an endpoint has answered the first packet."""
        opening = self.by_flow.get(flow)
        if opening is not None and opening.owner == owner:
            opening.confirmed = True

    def with_held_packet(self) -> list[tuple[int, Opening]]:
        """Return the openings whose first packet waits for an agent."""
        return [pair for pair in self.by_flow.items() if pair[1].held_packet]

    def sweep(self, now: float) -> None:
        """Forget openings that are too old to matter."""
        for flow in list(self.by_flow):
            is_recent = now - self.by_flow[flow].received_at <= RETENTION_SECONDS
            if is_recent and len(self.by_flow) <= MAX_OPENINGS:
                return
            del self.by_flow[flow]
