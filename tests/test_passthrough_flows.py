"""Open flows through placement, moves, restarts and packet loss, in virtual time."""

import pytest

from cornelspan_passthrough import messages
from cornelspan_standins.packet_world import INTERNAL_PORT
from passthrough_world import BALANCERS, ORDERS, owner_of, small_world


@pytest.fixture
def world():
    return small_world()


def test_a_flow_opens_and_is_answered(world):
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    assert client.events == ["open", "answer"]
    assert world.endpoints[owner_of(world, client)].service == "orders"


def test_flows_spread_over_the_endpoints(world):
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(30)]
    world.run(0.5)
    assert all(client.events == ["open", "answer"] for client in clients)
    opened = [world.endpoints[address].opened for address in ORDERS]
    assert max(opened) <= 12


def test_a_flow_that_moves_to_another_balancer_keeps_its_endpoint(world):
    """A flow that moves to another balancer keeps its endpoint, without a long pause.

    Routers move flows when a balancer joins. The new balancer doesn't know the flow and
    asks a home, which has recorded the owner.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.1)
    assert client.events == ["open", "answer", "answer"]
    assert owner_of(world, client) == owner
    assert world.balancers[BALANCERS[1]].owners.owners


def test_a_flow_survives_its_homes(world):
    """A flow survives the loss of both owner records.

    Both home agents lose their records, then the flow moves to another balancer. It
    asks all agents, and the owner accepts the packet. The answer is late by one
    retransmission at most.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    for address, agent in world.agents.items():
        if address != owner:
            agent.owner_records.entries.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]


def test_a_flow_survives_a_restart_of_its_agent(world):
    """A flow survives a restart of its agent.

    The new process knows no flows. It forwards packets of unknown flows to the
    endpoint, which still holds the flow and answers.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.start_agent(owner)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert owner_of(world, client) == owner


def test_open_flows_stay_when_the_split_changes(world):
    """An open flow stays at its endpoint when new flows go to another service.

    The traffic split moves to the other service, then the flow moves to a balancer that
    knows only the new split.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.configure([("receipts", 1)])
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert owner_of(world, client) == owner
    newer = world.open_flow(over=BALANCERS[1])
    world.run(0.3)
    assert world.endpoints[owner_of(world, newer)].service == "receipts"


def test_a_flow_that_opened_at_the_second_endpoint_is_found_there(world):
    """A flow is found although its homes name the wrong owner.

    The answer of the first endpoint was lost, and the retransmitted first packet opened
    the flow at a second one. The first one's owner record reached the homes last, so
    they name an endpoint that bounces the flow's packets.
    """
    first = world.balancers[BALANCERS[0]]
    is_losing = True

    def is_lost(source, target, data):
        to_client = target[0] == "100.64.0.7"
        to_balancer = target == (BALANCERS[0], INTERNAL_PORT)
        names_owner = to_balancer and data[0] == messages.OWNED
        return is_losing and (to_client or names_owner)

    world.lost = is_lost
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.1)
    (first_opening,) = first.openings.by_flow.values()
    wrong_owner = first_opening.owner
    is_losing = False
    world.run(0.3)
    assert client.events == ["open", "answer"]
    owner = owner_of(world, client)
    assert owner != wrong_owner
    for agent in world.agents.values():
        for flow in list(agent.owner_records.entries):
            wrong_address = world.agents[wrong_owner].own_address
            agent.owner_records.put(flow, wrong_address, world.now)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert owner_of(world, client) == owner
