"""Requests with an idempotency key: run at most once, with replay of the answer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelspan_common.requests import KeptAnswer, KeyRecord
from cornelspan_common.tasks import Tasks
from cornelspan_requests.admission import MIN_RETRY_AFTER_SECONDS
from cornelspan_requests.claims import Claims, Existing, Granted, NoQuorum
from cornelspan_requests.exchange import Answer, Request
from cornelspan_requests.keys import KeyState, fingerprint_of, key_digest
from cornelspan_requests.outcomes import (
    REPLAYED_HEADER,
    AnswerHead,
    Failure,
    Reason,
    RequestOutcome,
)
from cornelspan_requests.retries import IDEMPOTENT_METHODS

MAX_KEPT_BYTES = 16384
MAX_KEY_LENGTH = 255

Serve = Callable[[Request, "RecordingSink"], Awaitable[Result[int, Failure]]]


@dataclass
class RecordingSink:
    """Sends an answer to its caller and keeps a copy if it is small enough.

    The run goes on if the caller disconnects. If it were cancelled, the request might
    be half done, and the outcome of its repetition would be unknown.
    """

    answer: Answer
    head: AnswerHead | None = None
    body: bytearray = field(default_factory=bytearray)
    too_long: bool = False
    caller_gone: bool = False

    @property
    def begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self.head is not None

    async def start(self, head: AnswerHead) -> bool:
        """Send and keep status and headers; always True, as for ``write``."""
        self.head = head
        self.caller_gone = self.caller_gone or not await self.answer.start(head)
        return True

    async def write(self, chunk: bytes) -> bool:
        """Send a part of the body, and keep it unless the answer is too long to keep.

        Returns:
            Always True, so that the run goes on without the caller.
        """
        if len(self.body) + len(chunk) > MAX_KEPT_BYTES:
            self.too_long = True
            self.body.clear()
        if not self.too_long:
            self.body += chunk
        self.caller_gone = self.caller_gone or not await self.answer.write(chunk)
        return True

    def kept_answer(self) -> KeptAnswer | None:
        """Return the answer to keep; None if it is too long or there is none."""
        if self.head is None or self.too_long:
            return None
        head = self.head
        return KeptAnswer(head.status, head.reason, head.headers, bytes(self.body))


def needs_claim(request: Request) -> bool:
    """Whether a request has a key to claim: only if its method isn't idempotent."""
    return bool(request.key) and request.method not in IDEMPOTENT_METHODS


async def serve_keyed(
    request: Request,
    answer: Answer,
    claims: Claims,
    serve: Serve,
    tasks: Tasks,
) -> Result[int, Failure]:
    """Run a request if its key has not run, otherwise answer from its record.

    Args:
        request: A request with a key.
        answer: Sends the answer to the caller.
        claims: The claims of this agent.
        serve: Runs the request.
        tasks: Runs it as a task, which goes on if the caller disconnects.
    """
    if len(request.key) > MAX_KEY_LENGTH:
        return Err(Failure(RequestOutcome.NOT_RUN, Reason.TOO_LARGE))
    fingerprint = fingerprint_of(request.method, request.target, request.body)
    key = key_digest(request.key)
    match await claims.claim(key, fingerprint, request.deadline):
        case Granted(claim):
            work = _run_claimed(request, answer, claims, claim, serve)
            return await asyncio.shield(tasks.start(work, name="keyed request"))
        case Existing(record, holder_gone):
            return await _answer_repeat(answer, record, fingerprint, holder_gone)
        case NoQuorum():
            unknown = Failure(
                RequestOutcome.UNKNOWN, Reason.NO_QUORUM, MIN_RETRY_AFTER_SECONDS
            )
            return Err(unknown)


async def _run_claimed(
    request: Request, answer: Answer, claims: Claims, claim: KeyRecord, serve: Serve
) -> Result[int, Failure]:
    """Run a request under a granted claim, and record how it ended at all agents."""
    sink = RecordingSink(answer)
    state = KeyState.UNKNOWN
    kept = None
    try:
        result = await serve(request, sink)
        match result:
            case Ok(_):
                state = KeyState.DONE
                kept = sink.kept_answer()
            case Err(Failure(outcome=RequestOutcome.NOT_RUN)):
                state = KeyState.CLAIMED
        return result
    finally:
        if state is KeyState.CLAIMED:
            claims.release(claim)
        else:
            claims.finish(claim, state, kept)


async def _answer_repeat(
    answer: Answer, record: KeyRecord, fingerprint: int, holder_gone: bool
) -> Result[int, Failure]:
    """Answer a repeated request from the record of the first run."""
    if record.fingerprint != fingerprint:
        return Err(Failure(RequestOutcome.NOT_RUN, Reason.KEY_REUSED))
    if record.state == KeyState.CLAIMED and not holder_gone:
        busy = Failure(RequestOutcome.UNKNOWN, Reason.KEY_BUSY, MIN_RETRY_AFTER_SECONDS)
        return Err(busy)
    if record.state != KeyState.DONE:
        return Err(Failure(RequestOutcome.UNKNOWN, Reason.KEY_LOST))
    if record.answer is None:
        return Err(Failure(RequestOutcome.RAN, Reason.ANSWER_NOT_KEPT))
    kept = record.answer
    headers = (*kept.headers, (REPLAYED_HEADER, "true"))
    await answer.start(AnswerHead(kept.status, kept.reason, headers))
    await answer.write(kept.body)
    return Ok(kept.status)
