"""Slow start: an endpoint that is new or back takes its full load little by little."""

from dataclasses import dataclass

MIN_SHARE = 0.1


@dataclass
class SlowStart:
    """When the endpoint last began, in seconds of the clock that the owner goes by."""

    started: float

    def restart(self, now: float) -> None:
        """Begin again, as after an ejection or a restart of the backend server."""
        self.started = now

    def share(self, now: float, seconds: float) -> float:
        """Return the part of the full load to take now, rising in a line to 1.

        Args:
            now: The clock.
            seconds: How long the ramp is; zero for none.
        """
        if seconds <= 0:
            return 1.0
        return min(1.0, max(MIN_SHARE, (now - self.started) / seconds))

    def slots(self, now: float, seconds: float, slots: int) -> int:
        """Return how many slots may be used now, at least one."""
        return max(1, int(slots * self.share(now, seconds)))
