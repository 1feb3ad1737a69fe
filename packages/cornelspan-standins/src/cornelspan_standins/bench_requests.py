"""``cornelspan bench requests``: the agent's admission code under overload.

Each case runs the real code and, for comparison, endpoints with a plain unbounded
queue on the same seeded arrivals and service times.
"""

from dataclasses import dataclass, replace

import numpy as np

from cornelspan_standins._requests_run import Case, PlainRun, Run, Stream, Tally
from cornelspan_standins.bench import BenchResult, BenchSettings, Bound, bench

SEEDS = 2
SHORT_SEEDS = 1
SHORT_SECONDS = 15.0
LEAST_GOODPUT = 0.95
LEAST_GENTLE = 0.99

ORDERS = Stream("orders", 0.6, 0, 3.0, 200)
PICTURES = Stream("pictures", 0.9, 7, 3.0, 200)
OVERLOAD = Case("150 %, top 60 %", (ORDERS, PICTURES))
MOSTLY_TOP = Case(
    "150 %, top 90 %", (replace(ORDERS, load=0.9), replace(PICTURES, load=0.6))
)
TIGHT = Case(
    "150 %, deadline 0.5 s",
    (
        replace(ORDERS, deadline_seconds=0.5),
        replace(PICTURES, deadline_seconds=0.5),
    ),
    sigma=0.5,
)
FLOOD = Case(
    "one caller 300 %, others 40 %",
    (
        Stream("flood", 3.0, 5, 1.0, 1),
        Stream("others", 0.4, 5, 3.0, 200),
    ),
)
CASES = (OVERLOAD, MOSTLY_TOP, TIGHT, FLOOD)


@dataclass(frozen=True, slots=True)
class Figures:
    """What came of one case: goodput, and the share in time of each stream.

    ``missed`` counts the requests of the first stream that were late or shed.
    """

    goodput: float
    in_time: tuple[float, ...]
    missed: int
    offered: int


@bench("requests")
async def bench_requests(settings: BenchSettings) -> BenchResult:
    """Run all cases; bounds on goodput, on top-priority requests and on fairness."""
    seeds = range(settings.seed, settings.seed + SEEDS)
    cases = CASES
    if settings.short:
        seeds = seeds[:SHORT_SEEDS]
        cases = tuple(replace(case, seconds=SHORT_SECONDS) for case in CASES)
    real = [measure(case, seeds) for case in cases]
    plain = [measure(case, seeds, kind=PlainRun) for case in cases]
    rows = [
        row
        for case, ours, theirs in zip(cases, real, plain, strict=True)
        for row in (_row(case, "agent", ours), _row(case, "plain queue", theirs))
    ]
    bounds = check(real)
    summary = {
        f"{case.label}: goodput": round(figures.goodput, 4)
        for case, figures in zip(cases, real, strict=True)
    }
    columns = ("case", "policy", "goodput", "in time", "first missed of")
    title = "Requests: goodput as a share of capacity, share of each stream in time"
    return BenchResult(title, columns, tuple(rows), tuple(bounds), summary)


def measure(case: Case, seeds: range, *, kind: type[Run] = Run) -> Figures:
    """Run a case with each seed; shares are means, counts are sums."""
    runs = [kind(case, seed) for seed in seeds]
    tallies = [run.run() for run in runs]
    first = [tally[case.streams[0].name] for tally in tallies]
    shares = tuple(
        float(np.mean([_share(tally[stream.name]) for tally in tallies]))
        for stream in case.streams
    )
    return Figures(
        float(np.mean([run.goodput() for run in runs])),
        shares,
        sum(tally.offered - tally.in_time for tally in first),
        sum(tally.offered for tally in first),
    )


def check(real: list[Figures]) -> list[Bound]:
    """Return the bounds on the agent's figures, in the order of ``CASES``."""
    overloaded = list(zip(CASES[:3], real[:3], strict=True))
    bounds = [
        Bound(f"{case.label}: goodput", figures.goodput, LEAST_GOODPUT, "least")
        for case, figures in overloaded
    ]
    bounds += [
        Bound(f"{case.label}: top missed", figures.missed, 0)
        for case, figures in overloaded
    ]
    gentle = real[3].in_time[1]
    bounds.append(Bound("flood: others in time", gentle, LEAST_GENTLE, "least"))
    return bounds


def _share(tally: Tally) -> float:
    return tally.in_time / tally.offered


def _row(case: Case, policy: str, figures: Figures) -> tuple[str, ...]:
    shares = ", ".join(
        f"{stream.name} {share:.2%}"
        for stream, share in zip(case.streams, figures.in_time, strict=True)
    )
    missed = f"{figures.missed} of {figures.offered}"
    return (case.label, policy, f"{figures.goodput:.3f}", shares, missed)
