"""The balancer's cache of owners is bounded and removes outdated entries."""

from cornelspan_common.learned import OwnerCache


def test_least_recently_used_goes_first():
    cache = OwnerCache(limit=2)
    cache.learn(1, "a")
    cache.learn(2, "b")
    cache.owner(1)
    cache.learn(3, "c")
    assert [cache.owner(flow) for flow in (1, 2, 3)] == ["a", "", "c"]
    assert cache.evicted == 1


def test_empty_hint_and_gone_owner_forget():
    cache = OwnerCache(limit=10)
    for flow in range(4):
        cache.learn(flow, "a" if flow % 2 else "b")
    cache.learn(1, "")
    assert cache.forget_owner("b") == 2
    assert [cache.owner(flow) for flow in range(4)] == ["", "", "", "a"]
