"""Notices that the VM was suspended."""

import time
from dataclasses import dataclass, field

# Shorter pauses are what any busy process sees.
SUSPENDED_SECONDS = 0.5


def _gap() -> float:
    """Return how far the clock that counts suspensions is ahead of the steady one."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


@dataclass
class Suspensions:
    """The two clocks' distance when last looked at, and when that was."""

    gap: float = field(default_factory=_gap)

    def has_been_suspended(self) -> bool:
        """Whether the VM stood still since the last look."""
        gap = _gap()
        grown = gap - self.gap
        self.gap = gap
        return grown > SUSPENDED_SECONDS
