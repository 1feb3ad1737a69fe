"""Notices that the VM was suspended."""

import time
from dataclasses import dataclass, field

# Shorter pauses are what any busy process sees.
MIN_SUSPENSION_SECONDS = 0.5


def _clock_offset() -> float:
    """Return how far the clock that counts suspensions is ahead of the steady one."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


@dataclass
class SuspensionDetector:
    """The two clocks' distance when last looked at, and when that was."""

    clock_offset: float = field(default_factory=_clock_offset)

    def has_been_suspended(self) -> bool:
        """Whether the VM stood still since the last look."""
        clock_offset = _clock_offset()
        increase = clock_offset - self.clock_offset
        self.clock_offset = clock_offset
        return increase > MIN_SUSPENSION_SECONDS
