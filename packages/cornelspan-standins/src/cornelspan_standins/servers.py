"""Stand-in for a backend server: HTTP with slots, faults and a journal of its runs.

    async with backend_server(ServerSettings(...), Journal()) as server:
        server.drain()

``GET /bytes/N?seed=S`` answers N bytes that follow from S, ``POST /orders`` runs an
order, ``GET /health`` and ``GET /load`` tell the server's own view, late and, when told
to, wrong.
"""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
import numpy
import tornado.web
from msgspec import Meta
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError

from cornelspan_common.settings import Address, Checked, Name
from cornelspan_standins import content
from cornelspan_standins.journal import Ended, Journal, Run

CHUNK_BYTES = 65536
NOT_RUN_HEADERS = {content.OUTCOME_HEADER: content.NOT_RUN, "Retry-After": "1"}
Share = Annotated[float, Meta(ge=0, le=1)]


class ServerSettings(Checked, frozen=True, kw_only=True):
    """How one backend server stand-in behaves; times in seconds.

    A request takes a slot, or waits for one while ``backlog`` has room, or is shed. Its
    service time is lognormal with the given mean; within ``cold_seconds`` of the start
    it is ``cold_factor`` times as long. ``/health`` and ``/load`` show the state of
    ``report_lag_seconds`` ago, or with ``lying`` always a healthy and idle server.
    ``lose_answers`` is the share of runs that end with a closed connection in place of
    an answer; ``bytes_per_second`` slows answers, 0 doesn't.
    """

    name: Name
    service: Name
    listen: Address
    seed: int = 0
    slots: int = 2
    backlog: int = 0
    mean_seconds: float = 0.01
    sigma: float = 0.5
    cold_seconds: float = 0.0
    cold_factor: float = 4.0
    report_lag_seconds: float = 1.0
    lying: bool = False
    lose_answers: Share = 0.0
    bytes_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Report:
    """What ``/health`` and ``/load`` tell."""

    healthy: bool
    running: int
    waiting: int


class Order(msgspec.Struct, frozen=True):
    """The body of ``POST /orders``: the request's id, and the size of its answer."""

    request_id: str
    answer_bytes: int = 64


