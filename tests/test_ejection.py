"""Ejection, slow start and retry budget with a simulated clock."""

import pytest
from hypothesis import given, strategies as st

from cornelspan_common.ejection import (
    EjectionPolicy,
    EjectionState,
    Standing,
    can_eject,
    must_readmit,
)
from cornelspan_control.profiles import RetryPolicy
from cornelspan_requests.outcomes import Failure, Reason, RequestOutcome
from cornelspan_requests.retries import RetryBudget, backoff_pause, is_repeatable
from cornelspan_requests.slow_start import SlowStart

POLICY = EjectionPolicy(failures=3, seconds=10.0, share_limit=0.34)


def fail(state, times, now=0.0, *, may_eject=True):
    return [
        state.record_failure(POLICY, now, may_eject=may_eject) for _ in range(times)
    ]


def test_failures_in_a_row_eject_and_a_probe_brings_back():
    state = EjectionState()
    assert fail(state, 3) == [False, False, True]
    assert state.standing(9.9) is Standing.OUT
    assert state.standing(10.0) is Standing.PROBING
    assert state.record_success(10.0)
    assert state.standing(10.0) is Standing.IN


def test_a_success_between_keeps_an_endpoint_in():
    state = EjectionState()
    for _ in range(10):
        fail(state, 2)
        state.record_success(0.0)
    assert state.standing(0.0) is Standing.IN


def test_failed_probe_stays_out_for_longer():
    state = EjectionState()
    fail(state, 3)
    fail(state, 1, now=10.0)
    assert state.standing(29.9) is Standing.OUT
    assert state.standing(30.0) is Standing.PROBING


def test_ejections_are_forgiven_after_a_long_good_time():
    state = EjectionState()
    fail(state, 3)
    state.record_success(10.0)
    state.record_success(500.0)
    fail(state, 3, now=600.0)
    assert state.standing(610.0) is Standing.PROBING


def test_no_ejection_without_room():
    state = EjectionState()
    fail(state, 20, may_eject=False)
    assert state.standing(0.0) is Standing.IN


def test_slow_endpoint_is_compared_with_its_peers():
    state = EjectionState()
    others = [0.05, 0.06, 0.04]
    assert not state.eject_if_slow(0.19, others, POLICY, 0.0, may_eject=True)
    assert state.eject_if_slow(0.21, others, POLICY, 0.0, may_eject=True)


@given(st.integers(1, 40), st.floats(0, 1))
def test_cap_holds_however_many_want_to_leave(group, share):
    policy = EjectionPolicy(share_limit=share)
    names = [f"hub-{number}" for number in range(group)]
    out = []
    for name in names:
        if can_eject(len(out), group, policy):
            out.append(name)
    assert len(out) <= group * share
    # All are ejected at once, each before its agent knows about the others.
    staying_out = [n for n in names if not must_readmit(n, names, group, share)]
    assert len(staying_out) <= group * share


@given(st.lists(st.floats(0, 0.5), min_size=50, max_size=400))
def test_retries_keep_to_their_share(pauses):
    # Every request fails and asks for two retries; the load must not triple.
    budget, policy = RetryBudget(), RetryPolicy(budget_share=0.1)
    now, retries = 0.0, 0
    for pause in pauses:
        now += pause
        budget.record_request(now)
        retries += sum(budget.spend(policy, now) for _ in range(2))
    windows = now / 10 + 2
    assert retries <= 0.2 * len(pauses) + windows


@pytest.mark.parametrize(
    ("method", "outcome", "expected"),
    [
        ("POST", RequestOutcome.NOT_RUN, True),
        ("POST", RequestOutcome.UNKNOWN, False),
        ("PATCH", RequestOutcome.UNKNOWN, False),
        ("GET", RequestOutcome.UNKNOWN, True),
        ("PUT", RequestOutcome.UNKNOWN, True),
    ],
)
def test_what_may_be_repeated(method, outcome, expected):
    assert is_repeatable(method, Failure(outcome, Reason.BROKEN)) is expected


@given(st.integers(1, 30), st.floats(0, 1, exclude_max=True))
def test_pause_is_jittered_and_bounded(attempt, draw):
    policy = RetryPolicy()
    pause = backoff_pause(attempt, policy, lambda: draw)
    assert 0 <= pause <= policy.backoff_limit_seconds


def test_slow_start_rises_to_all_slots():
    slow_start = SlowStart(100.0)
    slots = [slow_start.slots(100.0 + at, 5.0, 8) for at in range(7)]
    assert slots[0] == 1
    assert slots == sorted(slots)
    assert slots[5:] == [8, 8]
    assert slow_start.slots(100.0, 0.0, 8) == 8
