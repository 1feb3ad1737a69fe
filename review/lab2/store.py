"""Stand-in of the platform's store of objects, by PROTOCOL.md, without faults."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from lab2 import web

PREFIX = "/cornelspan/objects/"
MAX_WAIT_SECONDS = 30.0
HISTORY_SECONDS = 20.0

StoredObject = dict[str, Any]


@dataclass
class Store:
    """All objects by kind and name, and the changes of the last seconds.

    ``forgotten`` is the revision of the newest change that is no longer kept.
    """

    revision: int = 100
    forgotten: int = 0
    kinds: dict[str, dict[str, StoredObject]] = field(default_factory=dict)
    events: list[tuple[float, int, str, dict[str, Any]]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def answer(self, call: web.Call) -> web.Answer:
        """Answer one call."""
        if not call.path.startswith(PREFIX):
            return 404, b"{}"
        kind, *rest = call.path.removeprefix(PREFIX).split("/")
        name = rest[0] if rest else ""
        if call.method == "GET":
            return await self._get(kind, name, call.query)
        body = json.loads(call.body) if call.body else {}
        expected = call.query.get("revision", body.get("meta", {}).get("revision"))
        match call.method:
            case "POST":
                return self._create(kind, body)
            case "PUT":
                part = rest[1] if len(rest) > 1 else "spec"
                return self._put(kind, name, part, body, expected)
            case "DELETE":
                return self._delete(kind, name, expected)
        return 405, b"{}"

    def put_spec(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object as the operator does."""
        if name in self.kinds.get(kind, {}):
            self._put(kind, name, "spec", {"spec": spec}, None)
        else:
            self._create(kind, {"meta": {"name": name}, "spec": spec})

    async def _get(self, kind: str, name: str, query: dict[str, str]) -> web.Answer:
        objects = self.kinds.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, _encoded(found)) if found else (404, b"{}")
        if "watch" in query:
            return await self._watch(kind, query)
        items = [objects[each] for each in sorted(objects)]
        listing = {"items": items, "has-more": False, "current-rev": self.revision}
        return 200, _encoded(listing)

    async def _watch(self, kind: str, query: dict[str, str]) -> web.Answer:
        after = int(query["watch"])
        wait = min(MAX_WAIT_SECONDS, int(query.get("wait-ms", "0")) / 1000)
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            self._forget()
            if after < self.forgotten:
                return 410, b"{}"
            found = [
                event
                for _, revision, of, event in self.events
                if revision > after and of == kind
            ]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                break
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
        return 200, _encoded({"events": found, "current-rev": self.revision})

    def _forget(self) -> None:
        """Drop the history that is older than ``HISTORY_SECONDS``."""
        earliest = time.monotonic() - HISTORY_SECONDS
        while self.events and self.events[0][0] < earliest:
            self.forgotten = self.events.pop(0)[1]

    def _create(self, kind: str, body: dict[str, Any]) -> web.Answer:
        name = body["meta"]["name"]
        objects = self.kinds.setdefault(kind, {})
        if name in objects:
            return 409, _encoded(objects[name])
        meta = {"name": name, "created": 0, "finalizers": [], "delete-requested": False}
        objects[name] = {"meta": meta, "spec": body.get("spec"), "status": None}
        return self._note_change(kind, objects[name])

    def _put(
        self, kind: str, name: str, part: str, body: dict[str, Any], expected: Any
    ) -> web.Answer:
        found = self.kinds.get(kind, {}).get(name)
        if found is None:
            return 404, b"{}"
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, _encoded(found)
        if found[part] == body.get(part):
            return 200, _encoded(found)
        found[part] = body.get(part)
        return self._note_change(kind, found)

    def _delete(self, kind: str, name: str, expected: Any) -> web.Answer:
        found = self.kinds.get(kind, {}).get(name)
        if found is None:
            return 404, b"{}"
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, _encoded(found)
        del self.kinds[kind][name]
        return self._note_change(kind, found, deleted=True)

    def _note_change(
        self, kind: str, changed: StoredObject, *, deleted: bool = False
    ) -> web.Answer:
        self.revision += 1
        changed["meta"]["revision"] = self.revision
        copy = json.loads(json.dumps(changed))
        event = {"object": copy, "deleted": deleted}
        self.events.append((time.monotonic(), self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, _encoded(changed)


def _encoded(value: Any) -> bytes:
    return json.dumps(value).encode()
