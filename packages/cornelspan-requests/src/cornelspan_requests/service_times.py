"""Moving mean and deviation of the time that requests hold a slot."""

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.05
INITIAL_MEAN_SECONDS = 0.05
# One request on a busy VM or a cold server can take far longer than the next ones.
# With a mean of fewer samples the endpoint looked slow, so it got no requests that
# could have corrected the mean until it expired ten seconds later.
MIN_SAMPLES = 3


@dataclass
class ServiceTimes:
    """Exponentially weighted mean and mean deviation of service times, in seconds."""

    mean: float = INITIAL_MEAN_SECONDS
    deviation: float = 0.0
    count: int = 0

    def record(self, seconds: float) -> None:
        """Add one sample.

        The first ``1 / SAMPLE_WEIGHT`` samples have equal weight in the mean, as in an
        ordinary mean. The deviation of a sample is taken from the mean before it, for
        the first sample from ``INITIAL_MEAN_SECONDS``.
        """
        self.count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.count)
        self.deviation += weight * (abs(seconds - self.mean) - self.deviation)
        self.mean += weight * (seconds - self.mean)

    @property
    def is_reliable(self) -> bool:
        """Whether there are enough samples to compare endpoints by the mean."""
        return self.count >= MIN_SAMPLES

    @property
    def high_estimate(self) -> float:
        """Seconds in which a request finishes more often than not."""
        return self.mean + self.deviation
