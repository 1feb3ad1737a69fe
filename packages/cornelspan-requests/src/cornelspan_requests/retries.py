"""Which requests may be tried again, how often, and after which pause."""

from collections.abc import Callable
from dataclasses import dataclass

from cornelspan_control.profiles import RetryPolicy
from cornelspan_requests.outcomes import Failure, RequestOutcome

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
BUDGET_WINDOW_SECONDS = 10.0
MIN_RETRIES = 1
Draw = Callable[[], float]


def is_repeatable(method: str, failure: Failure) -> bool:
    """Whether a request that came to nothing may be tried once more.

    Yes if it surely did not run, or if running it twice is the same as once by its
    method (RFC 9110, 9.2.2). A key makes no POST repeatable: the run that it guards
    may have happened.
    """
    return failure.outcome is RequestOutcome.NOT_RUN or method in IDEMPOTENT_METHODS


def backoff_pause(attempt: int, policy: RetryPolicy, draw: Draw) -> float:
    """Return the seconds before a retry: exponential, with full jitter.

    Args:
        attempt: 1 before the first retry.
        policy: Base and limit of the pause.
        draw: Uniform in [0, 1). Without it all that failed together would come back
            together.
    """
    max_pause = policy.backoff_seconds * 2 ** (attempt - 1)
    return min(policy.backoff_limit_seconds, max_pause) * draw()


@dataclass
class RetryBudget:
    """Retries as a share of the requests of the last 10 to 20 seconds.

    When a service fails, retries without a budget multiply its load just then.
    """

    started: float = 0.0
    requests: int = 0
    retries: int = 0
    previous_requests: int = 0
    previous_retries: int = 0

    def record_request(self, now: float) -> None:
        """Count a first attempt."""
        self._advance(now)
        self.requests += 1

    def spend(self, policy: RetryPolicy, now: float) -> bool:
        """Take one retry out of the budget; False if there is none left."""
        self._advance(now)
        requests = self.requests + self.previous_requests
        allowed = max(MIN_RETRIES, int(requests * policy.budget_share))
        if self.retries + self.previous_retries >= allowed:
            return False
        self.retries += 1
        return True

    def _advance(self, now: float) -> None:
        """Move on to a new window once the present one is over."""
        if now - self.started < BUDGET_WINDOW_SECONDS:
            return
        adjacent = now - self.started < 2 * BUDGET_WINDOW_SECONDS
        self.previous_requests = self.requests if adjacent else 0
        self.previous_retries = self.retries if adjacent else 0
        self.requests = 0
        self.retries = 0
        self.started = now
