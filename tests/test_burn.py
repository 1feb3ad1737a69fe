"""Counts of good and bad requests, burn rates and alerts."""

import math

import pytest

from cornelspan_control.burn import (
    DAY_MINUTES,
    FAST,
    SLOW,
    Series,
    Totals,
    add_minute,
    burn_of,
    burn_rate,
    merge_series,
    totals_over,
)
from cornelspan_control.profiles import Objective
from cornelspan_requests.objectives import ObjectiveCounts

NOW = 29_000_000
OBJECTIVE = Objective(good_share=0.99, latency_seconds=0.5, window_days=28)


def series_of(minutes):
    series = Series()
    for minute, good, bad in minutes:
        series = add_minute(series, minute, good, bad)
    return series


def test_late_success_is_bad():
    counts = ObjectiveCounts(clock=lambda: 120.0)
    counts.record(succeeded=True, seconds=0.1, objective=OBJECTIVE)
    counts.record(succeeded=True, seconds=0.6, objective=OBJECTIVE)
    counts.record(succeeded=False, seconds=0.1, objective=OBJECTIVE)
    (minute,) = counts.message("order-hub-1", "order-hub").minutes
    assert (minute.number, minute.good, minute.bad) == (2, 1, 2)


def test_sealed_minutes_are_not_sent_again_and_the_others_are():
    now = [60.0]
    counts = ObjectiveCounts(clock=lambda: now[0])
    for now[0] in (60.0, 120.0, 180.0):
        counts.record(succeeded=True, seconds=0.1, objective=OBJECTIVE)
    counts.delete_stored(2)
    again = [counts.message("a", "s").minutes for _ in range(2)]
    assert again[0] == again[1]
    assert [minute.number for minute in again[0]] == [3]


def test_counts_are_bounded_when_nothing_is_sealed():
    now = [0.0]
    counts = ObjectiveCounts(clock=lambda: now[0])
    for minute in range(400):
        now[0] = minute * 60.0
        counts.record(succeeded=True, seconds=0.1, objective=OBJECTIVE)
    assert len(counts.minutes) + counts.lost_minutes == 400
    assert len(counts.message("a", "s").minutes) == 180


def test_rate_one_uses_the_budget_in_the_window():
    assert burn_rate(Totals(99, 1), OBJECTIVE) == pytest.approx(1.0)
    assert burn_rate(Totals(0, 0), OBJECTIVE) == 0.0


def test_windows_see_their_own_time_only():
    series = series_of([(NOW - 30, 10, 0), (NOW - 200, 0, 10), (NOW, 5, 0)])
    assert totals_over(series, 5, now=NOW) == Totals(5, 0)
    assert totals_over(series, 60, now=NOW) == Totals(15, 0)
    assert totals_over(series, 360, now=NOW) == Totals(15, 10)


def test_series_is_bounded_over_a_year():
    minutes = [(minute, 1, 0) for minute in range(0, 365 * DAY_MINUTES, 97)]
    series = series_of(minutes)
    assert len(series.minutes) + len(series.hours) + len(series.days) <= 65 + 75 + 91


def test_steady_failure_raises_both_alerts_and_says_when_the_budget_ends():
    minutes = [(NOW - age, 80, 20) for age in range(59, -1, -1)]
    burn = burn_of("order-hub", series_of(minutes), OBJECTIVE, now=NOW)
    assert burn.alerts == (FAST.name, SLOW.name)
    assert burn.rates["1 h"] == pytest.approx(20.0)
    assert burn.budget_left < 0
    assert burn.exhausted_in_days == 0.0


def test_short_burst_that_is_over_raises_no_fast_alert():
    minutes = [(NOW - 30, 0, 1000), *((NOW - age, 100, 0) for age in range(29, -1, -1))]
    burn = burn_of("order-hub", series_of(minutes), OBJECTIVE, now=NOW)
    assert burn.rates["1 h"] > FAST.rate
    assert FAST.name not in burn.alerts


def test_one_failure_among_few_requests_raises_nothing():
    burn = burn_of("s", series_of([(NOW, 4, 1)]), OBJECTIVE, now=NOW)
    assert burn.alerts == ()


def test_no_failures_never_exhaust_the_budget():
    burn = burn_of("s", series_of([(NOW, 100, 0)]), OBJECTIVE, now=NOW)
    assert (burn.budget_left, burn.exhausted_in_days) == (1.0, math.inf)


def test_merge_is_the_sum():
    one = series_of([(NOW, 1, 0)])
    two = series_of([(NOW, 2, 1), (NOW - 1, 4, 0)])
    assert totals_over(merge_series(one, two), 5, now=NOW) == Totals(7, 1)
