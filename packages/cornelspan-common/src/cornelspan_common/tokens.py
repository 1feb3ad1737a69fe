"""A token bucket for those who do without rather than wait."""

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """Tokens that come at a rate and are kept up to a burst; it begins full.

    Times are in seconds of one clock, which the callers read.
    """

    rate: float
    burst: float
    missing: float = 0.0
    filled_at: float | None = None

    def take(self, count: float, now: float) -> bool:
        """Take tokens, and return whether there were enough.

        A count above the burst is given from a full bucket, which is then in debt:
        refused, it would never be given.
        """
        if self.filled_at is not None:
            grown = (now - self.filled_at) * self.rate
            self.missing = max(0.0, self.missing - grown)
        self.filled_at = now
        if self.missing > 0 and self.missing + count > self.burst:
            return False
        self.missing += count
        return True
