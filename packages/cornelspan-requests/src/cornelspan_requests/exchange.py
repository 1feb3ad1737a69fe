"""HTTP/1.1 on one flow: requests come in whole, answers go out as they come.

A connection is tornado's ``HTTP1Connection`` in a loop, one message at a time, so that
a keep-alive flow is read no faster than it is answered.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPOutputError,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from cornelspan_common.logs import get_log
from cornelspan_requests.outcomes import AnswerHead, Failure, failure_head

HEADER_BYTES = 65536
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "proxy-connection",
    }
)


log = get_log(__name__)


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, whole.

    ``arrived`` and ``deadline`` are seconds of the event loop's clock. ``key`` is the
    idempotency key, "" for none.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: str
    arrived: float
    deadline: float
    priority: int
    key: str = ""


@dataclass
class Answer:
    """The way back to a caller, for one request.

    ``begun`` tells whether bytes of an answer have left; from then on the caller gets
    this answer whole, or a cut connection, never a second answer. With ``last`` the
    caller is told that the flow ends after this answer.
    """

    connection: HTTP1Connection
    head_only: bool
    begun: bool = False
    last: bool = False

    async def start(self, head: AnswerHead) -> bool:
        """Send status and headers.

        Returns:
            False if the caller is gone.
        """
        self.begun = True
        headers = HTTPHeaders()
        for name, value in head.headers:
            headers.add(name, value)
        if self.last:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        return await _written(self.connection.write_headers(line, headers))

    async def write(self, chunk: bytes) -> bool:
        """Send a part of the body, and wait until the caller takes more.

        Returns:
            False if the caller is gone.
        """
        if not chunk or self.head_only:
            return True
        return await _written(self.connection.write(chunk))

    def finish(self) -> None:
        """End an answer that is whole."""
        try:
            self.connection.finish()
        except HTTPOutputError as error:
            self.cut(str(error))

    def cut(self, reason: str) -> None:
        """Close the connection, so that what was sent can't be taken for the whole.

        A caller that is still there gets half an answer, which is worth a line; one
        that has hung up is not.
        """
        if self.begun and not self.connection.stream.closed():
            log.warning("answer cut", extra={"reason": reason})
        self.connection.close()

    async def send_failure(self, failure: Failure) -> None:
        """Answer in the agent's own name, or cut an answer that has begun."""
        if self.begun:
            self.cut(f"{failure.outcome.value}: {failure.reason.value}")
            return
        text = f"{failure.outcome}: {failure.reason}\n".encode()
        await self.start(failure_head(failure, length=len(text)))
        await self.write(text)
        self.finish()


async def _written(written: Awaitable[None]) -> bool:
    try:
        await written
    except StreamClosedError:
        return False
    return True


Respond = Callable[["Incoming", Answer], Awaitable[None]]


@dataclass
class Incoming(HTTPMessageDelegate):
    """Collects one request; ``whole`` resolves when it is there, or never will be."""

    body_limit: int
    line: RequestStartLine | None = None
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytearray = field(default_factory=bytearray)
    too_large: bool = False
    whole: asyncio.Future[bool] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the head; a body announced as too large is not kept."""
        self.line = start_line
        self.headers = headers
        length = headers.get("Content-Length", "0")
        self.too_large = length.isdigit() and int(length) > self.body_limit

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, up to the limit."""
        if self.too_large or len(self.body) + len(chunk) > self.body_limit:
            self.too_large = True
            self.body.clear()
            return
        self.body += chunk

    def finish(self) -> None:
        """Note that the request is whole."""
        self._settle(True)

    def on_connection_close(self) -> None:
        """Note that the rest will not come."""
        self._settle(False)

    def _settle(self, whole: bool) -> None:
        if not self.whole.done():
            self.whole.set_result(whole)


async def serve_requests(
    stream: IOStream, respond: Respond, *, body_limit: int, idle_seconds: float
) -> None:
    """Read requests from a flow and have each answered, until the flow ends.

    The caller's hanging up cancels the answer that is under way.

    Args:
        stream: The flow.
        respond: Answers one request.
        body_limit: Bytes of a request's body that are kept.
        idle_seconds: How long the flow may wait between two requests.
    """
    parameters = HTTP1ConnectionParameters(
        max_header_size=HEADER_BYTES,
        header_timeout=idle_seconds,
        body_timeout=idle_seconds,
        # Reading a body somewhat over the limit lets the caller hear 413, not a cut.
        max_body_size=2 * body_limit,
    )
    while not stream.closed():
        connection = HTTP1Connection(stream, False, parameters)
        incoming = Incoming(body_limit)
        reading = asyncio.ensure_future(connection.read_response(incoming))
        try:
            if not await _begun(incoming, reading):
                break
            answer = Answer(connection, head_only=incoming.line.method == "HEAD")
            await _answer(answer, incoming, respond)
            if not await reading or answer.last:
                break
        except StreamClosedError:
            break
        finally:
            reading.cancel()
    stream.close()


async def _begun(incoming: Incoming, reading: asyncio.Future) -> bool:
    """Wait for a whole request; False if the flow ends before."""
    await asyncio.wait({incoming.whole, reading}, return_when=asyncio.FIRST_COMPLETED)
    if incoming.whole.done():
        return incoming.whole.result()
    reading.exception()
    return False


async def _answer(answer: Answer, incoming: Incoming, respond: Respond) -> None:
    connection = answer.connection
    work = asyncio.ensure_future(respond(incoming, answer))
    connection.set_close_callback(work.cancel)
    if connection.stream.closed():
        # Closed before the callback stood, so it will never be called.
        work.cancel()
    try:
        await work
    except asyncio.CancelledError:
        answer.cut("cancelled")
        if not connection.stream.closed() or asyncio.current_task().cancelling():
            work.cancel()
            raise
    except Exception as error:
        answer.cut(repr(error))
        raise


def end_to_end(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers that concern the ends, not one connection (RFC 9110, 7.6.1).

    ``Connection`` may name more of the latter.
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    left_out = HOP_HEADERS | named
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in left_out
    )
