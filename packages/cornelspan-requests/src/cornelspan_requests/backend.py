"""Calls to the agent's backend server over loopback.

Each call opens a new connection. A server may close a kept-alive connection while the
next request is being written, and then it is unknown whether the request ran. A new
connection over loopback costs about 0.1 ms, and closing it cancels the call.
"""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from cornelspan_common.settings import Address
from cornelspan_requests.exchange import Request, end_to_end_headers
from cornelspan_requests.outcomes import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
    AnswerHead,
    Failure,
    Reason,
    RequestOutcome,
)

REJECTED_STATUS = 503
BODYLESS_STATUSES = (204, 304)


class AnswerSink(Protocol):
    """Receives an answer in parts."""

    async def start(self, head: AnswerHead) -> bool:
        """Process status and headers; False if the caller is gone."""

    async def write(self, chunk: bytes) -> bool:
        """Process a part of the body, and return once more can be accepted.

        Returns:
            False if the caller is gone.
        """


@dataclass
class _ResponseReader(HTTPMessageDelegate):
    """Passes an answer on to its sink, and records how much of it arrived.

    ``server_rejected`` is set if the server rejected the request without running it,
    and ``end_unknown`` if the end of the answer can't be told from a broken connection.
    """

    sink: AnswerSink
    head_request: bool
    begun: bool = False
    complete: bool = False
    server_rejected: bool = False
    end_unknown: bool = False
    caller_gone: bool = False
    status: int = 0
    retry_after: float = 0.0

    async def headers_received(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Pass the head on, unless the server rejected the request."""
        if start_line.code < 200:
            return
        self.status = start_line.code
        self.server_rejected = is_rejected(start_line.code, headers)
        self.end_unknown = not self.head_request and not _is_framed(
            start_line.code, headers
        )
        if self.server_rejected:
            self.retry_after = _parse_seconds(headers.get("Retry-After", ""))
            return
        if self.end_unknown:
            return
        headers[OUTCOME_HEADER] = RequestOutcome.RAN.value
        head = AnswerHead(
            start_line.code, start_line.reason, end_to_end_headers(headers)
        )
        self.begun = True
        self.caller_gone = not await self.sink.start(head)

    async def data_received(self, chunk: bytes) -> None:
        """Pass a part of the body on."""
        if self.begun and not self.caller_gone:
            self.caller_gone = not await self.sink.write(chunk)

    def finish(self) -> None:
        """Note that the answer is complete."""
        self.complete = self.status >= 200

    def on_connection_close(self) -> None:
        """Do nothing: the answer stays incomplete."""


def is_rejected(status: int, headers: HTTPHeaders) -> bool:
    """Whether an answer says that the server did not run the request."""
    return status == REJECTED_STATUS and headers.get(NOT_RUN_HEADER, "").strip() == "1"


async def call(
    request: Request, server: Address, sink: AnswerSink, *, answer_bytes: int
) -> Result[int, Failure]:
    """Run a request at the backend server and pass the answer to a sink.

    Args:
        request: The request.
        server: The address of the backend server.
        sink: Gets the answer as it arrives.
        answer_bytes: Largest size of the answer's body, in bytes.

    Returns:
        The status once the whole answer was passed on. Otherwise why it was not, and
        whether the request may have run.
    """
    loop = asyncio.get_running_loop()
    remaining = request.deadline - loop.time()
    if remaining <= 0:
        return Err(Failure(RequestOutcome.NOT_RUN, Reason.DEADLINE))
    try:
        stream = await asyncio.wait_for(
            TCPClient().connect(server.host, server.port), remaining
        )
    except (OSError, StreamClosedError, TimeoutError):
        # No byte was sent, so the request has not run. ``REFUSED`` stands for every
        # failure to connect, a timeout too, so that the request may be retried.
        return Err(Failure(RequestOutcome.NOT_RUN, Reason.REFUSED))
    try:
        async with asyncio.timeout_at(request.deadline):
            return await _send_and_read(stream, request, sink, answer_bytes)
    except TimeoutError:
        return Err(Failure(RequestOutcome.UNKNOWN, Reason.DEADLINE))
    finally:
        # If the answer is incomplete, this also tells the server that the request is
        # cancelled.
        stream.close()


async def _send_and_read(
    stream: IOStream, request: Request, sink: AnswerSink, answer_bytes: int
) -> Result[int, Failure]:
    """Send a request over a new connection and read its answer."""
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=answer_bytes
    )
    stream.set_nodelay(True)
    connection = HTTP1Connection(stream, True, parameters)
    reader = _ResponseReader(sink, request.method == "HEAD")
    line = RequestStartLine(request.method, request.target, "HTTP/1.1")
    headers = _request_headers(request)
    try:
        await connection.write_headers(line, headers, request.body or None)
        connection.finish()
        await connection.read_response(reader)
    except StreamClosedError:
        # The fields of the reader tell how much of the answer arrived.
        pass
    # The reader stops passing an answer on once the caller is gone, and reads the rest.
    if reader.caller_gone:
        return Err(Failure(RequestOutcome.UNKNOWN, Reason.CANCELLED))
    if reader.server_rejected:
        failure = Failure(
            RequestOutcome.NOT_RUN, Reason.SERVER_REJECTED, reader.retry_after
        )
        return Err(failure)
    # ``BROKEN`` also stands for an answer whose end is unknown; it may be complete.
    if not reader.complete or reader.end_unknown:
        return Err(Failure(RequestOutcome.UNKNOWN, Reason.BROKEN))
    return Ok(reader.status)


def _request_headers(request: Request) -> HTTPHeaders:
    """Return the headers for the server, with the milliseconds left as deadline."""
    headers = HTTPHeaders()
    for name, value in request.headers:
        headers.add(name, value)
    remaining = request.deadline - asyncio.get_running_loop().time()
    headers[DEADLINE_HEADER] = str(max(1, int(remaining * 1000)))
    headers["Connection"] = "close"
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(request.body))
    return headers


def _is_framed(status: int, headers: HTTPHeaders) -> bool:
    """Whether an answer's end can be told from a broken connection."""
    return (
        status in BODYLESS_STATUSES
        or "Content-Length" in headers
        or "chunked" in headers.get("Transfer-Encoding", "").lower()
    )


def _parse_seconds(text: str) -> float:
    """Return the seconds of a ``Retry-After`` header, zero if none."""
    return float(text) if text.isdigit() else 0.0
