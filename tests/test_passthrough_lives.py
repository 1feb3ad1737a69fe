"""Incarnations of an endpoint: from its calls to the effect on flows."""

import msgspec
import pytest

from cornelspan_passthrough.http_messages import HTTPRequest
from cornelspan_passthrough.running_agent import answer_call
from cornelspan_shirakaba.calls import HEARTBEAT_PATH, LEAVE_PATH, decode_call
from passthrough_world import BALANCERS, ORDERS, owner_of, small_world

STARTED_MILLISECONDS = 1_790_000_000_000


@pytest.fixture
def world():
    """A deployment whose endpoints report only through the calls of these tests."""
    world = small_world()
    world.reports = False
    return world


def send_report(
    world, address, *, name="i-1", born=STARTED_MILLISECONDS, sequence=1, **more
):
    """Send an endpoint's report to its agent; return the status of the response."""
    body = {
        "service": "orders",
        "address": f"{address}:8165",
        "zone": "hall",
        "version": "v1",
        "capacity": 2,
        "state": "ready",
        "warmup-remaining-ms": 0,
        "sequence": sequence,
        "born": born,
    } | more
    call = HTTPRequest("POST", f"{HEARTBEAT_PATH}{name}", msgspec.json.encode(body))
    return answer_call(world.agents[address], decode_call(call), world.now).status


def open_flow_with_owner(world):
    """Open a flow; return its client and the address of its endpoint."""
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    return client, owner_of(world, client)


def restart(world, address):
    endpoint = world.endpoints[address]
    endpoint.crash()
    endpoint.start(cold_until=0.0)


def test_flows_of_before_a_restart_under_the_same_name_are_told_dead(world):
    """A client is reset within a report interval after its endpoint restarted.

    The endpoint crashes and restarts under the same name between two reports. The first
    report of the new incarnation has a lower sequence number. If it were ignored as a
    repeat, the client would learn of the loss only with its next packet.
    """
    client, owner = open_flow_with_owner(world)
    send_report(world, owner, sequence=40)
    world.run(0.5)
    restart(world, owner)
    assert send_report(world, owner, born=STARTED_MILLISECONDS + 900, sequence=1) == 200
    world.run(0.1)
    assert client.events[-1] == "reset"


def test_a_new_life_s_word_to_leave_is_obeyed_when_it_is_acknowledged(world):
    """An endpoint whose draining report is acknowledged gets no new flows."""
    for address in ORDERS:
        send_report(world, address, sequence=40)
        restart(world, address)
        leaving = {
            "state": "draining",
            "sequence": 2,
            "born": STARTED_MILLISECONDS + 900,
        }
        assert send_report(world, address, **leaving) == 200
    world.run(0.5)
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.3)
    assert "open" not in client.events


def test_a_restart_of_endpoint_and_agent_is_told_by_the_start(world):
    """Flows survive a delayed report of an earlier incarnation with the same name.

    Endpoint and agent have both restarted, so the agent has not seen the earlier
    incarnation. The delayed report arrives after the first one of the current
    incarnation.
    """
    world.start_agent(ORDERS[0])
    send_report(world, ORDERS[0], born=STARTED_MILLISECONDS + 900, sequence=1)
    for address in ORDERS[1:]:
        world.endpoints[address].accepts = False
        send_report(world, address, state="draining", sequence=60)
    world.run(0.5)
    client, owner = open_flow_with_owner(world)
    assert owner == ORDERS[0]
    late = send_report(world, owner, sequence=61, state="draining")
    assert late == 409
    world.run(0.5)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert open_flow_with_owner(world)[1] == owner


def test_a_report_that_is_not_the_endpoint_s_ends_no_flow(world):
    """A flow survives reports at its agent that are not of its endpoint."""
    client, owner = open_flow_with_owner(world)
    send_report(world, owner, sequence=5)
    assert (
        send_report(
            world, owner, name="x-1", service="odd", born=STARTED_MILLISECONDS + 5
        )
        != 200
    )
    assert (
        send_report(
            world, owner, name="x-2", state="starting", born=STARTED_MILLISECONDS + 5
        )
        != 200
    )
    assert (
        send_report(world, owner, name="x-3", capacity=0, born=STARTED_MILLISECONDS + 5)
        != 200
    )
    assert send_report(world, owner, name="x-4", born="now") != 200
    world.run(0.3)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]


def test_an_earlier_life_s_late_word_that_it_goes_ends_no_flow(world):
    client, owner = open_flow_with_owner(world)
    send_report(world, owner, born=STARTED_MILLISECONDS + 900, sequence=3)
    for body in (b"", msgspec.json.encode({"born": STARTED_MILLISECONDS})):
        call = HTTPRequest("POST", f"{LEAVE_PATH}i-1", body)
        answer_call(world.agents[owner], decode_call(call), world.now)
    world.run(0.1)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
