"""Retries: which requests may be retried, with backoff and a budget."""

from collections.abc import Callable
from dataclasses import dataclass

from cornelspan_control.profiles import RetryPolicy
from cornelspan_requests.outcomes import Failure, RequestOutcome

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
BUDGET_WINDOW_SECONDS = 10.0
MIN_BUDGET = 1
RandomFraction = Callable[[], float]


def is_repeatable(method: str, failure: Failure) -> bool:
    """Whether a failed request may be retried.

    It may if it certainly did not run, or if its method is idempotent (RFC 9110,
    9.2.2). An idempotency key doesn't make a POST repeatable here: the first run that
    it protects may have happened.
    """
    return failure.outcome is RequestOutcome.NOT_RUN or method in IDEMPOTENT_METHODS


def backoff_pause(
    attempt: int, policy: RetryPolicy, random_fraction: RandomFraction
) -> float:
    """Return the seconds before a retry: exponential backoff with full jitter.

    Without jitter, requests that failed together would be retried together.

    Args:
        attempt: The number of the retry, from 1.
        policy: Base and limit of the pause.
        random_fraction: Returns a random number in [0, 1).
    """
    uncapped = policy.backoff_seconds * 2 ** (attempt - 1)
    return min(policy.backoff_limit_seconds, uncapped) * random_fraction()


@dataclass
class RetryBudget:
    """Limits retries to a share of the requests of the last 10 to 20 seconds.

    At least ``MIN_BUDGET`` is allowed, so that a service with few requests can retry.

    Without a budget, retries would multiply the load of a service just when it fails.
    ``started`` is the start of the current window of ``BUDGET_WINDOW_SECONDS``; the
    counts of the window before it are kept as well.
    """

    started: float = 0.0
    requests: int = 0
    retries: int = 0
    previous_requests: int = 0
    previous_retries: int = 0

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._advance(now)
        self.requests += 1

    def spend(self, policy: RetryPolicy, now: float) -> bool:
        """Take one retry from the budget; False if none is left."""
        self._advance(now)
        requests = self.requests + self.previous_requests
        allowed = max(MIN_BUDGET, int(requests * policy.budget_share))
        if self.retries + self.previous_retries >= allowed:
            return False
        self.retries += 1
        return True

    def _advance(self, now: float) -> None:
        """Start a new window once the current one is over."""
        if now - self.started < BUDGET_WINDOW_SECONDS:
            return
        adjacent = now - self.started < 2 * BUDGET_WINDOW_SECONDS
        self.previous_requests = self.requests if adjacent else 0
        self.previous_retries = self.retries if adjacent else 0
        self.requests = 0
        self.retries = 0
        self.started = now
