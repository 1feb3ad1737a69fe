"""A small HTTP server on tornado: a function from a request to an answer."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from cornelspan_passthrough.http_messages import Handler, HTTPRequest, HTTPResponse
from cornelspan_passthrough.listeners import listening_socket


@contextmanager
def http_server(address: tuple[str, int], handler: Handler) -> Iterator[None]:
    """Answer calls at an address by a function until the context ends."""
    with listening_socket(address) as listener, serve_listener(listener, handler):
        yield


@contextmanager
def serve_listener(listener: socket.socket, handler: Handler) -> Iterator[None]:
    """Answer calls that come to a socket by a function until the context ends.

    The function is called as soon as a request is whole and must not wait. Tornado's
    web framework is left out: it costs a megabyte and half the time of each call.
    """

    def serve(request: HTTPServerRequest) -> None:
        http_request = HTTPRequest(request.method or "", request.path, request.body)
        _send_response(request, handler(http_request))

    server = HTTPServer(serve)
    server.add_socket(listener)
    try:
        yield
    finally:
        server.stop()


def _send_response(request: HTTPServerRequest, response: HTTPResponse) -> None:
    headers = HTTPHeaders(
        {
            "Content-Length": str(len(response.body)),
            "Content-Type": response.content_type,
        }
    )
    line = ResponseStartLine("HTTP/1.1", response.status, "")
    connection = request.connection
    if connection is None:
        return
    connection.write_headers(line, headers, response.body)
    connection.finish()
