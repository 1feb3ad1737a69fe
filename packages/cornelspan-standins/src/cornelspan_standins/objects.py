"""Stand-in for the platform's object store, with faults that a test can script.

Objects have versions and conditional updates; a long poll watches a prefix. The store
counts each call by kind, a waiting watch as one, and refuses what is over its rates:

    async with object_store(Address(host="127.0.0.1", port=19000)) as store:
        store.faults.down = True
        ...
        print(store.calls)

HTTP interface: ``GET``, ``PUT`` and ``DELETE`` of ``/objects/NAME`` with ``If-Match``
and ``If-None-Match``, ``GET /list?prefix=``, ``GET /watch?prefix=&after=&seconds=``.
"""

import asyncio
import ssl
import time
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import numpy
import tornado.web
from tornado.httpserver import HTTPServer

from cornelspan_common.settings import Address, Checked, Name
from cornelspan_common.tokens import TokenBucket

VALUE_BYTES = 1_000_000
KEPT_VALUES = 8
KEPT_EVENTS = 4096
WATCH_SECONDS_LIMIT = 60.0
HANG_SECONDS = 3600.0

Respond = Callable[[], Awaitable[None]]


class StoreStandinSettings(Checked, frozen=True, kw_only=True):
    """Where a store of its own process listens, and the seed of its faults."""

    name: Name
    listen: Address
    seed: int = 1


@dataclass
class Faults:
    """What is wrong with the store now; shares are chances for each call.

    ``down`` ends each connection without an answer, ``hang`` never answers.
    ``lost_answers`` applies a write and then drops the connection, ``lost_requests``
    drops it before. ``stale_reads`` answers with an older value. ``missed_events``
    leaves writes out of what watches see. ``delay_seconds`` is the mean of an
    exponential delay before each call.
    """

    down: bool = False
    hang: bool = False
    delay_seconds: float = 0.0
    lost_answers: float = 0.0
    lost_requests: float = 0.0
    stale_reads: float = 0.0
    missed_events: float = 0.0


@dataclass(frozen=True, slots=True)
class Rates:
    """Calls a second that the store takes before it answers 429."""

    writes: float = 400.0
    reads: float = 2000.0


class ObjectStore:
    """The objects of one store, its faults, and what was asked of it.

    ``values`` keeps the last few versions of each object, newest last, for stale
    reads; a deleted object's newest value is None.
    """

    def __init__(self, *, rates: Rates, seed: int) -> None:
        self.faults = Faults()
        self.random = numpy.random.default_rng(seed)
        self.values: dict[str, deque[tuple[int, bytes | None]]] = {}
        self.events: deque[tuple[int, str]] = deque(maxlen=KEPT_EVENTS)
        self.version = 0
        self.calls: Counter[str] = Counter()
        self.received_bytes = 0
        self.sent_bytes = 0
        self.writes = TokenBucket(rates.writes, burst=rates.writes)
        self.reads = TokenBucket(rates.reads, burst=rates.reads)
        self.changed = asyncio.Event()

    def chance(self, share: float) -> bool:
        """Whether a fault of this share strikes now."""
        return share > 0 and self.random.random() < share

    def read(self, name: str) -> tuple[int, bytes | None]:
        """Return version and value as a reader sees them; None if there is none."""
        kept = self.values.get(name)
        if not kept:
            return 0, None
        if len(kept) > 1 and self.chance(self.faults.stale_reads):
            return kept[int(self.random.integers(0, len(kept) - 1))]
        return kept[-1]

    def current(self, name: str) -> int:
        """Return the true version of an object, 0 if it doesn't exist."""
        kept = self.values.get(name)
        if not kept or kept[-1][1] is None:
            return 0
        return kept[-1][0]

    def write(self, name: str, value: bytes | None) -> None:
        """Give an object a new value, or delete it with None, and wake watches."""
        self.version += 1
        kept = self.values.setdefault(name, deque(maxlen=KEPT_VALUES))
        kept.append((self.version, value))
        if self.chance(self.faults.missed_events):
            return
        self.events.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, prefix: str) -> list[tuple[str, int]]:
        """Return names and versions of the objects under a prefix."""
        names = [name for name in self.values if name.startswith(prefix)]
        found = [(name, self.current(name)) for name in sorted(names)]
        return [(name, version) for name, version in found if version]

    def events_after(self, prefix: str, after: int) -> list[str]:
        """Return the names under a prefix that changed after a version."""
        names = {
            name
            for version, name in self.events
            if version > after and name.startswith(prefix)
        }
        return sorted(names)


