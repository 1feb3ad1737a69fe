"""Moves bytes between a flow's channel and a byte stream of the host.

asyncio's streams are used here and not tornado's, because a tornado stream closes as a
whole when the other side ends its half: a caller that has sent its request and closed
its sending side would then lose the answer.
"""

import asyncio
import contextlib

from cornelspan_common.channel import SEGMENT_BYTES, Channel

STREAM_ERRORS = (ConnectionError, OSError, RuntimeError)


async def pump(
    channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Carry both directions until the flow has finished or is reset.

    Each direction ends by itself (half close). A stream that breaks resets the flow; a
    flow that is reset aborts the stream, so that neither side takes a cut for an end.
    """
    inward = asyncio.create_task(_to_stream(channel, writer))
    outward = asyncio.create_task(_to_channel(channel, reader))
    # A direction that waits for its stream would not see that the flow was reset.
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
