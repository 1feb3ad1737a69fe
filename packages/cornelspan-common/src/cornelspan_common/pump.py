"""Copies bytes between a flow's channel and a TCP stream.

This uses asyncio's streams, because a tornado stream closes both directions when the
other side closes one (half close). A caller that closes its sending side after its
request would lose the answer.
"""

import asyncio
import contextlib

from cornelspan_common.channel import SEGMENT_BYTES, Channel

STREAM_ERRORS = (ConnectionError, OSError, RuntimeError)


async def pump(
    channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy in both directions until the flow has finished or is reset.

    Each direction is closed separately (half close). A broken stream resets the flow,
    and a reset flow aborts the stream, so that neither side mistakes an error for the
    end of the data.
    """
    inward = asyncio.create_task(_to_stream(channel, writer))
    outward = asyncio.create_task(_to_channel(channel, reader))
    # While this direction waits for its stream, it would not notice a reset.
    channel.on_error = outward.cancel
    try:
        await asyncio.wait({inward, outward})
    finally:
        inward.cancel()
        outward.cancel()
        await asyncio.gather(inward, outward, return_exceptions=True)
        _close_stream(channel, writer)


async def _to_channel(channel: Channel, reader: asyncio.StreamReader) -> None:
    try:
        while data := await reader.read(SEGMENT_BYTES):
            if (await channel.write(data)).is_err():
                return
    except STREAM_ERRORS as error:
        channel.reset(f"stream broke: {type(error).__name__}")
        return
    await channel.close_write()


async def _to_stream(channel: Channel, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            read = await channel.read()
            if read.is_err():
                return
            if not read.unwrap():
                break
            writer.write(read.unwrap())
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except STREAM_ERRORS as error:
        channel.reset(f"stream broke: {type(error).__name__}")


def _close_stream(channel: Channel, writer: asyncio.StreamWriter) -> None:
    if channel.error is not None:
        writer.transport.abort()
        return
    with contextlib.suppress(*STREAM_ERRORS):
        writer.close()
