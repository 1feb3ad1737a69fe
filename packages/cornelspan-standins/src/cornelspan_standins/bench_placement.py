"""``cornelspan bench placement``: the real placement code beside simpler policies.

All policies meet the same seeded arrivals and service times in one run. Bounds are
ratios between policies of that run, so they hold on any machine.
"""

import numpy as np

from cornelspan_standins._placement_policies import POLICIES
from cornelspan_standins._placement_run import Case, Outcome, Run
from cornelspan_standins.bench import BenchResult, BenchSettings, Bound, bench

REAL = "home, then least"
BASELINE = "two choices, late view"
IDEAL = "ideal, true view"
BUSY = Case(endpoints=7, load=0.85)
SLOW = Case(endpoints=7, load=0.85, slowness=3.0)
CASES = (
    Case(endpoints=3, load=0.6),
    Case(endpoints=3, load=0.85),
    Case(endpoints=7, load=0.6),
    BUSY,
    SLOW,
)
SEEDS = 3
SHORT_SEEDS = 2
SHORT_SECONDS = 40.0

Outcomes = dict[str, Outcome]


@bench("placement")
async def bench_placement(settings: BenchSettings) -> BenchResult:
    """Run all cases; the short form only those that have bounds."""
    cases = (BUSY, SLOW) if settings.short else CASES
    seconds = SHORT_SECONDS if settings.short else BUSY.seconds
    seeds = _seeds(settings)
    results = {case: measure(case, seeds=seeds, seconds=seconds) for case in cases}
    return BenchResult(
        title="max/mean of busy; p99 wait for a slot",
        columns=("policy", *(case.label for case in results)),
        rows=tuple(_row(name, results) for name in POLICIES),
        bounds=tuple(check(results[BUSY], results[SLOW])),
        summary=_summary(results),
    )


def _seeds(settings: BenchSettings) -> range:
    count = SHORT_SEEDS if settings.short else SEEDS
    return range(settings.seed, settings.seed + count)


def measure(case: Case, *, seeds: range, seconds: float) -> Outcomes:
    """Run all policies on a case; return the mean over seeds for each."""
    timed = Case(case.endpoints, case.load, case.slowness, seconds)
    outcomes: Outcomes = {}
    for name, policy in POLICIES.items():
        runs = [Run(timed, seed) for seed in seeds]
        found = [run.run(policy(run)) for run in runs]
        outcomes[name] = Outcome(
            float(np.mean([outcome.imbalance for outcome in found])),
            float(np.mean([outcome.wait_p99 for outcome in found])),
        )
    return outcomes


def check(busy: Outcomes, slow: Outcomes) -> list[Bound]:
    """Compare the real code with the baseline and the ideal of the same runs."""
    real, baseline, best = busy[REAL], busy[BASELINE], busy[IDEAL]
    imbalance = real.imbalance / baseline.imbalance
    wait = real.wait_p99 / baseline.wait_p99
    slow_wait = slow[REAL].wait_p99 / slow[BASELINE].wait_p99
    return [
        Bound("7 at 85%: max/mean to two choices", imbalance, 0.65),
        Bound("7 at 85%: p99 wait to two choices", wait, 0.3),
        Bound("7 at 85%: max/mean to ideal", real.imbalance / best.imbalance, 1.3),
        Bound("7 at 85%: p99 wait to ideal", real.wait_p99 / best.wait_p99, 1.3),
        Bound("one 3x slower: p99 wait to two choices", slow_wait, 0.5),
    ]


def _row(name: str, results: dict[Case, Outcomes]) -> tuple[str, ...]:
    outcomes = [results[case][name] for case in results]
    cells = [f"{o.imbalance:.2f}; {o.wait_p99 * 1000:.0f} ms" for o in outcomes]
    return (name, *cells)


def _summary(results: dict[Case, Outcomes]) -> dict[str, float]:
    summary: dict[str, float] = {}
    for case, outcomes in results.items():
        for name, outcome in outcomes.items():
            summary[f"{case.label}: {name}: max/mean"] = outcome.imbalance
            summary[f"{case.label}: {name}: p99 wait s"] = outcome.wait_p99
    return summary
