"""The queue of requests in front of an endpoint without free slots."""

from cornelspan_passthrough.flows import FlowTable
from cornelspan_passthrough.packet_headers import ACK, PacketHeader
from cornelspan_passthrough.request_queue import (
    MAX_REQUESTS,
    QueuedRequest,
    RequestQueue,
)
from cornelspan_passthrough.urgency import Deadlines, Urgency, request_deadlines
from cornelspan_standins.packet_world import PacketWorld

BALANCER = "10.1.0.10"
AGENT = "10.1.0.11"


def queued(priority, deadline, target=8.0):
    return QueuedRequest(priority, Deadlines(target, deadline), queued_at=0.0)


def test_the_highest_priority_goes_first_then_the_least_time_left():
    queue = RequestQueue()
    queue.push(1, queued(2, 10.0), b"a", 1)
    queue.push(2, queued(1, 12.0), b"b", 1)
    queue.push(3, queued(1, 11.0), b"c", 1)
    assert [queue.pop(0.0, 0.1)[0] for _ in range(3)] == [3, 2, 1]
    assert queue.pop(0.0, 0.1) is None


def test_what_cannot_be_done_in_time_goes_last():
    queue = RequestQueue()
    queue.push(1, queued(0, 1.05), b"a", 1)
    queue.push(2, queued(1, 5.0), b"b", 1)
    assert [queue.pop(1.0, 0.1)[0] for _ in range(2)] == [2, 1]


def test_what_is_late_already_lets_those_pass_that_are_not():
    """Requests that arrive after an outage are answered on time.

    Two requests of the outage's backlog are late in any case. In the order of age they
    would run first and make the two new ones late as well.
    """
    queue = RequestQueue()
    queue.push(1, queued(2, 2.0, target=0.9), b"a", 1)
    queue.push(2, queued(2, 2.1, target=0.9), b"b", 1)
    queue.push(3, queued(2, 2.6, target=1.2), b"c", 1)
    queue.push(4, queued(2, 2.5, target=1.2), b"d", 1)
    assert [queue.pop(1.0, 0.04)[0] for _ in range(4)] == [4, 3, 1, 2]


def test_what_a_client_waited_for_its_flow_counts_for_the_first_request_only():
    urgency = Urgency(1, 200, 2000, waited_milliseconds=600)
    assert request_deadlines(urgency, 10.0, is_first=True) == Deadlines(9.6, 11.4)
    assert request_deadlines(urgency, 10.0, is_first=False) == Deadlines(10.2, 12.0)


def test_a_late_order_still_goes_before_what_is_worth_less():
    queue = RequestQueue()
    queue.push(1, queued(2, 3.0, target=1.2), b"a", 1)
    queue.push(2, queued(1, 2.0, target=0.5), b"b", 1)
    assert [queue.pop(1.0, 0.04)[0] for _ in range(2)] == [2, 1]


def test_a_request_whose_caller_gave_up_is_never_run():
    queue = RequestQueue()
    queue.push(1, queued(0, 1.0), b"a", 1)
    assert queue.drop_expired(1.5) == [1]
    assert queue.pop(1.5, 0.1) is None
    assert queue.dropped == 1


def test_repeats_take_no_room():
    queue = RequestQueue()
    queue.push(1, queued(0, 9.0), b"a", 100)
    queue.add_packet(1, b"a", 100)
    queue.add_packet(1, b"b", 200)
    _, request = queue.pop(0.0, 0.1)
    assert list(request.packets.values()) == [b"a", b"b"]
    assert queue.dropped_packets == 1


def test_the_line_is_bounded():
    queue = RequestQueue()
    for flow in range(MAX_REQUESTS + 5):
        queue.push(flow, queued(0, 9.0), b"a", 1)
    assert len(queue) == MAX_REQUESTS


def test_a_crowd_is_served_without_being_shed():
    """All callers of a burst get their answers within their time budgets.

    Forty flows open at one endpoint with two slots and a short queue. It would shed
    what it can neither run nor queue, so the agent queues requests until a slot is
    free.
    """
    world = PacketWorld(seed=1)
    world.add_agent(AGENT, "orders")
    world.endpoints[AGENT].slots = 2
    world.endpoints[AGENT].queue = 3
    world.add_balancer(BALANCER)
    world.run(1.0)
    clients = [world.open_flow(over=BALANCER) for _ in range(40)]
    world.run(1.5)
    assert world.endpoints[AGENT].shed == 0
    assert all(client.events == ["open", "answer"] for client in clients)


