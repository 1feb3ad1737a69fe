"""When a flow is dead and reset, and when it may still be alive."""

import pytest

from cornelspan_common.tokens import TokenBucket
from cornelspan_passthrough import messages
from cornelspan_passthrough.members import Members
from cornelspan_standins.packet_world import INTERNAL_PORT
from passthrough_world import BALANCERS, ORDERS, RECEIPTS, owner_of, small_world


@pytest.fixture
def world():
    return small_world()


def test_a_flow_whose_endpoint_restarted_is_reset_at_once(world):
    """A flow is reset within milliseconds, early enough for the client to retry.

    The endpoint crashes and restarts without its flows. It bounces the next packet, and
    the agent, which saw the flow open there, resets it.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    world.endpoints[owner_of(world, client)].flows.clear()
    client.request()
    world.run(0.05)
    assert client.events == ["open", "answer", "reset"]


def test_a_flow_that_nobody_holds_is_reset(world):
    """A flow is reset after endpoints, agents and the balancer have restarted.

    Every agent passes the packet to its endpoint and has it bounced; only then is the
    flow known to be dead.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    for address in (*ORDERS, *RECEIPTS):
        world.endpoints[address].flows.clear()
        world.start_agent(address)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "reset"]


def test_a_silent_agent_keeps_a_flow_from_being_reset(world):
    """A flow that may be alive is not reset.

    The owner's VM is cut off from all balancers and the homes have lost the record. The
    other agents deny the flow, which proves nothing.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.lost = lambda source, target, data: owner in (source[0], target[0])
    for agent in world.agents.values():
        agent.owner_records.entries.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(1.0)
    assert client.events == ["open", "answer"]
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert client.events == ["open", "answer", "answer"]


def test_a_dead_flow_is_reset_as_soon_as_the_last_agent_is_up(world):
    """A dead flow is reset between the client's retransmissions, 400 ms apart by then.

    All VMs have lost power. The last agent was not up to receive the query, so it is
    queried again when it first answers.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    late = ORDERS[0]
    for address in (*ORDERS, *RECEIPTS):
        world.endpoints[address].flows.clear()
        world.remove(address)
        if address != late:
            world.start_agent(address)
    world.add_balancer(BALANCERS[0])
    client.request()
    world.run(0.25)
    assert client.events == ["open", "answer"]
    world.start_agent(late)
    world.run(0.25)
    assert client.events == ["open", "answer", "reset"]


def test_a_flow_whose_vm_is_gone_is_reset_once_it_has_been_silent(world):
    """A flow is reset at its first packet after its VM has been silent for two seconds.

    The owner's VM disappears and its entry stays. A search that waited for its answer
    would never end.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.remove(owner)
    for agent in world.agents.values():
        agent.owner_records.entries.clear()
    world.run(3.0)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.2)
    assert client.events == ["open", "answer", "reset"]


def test_a_balancer_that_hears_nobody_resets_no_flow(world):
    """A flow survives a balancer that is cut off from all agents.

    The balancer receives the client's packets and no answers. If it took the agents for
    dead, it would reset every flow that reaches it.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    world.lost = lambda source, target, data: target == (BALANCERS[1], INTERNAL_PORT)
    world.run(4.0)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(1.5)
    assert "reset" not in client.events


def test_a_flow_that_opened_before_the_first_report_of_a_new_life_lives_on(world):
    """A flow that opens at a restarted endpoint before its first report survives.

    The endpoint crashes and restarts at once. The agent learns of the new incarnation
    by its first report and resets the flows of the old one; the new flow is not among
    them.
    """
    for address in ORDERS[1:]:
        world.endpoints[address].accepts = False
    world.run(1.0)
    old = world.open_flow(over=BALANCERS[0])
    world.run(1.0)
    endpoint = world.endpoints[ORDERS[0]]
    endpoint.crash()
    endpoint.start(cold_until=0.0)
    new = world.open_flow(over=BALANCERS[0])
    world.run(0.05)
    assert new.events == ["open", "answer"]
    world.run(1.0)
    new.request()
    world.run(0.3)
    assert new.events == ["open", "answer", "answer"]
    assert old.events[-1] == "reset"


def test_an_endpoint_that_goes_takes_no_flow_of_another_with_it(world):
    """A flow survives the stop of an endpoint that never answered it.

    The first packet went to an endpoint that had just crashed, and its retransmission
    opened the flow at another one. Later the first agent detects that its endpoint is
    gone.
    """
    client = world.new_client(0x64400007, 443)
    client.asks_at_once = True
    first = world.balancers[BALANCERS[0]]
    world.move(client, over=BALANCERS[0])
    silent = {address: world.endpoints[address] for address in ORDERS}
    for endpoint in silent.values():
        endpoint.alive = False
    client.open()
    world.run(0.05)
    (opening,) = first.openings.by_flow.values()
    crashed = opening.owner
    for address, endpoint in silent.items():
        endpoint.alive = address != crashed
    world.run(0.3)
    assert client.events == ["open", "answer"]
    world.agents[crashed].mark_endpoint_down()
    world.run(0.1)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]


def test_a_balancer_that_knows_few_members_takes_no_flow_for_dead(world):
    """A flow survives a balancer that has started without the store.

    The balancer knows a single agent that announced itself. That agent denies the flow,
    but the other agents are not known yet.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    other = next(address for address in ORDERS if address != owner)
    restarted = world.add_balancer(BALANCERS[1])
    restarted.members = Members()
    restarted.members.add_announced(world.members[other])
    restarted.recompute_from_members(world.now)
    world.agents[other].owner_records.entries.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.5)
    assert "reset" not in client.events
    world.tell_members()
    world.run(1.0)
    assert client.events == ["open", "answer", "answer"]


def test_questions_of_a_crowd_of_dead_flows_are_spread(world):
    """Searches for many dead flows are rate limited.

    All endpoints lost their flows. Queries for every flow to every agent, sent at once,
    fill a small VM's link, and the pongs are lost with them.
    """
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(40)]
    world.run(0.5)
    for address in (*ORDERS, *RECEIPTS):
        world.endpoints[address].flows.clear()
        world.start_agent(address)
    asked = []
    world.lost = lambda source, target, data: (
        data[0] == messages.ASK and asked.append(1)
    )
    balancer = world.balancers[BALANCERS[1]]
    balancer.query_budget = TokenBucket(rate=100.0, burst=20.0)
    for client in clients:
        world.move(client, over=BALANCERS[1])
        client.request()
    world.run(0.2)
    assert len(asked) <= 20 + 0.2 * 100 + len(ORDERS) + len(RECEIPTS)
    world.run(2.5)
    assert all("reset" in client.events for client in clients)


def test_an_agent_whose_endpoint_had_gone_is_not_waited_for(world):
    """A dead flow is reset without waiting for an agent whose endpoint was down.

    The endpoint stopped before its VM disappeared, and its flows ended with it, so the
    agent's silence leaves nothing open.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    for address in (*ORDERS, *RECEIPTS):
        world.endpoints[address].flows.clear()
        world.start_agent(address)
    gone = RECEIPTS[0]
    world.endpoints[gone].crash()
    world.agents[gone].mark_endpoint_down()
    world.run(0.3)
    world.remove(gone)
    world.run(0.9)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.2)
    assert client.events == ["open", "answer", "reset"]
