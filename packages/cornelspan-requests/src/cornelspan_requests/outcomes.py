"""Outcomes of requests, and the statuses and headers that report them to callers.

Every answer that the agent creates itself carries ``Cornelspan-Outcome``:

- ``not-run``: no backend server has started this request, and none will.
- ``unknown``: a backend server may have run it, or may still be running it.
- ``ran``: it has run; the answer is the server's, or is no longer kept.

An answer forwarded from a backend server carries ``ran``. A backend server that rejects
a request without running it answers with status 503 and ``X-Request-Not-Run: 1``. The
agent's own answers carry that header too if their outcome is ``not-run``.
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
    """Whether a request has run at a backend server."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(StrEnum):
    """Why the agent answers a request itself instead of a backend server."""

    QUEUE_FULL = "queue-full"
    CALLER_SHARE = "caller-share"
    DEADLINE = "deadline"
    DRAINING = "draining"
    MOVED = "moved"
    CONNECTIONS = "connections"
    REFUSED = "connection-refused"
    SERVER_REJECTED = "server-shed"
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
"""Reasons caused by the caller, which don't count against the service's objective."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request got no answer from a backend server, and whether it ran.

    ``retry_after`` is in seconds; zero sends no ``Retry-After`` header.
    """

    outcome: RequestOutcome
    reason: Reason
    retry_after: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
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
    """Return the status of an answer that the agent creates itself.

    A request that certainly did not run gets 503, so that generic clients may repeat
    it. One whose outcome is unknown gets 504 after its deadline and 502 otherwise,
    which clients repeat only if the method is idempotent.
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
    """Return the head of the agent's own answer to a failed request.

    Args:
        failure: Reason and outcome.
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
