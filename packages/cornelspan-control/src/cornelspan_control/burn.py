"""Burn rates: how fast services use the error budget of their objectives.

A burn rate of 1 uses the whole budget in exactly the objective's window. An alert fires
if the rate is high over a long window, so that short bursts don't count, and over a
short window, so that it ends soon after the failures stop. Source: Beyer and others,
"The Site Reliability Workbook" (2018), chapter 5, "Multiwindow, Multi-Burn-Rate
Alerts"; 14.4 over an hour is 2 % of a 30-day budget, 1 over three days is 10 %.
"""

import math
from dataclasses import dataclass

import msgspec

from cornelspan_control.profiles import Objective

HOUR_MINUTES = 60
DAY_MINUTES = 1440
MAX_AGE_MINUTES = 65
MAX_AGE_HOURS = 75
MAX_AGE_DAYS = 91
MIN_ALERT_REQUESTS = 20


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """Counts of requests in one minute, hour or day, numbered since the epoch."""

    number: int
    good: int
    bad: int


class Series(msgspec.Struct, frozen=True, array_like=True):
    """Counts of a service at three resolutions, without empty buckets."""

    minutes: tuple[Bucket, ...] = ()
    hours: tuple[Bucket, ...] = ()
    days: tuple[Bucket, ...] = ()


@dataclass(frozen=True, slots=True)
class Totals:
    """Good and bad requests over a span of time."""

    good: int = 0
    bad: int = 0

    @property
    def requests(self) -> int:
        """All requests."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad requests; 0 if there were no requests."""
        return self.bad / self.requests if self.requests else 0.0


@dataclass(frozen=True, slots=True)
class Window:
    """A span of time that a burn rate is measured over."""

    name: str
    minutes: int


@dataclass(frozen=True, slots=True)
class AlertRule:
    """An alert, which fires when the burn rate over both windows reaches ``rate``."""

    name: str
    short: Window
    long: Window
    rate: float


FIVE_MINUTES = Window("5 min", 5)
ONE_HOUR = Window("1 h", HOUR_MINUTES)
SIX_HOURS = Window("6 h", 6 * HOUR_MINUTES)
THREE_DAYS = Window("3 d", 3 * DAY_MINUTES)
WINDOWS = (FIVE_MINUTES, ONE_HOUR, SIX_HOURS, THREE_DAYS)
FAST = AlertRule("fast burn", FIVE_MINUTES, ONE_HOUR, 14.4)
SLOW = AlertRule("slow burn", SIX_HOURS, THREE_DAYS, 1.0)
RULES = (FAST, SLOW)


@dataclass(frozen=True, slots=True)
class Burn:
    """Burn rates of one service by window name, and the rest of its error budget.

    ``budget_left`` is 1 for an unused budget and negative for an exceeded one.
    ``exhausted_in_days`` assumes the rate of the last hour, and is infinite at rate 0.
    """

    service: str
    objective: Objective
    rates: dict[str, float]
    requests: dict[str, int]
    budget_left: float
    exhausted_in_days: float
    alerts: tuple[str, ...]


def add_minute(series: Series, minute: int, good: int, bad: int) -> Series:
    """Return the series with the counts of a minute added and old buckets dropped."""
    hour = minute // HOUR_MINUTES
    day = minute // DAY_MINUTES
    return Series(
        _add_and_drop_old(series.minutes, minute, good, bad, MAX_AGE_MINUTES),
        _add_and_drop_old(series.hours, hour, good, bad, MAX_AGE_HOURS),
        _add_and_drop_old(series.days, day, good, bad, MAX_AGE_DAYS),
    )


def merge_series(first: Series, second: Series) -> Series:
    """Return the sum of two series, for example of two data centres."""
    return Series(
        _merge_buckets(first.minutes, second.minutes),
        _merge_buckets(first.hours, second.hours),
        _merge_buckets(first.days, second.days),
    )


