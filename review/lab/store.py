"""The platform's store: objects by kind and name, one revision counter, watches."""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from lab import http_text
from lab.http_text import Message

ANSWER_SECONDS = 0.004
WATCH_STEP_SECONDS = 0.02
PREFIX = "/cornelspan/objects/"


@dataclass
class Store:
    """What the store holds, and its history."""

    revision: int = 1
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: list[tuple[int, str, dict]] = field(default_factory=list)

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object; the same spec again changes nothing."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created": known["meta"]["created"] if known else self.revision,
            "finalizers": [],
            "delete-requested": False,
        }
        made = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = made
        self.history.append((self.revision, kind, {"object": made, "deleted": False}))
        return made

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        known = self.objects.pop((kind, name), None)
        if known is None:
            return False
        self.revision += 1
        self.history.append((self.revision, kind, {"object": known, "deleted": True}))
        return True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one channel."""
        try:
            while (request := await http_text.read(reader)) is not None:
                await asyncio.sleep(ANSWER_SECONDS)
                status, body = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                raw = json.dumps(body).encode()
                writer.write(http_text.text(f"HTTP/1.1 {status} -", headers, raw))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The channel or the run has ended; nobody waits for this answer.
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        method, target, _ = request.first.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        if method == "GET" and not name and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and not name:
            return 200, self._list(kind, query.get("after", ""))
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "DELETE":
            return (200, {}) if self.delete(kind, name) else (404, {})
        body = json.loads(request.body)
        name = name or body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, {}
        revision = body["meta"].get("revision")
        if revision is not None and known and revision != known["meta"]["revision"]:
            return 409, known
        return 200, self.put(kind, name, body["spec"])

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        items = [self.objects[kind, name] for name in names]
        return {"items": items, "has-more": False, "current-rev": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        after = int(query["watch"])
        until = loop.time() + int(query.get("wait-ms", "30000")) / 1000
        while loop.time() < until and not self._since(kind, after):
            await asyncio.sleep(WATCH_STEP_SECONDS)
        events = self._since(kind, after)
        return 200, {"events": events, "current-rev": self.revision}

    def _since(self, kind: str, after: int) -> list[dict]:
        return [e for at, k, e in self.history if k == kind and at > after]
