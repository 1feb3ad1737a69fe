"""How long requests hold a slot of late, as a moving mean and spread."""

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.05
INITIAL_MEAN_SECONDS = 0.05
# A single request that met a busy VM or a cold start says little of the next ones.
# Believed, it made an endpoint seem slow, which then got no request that could have
# shown better until its measure was forgotten, ten seconds later.
MIN_SAMPLES = 3


@dataclass
class ServiceTimes:
    """Exponentially weighted mean and mean deviation of service times, in seconds."""

    mean: float = INITIAL_MEAN_SECONDS
    deviation: float = 0.0
    count: int = 0

    def record(self, seconds: float) -> None:
        """Take in one request; the first ones weigh as in a plain mean."""
        self.count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.count)
        self.deviation += weight * (abs(seconds - self.mean) - self.deviation)
        self.mean += weight * (seconds - self.mean)

    @property
    def is_reliable(self) -> bool:
        """Whether the mean is of enough requests to compare endpoints by."""
        return self.count >= MIN_SAMPLES

    @property
    def high_estimate(self) -> float:
        """Seconds to leave for a request that shall end in time more often than not."""
        return self.mean + self.deviation
