"""HTTP/1.1 as text, as far as the stand-ins need it."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])


def text(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def take(data: bytes) -> tuple[Message, bytes] | None:
    """Return the first whole message and the rest; None if there is none yet."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    if len(rest) < length:
        return None
    return Message(first, headers, rest[:length]), rest[length:]


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        found = take(head)
        if found is not None:
            return found[0]
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        )
        whole = take(head + await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return whole[0] if whole else None


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    *,
    seconds: float = 1.0,
) -> int:
    """Make a call; return its status, 0 if there is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            headers = {"Host": "daemon", "Connection": "close"}
            if body:
                headers["Content-Type"] = "application/json"
            writer.write(text(f"{method} {path} HTTP/1.1", headers, body))
            answer = await read(reader)
            return answer.status if answer else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()
