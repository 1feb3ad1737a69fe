"""Ranking of endpoints: equal in all processes, and stable when members change."""

import msgspec

from cornelspan_common.control import Announce
from cornelspan_control.members import Members
from cornelspan_control.ranking import MAX_CANDIDATES, Ranking


def members_of(names, *, service="order-hub", weight=1.0, leaving=()):
    members = Members()
    for name in names:
        members.record(
            Announce(
                name,
                "agent",
                "chuo-hall",
                1,
                "127.0.0.1",
                1,
                service,
                weight,
                2,
                name in leaving,
            )
        )
    return members


def names_of(count):
    return [f"agent-{number}" for number in range(count)]


def test_order_of_announcements_does_not_matter():
    one = Ranking(members_of(names_of(7)))
    other = Ranking(members_of(reversed(names_of(7))))
    for flow in range(200):
        expected = one.candidates("order-hub", flow).names
        assert other.candidates("order-hub", flow).names == expected


def test_small_group_is_its_whole_list_and_large_one_is_cut():
    small = Ranking(members_of(names_of(7))).candidates("order-hub", 5)
    large = Ranking(members_of(names_of(40))).candidates("order-hub", 5)
    assert sorted(small.names) == names_of(7)
    assert len(large.names) == MAX_CANDIDATES
    assert msgspec.msgpack.decode(small.encoded) == list(small.names)


def test_other_service_has_no_candidates_here():
    assert Ranking(members_of(names_of(3))).candidates("receipt-render", 5).names == ()


def test_a_lost_endpoint_moves_only_its_own_flows():
    members = members_of(names_of(7))
    ranking = Ranking(members)
    before = [ranking.candidates("order-hub", flow).names for flow in range(500)]
    members.remove("agent-3", 1)
    for flow, names in enumerate(before):
        left = tuple(name for name in names if name != "agent-3")
        assert ranking.candidates("order-hub", flow).names == left


def test_leaving_endpoint_stays_a_candidate():
    ranking = Ranking(members_of(names_of(3), leaving=("agent-1",)))
    assert "agent-1" in ranking.candidates("order-hub", 5).names
