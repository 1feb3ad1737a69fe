"""HTTP/1.1 on one flow: buffers whole requests and streams the answers.

Each request is read with a new ``HTTP1Connection`` of tornado, after the one before it
was answered. So a keep-alive flow is read no faster than it is answered.
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

MAX_HEADER_BYTES = 65536
# ``Expect`` is end-to-end by RFC 9110, but is not forwarded: tornado answers it with
# 100 (Continue) while it reads the request.
HOP_BY_HOP_HEADERS = frozenset(
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
    """One complete request of a caller.

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
    """Sends the answer to one request back to its caller.

    ``begun`` is set when the first bytes of an answer are sent. From then on the caller
    gets either the whole answer or a closed connection, never a second answer. With
    ``close_after`` the answer carries ``Connection: close`` and the flow ends after it.
    """

    connection: HTTP1Connection
    head_only: bool
    begun: bool = False
    close_after: bool = False

    async def start(self, head: AnswerHead) -> bool:
        """Send status and headers.

        Returns:
            False if the caller is gone.
        """
        self.begun = True
        headers = HTTPHeaders()
        for name, value in head.headers:
            headers.add(name, value)
        if self.close_after:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        return await _was_sent(self.connection.write_headers(line, headers))

    async def write(self, chunk: bytes) -> bool:
        """Send a part of the body, and wait until more can be sent.

        Returns:
            False if the caller is gone.
        """
        if not chunk or self.head_only:
            return True
        return await _was_sent(self.connection.write(chunk))

    def finish(self) -> None:
        """End an answer whose body has been sent in full."""
        try:
            self.connection.finish()
        except HTTPOutputError as error:
            self.abort(str(error))

    def abort(self, reason: str) -> None:
        """Close the connection, so that an incomplete answer can't seem complete.

        This is logged if the caller is still connected and so gets a partial answer.
        """
        if self.begun and not self.connection.stream.closed():
            log.warning(
                "agent closed the connection during an answer", extra={"reason": reason}
            )
        self.connection.close()

    async def send_failure(self, failure: Failure) -> None:
        """Send the agent's own answer, or abort an answer that has begun."""
        if self.begun:
            self.abort(
                f"outcome {failure.outcome.value}, reason {failure.reason.value}"
            )
            return
        text = f"{failure.outcome}: {failure.reason}\n".encode()
        await self.start(failure_head(failure, length=len(text)))
        await self.write(text)
        self.finish()


async def _was_sent(sending: Awaitable[None]) -> bool:
    """Wait until data is sent; False if the connection is closed."""
    try:
        await sending
    except StreamClosedError:
        return False
    return True


Respond = Callable[["IncomingRequest", Answer], Awaitable[None]]


@dataclass
class IncomingRequest(HTTPMessageDelegate):
    """Collects one request from a flow.

    ``complete`` resolves to True once all of it has been read, to False if the
    connection closes before.
    """

    body_limit: int
    line: RequestStartLine | None = None
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytearray = field(default_factory=bytearray)
    too_large: bool = False
    complete: asyncio.Future[bool] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the head, and note whether the announced body is too large."""
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
        """Note that the request is complete."""
        self._resolve(True)

    def on_connection_close(self) -> None:
        """Note that the request will not be completed."""
        self._resolve(False)

    def _resolve(self, complete: bool) -> None:
        """Resolve ``complete`` unless it already is."""
        if not self.complete.done():
            self.complete.set_result(complete)


async def serve_requests(
    stream: IOStream, respond: Respond, *, body_limit: int, idle_seconds: float
) -> None:
    """Read requests from a flow and answer each, until the flow ends.

    If the caller disconnects, the request that is being answered is cancelled.

    Args:
        stream: The flow.
        respond: Answers one request.
        body_limit: Largest size of a request's body, in bytes.
        idle_seconds: How long to wait for the next request or for its body.
    """
    parameters = HTTP1ConnectionParameters(
        max_header_size=MAX_HEADER_BYTES,
        header_timeout=idle_seconds,
        body_timeout=idle_seconds,
        # A body up to twice the limit is read to its end, so that the caller gets a 413
        # answer and not a closed connection.
        max_body_size=2 * body_limit,
    )
    while not stream.closed():
        connection = HTTP1Connection(stream, False, parameters)
        incoming = IncomingRequest(body_limit)
        reading = asyncio.ensure_future(connection.read_response(incoming))
        try:
            if not await _wait_for_request(incoming, reading):
                break
            answer = Answer(connection, head_only=incoming.line.method == "HEAD")
            await _answer_request(answer, incoming, respond)
            if not await reading or answer.close_after:
                break
        except StreamClosedError:
            break
        finally:
            reading.cancel()
    stream.close()


async def _wait_for_request(incoming: IncomingRequest, reading: asyncio.Future) -> bool:
    """Wait for a complete request; False if the flow ends before."""
    await asyncio.wait(
        {incoming.complete, reading}, return_when=asyncio.FIRST_COMPLETED
    )
    if incoming.complete.done():
        return incoming.complete.result()
    reading.exception()
    return False


async def _answer_request(
    answer: Answer, incoming: IncomingRequest, respond: Respond
) -> None:
    """Answer a request; cancel it if the caller disconnects."""
    connection = answer.connection
    task = asyncio.ensure_future(respond(incoming, answer))
    connection.set_close_callback(task.cancel)
    if connection.stream.closed():
        # It closed before the callback was set, so the callback is never called.
        task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        answer.abort("cancelled")
        if not connection.stream.closed() or asyncio.current_task().cancelling():
            task.cancel()
            raise
    except Exception as error:
        answer.abort(repr(error))
        raise


def end_to_end_headers(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers without hop-by-hop ones (RFC 9110, 7.6.1).

    Headers that are named by ``Connection`` are hop-by-hop too.
    """
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    excluded = HOP_BY_HOP_HEADERS | connection_headers
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in excluded
    )
