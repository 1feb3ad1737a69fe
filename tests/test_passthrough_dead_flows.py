"""When a flow is known to be dead, and when it may still live."""

import pytest

from cornelspan_common.tokens import TokenBucket
from cornelspan_passthrough import hops
from cornelspan_passthrough.members import Members
from cornelspan_standins.packet_world import INTERNAL_PORT
from passthrough_world import BALANCERS, ORDERS, RECEIPTS, owner_of, small_world


@pytest.fixture
def world():
    return small_world()


def test_a_flow_whose_endpoint_restarted_is_reset_at_once(world):
    """The caller is told within milliseconds, and can try again in time.

    The endpoint crashes and comes back without its flows. The next packet is sent back
    by the new process, and the agent, which saw the flow open there, resets it.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    world.endpoints[owner_of(world, client)].flows.clear()
    client.request()
    world.run(0.05)
    assert client.events == ["open", "answer", "reset"]


def test_a_flow_that_nobody_holds_is_reset(world):
    """The caller of a dead flow is told at once, after all have lost their memory.

    Endpoints and agents restart, the balancer too. Every agent hands the packet to its
    endpoint and has it sent back; only then is the flow known to be dead.
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
    """The caller of a flow that may live is not told that it is dead.

    The owner's VM is cut off from all balancers, homes forget; the others say that they
    don't hold the flow, which is no proof.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.lost = lambda source, target, data: owner in (source[0], target[0])
    for agent in world.agents.values():
        agent.directory.entries.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(1.0)
    assert client.events == ["open", "answer"]
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert client.events == ["open", "answer", "answer"]


def test_a_dead_flow_is_reset_as_soon_as_the_last_agent_is_up(world):
    """The caller is told between its own repeats, 400 ms apart by then.

    All VMs have lost power. The question that its packet raised could not reach the
    last agent, which is asked again the moment it answers.
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
    """The caller is told at its first packet, and can try again in time.

    The owner's VM goes without a word and its entry stays. Waiting for its answer, the
    search for a flow that it had would never end; after two seconds of silence it
    counts as unable to serve.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    world.remove(owner)
    for agent in world.agents.values():
        agent.directory.entries.clear()
    world.run(3.0)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.2)
    assert client.events == ["open", "answer", "reset"]


def test_a_balancer_that_hears_nobody_resets_no_flow(world):
    """The caller's flow lives on when its balancer was cut off from all agents.

    The balancer gets the client's packets and no answers. Taken for the agents' silence
    its own would end every flow that comes over it.
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
    """The caller's flow goes on at an endpoint that has just started.

    The endpoint crashes and is back at once. A flow opens there before its first
    report, by which the agent learns that a new life has begun. Flows of the old life
    are reset by that; this one belongs to the new life.
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
    """The caller's flow goes on while an endpoint that never answered it goes away.

    The first packet went to an endpoint that had just crashed. Its repeat opened the
    flow at another one. Later the first agent learns that its endpoint is gone.
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
    world.agents[crashed].endpoint_refuses()
    world.run(0.1)
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]


def test_a_balancer_that_knows_few_members_takes_no_flow_for_dead(world):
    """The caller's flow lives on while a balancer starts without the store.

    A balancer is restarted, cut off from the store, and one agent has spoken up. That
    agent says that it doesn't hold the flow; the others are not known to be there.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    owner = owner_of(world, client)
    other = next(address for address in ORDERS if address != owner)
    restarted = world.add_balancer(BALANCERS[1])
    restarted.members = Members()
    restarted.members.add_announced(world.members[other])
    restarted.members_changed(world.now)
    world.agents[other].directory.entries.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.5)
    assert "reset" not in client.events
    world.tell_members()
    world.run(1.0)
    assert client.events == ["open", "answer", "answer"]


def test_questions_of_a_crowd_of_dead_flows_are_spread(world):
    """Callers of dead flows are told one after the other, and the balancer stays up.

    All endpoints lost their flows. Asked at once, the questions for each flow to each
    agent fill a small VM's link, and with them go the answers to its pings.
    """
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(40)]
    world.run(0.5)
    for address in (*ORDERS, *RECEIPTS):
        world.endpoints[address].flows.clear()
        world.start_agent(address)
    asked = []
    world.lost = lambda source, target, data: data[0] == hops.ASK and asked.append(1)
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
    """The caller of a dead flow is told without the wait for a silent agent.

    A VM's endpoint left, then the VM goes without a word. Whatever the endpoint held
    ended with it, so its silence can hide nothing.
    """
    client = world.open_flow(over=BALANCERS[0])
    world.run(0.2)
    for address in (*ORDERS, *RECEIPTS):
        world.endpoints[address].flows.clear()
        world.start_agent(address)
    gone = RECEIPTS[0]
    world.endpoints[gone].crash()
    world.agents[gone].endpoint_refuses()
    world.run(0.3)
    world.remove(gone)
    world.run(0.9)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.2)
    assert client.events == ["open", "answer", "reset"]
