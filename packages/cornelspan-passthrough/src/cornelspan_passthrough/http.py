"""A small HTTP server on tornado that calls a function for each request."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from cornelspan_passthrough.http_messages import Handler, HTTPRequest, HTTPResponse
from cornelspan_passthrough.listeners import listening_socket


@contextmanager
def http_server(address: tuple[str, int], handler: Handler) -> Iterator[None]:
    """Serve HTTP at an address by a handler until the context ends."""
    with listening_socket(address) as listener, serve_listener(listener, handler):
        yield


@contextmanager
def serve_listener(listener: socket.socket, handler: Handler) -> Iterator[None]:
    """Serve HTTP on a listening socket by a handler until the context ends.

    The handler is called when a request is complete, and must not block. Tornado's web
    framework is not used, because it costs a megabyte of memory and half the time of
    each request.
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
