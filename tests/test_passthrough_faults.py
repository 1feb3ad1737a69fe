"""Open flows under lossy links, cuts, VMs that stand still, and routers by modulo."""

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


def ask_all(world, clients, seconds):
    for client in clients:
        client.request()
    world.run(seconds)


def assert_none_broke(clients, answers):
    for client in clients:
        assert client.events == ["open", *["answer"] * answers]


def test_flows_stay_when_the_rotation_changes(world):
    """Callers see answers only, while nearly all their flows change balancers.

    A third balancer joins, then the first leaves in order; the routers pick by a hash
    modulo the rotation. Neither newcomer knows any of the flows.
    """
    clients = open_flows(world)
    owners = [owner_of(world, client) for client in clients]
    before = [world.routers.route(c.address << 16 | c.port) for c in clients]
    world.add_balancer("10.3.0.10")
    world.run(1.0)
    after = [world.routers.route(c.address << 16 | c.port) for c in clients]
    assert sum(a != b for a, b in zip(before, after, strict=True)) > FLOWS / 3
    ask_all(world, clients, 0.5)
    world.balancers[BALANCERS[0]].stopping = True
    world.run(1.5)
    assert BALANCERS[0] not in world.routers.rotation()
    ask_all(world, clients, 0.5)
    assert_none_broke(clients, 3)
    assert [owner_of(world, client) for client in clients] == owners


@pytest.mark.parametrize("share", [0.02, 0.1])
def test_flows_stay_on_lossy_links(world, share):
    """Callers see answers that are late by their repeats, and no reset.

    Each datagram on every link is lost by chance: packets, pings, words of owners.
    """
    clients = open_flows(world)
    world.lost = lambda source, target, data: world.chance.random() < share
    for _ in range(3):
        ask_all(world, clients, 4.0)
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert_none_broke(clients, 4)


@pytest.mark.parametrize("one_way", [False, True])
def test_flows_stay_while_a_balancer_is_cut_from_agents(world, one_way):
    """Callers over the cut balancer wait until the cut heals; none sees a reset.

    One of two balancers reaches none of the agents of orders for three seconds, or
    reaches them and hears nothing. It can't tell their silence from their death, and
    the other balancer tells its clients nothing wrong either.
    """
    clients = open_flows(world)

    def lost(source, target, data):
        ends = {source[0], target[0]}
        inward = target[0] == BALANCERS[0]
        between = BALANCERS[0] in ends and bool(ends & set(ORDERS))
        return between and (inward or not one_way)

    world.lost = lost
    ask_all(world, clients, 3.0)
    assert not any("reset" in client.events for client in clients)
    world.lost = lambda source, target, data: False
    world.run(3.0)
    assert_none_broke(clients, 2)


def test_flows_stay_while_a_balancer_stands_still(world):
    """Callers are served over the other balancer; the one that wakes harms nobody.

    A balancer's VM is suspended for three seconds. It wakes with what was sent to it
    meanwhile and with views three seconds old.
    """
    clients = open_flows(world)
    world.freeze(BALANCERS[0], 3.0)
    ask_all(world, clients, 3.0)
    world.run(2.0)
    assert_none_broke(clients, 2)
    ask_all(world, clients, 1.0)
    assert_none_broke(clients, 3)


def test_flows_stay_while_an_agents_vm_stands_still(world):
    """Callers wait for a second and a half, then get their answers.

    The VM stands still with its endpoint. Its agent is no longer placed on; its flows
    are neither reset nor taken up by another endpoint.
    """
    clients = open_flows(world)
    frozen = ORDERS[0]
    mine = [client for client in clients if owner_of(world, client) == frozen]
    assert mine
    world.freeze(frozen, 1.5)
    ask_all(world, clients, 1.4)
    others = [client for client in clients if client not in mine]
    assert_none_broke(others, 2)
    world.run(2.0)
    assert_none_broke(clients, 2)
    assert {owner_of(world, client) for client in mine} == {frozen}


def forget_owners(world):
    """Have balancers and homes forget who owns which flow."""
    for balancer in world.balancers.values():
        balancer.owners.owners.clear()
    for agent in world.agents.values():
        agent.owner_records.entries.clear()


def test_a_balancer_that_hears_few_agents_takes_no_flow_for_dead(world):
    """Callers wait until the cut heals; a reset would end orders that live.

    A balancer is restarted while it is cut from the agents of orders. No home knows
    the flows. The others say that they don't hold them, which proves nothing.
    """
    clients = open_flows(world)
    forget_owners(world)
    world.add_balancer(BALANCERS[0])
    world.lost = lambda source, target, data: bool(
        {source[0], target[0]} & set(ORDERS) and BALANCERS[0] in (source[0], target[0])
    )
    ask_all(world, clients, 3.0)
    assert not any("reset" in client.events for client in clients)
    world.lost = lambda source, target, data: False
    world.run(4.0)
    assert_none_broke(clients, 2)


def test_a_vm_that_stands_still_for_a_moment_keeps_its_flows(world):
    """Callers get their answers when the VM wakes, though nobody knows the owner.

    All agents are asked. All but the one that stands still say no at once; its flows
    would be reset if its silence of a second were taken for a no.
    """
    clients = open_flows(world)
    forget_owners(world)
    world.freeze(ORDERS[0], 1.2)
    ask_all(world, clients, 1.1)
    assert not any("reset" in client.events for client in clients)
    world.run(3.0)
    assert_none_broke(clients, 2)


def test_cut_and_loss_and_restart_together(world):
    """Callers of living endpoints see no reset while three faults overlap.

    Links lose a twentieth, one balancer is cut from one agent, and another agent is
    restarted beside its endpoint meanwhile.
    """
    clients = open_flows(world)

    def lost(source, target, data):
        is_cut = {source[0], target[0]} == {BALANCERS[1], ORDERS[1]}
        return is_cut or world.chance.random() < 0.05

    world.lost = lost
    ask_all(world, clients, 0.5)
    world.start_agent(ORDERS[2])
    world.run(1.0)
    world.lost = lambda source, target, data: False
    world.run(5.0)
    assert_none_broke(clients, 2)


def test_no_decision_depends_on_the_time_of_day():
    """The time of day jumps by seconds on the platform's VMs, and back again.

    What decides by it would take living agents for silent, or flows for old.
    """
    folders = ("packages/cornelspan-passthrough/src", "platform")
    for folder in folders:
        for file in sorted((ROOT / folder).glob("**/*.py")):
            tree = ast.parse(file.read_text())
            calls = [each for each in ast.walk(tree) if isinstance(each, ast.Call)]
            names = {ast.unparse(call.func) for call in calls}
            assert not names & WALL_CLOCKS, file
