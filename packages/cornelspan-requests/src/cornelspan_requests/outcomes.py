"""What a caller is told about its request, and by which status and header.

Each answer that the agent makes itself carries ``Cornelspan-RequestOutcome``:

- ``not-run``: no backend server has begun this request, and none will.
- ``unknown``: a backend server may have run it, or may still be running it.
- ``ran``: it has run; the answer is the server's, or is no longer kept.

An answer passed on from a backend server carries ``ran``. A backend server that turns
a request away unrun says so with status 503 and ``X-Request-Not-Run: 1``; the agent's
own answers carry that header too when their outcome is ``not-run``.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from tornado.httputil import responses

OUTCOME_HEADER = "Cornelspan-Outcome"
NOT_RUN_HEADER = "X-Request-Not-Run"
REPLAYED_HEADER = "Idempotency-Replayed"
REASON_HEADER = "Cornelspan-Reason"
DEADLINE_HEADER = "X-Request-Deadline"
KEY_HEADER = "Idempotency-Key"
PRIORITY_HEADER = "X-Request-Priority"


class RequestOutcome(StrEnum):
    """How far a request can have come."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(StrEnum):
    """Why the agent answers a request itself."""

    QUEUE_FULL = "queue-full"
    CALLER_SHARE = "caller-share"
    DEADLINE = "deadline"
    DRAINING = "draining"
    MOVED = "moved"
    CONNECTIONS = "connections"
    REFUSED = "connection-refused"
    SHED = "server-shed"
    BROKEN = "connection-broken"
    TOO_LARGE = "body-too-large"
    KEY_BUSY = "key-busy"
    KEY_LOST = "key-lost"
    KEY_REUSED = "key-reused"
    ANSWER_NOT_KEPT = "answer-not-kept"
    NO_QUORUM = "no-quorum"
    EJECTED = "ejected"
    CANCELLED = "cancelled"


CALLER_FAULTS = frozenset({Reason.CANCELLED, Reason.TOO_LARGE, Reason.KEY_REUSED})
"""Reasons that lie with the caller: no backend server could have done better, so they
say nothing of the service's objective."""


@dataclass(frozen=True, slots=True)
class Failure:
    """A request that got no answer from a backend server.

    ``retry_after`` is in seconds, zero where asking again is of no use.
    """

    outcome: RequestOutcome
    reason: Reason
    retry_after: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status that goes with the reason and the outcome."""
        return status_of(self.reason, self.outcome)


FIXED_STATUS = {
    Reason.CALLER_SHARE: 429,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.KEY_BUSY: 409,
    Reason.KEY_LOST: 409,
    Reason.ANSWER_NOT_KEPT: 409,
}


def status_of(reason: Reason, outcome: RequestOutcome) -> int:
    """Return the status for an answer of the agent's own.

    A request that surely did not run gets 503, so that generic clients may repeat it;
    one whose outcome is unknown gets 504 after its deadline and 502 otherwise, which
    they don't repeat unless the method is idempotent.
    """
    if reason in FIXED_STATUS:
        return FIXED_STATUS[reason]
    if outcome is RequestOutcome.NOT_RUN:
        return 503
    return 504 if reason is Reason.DEADLINE else 502


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer, without hop-by-hop headers."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]


def failure_head(failure: Failure, *, length: int) -> AnswerHead:
    """Return the head of the agent's own answer for a refusal.

    Args:
        refusal: What happened.
        length: Size of the body that follows, in bytes.
    """
    headers = [
        (OUTCOME_HEADER, failure.outcome.value),
        (REASON_HEADER, failure.reason.value),
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(length)),
    ]
    if failure.outcome is RequestOutcome.NOT_RUN:
        headers.append((NOT_RUN_HEADER, "1"))
    if failure.retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(failure.retry_after))))
    status = failure.status
    return AnswerHead(status, responses.get(status, "Unknown"), tuple(headers))
