"""A link between an endpoint and its agent that delivers what it has held back late."""

import asyncio
from dataclasses import dataclass, field

from lab import http_text
from lab.record import Record


@dataclass
class LateLink:
    """Takes an endpoint's calls and holds them until ``deliver``."""

    address: tuple[str, int]
    agent: tuple[str, int]
    record: Record
    held: list[bytes] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Take connections."""
        self.server = await asyncio.start_server(self._hold, *self.address)

    async def _hold(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await http_text.read(reader)
        if request is not None:
            method, path, _ = request.first.split()
            headers = {"Host": "daemon", "Content-Type": "application/json"}
            self.held.append(
                http_text.text(f"{method} {path} HTTP/1.1", headers, request.body)
            )
            self.record.add("report held up by the partition", path=path)
        # No answer: the caller's time runs out, and it goes on without one.
        await reader.read()
        writer.close()

    async def deliver(self, call: bytes) -> None:
        """Deliver a call that was held."""
        reader, writer = await asyncio.open_connection(*self.agent)
        writer.write(call)
        answer = await http_text.read(reader)
        writer.close()
        self.record.add("late report arrives", status=answer.status if answer else None)

    def close(self) -> None:
        """Take no more connections."""
        if self.server is not None:
            self.server.close()