@dataclass
class BackendServer:
    """State of one backend server; replace ``settings`` whole to change its manner."""

    settings: ServerSettings
    journal: Journal
    running: int = 0
    draining: bool = False
    waiting: list[asyncio.Future] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.numbers = numpy.random.default_rng(self.settings.seed)
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.reported = Report(True, 0, 0)
        self.reported_at = self.started

    def drain(self) -> None:
        """Take no new requests; those that run or wait go on."""
        self.draining = True

    def pause(self) -> None:
        """Stop as a paused machine does: connections stay, nothing moves."""
        self.resumed.clear()

    def resume(self) -> None:
        """Go on after ``pause``."""
        self.resumed.set()

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.running == 0 and not self.waiting

    @property
    def full(self) -> bool:
        """Whether a further request would be shed."""
        if self.running < self.settings.slots:
            return False
        return len(self.waiting) >= self.settings.backlog

    def report(self) -> Report:
        """Return what the server tells of itself: late, or a lie."""
        if self.settings.lying:
            return Report(True, 0, 0)
        now = self.loop.time()
        if now - self.reported_at >= self.settings.report_lag_seconds:
            self.reported_at = now
            self.reported = Report(not self.draining, self.running, len(self.waiting))
        return self.reported

    def service_seconds(self) -> float:
        """Draw the service time of one request."""
        settings = self.settings
        location = math.log(settings.mean_seconds) - settings.sigma**2 / 2
        seconds = float(self.numbers.lognormal(location, settings.sigma))
        cold = self.loop.time() - self.started < settings.cold_seconds
        return seconds * settings.cold_factor if cold else seconds

    def loses_answer(self) -> bool:
        """Draw whether the answer of a finished run gets lost."""
        share = self.settings.lose_answers
        return share > 0 and bool(self.numbers.random() < share)

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Hold one of the slots, waiting for it in order of arrival."""
        if self.running >= self.settings.slots:
            turn = self.loop.create_future()
            self.waiting.append(turn)
            try:
                await turn
            finally:
                if turn in self.waiting:
                    self.waiting.remove(turn)
                elif turn.cancelled():
                    self._free_slot()
        else:
            self.running += 1
        try:
            yield
        finally:
            self._free_slot()

    def _free_slot(self) -> None:
        """Pass a slot to the first that waits, or give it back."""
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class RunHandler(tornado.web.RequestHandler):
    """Base of what runs requests; a caller that goes away stops its run."""

    def initialize(self, server: BackendServer) -> None:
        """Take the server's state."""
        self.server = server
        self.work: asyncio.Task | None = None

    def on_connection_close(self) -> None:
        """Stop the run of a caller that is gone."""
        if self.work is not None:
            self.work.cancel()

    async def run(self, request_id: str, seed: str, size: int) -> None:
        """Run one request, or shed it, and answer."""
        await self.server.resumed.wait()
        if self.server.draining or self.server.full:
            self.server.journal.refuse()
            self._answer_not_run()
            return
        self.work = asyncio.create_task(self._run(request_id))
        await asyncio.wait([self.work])
        if self.work.cancelled():
            return
        match self.work.result():
            case None:
                self._answer_not_run()
            case Ended.FINISHED:
                await self._answer(request_id, seed, size)
            case Ended.TIMED_OUT:
                self.set_status(504)
            case _:
                self.detach().close()

    async def _run(self, request_id: str) -> Ended | None:
        """Hold a slot for the service time.

        Returns:
            How the run ended; None if its deadline passed before a slot was free.
        """
        server = self.server
        deadline = server.loop.time() + self._limit_seconds()
        async with AsyncExitStack() as held:
            # The time-out covers the wait alone. Around the run as well, it could fire
            # in the last millisecond of a run, when the loop is late, and a request
            # that had begun was answered as not run.
            try:
                async with asyncio.timeout_at(deadline):
                    await held.enter_async_context(server.slot())
            except TimeoutError:
                return None
            return await self._run_in_slot(request_id, deadline)

    async def _run_in_slot(self, request_id: str, deadline: float) -> Ended:
        server = self.server
        number = server.journal.start(self._new_run(request_id))
        ended = Ended.CANCELLED
        try:
            seconds = server.service_seconds()
            left = deadline - server.loop.time()
            await asyncio.sleep(min(seconds, max(0.0, left - 0.001)))
            await server.resumed.wait()
            ended = self._end_of_run(timed_out=seconds > left)
        finally:
            server.journal.end(number, ended, server.loop.time())
        return ended

    def _end_of_run(self, *, timed_out: bool) -> Ended:
        if timed_out:
            return Ended.TIMED_OUT
        return Ended.ANSWER_LOST if self.server.loses_answer() else Ended.FINISHED

    def _new_run(self, request_id: str) -> Run:
        settings = self.server.settings
        return Run(
            request_id,
            self.request.headers.get(content.IDEMPOTENCY_HEADER, ""),
            self.request.method or "",
            settings.service,
            settings.name,
            self.server.loop.time(),
        )

    def _limit_seconds(self) -> float:
        named = self.request.headers.get(content.DEADLINE_HEADER, "")
        return int(named) / 1000 if named.isdecimal() else 3600.0

    def _answer_not_run(self) -> None:
        self.set_status(503)
        for name, value in NOT_RUN_HEADERS.items():
            self.set_header(name, value)

    async def _answer(self, request_id: str, seed: str, size: int) -> None:
        settings = self.server.settings
        self.set_header(content.SERVED_BY_HEADER, settings.name)
        self.set_header(content.SERVICE_HEADER, settings.service)
        self.set_header(content.REQUEST_ID_HEADER, request_id)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(size))
        body = content.body_of(seed, size)
        try:
            for start in range(0, size, CHUNK_BYTES):
                self.write(body[start : start + CHUNK_BYTES])
                await self.flush()
                await self._pace(min(CHUNK_BYTES, size - start))
        except StreamClosedError:
            return

    async def _pace(self, size: int) -> None:
        if self.server.settings.bytes_per_second > 0:
            await asyncio.sleep(size / self.server.settings.bytes_per_second)


class BytesHandler(RunHandler):
    """``GET /bytes/N?seed=S``: an answer of N bytes that follow from S."""

    async def get(self, size: str) -> None:
        """Run the request."""
        seed = self.get_argument("seed", "")
        request_id = self.request.headers.get(content.REQUEST_ID_HEADER, seed)
        await self.run(request_id, seed, int(size))


class OrdersHandler(RunHandler):
    """``POST /orders``: run an order, which must not run twice."""

    async def post(self) -> None:
        """Run the order."""
        try:
            order = msgspec.json.decode(self.request.body, type=Order)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        await self.run(order.request_id, order.request_id, order.answer_bytes)


class ReportHandler(tornado.web.RequestHandler):
    """``GET /health`` and ``GET /load``."""

    def initialize(self, server: BackendServer) -> None:
        """Take the server's state."""
        self.server = server

    async def get(self) -> None:
        """Tell the server's own view of itself."""
        await self.server.resumed.wait()
        report = self.server.report()
        if not report.healthy:
            self.set_status(503)
        self.write(msgspec.json.encode(report))


def _application(server: BackendServer) -> tornado.web.Application:
    state = {"server": server}
    return tornado.web.Application(
        [
            (r"/bytes/(\d{1,8})", BytesHandler, state),
            (r"/orders", OrdersHandler, state),
            (r"/(?:health|load)", ReportHandler, state),
        ],
        log_function=lambda handler: None,
    )


@asynccontextmanager
async def backend_server(
    settings: ServerSettings, journal: Journal
) -> AsyncIterator[BackendServer]:
    """Run a backend server stand-in as long as the context lasts.

    Args:
        settings: Its address and how it behaves.
        journal: Where its runs are noted; the servers of one deployment share it.
    """
    server = BackendServer(settings, journal)
    http = HTTPServer(_application(server))
    http.listen(settings.listen.port, settings.listen.host)
    try:
        yield server
    finally:
        server.resume()
        http.stop()
        await http.close_all_connections()
