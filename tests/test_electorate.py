"""Which agents are voters on claims, and when an agent may vote."""

from hypothesis import given, strategies as st

from cornelspan_common.control import Announce
from cornelspan_requests.voters import VoterSet, majority, read_quorum

NAMES = ("hub-1", "hub-2", "hub-3", "hub-4", "hub-5")


def member(name, incarnation=1):
    return Announce(name, "agent", "d", incarnation, "h", 1, "s", 1.0, 2, False)


def observing_voters(name="hub-1", names=NAMES):
    voters = VoterSet(name, 1, 0.0)
    voters.observe([member(n) for n in names], 0.0, 600.0)
    return voters


def sync_from(voters, names, *, ready, restart_seen=False):
    for name in names:
        voters.record_sync(name, ready=ready, restart_seen=restart_seen, others=NAMES)


@given(st.integers(1, 50))
def test_quorums_always_meet(count):
    assert 2 * majority(count) > count
    # The record of one voter is lost when it restarts.
    assert (majority(count) - 1) + read_quorum(count) > count - 1


@given(st.sets(st.sampled_from(NAMES[1:])))
def test_new_agents_become_ready_in_any_order(already_ready):
    # All agents start together and some may vote earlier than others. An agent then has
    # the records of some that may vote and of some that may not yet. If only one of
    # the two kinds counted, agents would wait for each other for the whole window.
    voters = observing_voters()
    sync_from(voters, already_ready, ready=True)
    sync_from(voters, set(NAMES[1:]) - already_ready, ready=False)
    assert voters.update_ready(2.0, 600.0)


def test_nobody_votes_at_once_or_alone_among_silent_peers():
    assert not VoterSet("hub-1", 1, 0.0).update_ready(0.5, 600.0)
    assert VoterSet("hub-1", 1, 0.0).update_ready(1.5, 600.0)
    assert not observing_voters().update_ready(500.0, 600.0)
    assert observing_voters().update_ready(600.0, 600.0)


def test_returning_agent_hears_a_reading_quorum_first():
    voters = VoterSet("hub-1", 2, 0.0)
    voters.observe([member(n) for n in NAMES], 0.0, 600.0)
    assert voters.restart_seen
    sync_from(voters, NAMES[1:3], ready=True)
    sync_from(voters, NAMES[3:], ready=False)
    assert not voters.update_ready(2.0, 600.0)
    sync_from(voters, NAMES[3:4], ready=True)
    assert voters.update_ready(2.0, 600.0)


def test_dead_agent_keeps_its_seat_for_the_window():
    voters = observing_voters()
    alive = [member(n) for n in NAMES[:4]]
    voters.observe(alive, 10.0, 600.0)
    voters.observe(alive, 609.0, 600.0)
    assert voters.names() == set(NAMES)
    voters.observe(alive, 611.0, 600.0)
    assert voters.names() == set(NAMES[:4])


def test_agent_that_left_in_order_gives_up_its_seat_at_once():
    voters = observing_voters()
    voters.remove_voter("hub-5", 1)
    voters.observe([member(n) for n in NAMES], 10.0, 600.0)
    assert "hub-5" not in voters.names()
    voters.add_voter("hub-5", 2)
    assert "hub-5" in voters.names()


def learn_of_third_agent():
    """Return the voters of an agent that knows hub-3 only from hub-2."""
    voters = VoterSet("hub-1", 102, 0.0)
    voters.observe([member("hub-1", 102), member("hub-2", 102)], 0.0, 600.0)
    voters.record_sync("hub-2", ready=False, restart_seen=False, others=NAMES[:3])
    return voters


def test_agent_first_heard_of_from_another_is_no_return():
    # When a service starts for the first time, an agent may learn of a third one from
    # the second before the third is announced. If that announcement counted as a
    # restart, no agent could vote, and every request with a key got "outcome unknown"
    # for ten minutes.
    voters = learn_of_third_agent()
    voters.observe([member(name, 102) for name in NAMES[:3]], 1.0, 600.0)
    voters.record_sync("hub-3", ready=False, restart_seen=False, others=NAMES[:3])
    assert not voters.restart_seen
    assert voters.update_ready(60.0, 600.0)


def test_agent_that_came_back_is_a_return():
    voters = learn_of_third_agent()
    voters.observe([member(name, 102) for name in NAMES[:3]], 1.0, 600.0)
    voters.observe([member("hub-3", 103)], 2.0, 600.0)
    assert voters.restart_seen
