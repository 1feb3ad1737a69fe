"""First packets that a balancer has placed and not seen opened yet."""

from dataclasses import dataclass, field

# A client gives up a flow this long after its first packet.
CLIENT_SECONDS = 1.4
# What is older than this is another flow on the same port.
KEPT_SECONDS = 3.0
LIMIT = 65_536
# A first packet waits this long for an agent to answer. After a loss of power agents
# come up within a second of the balancers; a client whose flow is refused by then still
# has time for a try of its own, while its own repeat comes after 200 and 600 ms only.
HELD_SECONDS = 1.0


@dataclass(slots=True)
class Opening:
    """A flow on its way to an endpoint; ``confirmed`` once the endpoint took it.

    ``began_at`` is when its client sent the first copy, ``started_at`` when one came
    here first. ``owner`` is the agent it was sent to last, ``refused`` those whose
    endpoint takes no flow, ``busy`` those that only had too much to do; at the
    ``is_final`` try that doesn't count. ``held`` is its first packet while no agent is
    known to be there, ``service`` what the configuration chose for it.
    """

    sequence: int
    owner: str
    started_at: float
    began_at: float
    refused: set[str] = field(default_factory=set)
    confirmed: bool = False
    held: bytes = b""
    service: str = ""
    busy: set[str] = field(default_factory=set)
    is_final: bool = False

    @property
    def tries(self) -> int:
        """How many agents have handed it back."""
        return len(self.refused) + len(self.busy)

    @property
    def passed_over(self) -> set[str]:
        """Agents that are not tried while another is left."""
        return self.refused | self.busy | {self.owner}


@dataclass
class Openings:
    """Openings by flow, bounded; the oldest go first."""

    by_flow: dict[int, Opening] = field(default_factory=dict)

    def get(self, flow: int, sequence: int, now: float) -> Opening | None:
        """Return the opening of a flow that began with this sequence number."""
        opening = self.by_flow.get(flow)
        if opening is None or opening.sequence != sequence:
            return None
        if now - opening.started_at > KEPT_SECONDS:
            return None
        return opening

    def start(self, flow: int, sequence: int, now: float, began_at: float) -> Opening:
        """Begin an opening in place of any older one of that flow."""
        self.by_flow.pop(flow, None)
        opening = Opening(sequence, "", now, began_at)
        self.by_flow[flow] = opening
        return opening

    def confirm(self, flow: int, owner: str) -> None:
        """Note that an endpoint has answered the first packet."""
        opening = self.by_flow.get(flow)
        if opening is not None and opening.owner == owner:
            opening.confirmed = True

    def held(self) -> list[tuple[int, Opening]]:
        """Return the openings whose first packet waits for an agent."""
        return [pair for pair in self.by_flow.items() if pair[1].held]

    def sweep(self, now: float) -> None:
        """Forget openings that are too old to matter."""
        for flow in list(self.by_flow):
            young = now - self.by_flow[flow].started_at <= KEPT_SECONDS
            if young and len(self.by_flow) <= LIMIT:
                return
            del self.by_flow[flow]
