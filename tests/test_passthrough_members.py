"""Which entries of members stay, and who takes them away."""

import pytest

from cornelspan_passthrough.members import AGENT, Member
from passthrough_world import BALANCERS, ORDERS, small_world


@pytest.fixture
def world():
    return small_world()


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
            balancer.update_failure_detector(world.now)
    removals = [
        balancer.dead_members_to_prune(world.now)
        for balancer in world.balancers.values()
    ]
    assert sorted(removals) == [[], [ORDERS[0]]]


def test_a_member_that_only_spoke_for_itself_is_forgotten_too(world):
    """Operators find no balancer that pings a VM which is long gone.

    An agent came up while the store turned it away and spoke to the seeds. Its VM goes
    without a word; there is no entry whose removal the balancers would hear of.
    """
    announced = Member("10.9.0.11", AGENT, "hall", "orders")
    balancer = world.balancers[BALANCERS[0]]
    balancer.members.add_announced(announced)
    balancer.members_changed(world.now)
    balancer.ping_agent(announced.address, world.now)
    balancer.forget_member(announced.address, world.now)
    assert balancer.members.get(announced.address) is None
    assert announced.address not in balancer.by_service["orders"]
    assert announced.address not in balancer.health.by_address
