"""Open flows through placing, moves, restarts and losses, in virtual time."""

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
    """The caller's flow goes on without a pause it would notice.

    The routers hand it to another balancer, as they do when one joins; that balancer
    knows nothing of the flow and asks its home, which recorded the owner.
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
    """The caller sees one answer that is late by a repeat at most.

    Both agents that record the owner lose their memory, then the flow moves to another
    balancer. All agents are asked, and the one that owns the flow takes the packet.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    for address, agent in world.agents.items():
        if address != owner:
            agent.directory.entries.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]


def test_a_flow_survives_a_restart_of_its_agent(world):
    """The caller's flow goes on while the agent beside its endpoint is restarted.

    The new process knows no flow. It hands packets that it doesn't know to the
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
    """The caller's flow stays at its endpoint while new flows go to another service.

    The operator moves all weight to the other service, then the flow moves to another
    balancer, which knows only the new split.
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
    """The caller's flow goes on after its packets move to another balancer.

    Its first packet reached one endpoint, whose answer was lost on the way; the repeat
    opened the flow at another endpoint. The first one's word to the homes came last, so
    they name the wrong owner, whose endpoint sends the packet back each time.
    """
    first = world.balancers[BALANCERS[0]]
    losing = True

    def lost(source, target, data):
        to_client = target[0] == "100.64.0.7"
        to_balancer = target == (BALANCERS[0], INTERNAL_PORT)
        told = to_balancer and data[0] == messages.OWNED
        return losing and (to_client or told)

    world.lost = lost
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.1)
    (wrong,) = first.openings.by_flow.values()
    wrong_owner = wrong.owner
    losing = False
    world.run(0.3)
    assert client.events == ["open", "answer"]
    owner = owner_of(world, client)
    assert owner != wrong_owner
    for agent in world.agents.values():
        for flow in list(agent.directory.entries):
            number = world.agents[wrong_owner].own_address
            agent.directory.put(flow, number, world.now)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert owner_of(world, client) == owner