def test_requests_that_are_never_answered_do_not_stop_the_line():
    """Requests that are never answered do not block the queue.

    The endpoint ignores its first three requests, or their clients are gone. If they
    counted as running for ever, they would use all slots, and every later request would
    wait until it expires.
    """
    world = PacketWorld(seed=1)
    world.add_agent(AGENT, "orders")
    endpoint = world.endpoints[AGENT]
    endpoint.mute = 3
    world.add_balancer(BALANCER)
    world.run(1.0)
    first_clients = [world.open_flow(over=BALANCER) for _ in range(3)]
    world.run(0.05)
    assert all(client.events == ["open"] for client in first_clients)
    clients = [world.open_flow(over=BALANCER) for _ in range(10)]
    world.run(1.0)
    assert all(client.events == ["open", "answer"] for client in clients)


def test_a_flow_that_turns_out_foreign_makes_room():
    """A slot is free as soon as the endpoint has bounced the packet that used it."""
    world = PacketWorld(seed=1)
    world.add_agent(AGENT, "orders")
    endpoint = world.endpoints[AGENT]
    world.add_balancer(BALANCER)
    world.run(1.0)
    clients = [world.open_flow(over=BALANCER) for _ in range(3)]
    world.run(0.5)
    for client in clients:
        del endpoint.flows[(client.address, client.port)]
    endpoint.work_seconds = 0.3
    for client in clients:
        client.request()
    world.run(0.05)
    assert all(client.events[-1] == "reset" for client in clients)
    assert world.agents[AGENT].flows.running == 0


def packet(sequence, length=10):
    return PacketHeader(1, ACK, sequence, 0, length)


def test_a_request_that_the_endpoint_has_had_before_fills_no_slot():
    """Retransmitted requests that have already run use no slot after a restart.

    All daemons restart and lose answers, so clients retransmit their requests. The
    endpoint acknowledges them, runs nothing, and retransmits its answers on its own
    timer.
    """
    table = FlowTable(flow_seconds=60.0)
    tracked = table.start(1, "", (0, 0), 0.0)
    tracked.is_learned = True
    table.record_sent(1, tracked, packet(100), 1.0)
    assert table.running == 1
    table.record_response(1, tracked, 0, 1.001)
    assert table.running == 0
    assert table.response_seconds == 0.0


def test_an_acknowledged_request_still_runs():
    """A request keeps its slot when the endpoint acknowledges it before the answer.

    Ends acknowledge every second packet, so every second request of a flow is
    acknowledged first. If it counted as done, the endpoint would get more requests than
    it has slots and shed some.
    """
    table = FlowTable(flow_seconds=60.0)
    tracked = table.start(1, "", (0, 0), 0.0)
    table.record_sent(1, tracked, packet(100), 1.0)
    table.record_response(1, tracked, 0, 1.001)
    assert table.running == 1
    table.record_response(1, tracked, 50, 1.04)
    assert table.running == 0


def test_a_repeat_of_an_answered_request_is_no_work():
    table = FlowTable(flow_seconds=60.0)
    tracked = table.start(1, "", (0, 0), 0.0)
    table.record_sent(1, tracked, packet(0xFFFFFFFA), 1.0)
    table.record_response(1, tracked, 50, 1.04)
    table.record_sent(1, tracked, packet(0xFFFFFFFA), 1.2)
    assert table.running == 0
    table.record_sent(1, tracked, packet(4), 1.3)
    assert table.running == 1


def test_an_answer_that_comes_before_the_repeat_of_its_request():
    """A request that was answered before a restart uses no slot after it.

    The endpoint retransmits the lost answer just before the client retransmits the
    request, which the endpoint then only acknowledges.
    """
    table = FlowTable(flow_seconds=60.0)
    tracked = table.start(1, "", (0, 0), 0.0)
    tracked.is_learned = True
    table.record_response(1, tracked, 50, 0.9)
    table.record_sent(1, tracked, packet(100), 1.0)
    table.record_response(1, tracked, 0, 1.001)
    assert table.running == 0
