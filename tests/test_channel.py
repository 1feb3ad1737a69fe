"""Channels over a network that drops, duplicates and reorders packets."""

import asyncio
import random

import pytest
from result import Err, Ok

from cornelspan_common.channel import BUFFER_BYTES, Channel
from cornelspan_common.packets import Kind

LOSS = 0.05
REORDER = 0.05
DUPLICATE = 0.01


def pair(seed, *, loss=0.0):
    """Return the two ends of a flow, connected by a simulated, seeded network."""
    random_numbers = random.Random(seed)
    ends = {}

    def carry(target):
        def transmit(packet):
            loop = asyncio.get_running_loop()
            copies = 2 if random_numbers.random() < DUPLICATE else 1
            for _ in range(copies):
                if random_numbers.random() < loss:
                    continue
                late = random_numbers.random() < REORDER
                delay = 0.003 if late else 0.0002
                loop.call_later(delay, ends[target].receive, packet)

        return transmit

    ends["left"] = Channel(7, "10.0.0.1:80", "fabric", carry("right"))
    ends["right"] = Channel(7, "10.0.0.1:80", "fabric", carry("left"))
    return ends["left"], ends["right"]


async def drain(channel):
    parts = []
    while part := (await channel.read()).unwrap():
        parts.append(part)
    return b"".join(parts)


async def send(channel, data):
    assert await channel.write(data) == Ok(None)
    assert await channel.close_write() == Ok(None)


@pytest.mark.parametrize("seed", range(5))
async def test_both_directions_are_whole_at_five_percent_loss(seed):
    # The caller gets its complete answer, although 5 % of the packets are lost, 5 % are
    # reordered and 1 % are duplicated: lost packets are retransmitted.
    left, right = pair(seed, loss=LOSS)
    request = random.Random(seed).randbytes(50_000)
    answer = random.Random(seed + 1).randbytes(1_000_000)
    _, _, got_request, got_answer = await asyncio.gather(
        send(left, request), send(right, answer), drain(right), drain(left)
    )
    assert (got_request, got_answer) == (request, answer)
    assert await left.wait_finished(10)
    assert await right.wait_finished(10)


async def test_slow_reader_holds_the_writer_back():
    left, right = pair(1)
    writer = asyncio.create_task(left.write(bytes(4 * BUFFER_BYTES)))
    await asyncio.sleep(0.2)
    assert not writer.done()
    assert right.ready_bytes <= BUFFER_BYTES
    reader = asyncio.create_task(drain(right))
    assert await asyncio.wait_for(writer, 10) == Ok(None)
    await left.close_write()
    assert len(await asyncio.wait_for(reader, 10)) == 4 * BUFFER_BYTES


async def test_half_close_leaves_the_other_direction_open():
    left, right = pair(2)
    await left.close_write()
    assert await right.read() == Ok(b"")
    await right.write(b"late answer")
    assert await left.read() == Ok(b"late answer")
    assert not left.finished


async def test_reset_reaches_both_ends_as_an_error():
    left, right = pair(3)
    right.reset("shed")
    await asyncio.sleep(0.01)
    assert "shed" in str((await left.read()).unwrap_err())
    assert isinstance(await right.write(b"x"), Err)


async def test_lost_peer_is_found_out():
    # The peer's process has been killed, so nothing is acknowledged any more. After a
    # limited number of retransmissions the sender reports the peer as lost.
    left, _ = pair(4, loss=1.0)
    await left.write(b"x")
    left.sending.timeouts = 1000
    assert "peer lost" in str((await left.read()).unwrap_err())


async def test_packets_far_ahead_are_bounded():
    left, right = pair(5, loss=1.0)
    template = left._packet(Kind.DATA, 0, b"x")
    for sequence in range(2, 5000):
        packet = type(template)(
            Kind.DATA, 7, template.address, template.fabric, sequence, body=b"x"
        )
        right.receive(packet)
    assert len(right.out_of_order) <= 256
    right.stop()
