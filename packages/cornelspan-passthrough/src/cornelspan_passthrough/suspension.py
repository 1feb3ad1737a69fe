"""Detects that the VM was suspended."""

import time
from dataclasses import dataclass, field

# Shorter pauses also occur in a busy process.
MIN_SUSPENSION_SECONDS = 0.5


def _clock_offset() -> float:
    """Return how far the boot clock is ahead of the monotonic clock, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


@dataclass
class SuspensionDetector:
    """Detects suspensions by comparing the boot clock with the monotonic clock.

    ``clock_offset`` is their difference at the last check, in seconds.
    """

    clock_offset: float = field(default_factory=_clock_offset)

    def has_been_suspended(self) -> bool:
        """Whether the VM was suspended since the last check."""
        clock_offset = _clock_offset()
        increase = clock_offset - self.clock_offset
        self.clock_offset = clock_offset
        return increase > MIN_SUSPENSION_SECONDS
