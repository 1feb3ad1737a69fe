"""A token bucket that rejects instead of waiting."""

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """A token bucket, full at first; it refills at ``rate`` tokens a second.

    Times are in seconds of the caller's clock.

    Attributes:
        rate: Tokens a second.
        burst: Capacity of the bucket in tokens.
        missing: Tokens that are missing from a full bucket; may exceed ``burst``.
        filled_at: Time of the last refill; None before the first ``take``.
    """

    rate: float
    burst: float
    missing: float = 0.0
    filled_at: float | None = None

    def take(self, count: float, now: float) -> bool:
        """Take tokens, and return whether there were enough.

        A count above the burst is taken from a full bucket, whose balance is then
        negative. Otherwise such a count could never be taken.
        """
        if self.filled_at is not None:
            grown = (now - self.filled_at) * self.rate
            self.missing = max(0.0, self.missing - grown)
        self.filled_at = now
        if self.missing > 0 and self.missing + count > self.burst:
            return False
        self.missing += count
        return True
