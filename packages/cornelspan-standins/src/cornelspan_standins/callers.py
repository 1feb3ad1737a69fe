"""Load of real HTTP callers through a TCP address, which check every answer.

    report = await run_callers(LoadSettings(targets=(Target(...),), flows=200))

A flow is one TCP connection with one or more requests one after another; where an
answer ends it in order, its caller goes on in a new one. Callers begin in an open loop
(Poisson arrivals at ``rate``) or, with ``rate`` 0, in a closed loop of ``at_once``
callers. All that is reported is counted here, outside the product.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

import msgspec
import numpy
from hdrh.histogram import HdrHistogram
from msgspec import Meta
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from cornelspan_common.settings import Address, Checked, Name
from cornelspan_standins import content

HIGHEST_MICROSECONDS = 120_000_000
MICROSECONDS = 1_000_000
ANSWER_LIMIT_BYTES = 67_108_864
Share = Annotated[float, Meta(ge=0, le=1)]


class Target(Checked, frozen=True, kw_only=True):
    """A service that callers reach at one address, and its part of the flows."""

    service: Name
    address: Address
    weight: float = 1.0


class LoadSettings(Checked, frozen=True, kw_only=True):
    """What the callers do; times in seconds.

    A short flow has one to three requests, a long one ``long_requests`` with a pause of
    ``pause_seconds`` between them. ``orders`` is the share of ``POST /orders``, each
    with an idempotency key of its own; the others ask for one of ``sizes`` bytes. With
    ``seconds`` set no flow begins after that time, however many of ``flows`` are left.
    ``deadline_seconds`` goes to the backend server; ``answer_seconds`` is how long a
    caller waits for a whole answer before it counts its flow as broken.
    """

    targets: tuple[Target, ...]
    seed: int = 0
    flows: int = 100
    seconds: float = 0.0
    rate: float = 0.0
    at_once: int = 20
    long_share: Share = 0.2
    long_requests: int = 20
    pause_seconds: float = 0.05
    orders: Share = 0.3
    sizes: tuple[int, ...] = (200, 2_000, 20_000, 200_000)
    deadline_seconds: float = 0.0
    answer_seconds: float = 30.0
    prefix: str = "r"


class Outcome(Enum):
    """What became of a request, as its caller sees it."""

    GOOD = "good"
    NOT_RUN = "not run"
    FAILED = "failed"
    INCOMPLETE = "incomplete"
    FOREIGN = "foreign"
    WRONG_SERVICE = "wrong service"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """One request and what came of it; ``seconds`` until the whole answer.

    ``closing`` is whether the answer said that the connection ends with it.
    """

    request_id: str
    service: str
    method: str
    outcome: Outcome
    status: int
    endpoint: str
    started: float
    seconds: float
    closing: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A request before it is sent."""

    request_id: str
    method: str
    path: str
    body: bytes
    answer_bytes: int


@dataclass
class Answer(HTTPMessageDelegate):
    """An answer as it arrives."""

    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False

    @property
    def closing(self) -> bool:
        """Whether the server ends the connection after this answer."""
        return self.whole and self.headers.get("Connection", "").lower() == "close"

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the status and the headers."""
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body += chunk

    def finish(self) -> None:
        """Note that all has come."""
        self.whole = True


class LoadReport:
    """Counts of flows and requests, and latencies of good requests."""

    def __init__(self) -> None:
        self.opened = 0
        self.finished = 0
        self.broken = 0
        self.refused_flows = 0
        self.requests: list[RequestOutcome] = []
        self.latencies = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)

    def add(self, outcome: RequestOutcome) -> None:
        """Note what came of a request."""
        self.requests.append(outcome)
        if outcome.outcome is Outcome.GOOD:
            microseconds = int(outcome.seconds * MICROSECONDS)
            self.latencies.record_value(min(microseconds, HIGHEST_MICROSECONDS))

    def count(self, outcome: Outcome, *, service: str = "") -> int:
        """Return how many requests ended so, of one service or of all."""
        return sum(
            1
            for request in self.requests
            if request.outcome is outcome and service in ("", request.service)
        )

    @property
    def incomplete_answers(self) -> int:
        """Answers that were cut short, or not the caller's own."""
        return self.count(Outcome.INCOMPLETE) + self.count(Outcome.FOREIGN)

    @property
    def good_share(self) -> float:
        """Share of the requests that were good."""
        return self.count(Outcome.GOOD) / max(1, len(self.requests))

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the good requests' latency, in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000


