"""Pass-through flows through placing, moves, restarts and losses, in virtual time."""

import pytest

from cornelspan_common.tokens import TokenBucket
from cornelspan_passthrough import hops
from cornelspan_standins.packet_world import INTERNAL_PORT, PacketWorld

BALANCERS = ("10.1.0.10", "10.2.0.10")
ORDERS = ("10.1.0.11", "10.1.0.12", "10.2.0.11")
RECEIPTS = ("10.1.0.13", "10.2.0.13")


@pytest.fixture
def world():
    world = PacketWorld(seed=1)
    for address in ORDERS:
        world.add_agent(address, "orders")
    for address in RECEIPTS:
        world.add_agent(address, "receipts")
    for address in BALANCERS:
        world.add_balancer(address)
    world.run(0.5)
    return world


def owner_of(world, client):
    key = (client.address, client.port)
    holders = [
        address
        for address, endpoint in world.endpoints.items()
        if key in endpoint.flows and endpoint.flows[key].is_open
    ]
    assert len(holders) == 1
    return holders[0]


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


def test_a_flow_without_a_route_is_refused_at_once(world):
    client = world.open_flow(over=BALANCERS[0], route_port=999)
    world.run(0.05)
    assert client.events == ["refused"]


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
            agent.directory.by_flow.clear()
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


def test_an_endpoint_that_drains_takes_no_new_flow(world):
    """The caller's new flows open at once, at endpoints that stay.

    Two endpoints say that they leave. Balancers may hear of it late; the agents
    themselves hand first packets back from that moment.
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
    """The caller's order never reaches the receipts' endpoint.

    An orders' VM is gone and its address belongs to a receipts' VM. The balancer has
    the old listing; the agent refuses by the tag of the service.
    """
    address = ORDERS[0]
    world.members[address] = world.members[RECEIPTS[0]]
    world.start_agent(address)
    world.endpoints[address].service = "receipts"
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(10)]
    world.run(0.3)
    assert all(client.events == ["open", "answer"] for client in clients)
    assert world.endpoints[address].opened == 0


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
        told = to_balancer and data[0] == hops.OWNED
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
        for flow in list(agent.directory.by_flow):
            number = world.agents[wrong_owner].own_address
            agent.directory.record(flow, number, world.now)
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(0.3)
    assert client.events == ["open", "answer", "answer"]
    assert owner_of(world, client) == owner


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
        agent.directory.by_flow.clear()
    world.move(client, over=BALANCERS[1])
    client.request()
    world.run(1.0)
    assert client.events == ["open", "answer"]
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert client.events == ["open", "answer", "answer"]


def test_a_first_packet_waits_for_an_agent_that_comes_up(world):
    """The caller's flow opens before its own repeat after 200 ms.

    All VMs have lost power, and the balancer is up first. A first packet sent to a VM
    whose agent is not there yet would be lost, so it waits for the first answer.
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
    """The caller is told after a second, in time for a try of its own.

    All agents are gone for good and the balancer has just started.
    """
    for address in (*ORDERS, *RECEIPTS):
        world.remove(address)
    world.add_balancer(BALANCERS[0])
    client = world.open_flow(over=BALANCERS[0])
    world.run(1.2)
    assert client.events == ["refused"]


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
        agent.directory.by_flow.clear()
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


def test_entries_of_silent_members_are_removed_by_one_balancer(world):
    """Operators find no entries of VMs that were replaced long ago.

    A VM has gone without a word. After a minute one of the balancers takes its entry
    away; they agree on which by rank.
    """
    world.remove(ORDERS[0])
    for _ in range(14):
        world.run(5.0)
        for balancer in world.balancers.values():
            for peer in BALANCERS:
                balancer.ping(peer)
        world.run(0.1)
        for balancer in world.balancers.values():
            balancer.update_silences(world.now)
    removals = [
        balancer.entries_to_remove(world.now) for balancer in world.balancers.values()
    ]
    assert sorted(removals) == [[], [ORDERS[0]]]


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
    balancer.questions = TokenBucket(rate=100.0, burst=20.0)
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
