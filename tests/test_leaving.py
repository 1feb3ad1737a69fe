"""Draining of an agent that shuts down."""

import asyncio

import pytest

from cornelspan_agent import daemon
from cornelspan_agent.daemon import agent
from cornelspan_common.packets import Kind, Packet
from cornelspan_common.settings import Address, AgentSettings, StoreSettings
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members


def settings_at(port):
    here = [Address(host="127.0.0.1", port=port + number) for number in range(3)]
    return AgentSettings(
        name="order-hub-1",
        datacentre="chuo-hall",
        listen=here[0],
        store=StoreSettings(address=here[1]),
        fabrics=(),
        service="order-hub",
        endpoint=here[2],
    )


@pytest.mark.parametrize("fabric_there", [False, True])
async def test_leaving_waits_for_flows_only_while_a_fabric_is_there(
    base_port, monkeypatch, fabric_there
):
    # When a whole site stops, the fabric may stop first, and its flows can't finish any
    # more. The agent must wait for its flows only while a fabric is connected.
    monkeypatch.setattr(daemon, "FABRIC_GONE_SECONDS", 0.1)
    settings = settings_at(base_port + 310)
    async with agent(settings, Configuration(), Members()) as state:
        state.flows.open(Packet(int(Kind.OPEN), 7, "127.0.0.1:80", "fabric"))
        if fabric_there:
            state.fabrics.open["fabric"] = None
        leaving = asyncio.create_task(state._wait_for_flows(float("inf")))
        done, _ = await asyncio.wait({leaving}, timeout=1.0)
        assert bool(done) != fabric_there
        leaving.cancel()
        state.fabrics.open.clear()
