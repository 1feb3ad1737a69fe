"""A small HTTP/1.1 server and client on asyncio, one call a channel."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call: method, path, query and body."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


Answer = tuple[int, bytes]
Handler = Callable[[Call], Awaitable[Answer]]


async def serve(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Serve calls at an address."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            call = await _read_call(reader)
            status, body = await handler(call)
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
        except (OSError, ValueError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, *address)


async def _read_call(reader: asyncio.StreamReader) -> Call:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    length = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length)
    parts = urlsplit(target)
    return Call(method, unquote(parts.path), dict(parse_qsl(parts.query)), body)


async def request(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    *,
    seconds: float = 1.0,
) -> int:
    """Make one call; return its status, 0 if no answer came in time."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                line = await reader.readline()
                return int(line.split()[1]) if line else 0
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0