def totals_over(series: Series, minutes: int, *, now: int) -> Totals:
    """Return the counts of the last minutes.

    Over an hour, whole hours are counted, and over three days whole days. The result
    then includes up to one bucket more than the window.

    Args:
        series: A service's counts.
        minutes: Length of the window.
        now: The current minute.
    """
    if minutes <= HOUR_MINUTES:
        return _sum_after(series.minutes, now - minutes)
    if minutes <= THREE_DAYS.minutes:
        return _sum_after(series.hours, (now - minutes) // HOUR_MINUTES - 1)
    return _sum_after(series.days, (now - minutes) // DAY_MINUTES - 1)


def burn_rate(totals: Totals, objective: Objective) -> float:
    """Return how many times faster than allowed the error budget is used."""
    return totals.bad_share / (1 - objective.good_share)


def burn_of(service: str, series: Series, objective: Objective, *, now: int) -> Burn:
    """Return a service's burn rates, budget and alerts.

    Args:
        service: Name of the service.
        series: Its counts in all data centres.
        objective: The objective of its profile.
        now: The current minute.
    """
    totals = {w.name: totals_over(series, w.minutes, now=now) for w in WINDOWS}
    rates = {name: burn_rate(each, objective) for name, each in totals.items()}
    window = totals_over(series, objective.window_days * DAY_MINUTES, now=now)
    budget_left = 1.0 - burn_rate(window, objective)
    return Burn(
        service=service,
        objective=objective,
        rates=rates,
        requests={name: each.requests for name, each in totals.items()},
        budget_left=budget_left,
        exhausted_in_days=_days_until_exhausted(
            budget_left, rates[ONE_HOUR.name], objective
        ),
        alerts=tuple(rule.name for rule in RULES if _is_firing(rule, rates, totals)),
    )


def _is_firing(
    rule: AlertRule, rates: dict[str, float], totals: dict[str, Totals]
) -> bool:
    """Whether the burn rate over both windows of an alert reaches its rate.

    An alert doesn't fire if its long window has fewer than ``MIN_ALERT_REQUESTS``
    requests: with so few, a single failure would give a very high rate.
    """
    if totals[rule.long.name].requests < MIN_ALERT_REQUESTS:
        return False
    return rates[rule.short.name] >= rule.rate and rates[rule.long.name] >= rule.rate


def _days_until_exhausted(
    budget_left: float, rate: float, objective: Objective
) -> float:
    if budget_left <= 0:
        return 0.0
    return objective.window_days * budget_left / rate if rate > 0 else math.inf


def _add_and_drop_old(
    buckets: tuple[Bucket, ...], number: int, good: int, bad: int, max_age: int
) -> tuple[Bucket, ...]:
    """Add counts to a bucket and drop buckets that are too old.

    Args:
        buckets: Buckets of one resolution.
        number: Number of the bucket that the counts belong to.
        good: Good requests to add.
        bad: Bad requests to add.
        max_age: Buckets whose number is at least this much below the newest are
            dropped.
    """
    merged = _merge_buckets(buckets, (Bucket(number, good, bad),))
    newest = merged[-1].number
    return tuple(bucket for bucket in merged if bucket.number > newest - max_age)


def _merge_buckets(
    first: tuple[Bucket, ...], second: tuple[Bucket, ...]
) -> tuple[Bucket, ...]:
    sums: dict[int, Bucket] = {}
    for bucket in (*first, *second):
        known = sums.get(bucket.number, Bucket(bucket.number, 0, 0))
        good = known.good + bucket.good
        bad = known.bad + bucket.bad
        sums[bucket.number] = Bucket(bucket.number, good, bad)
    return tuple(sums[number] for number in sorted(sums))


def _sum_after(buckets: tuple[Bucket, ...], number: int) -> Totals:
    recent = [bucket for bucket in buckets if bucket.number > number]
    return Totals(sum(b.good for b in recent), sum(b.bad for b in recent))
