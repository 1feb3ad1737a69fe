"""Which members have been silent for so long that their entries may go.

An entry outlives its VM when that goes without a word. Kept for good, such entries add
up with each VM that is replaced, and each is pinged and asked in vain.
"""

from dataclasses import dataclass, field

from cornelspan_common.hashing import flow_key, name_seed, rank

# A VM that comes back has to list itself again then, which costs a write. Much longer
# than restarts and cuts usually last; a daemon that lives on and finds itself without
# pings lists itself anew.
GONE_SECONDS = 60.0


@dataclass
class Silences:
    """Since when members have been silent, by address; times in seconds."""

    since: dict[str, float] = field(default_factory=dict)

    def update(self, present: set[str], absent: set[str], now: float) -> None:
        """Take in who answers now and who doesn't."""
        for address in present:
            self.since.pop(address, None)
        for address in absent:
            self.since.setdefault(address, now)
        for address in set(self.since) - present - absent:
            del self.since[address]

    def gone(self, now: float) -> list[str]:
        """Return the members whose entries may be taken away."""
        return [each for each, at in self.since.items() if now - at > GONE_SECONDS]


def is_pruner(own: str, balancers: list[str], gone: str) -> bool:
    """Whether it is this balancer's turn to take an entry away.

    The balancers agree on it by rank, so that one of them writes. Should it be gone
    itself, it is no longer among those that answer.
    """
    seeds = [(name, name_seed(name), 1.0) for name in {own, *balancers}]
    return rank(flow_key(gone), seeds)[0] == own
