"""From a flow to the backend server: as bytes, or by way of the agent's HTTP side."""

import asyncio
import socket

from tornado.iostream import IOStream

from cornelspan_common.channel import Channel
from cornelspan_common.pump import pump
from cornelspan_common.settings import Address
from cornelspan_requests.gateway import Gateway


async def serve_bytes(channel: Channel, endpoint: Address) -> None:
    """Carry a flow of a ``stream`` profile on one connection to the backend server."""
    try:
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except OSError as error:
        channel.reset(f"endpoint refused: {error.strerror}")
        return
    await pump(channel, reader, writer)


async def serve_http(channel: Channel, gateway: Gateway) -> None:
    """Carry a flow of an ``http`` profile to the agent's HTTP side.

    tornado's HTTP server reads from a socket only, so the two meet in a socket pair.
    """
    ours, theirs = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)
    handled = asyncio.create_task(
        gateway.handle_stream(IOStream(theirs), channel.caller)
    )
    try:
        await pump(channel, reader, writer)
        # A flow that ended in order ends its stream too, and so the handler.
        await handled
    finally:
        handled.cancel()
        await asyncio.wait({handled})
