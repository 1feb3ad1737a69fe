"""A TCP proxy on loopback that delays, silences, cuts or resets what it carries."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
LINGER_AND_RESET = struct.pack("ii", 1, 0)
STEP_SECONDS = 0.02


@dataclass
class Proxy:
    """How the proxy treats what it carries now.

    ``delay`` holds each chunk up, in seconds. ``silent`` keeps everything back, and
    ``one_way`` only the answers; what was kept back goes on when it ends.
    """

    target: tuple[str, int]
    delay: float = 0.0
    silent: bool = False
    one_way: bool = False
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self.open):
            reset(writer)

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection until an end closes it."""
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        ends = {writer, back}
        self.open |= ends
        try:
            await asyncio.gather(
                self._pump(reader, back, is_answer=False),
                self._pump(there, writer, is_answer=True),
            )
        except OSError:
            pass
        finally:
            self.open -= ends
            for end in ends:
                end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.delay)
            while self.silent or (self.one_way and is_answer):
                await asyncio.sleep(STEP_SECONDS)
            writer.write(data)
            await writer.drain()
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_AND_RESET)
    writer.transport.abort()


@asynccontextmanager
async def proxy(
    listen: tuple[str, int], target: tuple[str, int]
) -> AsyncIterator[Proxy]:
    """Carry connections to a target as long as the context lasts."""
    state = Proxy(target)
    carried: set[asyncio.Task] = set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        carried.add(task)
        try:
            await state.carry(reader, writer)
        finally:
            carried.discard(task)

    server = await asyncio.start_server(handle, *listen)
    try:
        yield state
    finally:
        server.close()
        for task in list(carried):
            task.cancel()
        await asyncio.gather(*carried, return_exceptions=True)