class Callers:
    """The callers of one load, and how far they are."""

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.report = LoadReport()
        self.stopped = False
        self.loop = asyncio.get_running_loop()
        self.numbers = numpy.random.default_rng(settings.seed)
        weights = numpy.array([target.weight for target in settings.targets])
        self.shares = weights / weights.sum()

    def stop(self) -> None:
        """Begin no further flow; those that are open go on to their end."""
        self.stopped = True

    async def run(self) -> LoadReport:
        """Run all flows to their end."""
        if self.settings.rate > 0:
            await self._run_open_loop()
        else:
            await self._run_closed_loop()
        return self.report

    def _numbers(self) -> Iterator[int]:
        """Yield the numbers of the flows while there is time for them."""
        limit = self.settings.seconds or float("inf")
        begun = self.loop.time()
        for number in range(self.settings.flows):
            if self.stopped or self.loop.time() - begun >= limit:
                return
            yield number

    async def _run_open_loop(self) -> None:
        running = []
        next_at = self.loop.time()
        for number in self._numbers():
            running.append(asyncio.create_task(self._flow(number)))
            next_at += float(self.numbers.exponential(1 / self.settings.rate))
            await asyncio.sleep(max(0.0, next_at - self.loop.time()))
        await asyncio.gather(*running)

    async def _run_closed_loop(self) -> None:
        numbers = self._numbers()

        async def caller() -> None:
            for number in numbers:
                await self._flow(number)

        await asyncio.gather(*(caller() for _ in range(self.settings.at_once)))

    async def _flow(self, number: int) -> None:
        """Run one flow; each has random numbers of its own, whatever runs beside it."""
        numbers = numpy.random.default_rng([self.settings.seed, number])
        target = self.settings.targets[
            int(numbers.choice(len(self.settings.targets), p=self.shares))
        ]
        long = bool(numbers.random() < self.settings.long_share)
        count = self.settings.long_requests if long else int(numbers.integers(1, 4))
        done = 0
        while done < count:
            self.report.opened += 1
            steps = range(done, count)
            asked = await self._connection(number, numbers, target, steps, long=long)
            if asked == 0:
                self.report.broken += 1
                return
            self.report.finished += 1
            done += asked

    async def _connection(
        self,
        number: int,
        numbers: numpy.random.Generator,
        target: Target,
        steps: range,
        *,
        long: bool,
    ) -> int:
        """Run requests on one connection.

        Returns:
            How many were run until the connection ended in order: all of them, or up to
            an answer with ``Connection: close``, after which a caller has to open a new
            one (RFC 9112, 9.6). 0 if it broke.
        """
        try:
            stream = await TCPClient().connect(target.address.host, target.address.port)
        except (OSError, StreamClosedError):
            return 0
        stream.set_nodelay(True)
        try:
            for step in steps:
                request = self._new_request(f"{number}-{step}", numbers)
                outcome = await self._ask(request, target, stream)
                self.report.add(outcome)
                last = outcome.closing or step == steps[-1]
                if outcome.outcome is Outcome.BROKEN or (stream.closed() and not last):
                    return 0
                if last:
                    return step - steps[0] + 1
                if long:
                    pause = numbers.exponential(self.settings.pause_seconds)
                    await asyncio.sleep(float(pause))
        finally:
            stream.close()
        return len(steps)

    def _new_request(self, name: str, numbers: numpy.random.Generator) -> Request:
        settings = self.settings
        request_id = f"{settings.prefix}-{settings.seed}-{name}"
        order = numbers.random() < settings.orders
        size = int(numbers.choice(settings.sizes))
        if not order:
            path = f"/bytes/{size}?seed={request_id}"
            return Request(request_id, "GET", path, b"", size)
        body = msgspec.json.encode({"request_id": request_id, "answer_bytes": 64})
        return Request(request_id, "POST", "/orders", body, 64)

    async def _ask(
        self, request: Request, target: Target, stream: IOStream
    ) -> RequestOutcome:
        """Send a request, wait for its answer and judge it."""
        started = self.loop.time()
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._exchange(request, target, stream, answer),
                self.settings.answer_seconds,
            )
        except (StreamClosedError, TimeoutError):
            # A late answer would be taken for the next request's.
            stream.close()
        return RequestOutcome(
            request.request_id,
            target.service,
            request.method,
            judge(request, target.service, answer),
            answer.status,
            answer.headers.get(content.SERVED_BY_HEADER, ""),
            started,
            self.loop.time() - started,
            answer.closing,
        )

    async def _exchange(
        self, request: Request, target: Target, stream: IOStream, answer: Answer
    ) -> None:
        connection = HTTP1Connection(
            stream,
            True,
            HTTP1ConnectionParameters(max_body_size=ANSWER_LIMIT_BYTES),
        )
        headers = HTTPHeaders(
            {
                "Host": str(target.address),
                "Content-Length": str(len(request.body)),
                content.REQUEST_ID_HEADER: request.request_id,
            }
        )
        if request.method == "POST":
            headers[content.IDEMPOTENCY_HEADER] = request.request_id
        if self.settings.deadline_seconds > 0:
            milliseconds = int(self.settings.deadline_seconds * 1000)
            headers[content.DEADLINE_HEADER] = str(milliseconds)
        line = RequestStartLine(request.method, request.path, "HTTP/1.1")
        await connection.write_headers(line, headers, request.body)
        connection.finish()
        await connection.read_response(answer)


def judge(request: Request, service: str, answer: Answer) -> Outcome:
    """Say what an answer is to its caller: whole, its own, of the right service."""
    if answer.status == 0:
        return Outcome.BROKEN
    if not answer.whole:
        return Outcome.INCOMPLETE
    if answer.status != 200:
        told = answer.headers.get(content.OUTCOME_HEADER)
        return Outcome.NOT_RUN if told == content.NOT_RUN else Outcome.FAILED
    if answer.headers.get(content.SERVICE_HEADER) != service:
        return Outcome.WRONG_SERVICE
    if answer.headers.get(content.REQUEST_ID_HEADER) != request.request_id:
        return Outcome.FOREIGN
    if len(answer.body) != request.answer_bytes:
        return Outcome.INCOMPLETE
    if bytes(answer.body) != content.body_of(request.request_id, request.answer_bytes):
        return Outcome.FOREIGN
    return Outcome.GOOD


async def run_callers(settings: LoadSettings) -> LoadReport:
    """Run a load from its first flow to the end of its last."""
    return await Callers(settings).run()
