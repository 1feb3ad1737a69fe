"""Open flows under packet loss, partitions, suspended VMs and routers by modulo."""

import ast
from pathlib import Path

import pytest

from passthrough_world import BALANCERS, ORDERS, owner_of, small_world

ROOT = Path(__file__).parent.parent
FLOWS = 40
CLIENT = 0x64400010
WALL_CLOCKS = {"time.time", "time.time_ns", "datetime.now", "datetime.datetime.now"}


@pytest.fixture
def world():
    world = small_world()
    world.run(2.0)
    return world


def open_flows(world):
    """Open flows that the routers distribute, and wait until all are answered."""
    clients = [world.new_client(CLIENT + number, 443) for number in range(FLOWS)]
    for client in clients:
        client.asks_at_once = True
        client.open()
    world.run(2.0)
    assert all(client.events == ["open", "answer"] for client in clients)
    return clients


def request_all(world, clients, seconds):
    for client in clients:
        client.request()
    world.run(seconds)


def assert_all_answered(clients, answers):
    for client in clients:
        assert client.events == ["open", *["answer"] * answers]


def test_flows_stay_when_the_rotation_changes(world):
    """Flows survive when the routers send them over other balancers.

    A third balancer joins, then the first one stops. The routers pick by hash modulo
    the rotation, so most flows reach a balancer that doesn't know them.
    """
    clients = open_flows(world)
    owners = [owner_of(world, client) for client in clients]
    before = [world.routers.route(c.address << 16 | c.port) for c in clients]
    world.add_balancer("10.3.0.10")
    world.run(1.0)
    after = [world.routers.route(c.address << 16 | c.port) for c in clients]
    assert sum(a != b for a, b in zip(before, after, strict=True)) > FLOWS / 3
    request_all(world, clients, 0.5)
    world.balancers[BALANCERS[0]].stopping = True
    world.run(1.5)
    assert BALANCERS[0] not in world.routers.rotation()
    request_all(world, clients, 0.5)
    assert_all_answered(clients, 3)
    assert [owner_of(world, client) for client in clients] == owners


@pytest.mark.parametrize("share", [0.02, 0.1])
def test_flows_stay_on_lossy_links(world, share):
    """Flows survive random loss of datagrams on every link, with late answers only.

    Packets, pings and the agents' ownership messages are lost alike.
    """
    clients = open_flows(world)
    world.lost = lambda source, target, data: world.chance.random() < share
    for _ in range(3):
        request_all(world, clients, 4.0)
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert_all_answered(clients, 4)


@pytest.mark.parametrize("one_way", [False, True])
def test_flows_stay_while_a_balancer_is_cut_from_agents(world, one_way):
    """Flows are not reset while one of two balancers is cut off from all orders agents.

    The cut lasts three seconds and affects both directions or only what the balancer
    receives. It can't tell silent agents from dead ones, so flows wait until it heals.
    """
    clients = open_flows(world)

    def lost(source, target, data):
        ends = {source[0], target[0]}
        inward = target[0] == BALANCERS[0]
        between = BALANCERS[0] in ends and bool(ends & set(ORDERS))
        return between and (inward or not one_way)

    world.lost = lost
    request_all(world, clients, 3.0)
    assert not any("reset" in client.events for client in clients)
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert_all_answered(clients, 2)


def test_flows_stay_while_a_balancer_stands_still(world):
    """Flows survive a balancer whose VM is suspended for three seconds.

    Clients are served over the other balancer. The suspended one resumes with the
    datagrams sent meanwhile and with a view that is three seconds old.
    """
    clients = open_flows(world)
    world.freeze(BALANCERS[0], 3.0)
    request_all(world, clients, 3.0)
    world.run(2.0)
    assert_all_answered(clients, 2)
    request_all(world, clients, 1.0)
    assert_all_answered(clients, 3)


def test_flows_stay_while_an_agents_vm_stands_still(world):
    """Flows survive when the VM of their endpoint is suspended for 1.5 s.

    No new flow is placed on its agent; its flows are neither reset nor opened at
    another endpoint, and are answered after it resumes.
    """
    clients = open_flows(world)
    frozen = ORDERS[0]
    owned_clients = [client for client in clients if owner_of(world, client) == frozen]
    assert owned_clients
    world.freeze(frozen, 1.5)
    request_all(world, clients, 1.4)
    others = [client for client in clients if client not in owned_clients]
    assert_all_answered(others, 2)
    world.run(2.0)
    assert_all_answered(clients, 2)
    assert {owner_of(world, client) for client in owned_clients} == {frozen}


def forget_owners(world):
    """Clear the flow owners that balancers and homes have recorded."""
    for balancer in world.balancers.values():
        balancer.owners.owners.clear()
    for agent in world.agents.values():
        agent.owner_records.entries.clear()


def test_a_balancer_that_hears_few_agents_takes_no_flow_for_dead(world):
    """A restarted balancer that is cut off from the orders agents resets no flow.

    No home knows the flows. The other agents deny them, which proves nothing while the
    orders agents are silent.
    """
    clients = open_flows(world)
    forget_owners(world)
    world.add_balancer(BALANCERS[0])
    world.lost = lambda source, target, data: bool(
        {source[0], target[0]} & set(ORDERS) and BALANCERS[0] in (source[0], target[0])
    )
    request_all(world, clients, 3.0)
    assert not any("reset" in client.events for client in clients)
    world.lost = lambda source, target, data: False
    world.run(4.0)
    assert_all_answered(clients, 2)


def test_a_vm_that_stands_still_for_a_moment_keeps_its_flows(world):
    """Flows of a VM that is suspended for about a second are not reset.

    All agents are queried, as no home knows the owner. All but the suspended one deny
    the flows; its short silence must not count as a denial.
    """
    clients = open_flows(world)
    forget_owners(world)
    world.freeze(ORDERS[0], 1.2)
    request_all(world, clients, 1.1)
    assert not any("reset" in client.events for client in clients)
    world.run(3.0)
    assert_all_answered(clients, 2)


def test_cut_and_loss_and_restart_together(world):
    """Flows at live endpoints are not reset while three faults overlap.

    Links lose a twentieth of the datagrams, one balancer is cut off from one agent, and
    another agent restarts beside its endpoint.
    """
    clients = open_flows(world)

    def lost(source, target, data):
        is_cut = {source[0], target[0]} == {BALANCERS[1], ORDERS[1]}
        return is_cut or world.chance.random() < 0.05

    world.lost = lost
    request_all(world, clients, 0.5)
    world.start_agent(ORDERS[2])
    world.run(1.0)
    world.lost = lambda source, target, data: False
    world.run(5.0)
    assert_all_answered(clients, 2)


def test_no_decision_depends_on_the_time_of_day():
    """No module reads the wall clock.

    The wall clock of the platform's VMs jumps by seconds in both directions. Decisions
    by it would take live agents for silent, or new flows for old.
    """
    folders = ("packages/cornelspan-passthrough/src", "platform")
    for folder in folders:
        for file in sorted((ROOT / folder).glob("**/*.py")):
            tree = ast.parse(file.read_text())
            calls = [each for each in ast.walk(tree) if isinstance(each, ast.Call)]
            names = {ast.unparse(call.func) for call in calls}
            assert not names & WALL_CLOCKS, file
