"""Stand-in for the platform's routers: which balancer gets a client's packet.

They probe each balancer twice a second, take it out of the rotation after two misses,
and pick by a hash of the flow modulo the rotation's length. So nearly all flows move to
another balancer whenever one joins or leaves.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelspan_common.hashing import flow_key

PROBE_SECONDS = 0.5
MISSES = 2


@dataclass
class PacketRouters:
    """The balancers' addresses in order, and how many probes each has missed."""

    misses: dict[str, int] = field(default_factory=dict)

    def add(self, address: str) -> None:
        """Know a balancer; it is in the rotation after its first good probe."""
        self.misses.setdefault(address, MISSES)

    def probe(self, is_ready: Callable[[str], bool]) -> None:
        """Probe all balancers once."""
        for address, missed in self.misses.items():
            self.misses[address] = 0 if is_ready(address) else missed + 1

    def rotation(self) -> list[str]:
        """Return the balancers that get packets; all, if too few are ready."""
        ready = [each for each, missed in self.misses.items() if missed < MISSES]
        return ready if 2 * len(ready) >= len(self.misses) else list(self.misses)

    def route(self, flow: int) -> str:
        """Return the balancer for a flow now."""
        rotation = self.rotation()
        return rotation[flow_key(str(flow)) % len(rotation)]
