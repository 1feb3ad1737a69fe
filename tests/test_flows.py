"""Flows owned by an agent: idle timeout, and answers after their end."""

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
    monkeypatch.setattr(flows_module, "IDLE_CHECK_SECONDS", 0.01)


@asynccontextmanager
async def running_flows():
    """Yield flows, with an idle check every 10 ms, and the packets sent to a fabric."""
    sent = []

    async def serve(channel):
        while (await channel.read()).is_ok():
            pass

    async with task_group() as tasks:
        flows = Flows("hub-1", tasks, sent.append, serve)
        tasks.start(flows.reset_idle_flows(lambda: 0.2), name="reset idle flows")
        yield flows, sent


def with_running_flows(test):
    """Run a test in virtual time, because a real sleep may exceed the idle timeout."""

    @functools.wraps(test)
    def run():
        run_virtually(run_test())

    async def run_test():
        async with running_flows() as (flows, sent):
            await test(flows, sent)

    # Otherwise pytest would take the test's arguments for fixtures.
    del run.__wrapped__
    return run


def packet(kind, *, sequence=0, body=b""):
    return Packet(int(kind), 7, "127.0.0.1:80", "fabric", sequence, body=body)


def resets(sent):
    return [each.body for each in sent if each.kind == Kind.RESET]


@with_running_flows
async def test_idle_flow_is_reset_and_its_end_is_told(flows, sent):
    # A client disappears without closing its connection, and the fabric keeps sending
    # acknowledgements. These don't count as use, so the flow reaches its idle timeout.
    flows.open(packet(Kind.OPEN))
    for _ in range(100):
        flows.find(7).receive(packet(Kind.ACK))
        await asyncio.sleep(0.01)
        if resets(sent):
            break
    assert resets(sent) == [b"idle"]
    assert flows.counts.idle == 1


@with_running_flows
async def test_flow_that_is_used_outlives_its_idle_time(flows, sent):
    flows.open(packet(Kind.OPEN))
    for sequence in range(1, 31):
        flows.find(7).receive(packet(Kind.DATA, sequence=sequence, body=b"x"))
        await asyncio.sleep(0.02)
    assert resets(sent) == []


@with_running_flows
async def test_ended_flow_still_answers_for_a_while(flows, sent):
    # The fabric lost the answer to its last packet and sends the packet again. If the
    # flow were unknown by then, it would be reset although all data had arrived.
    flows.open(packet(Kind.OPEN))
    flows.find(7).receive(packet(Kind.RESET))
    await asyncio.sleep(0.05)
    assert 7 not in flows.owned
    assert flows.find(7) is not None
