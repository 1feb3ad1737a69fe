"""Figures of an experiment's outcome, as shares and milliseconds."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass

import numpy as np

from cornelspan_standins.experiment import Outcome
from cornelspan_standins.experiment_callers import Asked, Ending
from cornelspan_standins.experiment_plan import ExperimentPlan, RequestPlan

WINDOW_SECONDS = 2.0
RATE_WINDOW_SECONDS = 0.25
WORST_WINDOWS = 2
RECOVERED_SHARE = 0.9
# Faults that stop the whole system, so that there is a recovery to time.
OUTAGES = ("power", "daemons")
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Figures:
    """What an experiment came to; ``worth`` is earned over owed.

    ``goal`` weighs it, its worst windows and its worst kind as the plan does.
    ``worst_windows`` is the worth of the two worst windows of two seconds, ``first``
    the share on time of the kind with the highest priority. ``recovery_seconds`` is
    from the end of the last outage until nine tenths of the earlier rate are answered,
    0 without one.
    """

    goal: float
    worth: float
    worst_windows: float
    worst_kind: float
    on_time: float
    failed: float
    first: float
    shed: float
    turned_away: float
    p50_milliseconds: float
    p99_milliseconds: float
    recovery_seconds: float


@dataclass(frozen=True, slots=True)
class Window:
    """One window of an outcome, for a plot; ``at`` counts from the first arrival."""

    at: float
    worth: float
    on_time: int
    late: int
    failed: int


def figures_of(outcome: Outcome) -> Figures:
    """Return the figures of one outcome."""
    plan = outcome.plan
    asked = outcome.asked
    windows = sorted(each.worth for each in windows_of(outcome))
    answered = [each.seconds for each in asked if each.ending is not Ending.FAILED]
    milliseconds = np.array(answered or [0.0]) * 1000
    worth = worth_share(plan, asked)
    worst_windows = float(np.mean(windows[:WORST_WINDOWS]))
    worst_kind = min(worth_share(plan, each) for each in by_kind(outcome))
    weights = plan.goal
    highest = min(plan.requests, key=lambda kind: kind.priority).name
    return Figures(
        goal=weights.whole * worth
        + weights.windows * worst_windows
        + weights.kind * worst_kind,
        worth=worth,
        worst_windows=worst_windows,
        worst_kind=worst_kind,
        on_time=_share(asked, Ending.ON_TIME),
        failed=_share(asked, Ending.FAILED),
        first=_share([each for each in asked if each.kind == highest], Ending.ON_TIME),
        shed=float(outcome.shed),
        turned_away=float(outcome.flows_turned_away),
        p50_milliseconds=float(np.percentile(milliseconds, 50)),
        p99_milliseconds=float(np.percentile(milliseconds, 99)),
        recovery_seconds=recovery_seconds(outcome),
    )


def by_kind(outcome: Outcome) -> list[list[Asked]]:
    """Return the requests of each kind."""
    return [
        [each for each in outcome.asked if each.kind == kind.name]
        for kind in outcome.plan.requests
    ]


def mean_figures(figures: list[Figures]) -> Figures:
    """Return the mean of several seeds' figures."""
    rows = [asdict(each) for each in figures]
    return Figures(
        **{name: float(np.mean([r[name] for r in rows])) for name in rows[0]}
    )


def worth_share(plan: ExperimentPlan, asked: Iterable[Asked]) -> float:
    """Return what requests earned over what they would have earned on time."""
    kinds = {kind.name: kind for kind in plan.requests}
    earned = owed = 0.0
    for each in asked:
        kind = kinds[each.kind]
        earned += worth_of(kind, each.ending)
        owed += kind.worth
    return earned / owed if owed else 1.0


def worth_of(kind: RequestPlan, ending: Ending) -> float:
    """Return what a request of a kind earned."""
    match ending:
        case Ending.ON_TIME:
            return kind.worth
        case Ending.LATE:
            return kind.late_worth
        case Ending.FAILED:
            return 0.0


def windows_of(outcome: Outcome) -> list[Window]:
    """Return the windows of an outcome, by when their requests began."""
    plan = outcome.plan
    found = []
    for number in range(int(plan.seconds / WINDOW_SECONDS)):
        begins = plan.lead_seconds + number * WINDOW_SECONDS
        inside = [
            each
            for each in outcome.asked
            if begins <= each.at < begins + WINDOW_SECONDS
        ]
        counts = [
            sum(1 for each in inside if each.ending is ending) for ending in Ending
        ]
        at = number * WINDOW_SECONDS
        found.append(Window(at, worth_share(plan, inside), *counts))
    return found


def recovery_seconds(outcome: Outcome) -> float:
    """Return how long after the last outage nine tenths of the earlier rate took."""
    plan = outcome.plan
    outages = [fault for fault in plan.faults if fault.kind in OUTAGES]
    if not outages:
        return 0.0
    last = max(outages, key=lambda fault: fault.at)
    begins = plan.lead_seconds + last.at
    answers = sorted(
        each.at + each.seconds
        for each in outcome.asked
        if each.ending is not Ending.FAILED
    )
    earlier = sum(1 for at in answers if plan.lead_seconds <= at < begins) / last.at
    returned = begins + last.lasts
    at = returned
    while at < plan.lead_seconds + plan.seconds:
        ends = at + RATE_WINDOW_SECONDS
        rate = sum(1 for each in answers if at <= each < ends) / RATE_WINDOW_SECONDS
        if rate >= RECOVERED_SHARE * earlier:
            return ends - returned
        at += RATE_WINDOW_SECONDS / 5
    return NEVER


def _share(asked: Iterable[Asked], ending: Ending) -> float:
    endings = [each.ending for each in asked]
    return endings.count(ending) / max(1, len(endings))
