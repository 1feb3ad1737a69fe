"""Failure detection: which members have been silent for so long that they are dead.

A VM that disappears without stopping its daemon leaves its entry behind. If such
entries stayed, they would accumulate with every replaced VM, and each would be pinged
and queried in vain.
"""

from dataclasses import dataclass, field

from cornelspan_common.hashing import flow_key, name_seed, rank

# A VM that returns later has to register again, which costs a write. This is much
# longer than restarts and network partitions usually last. A daemon that is still alive
# and receives no pings registers itself again.
DEAD_AFTER_SECONDS = 60.0


@dataclass
class FailureDetector:
    """The members that are silent now, by address, and since when in seconds."""

    silent_since: dict[str, float] = field(default_factory=dict)

    def update(self, responsive: set[str], silent: set[str], now: float) -> None:
        """Record which members respond now and which are silent; drop all others."""
        for address in responsive:
            self.silent_since.pop(address, None)
        for address in silent:
            self.silent_since.setdefault(address, now)
        for address in set(self.silent_since) - responsive - silent:
            del self.silent_since[address]

    def dead(self, now: float) -> list[str]:
        """Return the members silent for longer than ``DEAD_AFTER_SECONDS``."""
        return [
            each
            for each, at in self.silent_since.items()
            if now - at > DEAD_AFTER_SECONDS
        ]


def is_responsible(
    own_address: str, responsive_balancers: list[str], dead_member: str
) -> bool:
    """Whether this balancer is the one to remove a dead member's entry.

    Balancers that see the same responsive balancers agree on it by rendezvous hashing,
    so that only one of them removes the entry. A balancer that dies is left out once
    the others see it as silent.
    """
    weighted_names = [
        (name, name_seed(name), 1.0) for name in {own_address, *responsive_balancers}
    ]
    # The dead member's address is hashed in place of a flow.
    return rank(flow_key(dead_member), weighted_names)[0] == own_address
