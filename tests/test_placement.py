"""Choice of a flow's owner by load."""

from cornelspan_common.ownership import Load
from cornelspan_ownership.placement import (
    LoadTable,
    OwnLoad,
    accepts_handoff,
    busy_limit,
    rank_targets,
)

FULL = OwnLoad(slots=2, running=2)


def load(name, busy, *, slots=2, mean=0.05, incarnation=1):
    return Load("order-hub", name, incarnation, slots, busy, 0, 0, mean)


def load_table(*loads):
    known = LoadTable()
    for each in loads:
        known.update(each)
    return known


def test_own_free_slot_comes_first():
    loads = load_table(load("a", 0))
    assert rank_targets(OwnLoad(slots=2, running=1), loads, ["a"]) == ["", "a"]


def test_full_home_hands_to_the_least_loaded():
    loads = load_table(load("a", 2), load("b", 1), load("c", 2))
    assert rank_targets(FULL, loads, ["a", "b", "c"])[0] == "b"


def test_among_equals_the_flow_rank_decides():
    loads = load_table(load("a", 1), load("b", 1))
    assert rank_targets(FULL, loads, ["b", "a"])[0] == "b"
    assert rank_targets(FULL, loads, ["a", "b"])[0] == "a"


def test_leaving_or_ejected_peer_is_never_chosen():
    loads = load_table(load("a", 0, slots=0), load("b", 9))
    assert rank_targets(FULL, loads, ["a", "b"]) == ["", "b"]
    assert rank_targets(None, loads, ["a", "b"]) == ["b"]


def test_slow_endpoint_is_used_last_even_when_free():
    loads = load_table(load("a", 1), load("b", 1))
    slow_home = OwnLoad(slots=2, running=0, mean_seconds=0.15)
    assert rank_targets(slow_home, loads, ["a", "b"]) == ["a", "b", ""]


def test_endpoint_without_a_measure_counts_as_usual():
    # An endpoint without a measurement starts among endpoints that are faster than any
    # default. If it counted as slow, it would be chosen last, never be measured and
    # never get any work.
    loads = load_table(load("a", 0, mean=0.001), load("b", 0, mean=0.001))
    assert rank_targets(OwnLoad(slots=2, running=0), loads, ["a", "b"])[0] == ""
    assert (
        rank_targets(
            FULL,
            load_table(load("a", 1, mean=0.001), load("b", 0, mean=0.0)),
            ["a", "b"],
        )[0]
        == "b"
    )


def test_chance_differences_of_service_time_do_not_count():
    loads = load_table(load("a", 1, mean=0.04), load("b", 0, mean=0.06))
    assert rank_targets(FULL, loads, ["a", "b"])[0] == "b"


def test_peer_that_filled_up_refuses_until_the_last_try():
    # The home has an outdated load of a peer, which has filled up since. If the peer
    # accepted the flow, the flow would wait there while slots are free elsewhere.
    loads = load_table(load("a", 0))
    assert not accepts_handoff(FULL, busy_limit(loads, "a", attempts_left=2))
    assert accepts_handoff(FULL, busy_limit(loads, "a", attempts_left=1))
    assert not accepts_handoff(
        OwnLoad(slots=0, running=0), busy_limit(loads, "a", attempts_left=1)
    )


def test_hand_offs_under_way_count():
    # Three OPENs arrive before any hand-off is answered. If hand-offs in flight were
    # not counted, all three would go to the one idle peer, and two would wait there.
    loads = load_table(load("a", 0), load("b", 1))
    chosen = []
    for _ in range(3):
        name = rank_targets(FULL, loads, ["a", "b"])[0]
        loads.add_pending_handoff(name)
        chosen.append(name)
    assert sorted(chosen) == ["a", "a", "b"]


def test_load_of_an_earlier_life_is_left_out():
    loads = load_table(load("a", 0, incarnation=2))
    loads.update(load("a", 9, incarnation=1))
    assert loads.peers["a"].load.running == 0
