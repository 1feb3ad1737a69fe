"""Which entries of members stay, and who takes them away."""

import pytest

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
            balancer.update_silences(world.now)
    removals = [
        balancer.entries_to_remove(world.now) for balancer in world.balancers.values()
    ]
    assert sorted(removals) == [[], [ORDERS[0]]]
