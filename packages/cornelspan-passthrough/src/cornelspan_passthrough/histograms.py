"""Histograms of durations, cheap enough to update for each request."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field

# Seconds. Targets of requests are 0.12 to 1 s, their time budgets 0.8 to 8 s.
UPPER_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


@dataclass
class Histogram:
    """Counts of durations by upper bound; the last counts those above all bounds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(UPPER_BOUNDS) + 1))
    total_seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration in seconds."""
        self.counts[bisect_left(UPPER_BOUNDS, seconds)] += 1
        self.total_seconds += seconds

    def lines(self, name: str) -> Iterator[str]:
        """Yield the histogram in Prometheus's text format, with cumulative buckets."""
        cumulative = 0
        for bound, count in zip([*UPPER_BOUNDS, "+Inf"], self.counts, strict=True):
            cumulative += count
            yield f'{name}_bucket{{le="{bound}"}} {cumulative}'
        yield f"{name}_sum {self.total_seconds:.6f}"
        yield f"{name}_count {cumulative}"
