"""Which endpoint a new flow is placed on."""

import random

from cornelspan_passthrough.flows import FlowTable
from cornelspan_passthrough.health import DOWN, DRAINING, READY, AgentHealth, Pong
from cornelspan_passthrough.packet_headers import ACK, PacketHeader
from cornelspan_passthrough.placing import Candidate, choose_endpoint
from cornelspan_standins.packet_world import PacketWorld

BALANCER = "10.1.0.10"


def health(state=READY, capacity=2, running=0, flows=0, response_time=0, **more):
    pong = Pong(
        "", "hall", "orders", state, capacity, running, flows, False, response_time
    )
    return AgentHealth(pong=pong, **more)


def chosen(**by_name):
    candidates = [Candidate(name, each) for name, each in by_name.items()]
    return choose_endpoint(candidates, random.Random(1), now=10.0)


def test_the_least_busy_takes_it():
    assert chosen(a=health(running=2), b=health(running=1)) == "b"


def test_more_slots_carry_more():
    assert (
        chosen(a=health(running=1, capacity=1), b=health(running=2, capacity=4)) == "b"
    )


def test_idle_flows_count_for_less_than_running_requests():
    assert chosen(a=health(flows=3), b=health(running=1, flows=1)) == "a"


def test_flows_on_their_way_count():
    assert chosen(a=health(placed_flows=2), b=health(running=1)) == "b"


def test_a_slow_endpoint_that_is_idle_takes_less_than_a_busy_sound_one():
    """A flow is not placed where its requests would take eight times as long.

    Measured by its own response time, a slow endpoint has no more queued work than a
    healthy one.
    """
    sound = {
        "b": health(running=4, response_time=50),
        "c": health(running=5, response_time=60),
    }
    assert chosen(a=health(response_time=400), **sound) == "b"


def test_paces_that_differ_by_chance_do_not_count():
    response_times = {
        "b": health(running=1, response_time=50),
        "c": health(running=1, response_time=40),
    }
    assert chosen(a=health(response_time=70), **response_times) == "a"


def test_an_endpoint_of_unknown_pace_is_taken_for_a_usual_one():
    response_times = {
        "b": health(running=1, response_time=50),
        "c": health(running=1, response_time=40),
    }
    assert chosen(a=health(response_time=0), **response_times) == "a"


def request(flows, number, at):
    """Have a flow send a request at a time."""
    owned = flows.start(number, "", (0, 0), at)
    flows.record_sent(number, owned, PacketHeader(number, ACK, 1, 0, 10), at)
    return owned


def test_an_agent_tells_that_its_endpoint_has_become_slow_before_it_answers():
    flows = FlowTable(flow_seconds=60)
    for number in range(30):
        owned = request(flows, number, 10 + number * 0.1)
        flows.record_response(number, owned, 10, 10 + number * 0.1 + 0.05)
    usual = flows.response_seconds_now(13.0)
    assert 0.04 < usual < 0.06
    request(flows, 99, 13.0)
    assert flows.response_seconds_now(13.1) == usual
    assert flows.response_seconds_now(13.9) > 4 * usual


def test_an_agent_forgets_the_pace_of_an_endpoint_that_has_had_nothing_to_do():
    """The response time of an idle endpoint expires, so a slow one is tried again."""
    flows = FlowTable(flow_seconds=60)
    owned = request(flows, 1, 10.0)
    flows.record_response(1, owned, 10, 10.4)
    assert flows.response_seconds_now(11.0) > 0
    assert flows.response_seconds_now(13.0) == 0


def test_who_leaves_or_is_down_takes_nothing():
    assert chosen(a=health(state=DRAINING), b=health(state=DOWN)) == ""


def test_who_has_just_refused_comes_last_not_never():
    refusing = health(cooldown_until=10.2)
    assert chosen(a=refusing, b=health(running=2)) == "b"
    assert chosen(a=refusing) == "a"


