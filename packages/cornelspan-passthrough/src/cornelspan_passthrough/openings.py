"""First packets that a balancer has placed and not seen opened yet."""

from dataclasses import dataclass, field

# A client gives up a flow 1.4 s after its first packet; what is older than this is
# another flow on the same port.
KEPT_SECONDS = 3.0
LIMIT = 65_536


@dataclass(slots=True)
class Opening:
    """A flow on its way to an endpoint; ``confirmed`` once the endpoint took it.

    ``owner`` is the agent it was sent to last, ``refused`` those that turned it away.
    """

    sequence: int
    owner: str
    started_at: float
    refused: set[str] = field(default_factory=set)
    confirmed: bool = False


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

    def start(self, flow: int, sequence: int, now: float) -> Opening:
        """Begin an opening in place of any older one of that flow."""
        self.by_flow.pop(flow, None)
        opening = Opening(sequence, "", now)
        self.by_flow[flow] = opening
        return opening

    def confirm(self, flow: int, owner: str) -> None:
        """Note that an endpoint has answered the first packet."""
        opening = self.by_flow.get(flow)
        if opening is not None and opening.owner == owner:
            opening.confirmed = True

    def sweep(self, now: float) -> None:
        """Forget openings that are too old to matter."""
        for flow in list(self.by_flow):
            young = now - self.by_flow[flow].started_at <= KEPT_SECONDS
            if young and len(self.by_flow) <= LIMIT:
                return
            del self.by_flow[flow]
