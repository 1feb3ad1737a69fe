"""Slow start: an endpoint that has just started or recovered gets load gradually."""

from dataclasses import dataclass

MIN_LOAD_FRACTION = 0.1


@dataclass
class SlowStart:
    """When the endpoint last started, in seconds on the owner's clock."""

    started: float

    def restart(self, now: float) -> None:
        """Begin slow start again, e.g. after an ejection."""
        self.started = now

    def load_fraction(self, now: float, seconds: float) -> float:
        """Return the fraction of the full load to take now.

        It rises linearly to 1 and is at least ``MIN_LOAD_FRACTION``.

        Args:
            now: The time.
            seconds: Duration of slow start; zero for none.
        """
        if seconds <= 0:
            return 1.0
        return min(1.0, max(MIN_LOAD_FRACTION, (now - self.started) / seconds))

    def slots(self, now: float, seconds: float, slots: int) -> int:
        """Return how many slots may be used now, at least one."""
        return max(1, int(slots * self.load_fraction(now, seconds)))
