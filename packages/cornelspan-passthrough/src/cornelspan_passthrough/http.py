"""A small HTTP server on tornado: a function from a request to an answer."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from cornelspan_passthrough.http_messages import Answer, Call, Handler
from cornelspan_passthrough.listeners import listening


@contextmanager
def http_server(address: tuple[str, int], handler: Handler) -> Iterator[None]:
    """Answer calls at an address by a function until the context ends."""
    with listening(address) as listener, http_answers(listener, handler):
        yield


@contextmanager
def http_answers(listener: socket.socket, handler: Handler) -> Iterator[None]:
    """Answer calls that come to a socket by a function until the context ends.

    The function is called as soon as a request is whole and must not wait. Tornado's
    web framework is left out: it costs a megabyte and half the time of each call.
    """

    def serve(request: HTTPServerRequest) -> None:
        call = Call(request.method or "", request.path, request.body)
        _answer(request, handler(call))

    server = HTTPServer(serve)
    server.add_socket(listener)
    try:
        yield
    finally:
        server.stop()


def _answer(request: HTTPServerRequest, answer: Answer) -> None:
    headers = HTTPHeaders(
        {
            "Content-Length": str(len(answer.body)),
            "Content-Type": answer.content_type,
        }
    )
    line = ResponseStartLine("HTTP/1.1", answer.status, "")
    connection = request.connection
    if connection is None:
        return
    connection.write_headers(line, headers, answer.body)
    connection.finish()
