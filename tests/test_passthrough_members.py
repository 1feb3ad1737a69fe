"""Which members' entries stay in the store, and which balancer removes the others."""

import pytest

from cornelspan_passthrough.members import AGENT, Member
from passthrough_world import BALANCERS, ORDERS, small_world


@pytest.fixture
def world():
    return small_world()


def test_entries_of_silent_members_are_removed_by_one_balancer(world):
    """The entry of a dead VM is removed by exactly one balancer.

    A VM disappears without stopping its daemon. After a minute one of the balancers
    removes its entry; which one follows from a hash.
    """
    world.remove(ORDERS[0])
    for _ in range(14):
        world.run(5.0)
        for balancer in world.balancers.values():
            for peer in BALANCERS:
                balancer.ping(peer)
        world.run(0.1)
        for balancer in world.balancers.values():
            balancer.update_failure_detector(world.now)
    removals = [
        balancer.dead_members_to_prune(world.now)
        for balancer in world.balancers.values()
    ]
    assert sorted(removals) == [[], [ORDERS[0]]]


def test_a_member_that_only_spoke_for_itself_is_forgotten_too(world):
    """An announced member without a store entry is dropped once it is dead.

    An agent announced itself to the seeds while the store was unreachable for it, then
    its VM disappeared. There is no entry whose removal a balancer could watch, so
    without this it would be pinged forever.
    """
    announced = Member("10.9.0.11", AGENT, "hall", "orders")
    balancer = world.balancers[BALANCERS[0]]
    balancer.members.add_announced(announced)
    balancer.recompute_from_members(world.now)
    balancer.ping_agent(announced.address, world.now)
    balancer.forget_member(announced.address, world.now)
    assert balancer.members.get(announced.address) is None
    assert announced.address not in balancer.by_service["orders"]
    assert announced.address not in balancer.health.by_address
