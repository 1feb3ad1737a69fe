"""HTTP requests and responses as data.

They are separate from the server in ``http``, so that calls can be decoded and answered
before tornado is imported.
"""

from collections.abc import Callable
from dataclasses import dataclass

JSON = "application/json"
TEXT = "text/plain; version=0.0.4"
BINARY = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class HTTPResponse:
    """Status, body and content type of a response."""

    status: int
    body: bytes = b""
    content_type: str = TEXT


@dataclass(frozen=True, slots=True)
class HTTPRequest:
    """Method, path and body of a request."""

    method: str
    path: str
    body: bytes


NOT_FOUND = HTTPResponse(404)
Handler = Callable[[HTTPRequest], HTTPResponse]
