"""Where first packets are placed, when they are held, and when they are rejected."""

import pytest

from cornelspan_passthrough.configuration import RouteTable
from cornelspan_passthrough.members import AGENT, Member
from passthrough_world import BALANCERS, ORDERS, RECEIPTS, small_world


@pytest.fixture
def world():
    return small_world()


def test_a_flow_without_a_route_is_refused_at_once(world):
    client = world.open_flow(over=BALANCERS[0], route_port=999)
    world.run(0.05)
    assert client.events == ["refused"]


def test_an_endpoint_that_drains_takes_no_new_flow(world):
    """New flows open at once at the endpoints that stay.

    Two endpoints start to drain. Balancers may learn of it late; the agents reject
    first packets from that moment on.
    """
    for address in ORDERS[:2]:
        world.endpoints[address].accepts = False
    world.run(0.9)
    before = {address: world.endpoints[address].opened for address in ORDERS}
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(10)]
    world.run(0.3)
    assert all(client.events == ["open", "answer"] for client in clients)
    assert world.endpoints[ORDERS[2]].opened == before[ORDERS[2]] + 10


def test_an_address_that_another_service_took_over_refuses_the_old_one(world):
    """A first packet for orders never reaches the receipts endpoint.

    The VM of an orders endpoint is gone and its address belongs to a receipts VM. The
    balancer still has the old member; the agent rejects by the service tag.
    """
    address = ORDERS[0]
    world.members[address] = world.members[RECEIPTS[0]]
    world.start_agent(address)
    world.endpoints[address].service = "receipts"
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(10)]
    world.run(0.3)
    assert all(client.events == ["open", "answer"] for client in clients)
    assert world.endpoints[address].opened == 0


def test_a_first_packet_waits_for_the_configuration(world):
    """A first packet that arrives before the configuration opens its flow in time.

    If it were dropped, the client would retransmit after 200 ms at the earliest, though
    the route is known after 50 ms.
    """
    balancer = world.balancers[BALANCERS[0]]
    known = balancer.routes.configuration
    balancer.routes = RouteTable()
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.05)
    assert client.events == []
    balancer.routes.replace(known)
    world.run(0.1)
    assert client.events == ["open", "answer"]


def test_a_first_packet_waits_while_members_come(world):
    """A flow opens as soon as the first agent of its service is known.

    Members are being registered, and the balancer doesn't know this service's agent
    yet. If the first packet were rejected, the client would have to retry.
    """
    for address in ORDERS:
        del world.members[address]
    world.tell_members()
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.3)
    assert client.events == []
    for address in ORDERS:
        world.members[address] = Member(address, AGENT, "hall", "orders")
    world.tell_members()
    world.run(0.3)
    assert client.events == ["open", "answer"]


def test_a_first_packet_for_a_service_without_agents_is_refused_at_once(world):
    """A flow is rejected at once if the members have not changed recently."""
    for address in ORDERS:
        del world.members[address]
    world.tell_members()
    world.run(1.0)
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.05)
    assert client.events == ["refused"]


def test_a_balancer_without_a_configuration_refuses_nothing(world):
    """A flow that opened over another balancer is not reset.

    The store is unreachable for a balancer that has just started. The routers remove
    it, and the client's retransmission goes over the other balancer.
    """
    world.balancers[BALANCERS[0]].routes = RouteTable()
    client = world.open_flow(over=BALANCERS[0])
    world.move(client, over=BALANCERS[1])
    world.run(0.5)
    assert client.events == ["open", "answer"]
    world.run(2.0)
    assert client.events == ["open", "answer"]
    refused = world.balancers[BALANCERS[0]].counts["flows_refused"]
    assert refused == 0


def test_a_balancer_that_stood_still_refuses_no_old_first_packet(world):
    """A balancer that was suspended does not reset a flow that its client gave up."""
    for address in ORDERS:
        del world.members[address]
    world.tell_members()
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.05)
    world.freeze(BALANCERS[0], 2.0)
    world.run(2.5)
    assert client.events == ["gave up"]
    assert world.balancers[BALANCERS[0]].counts["flows_refused"] == 0


def test_a_first_packet_waits_for_an_agent_that_comes_up(world):
    """A flow opens before the client's retransmission after 200 ms.

    All VMs have lost power and the balancer is up first. A first packet sent to a VM
    whose agent is not up yet would be lost, so it is held for the first pong.
    """
    for address in (*ORDERS, *RECEIPTS):
        world.remove(address)
    for address in BALANCERS:
        world.add_balancer(address)
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.05)
    for address in ORDERS:
        world.start_agent(address)
    world.run(0.1)
    assert client.events[:1] == ["open"]


def test_a_first_packet_that_no_agent_takes_is_refused(world):
    """A flow is rejected after a second, early enough for the client to retry.

    All agents are gone for good and the balancer has just started.
    """
    for address in (*ORDERS, *RECEIPTS):
        world.remove(address)
    world.add_balancer(BALANCERS[0])
    client = world.open_flow(over=BALANCERS[0])
    world.run(1.2)
    assert client.events == ["refused"]
