"""Lives of an endpoint, from its calls to what its agent does with flows."""

import msgspec
import pytest

from cornelspan_passthrough.calls import Call
from cornelspan_passthrough.running_agent import answer
from cornelspan_shirakaba.calls import HEARTBEAT_PATH, LEAVE_PATH, read_call
from passthrough_world import BALANCERS, ORDERS, owner_of, small_world

AFTER = 1_790_000_000_000


@pytest.fixture
def world():
    """A deployment whose endpoints report by the calls of these tests alone."""
    world = small_world()
    world.reports = False
    return world


def says(world, address, *, name="i-1", born=AFTER, sequence=1, **more):
    """Let an endpoint report to its agent; return the status of the answer."""
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
    call = Call("POST", f"{HEARTBEAT_PATH}{name}", msgspec.json.encode(body))
    return answer(world.agents[address], read_call(call), world.now).status


def flow_at(world):
    """Open a flow; return its client and the address of its endpoint."""
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    return client, owner_of(world, client)


def restart(world, address):
    endpoint = world.endpoints[address]
    endpoint.crash()
    endpoint.start(cold_until=0.0)


def test_flows_of_before_a_restart_under_the_same_name_are_told_dead(world):
    """The caller is told within a report's interval that its flow is gone.

    The endpoint crashes and is back under its name between two reports. Its next
    report, the first of the new life, has a smaller number than those of before; left
    out as a repeat, the caller would wait for its own next packet to be told.
    """
    client, owner = flow_at(world)
    says(world, owner, sequence=40)
    world.run(0.5)
    restart(world, owner)
    assert says(world, owner, born=AFTER + 900, sequence=1) == 200
    world.run(0.1)
    assert client.events[-1] == "reset"


def test_a_new_life_s_word_to_leave_is_obeyed_when_it_is_acknowledged(world):
    """No new flow goes to an endpoint that was told its word to leave has arrived."""
    for address in ORDERS:
        says(world, address, sequence=40)
        restart(world, address)
        leaving = {"state": "draining", "sequence": 2, "born": AFTER + 900}
        assert says(world, address, **leaving) == 200
    world.run(0.5)
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.3)
    assert "open" not in client.events


def test_a_restart_of_endpoint_and_agent_is_told_by_the_start(world):
    """Flows go on after a late report of an earlier life under the same name.

    Endpoint and agent have restarted, so the agent knows no earlier life. A report of
    one, held up on the way, comes after the present life's first.
    """
    world.start_agent(ORDERS[0])
    says(world, ORDERS[0], born=AFTER + 900, sequence=1)
    for address in ORDERS[1:]:
        world.endpoints[address].accepts = False
        says(world, address, state="draining", sequence=60)
    world.run(0.5)
    client, owner = flow_at(world)
    assert owner == ORDERS[0]
    late = says(world, owner, sequence=61, state="draining")
    assert late == 409
    world.run(0.5)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert flow_at(world)[1] == owner


def test_a_report_that_is_not_the_endpoint_s_ends_no_flow(world):
    """The caller's flow goes on beside reports of another writer."""
    client, owner = flow_at(world)
    says(world, owner, sequence=5)
    assert says(world, owner, name="x-1", service="odd", born=AFTER + 5) != 200
    assert says(world, owner, name="x-2", state="starting", born=AFTER + 5) != 200
    assert says(world, owner, name="x-3", capacity=0, born=AFTER + 5) != 200
    assert says(world, owner, name="x-4", born="now") != 200
    world.run(0.3)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]


def test_an_earlier_life_s_late_word_that_it_goes_ends_no_flow(world):
    client, owner = flow_at(world)
    says(world, owner, born=AFTER + 900, sequence=3)
    for body in (b"", msgspec.json.encode({"born": AFTER})):
        call = Call("POST", f"{LEAVE_PATH}i-1", body)
        answer(world.agents[owner], read_call(call), world.now)
    world.run(0.1)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
