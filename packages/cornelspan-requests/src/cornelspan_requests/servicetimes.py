"""How long requests hold a slot of late, as a moving mean and spread."""

from dataclasses import dataclass

WEIGHT = 0.05
WITHOUT_MEASURE = 0.05


@dataclass
class ServiceTimes:
    """Exponentially weighted mean and mean deviation of service times, in seconds."""

    mean: float = WITHOUT_MEASURE
    deviation: float = 0.0
    count: int = 0

    def record(self, seconds: float) -> None:
        """Take in one request; the first ones weigh as in a plain mean."""
        self.count += 1
        weight = max(WEIGHT, 1 / self.count)
        self.deviation += weight * (abs(seconds - self.mean) - self.deviation)
        self.mean += weight * (seconds - self.mean)

    @property
    def needed(self) -> float:
        """Seconds to leave for a request that shall end in time more often than not."""
        return self.mean + self.deviation
