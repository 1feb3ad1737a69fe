"""Serving of flows: bytes to the backend server, or requests to the HTTP gateway."""

import asyncio
import socket

from tornado.iostream import IOStream

from cornelspan_common.channel import Channel
from cornelspan_common.pump import pump
from cornelspan_common.settings import Address
from cornelspan_requests.gateway import Gateway


async def serve_bytes(channel: Channel, endpoint: Address) -> None:
    """Forward a flow of a ``stream`` profile over one connection to the server."""
    try:
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except OSError as error:
        channel.reset(f"endpoint refused: {error.strerror}")
        return
    await pump(channel, reader, writer)


async def serve_http(channel: Channel, gateway: Gateway) -> None:
    """Forward a flow of an ``http`` profile to the agent's HTTP gateway.

    tornado's HTTP code reads only from sockets, so a socket pair connects the two.
    """
    ours, theirs = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)
    handled = asyncio.create_task(
        gateway.handle_stream(IOStream(theirs), channel.caller)
    )
    try:
        await pump(channel, reader, writer)
        # A flow that was finished ends its stream too, and so the handler.
        await handled
    finally:
        handled.cancel()
        await asyncio.wait({handled})