def test_an_empty_endpoint_that_takes_nothing_yet_is_not_tried_for_each_flow():
    """Flows open without a detour while a new endpoint starts.

    The new endpoint has no flows and seems the least loaded, but it rejects every first
    packet. After the first rejection it gets no flow for a cooldown.
    """
    world = PacketWorld(seed=1)
    world.add_agent("10.1.0.11", "orders")
    starting = world.add_agent("10.1.0.12", "orders")
    world.endpoints["10.1.0.12"].accepts = False
    world.add_balancer(BALANCER)
    world.run(0.5)
    starting.endpoint.state = READY
    clients = []
    for _ in range(12):
        clients.append(world.open_flow(over=BALANCER))
        world.run(0.02)
    assert all(client.events == ["open", "answer"] for client in clients[:10])
    assert starting.counts["flows_handed_back"] <= 2


ORDERS = tuple(f"10.{datacentre}.0.11" for datacentre in range(1, 7))


def test_a_crowd_after_a_loss_of_power_is_spread_over_all_that_come_up():
    """After a power loss, held first packets are spread over all endpoints.

    The balancer is up first and holds first packets; agents start 30 ms apart. Sent at
    the first pong, all flows would go to one endpoint. Held until all agents are up,
    the first endpoint's slots would stay idle.
    """
    world = PacketWorld(seed=1)
    for address in ORDERS:
        world.add_agent(address, "orders")
        world.endpoints[address].slots = 2
        world.endpoints[address].work_seconds = 0.05
        world.remove(address)
    world.add_balancer(BALANCER)
    clients = [world.open_flow(over=BALANCER) for _ in range(30)]
    most_at_once = 0
    answered_early = 0
    for address in ORDERS:
        world.start_agent(address)
        most_at_once = max(most_at_once, peak_load(world, 0.03))
        answered_early = sum("answer" in client.events for client in clients)
    most_at_once = max(most_at_once, peak_load(world, 1.0))
    assert all(client.events[:1] == ["open"] for client in clients)
    assert most_at_once <= 6
    assert answered_early >= 5


def peak_load(world, seconds):
    """Run for some seconds; return the most requests that one agent had at once."""
    most = 0
    for _ in range(round(seconds * 1000)):
        world.run(0.001)
        loads = [
            agent.flows.running + len(agent.request_queue)
            for agent in world.agents.values()
        ]
        most = max(most, *loads)
    return most


def test_an_agent_with_a_long_line_sends_new_flows_on():
    """New flows open at an idle endpoint though the balancer's view is outdated.

    Another balancer has just filled one endpoint, which this one believes to be idle.
    The agent rejects first packets and reports its load.
    """
    world = PacketWorld(seed=1)
    for address in ORDERS[:2]:
        world.add_agent(address, "orders")
        world.endpoints[address].work_seconds = 0.5
    world.add_balancer(BALANCER)
    world.add_balancer("10.2.0.10")
    world.run(1.0)
    first, second = ORDERS[:2]
    world.balancers[BALANCER].by_service["orders"] = [first]
    for _ in range(12):
        world.open_flow(over=BALANCER)
    world.run(0.02)
    world.balancers["10.2.0.10"].health.of(second).placed_flows = 50
    clients = [world.open_flow(over="10.2.0.10") for _ in range(4)]
    world.run(0.05)
    assert all(client.events == ["open"] for client in clients)
    assert world.agents[second].counts["flows_taken"] == 4


def test_flows_that_ended_are_no_load():
    """Flows that have ended do not count as load.

    A flow is remembered for a while after its end, for late packets. If it counted as
    open, many short flows would make an endpoint look busy for ten seconds.
    """
    table = FlowTable(flow_seconds=60.0)
    for number in range(3):
        owned = table.start(number, "", (0, 0), 0.0)
        table.record_sent(number, owned, PacketHeader(number, ACK, 100, 0, 10), 0.0)
        table.record_response(number, owned, 10, 0.1)
    assert table.open_flows == 3
    table.end(0, table.get(0))
    table.end(0, table.get(0))
    table.remove(1)
    assert (table.open_flows, len(table)) == (1, 2)
    table.remove(0)
    assert table.open_flows == 1
