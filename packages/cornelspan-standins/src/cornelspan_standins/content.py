"""Bodies whose every byte follows from the request, so that a caller can check them.

The backend server stand-in makes an answer from the request's seed and size; the caller
makes the same again. A swapped, cut or mixed-up answer can't go unseen:

    body_of("r-17", 1000) == body_of("r-17", 1000)
"""

import hashlib

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Request-Deadline"
NOT_RUN_HEADER = "X-Request-Not-Run"
OUTCOME_HEADER = "Cornelspan-Outcome"
NOT_RUN = "not-run"
SERVED_BY_HEADER = "X-Served-By"
SERVICE_HEADER = "X-Service"


def body_of(seed: str, size: int) -> bytes:
    """Return the one body of a seed and a size, in bytes."""
    return hashlib.shake_128(seed.encode()).digest(size)
