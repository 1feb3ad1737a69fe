"""The balancer's cache of owners: bounded, and it forgets."""

from cornelspan_common.learned import OwnerCache


def test_least_recently_used_goes_first():
    learned = OwnerCache(limit=2)
    learned.learn(1, "a")
    learned.learn(2, "b")
    learned.owner(1)
    learned.learn(3, "c")
    assert [learned.owner(flow) for flow in (1, 2, 3)] == ["a", "", "c"]
    assert learned.evicted == 1


def test_empty_hint_and_gone_owner_forget():
    learned = OwnerCache(limit=10)
    for flow in range(4):
        learned.learn(flow, "a" if flow % 2 else "b")
    learned.learn(1, "")
    assert learned.forget_owner("b") == 2
    assert [learned.owner(flow) for flow in range(4)] == ["", "", "", "a"]
