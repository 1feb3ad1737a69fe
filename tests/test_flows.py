"""Flows that an agent owns: idle time-out and the time after their end."""

import asyncio
import functools
from contextlib import asynccontextmanager

import pytest

from cornelspan_common.packets import Kind, Packet
from cornelspan_common.tasks import task_group
from cornelspan_ownership import flows as flows_module
from cornelspan_ownership.flows import Flows
from virtual_time import run_virtually


@pytest.fixture(autouse=True)
def often_swept(monkeypatch):
    monkeypatch.setattr(flows_module, "SWEEP_SECONDS", 0.01)


@asynccontextmanager
async def world():
    """Flows whose fabric keeps what is sent to it, swept every hundredth second."""
    sent = []

    async def serve(channel):
        while (await channel.read()).is_ok():
            pass

    async with task_group() as tasks:
        flows = Flows("hub-1", tasks, sent.append, serve)
        tasks.start(flows.sweep(lambda: 0.2), name="sweep")
        yield flows, sent


def in_world(test):
    """Run a test in virtual time: on a busy machine a sleep may outlast idle time."""

    @functools.wraps(test)
    def run():
        run_virtually(run_test())

    async def run_test():
        async with world() as (flows, sent):
            await test(flows, sent)

    # Else pytest would look for fixtures of the test's own arguments.
    del run.__wrapped__
    return run


def packet(kind, *, sequence=0, body=b""):
    return Packet(int(kind), 7, "127.0.0.1:80", "fabric", sequence, body=body)


def resets(sent):
    return [each.body for each in sent if each.kind == Kind.RESET]


@in_world
async def test_idle_flow_is_reset_and_its_end_is_told(flows, sent):
    # A caller's machine vanishes without a word, and the fabric keeps the flow alive.
    # Acknowledgements alone are no use of a flow, so it ends at its idle time-out.
    flows.open(packet(Kind.OPEN))
    for _ in range(100):
        flows.find(7).receive(packet(Kind.ACK))
        await asyncio.sleep(0.01)
        if resets(sent):
            break
    assert resets(sent) == [b"idle"]
    assert flows.counts.idle == 1


@in_world
async def test_flow_that_is_used_outlives_its_idle_time(flows, sent):
    flows.open(packet(Kind.OPEN))
    for sequence in range(1, 31):
        flows.find(7).receive(packet(Kind.DATA, sequence=sequence, body=b"x"))
        await asyncio.sleep(0.02)
    assert resets(sent) == []


@in_world
async def test_ended_flow_still_answers_for_a_while(flows, sent):
    # The fabric missed the answer to its last packet and sends it again. Unknown by
    # then, the flow would be reset although all of it had arrived.
    flows.open(packet(Kind.OPEN))
    flows.find(7).receive(packet(Kind.RESET))
    await asyncio.sleep(0.05)
    assert 7 not in flows.owned
    assert flows.find(7) is not None
