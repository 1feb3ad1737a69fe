"""A stand-in of the platform's store, with its answers and its faults.

Objects by kind and name, one revision counter, listings in pages, watches from a
revision, and the ways in which the real store turns a caller away.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer

FIRST_REVISION = 1
WATCH_STEP_SECONDS = 0.02
SILENCE_SECONDS = 60.0


@dataclass
class PlatformObjects:
    """What the store holds, and how it misbehaves.

    ``refusal`` is a status that answers every call, ``silent`` lets writes be done and
    answers nothing, ``garbled`` answers with what is no answer. ``page`` is how many
    objects one listing holds at most.
    """

    page: int = 500
    revision: int = FIRST_REVISION
    first_event: int = FIRST_REVISION
    by_kind: dict[str, dict[str, dict]] = field(default_factory=dict)
    events: list[tuple[int, str, dict]] = field(default_factory=list)
    refusal: int = 0
    silent: bool = False
    garbled: bool = False

    def put(self, kind: str, name: str, spec: Any) -> dict:
        """Create or replace an object; the same spec again changes nothing."""
        known = self.by_kind.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        made = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        self.by_kind[kind][name] = made
        event = {"object": made, "deleted": False}
        self.events.append((self.revision, kind, event))
        return made

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        known = self.by_kind.get(kind, {}).pop(name, None)
        if known is None:
            return False
        self.revision += 1
        event = {"object": known, "deleted": True}
        self.events.append((self.revision, kind, event))
        return True

    def drop_history(self) -> None:
        """Forget all events so far."""
        self.events.clear()
        self.first_event = self.revision

    def since(self, kind: str, revision: int) -> list[dict]:
        """Return the events of a kind after a revision."""
        return [
            event
            for at, event_kind, event in self.events
            if event_kind == kind and at > revision
        ]


class KindHandler(tornado.web.RequestHandler):
    """Calls on a kind: its listing, a watch, or a new object."""

    def initialize(self, objects: PlatformObjects) -> None:
        """Take the objects over from the application."""
        self.objects = objects

    async def prepare(self) -> None:
        """Misbehave as asked, before anything is done but silent writes."""
        if self.objects.refusal:
            self.set_status(self.objects.refusal)
            self.finish()
        elif self.objects.garbled:
            self.finish("<html>")
        elif self.objects.silent and self.request.method == "GET":
            await asyncio.sleep(SILENCE_SECONDS)

    async def get(self, kind: str) -> None:
        """Answer a listing or a watch."""
        watch = self.get_query_argument("watch", "")
        if watch:
            await self._watch(kind, int(watch))
            return
        after = self.get_query_argument("after", "")
        names = sorted(self.objects.by_kind.get(kind, {}))
        rest = [name for name in names if name > after]
        page = rest[: self.objects.page]
        self._answer(
            {
                "items": [self.objects.by_kind[kind][name] for name in page],
                "has-more": len(rest) > len(page),
                "current-rev": self.objects.revision,
            }
        )

    async def post(self, kind: str) -> None:
        """Create an object."""
        body = msgspec.json.decode(self.request.body)
        name = body["meta"]["name"]
        if name in self.objects.by_kind.get(kind, {}):
            self.set_status(409)
            self._answer(self.objects.by_kind[kind][name])
            return
        made = self.objects.put(kind, name, body["spec"])
        await self._answer_write(made)

    async def _watch(self, kind: str, revision: int) -> None:
        if revision < self.objects.first_event:
            self.set_status(410)
            self._answer({})
            return
        left = int(self.get_query_argument("wait-ms")) / 1000
        while left > 0 and not self.objects.since(kind, revision):
            await asyncio.sleep(WATCH_STEP_SECONDS)
            left -= WATCH_STEP_SECONDS
        events = self.objects.since(kind, revision)
        self._answer({"events": events, "current-rev": self.objects.revision})

    async def _answer_write(self, made: dict) -> None:
        if self.objects.silent:
            await asyncio.sleep(SILENCE_SECONDS)
        self._answer(made)

    def _answer(self, body: dict) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class ObjectHandler(KindHandler):
    """Calls on one object."""

    async def put(self, kind: str, name: str) -> None:
        """Replace an object."""
        if name not in self.objects.by_kind.get(kind, {}):
            self.set_status(404)
            self._answer({})
            return
        body = msgspec.json.decode(self.request.body)
        await self._answer_write(self.objects.put(kind, name, body["spec"]))

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        if not self.objects.delete(kind, name):
            self.set_status(404)
        await self._answer_write({})


@contextmanager
def platform_store(
    address: tuple[str, int], objects: PlatformObjects
) -> Iterator[None]:
    """Serve objects at an address until the context ends."""
    application = tornado.web.Application(
        [
            ("/cornelspan/objects/([^/]+)", KindHandler, {"objects": objects}),
            (
                "/cornelspan/objects/([^/]+)/([^/]+)",
                ObjectHandler,
                {"objects": objects},
            ),
        ]
    )
    server = HTTPServer(application)
    server.listen(address[1], address[0])
    try:
        yield
    finally:
        server.stop()


def configuration_spec(version: int, *, port: int = 443) -> dict:
    """Return an operator's configuration with one route, as the platform spells it."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "hostname": "198.18.0.1",
                "path-prefix": f"/{port}/",
                "kind": "non_idempotent",
                "timeout-ms": 2000,
                "target-latency-ms": 200,
                "priority": 1,
                "service": "orders",
                "max-attempts": 2,
            }
        ],
        "services": [{"name": "orders", "max-connections": 2000}],
        "limits": {"idle-timeout-ms": 15000},
    }