class StoreHandler(tornado.web.RequestHandler):
    """Base of the store's handlers: counts, limits and faults of each call."""

    def initialize(self, store: ObjectStore) -> None:
        """Keep the store that this handler answers for."""
        self.store = store

    def get_int(self, name: str) -> int:
        """Return a number from the query, 0 if it isn't there."""
        return int(self.get_query_argument(name, "0"))

    async def admit(self, kind: str, bucket: TokenBucket) -> bool:
        """Count a call and let it pass, or end it as the faults say."""
        self.store.calls[kind] += 1
        self.store.received_bytes += len(self.request.body)
        faults = self.store.faults
        if faults.hang:
            await asyncio.sleep(HANG_SECONDS)
        if faults.delay_seconds:
            delay = self.store.random.exponential(faults.delay_seconds)
            await asyncio.sleep(delay)
        if faults.down:
            self.drop()
            return False
        if not bucket.take(1, time.monotonic()):
            self.store.calls["refused"] += 1
            self.set_header("Retry-After", "1")
            self.answer(429, {"reason": "too many calls"})
            return False
        return True

    def drop(self) -> None:
        """End the connection without an answer."""
        self.detach().close()

    def answer(self, status: int, body: object) -> None:
        """Answer with a status and a JSON body."""
        encoded = msgspec.json.encode(body)
        self.store.sent_bytes += len(encoded)
        self.set_status(status)
        self.finish(encoded)


class ObjectHandler(StoreHandler):
    """``/objects/NAME``: one object."""

    async def get(self, name: str) -> None:
        """Answer with the value; its version is the entity tag."""
        if not await self.admit("get", self.store.reads):
            return
        version, value = self.store.read(name)
        if value is None:
            self.answer(404, {"reason": "no such object"})
            return
        self.store.sent_bytes += len(value)
        self.set_header("Etag", f'"{version}"')
        self.finish(value)

    async def put(self, name: str) -> None:
        """Write the value, if the condition holds."""
        if len(self.request.body) > VALUE_BYTES:
            self.answer(413, {"reason": f"value is over {VALUE_BYTES} bytes"})
            return
        await self.change("put", name, self.request.body)

    async def delete(self, name: str) -> None:
        """Delete the object, if the condition holds."""
        await self.change("delete", name, None)

    async def change(self, kind: str, name: str, value: bytes | None) -> None:
        """Apply a write under its condition and the faults of writes."""
        if not await self.admit(kind, self.store.writes):
            return
        if self.store.chance(self.store.faults.lost_requests):
            self.drop()
            return
        current = self.store.current(name)
        if not self.condition_holds(current):
            self.store.calls["conflict"] += 1
            self.answer(412, {"version": current})
            return
        self.store.write(name, value)
        if self.store.chance(self.store.faults.lost_answers):
            self.drop()
            return
        self.answer(200, {"version": self.store.version})

    def condition_holds(self, current: int) -> bool:
        """Check ``If-Match`` and ``If-None-Match`` against the true version."""
        if self.request.headers.get("If-None-Match") == "*":
            return current == 0
        expected = self.request.headers.get("If-Match")
        return expected is None or expected == f'"{current}"'

    def compute_etag(self) -> str | None:
        """Leave the entity tag to ``get``."""
        return None


class ListHandler(StoreHandler):
    """``/list``: names and versions under a prefix."""

    async def get(self) -> None:
        """Answer with the objects as they are now."""
        if not await self.admit("list", self.store.reads):
            return
        found = self.store.listing(self.get_query_argument("prefix", ""))
        self.answer(200, {"version": self.store.version, "objects": found})


class WatchHandler(StoreHandler):
    """``/watch``: a long poll for changes under a prefix."""

    async def get(self) -> None:
        """Answer as soon as something changed after a version, or when time is up."""
        if not await self.admit("watch", self.store.reads):
            return
        prefix = self.get_query_argument("prefix", "")
        after = self.get_int("after")
        seconds = float(self.get_query_argument("seconds", "30"))
        try:
            async with asyncio.timeout(min(seconds, WATCH_SECONDS_LIMIT)):
                while not self.store.events_after(prefix, after):
                    await self.store.changed.wait()
        except TimeoutError:
            pass
        if self.store.faults.down:
            self.drop()
            return
        names = self.store.events_after(prefix, after)
        self.answer(200, {"version": self.store.version, "changed": names})


@asynccontextmanager
async def object_store(
    address: Address,
    *,
    rates: Rates | None = None,
    seed: int = 1,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[ObjectStore]:
    """Run a store in this process for as long as the context lasts.

    Args:
        address: Where it listens.
        rates: Calls a second that it takes.
        seed: Seed of its faults.
        tls: Server context of mutual TLS; None for plain HTTP.
    """
    store = ObjectStore(rates=rates or Rates(), seed=seed)
    handed = {"store": store}
    application = tornado.web.Application(
        [
            (r"/objects/(.+)", ObjectHandler, handed),
            (r"/list", ListHandler, handed),
            (r"/watch", WatchHandler, handed),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, ssl_options=tls, max_buffer_size=2 * VALUE_BYTES)
    server.listen(address.port, address.host)
    try:
        yield store
    finally:
        server.stop()
        await server.close_all_connections()
