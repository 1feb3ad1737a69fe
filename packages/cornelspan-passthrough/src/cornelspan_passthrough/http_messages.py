"""HTTP calls that a daemon answers, as data.

Apart from the server in ``http``, so that what reads and answers calls can be used
before tornado is there.
"""

from collections.abc import Callable
from dataclasses import dataclass

JSON = "application/json"
TEXT = "text/plain; version=0.0.4"
BINARY = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class HTTPResponse:
    """Status, body and type of the body."""

    status: int
    body: bytes = b""
    content_type: str = TEXT


@dataclass(frozen=True, slots=True)
class HTTPRequest:
    """What a caller asks."""

    method: str
    path: str
    body: bytes


NOT_FOUND = HTTPResponse(404)
Handler = Callable[[HTTPRequest], HTTPResponse]
