"""What a scenario can expect: figures counted at callers and backend servers.

Only revisions are read from the daemons, since nobody else knows them.
"""

from collections.abc import Callable

from cornelspan_standins.callers import Outcome
from cornelspan_standins.journal import Ended
from cornelspan_standins.scenario_stage import Stage

GRACE_SECONDS = 3.0
EXACT = 1e-9

Metric = Callable[[Stage, str], float]


def _flows(stage: Stage, service: str) -> float:
    return sum(report.opened for report in stage.reports())


def _finished_flows(stage: Stage, service: str) -> float:
    return sum(report.finished for report in stage.reports())


def _broken_flows(stage: Stage, service: str) -> float:
    return sum(report.broken for report in stage.reports())


def _requests(stage: Stage, service: str) -> float:
    return len(stage.requests(service))


def _counted(*outcomes: Outcome) -> Metric:
    """Return a metric that counts requests by outcome."""

    def count(stage: Stage, service: str) -> float:
        return sum(each.outcome in outcomes for each in stage.requests(service))

    return count


def _share(*outcomes: Outcome) -> Metric:
    """Return a metric that is the share of requests by outcome."""
    count = _counted(*outcomes)

    def share(stage: Stage, service: str) -> float:
        return count(stage, service) / max(1, len(stage.requests(service)))

    return share


def _double_runs(stage: Stage, service: str) -> float:
    return stage.deployment.journal.double_runs()


def _false_not_run(stage: Stage, service: str) -> float:
    """Requests whose caller was told that they did not run, though they did."""
    ran = {run.request_id for run in stage.deployment.journal.runs}
    told = [r for r in stage.requests(service) if r.outcome is Outcome.NOT_RUN]
    return sum(request.request_id in ran for request in told)


def _unrun_good(stage: Stage, service: str) -> float:
    """Good answers to requests that no backend server ran."""
    ran = {run.request_id for run in stage.deployment.journal.runs}
    good = [r for r in stage.requests(service) if r.outcome is Outcome.GOOD]
    return sum(request.request_id not in ran for request in good)


def _imbalance(stage: Stage, service: str) -> float:
    counts = stage.deployment.journal.per_endpoint(service)
    plans = [each for each in stage.plan.services if each.name == service]
    mean = sum(counts.values()) / plans[0].endpoints
    return max(counts.values()) / mean if mean else 1.0


def _late_work(stage: Stage, service: str) -> float:
    """Runs that began at a leaving endpoint after the time it has to be left alone."""
    journal = stage.deployment.journal
    return sum(
        journal.started_since(left.endpoint, left.at + GRACE_SECONDS)
        for left in stage.left
    )


def _cut_runs(stage: Stage, service: str) -> float:
    """Runs that were cut short at an endpoint that was told to leave."""
    leaving = {left.endpoint for left in stage.left}
    return sum(
        run.endpoint in leaving and run.ended is Ended.CANCELLED
        for run in stage.deployment.journal.runs
    )


def _behind(stage: Stage, service: str) -> float:
    """Daemons in which the newest accepted revision is not in force."""
    daemons = stage.daemons().values()
    return sum(each.configuration.revision < stage.accepted for each in daemons)


def _reverts(stage: Stage, service: str) -> float:
    return stage.reverts


def _runs(stage: Stage, service: str) -> float:
    return sum(stage.deployment.journal.per_endpoint(service).values())


def _latency(percentile: float) -> Metric:
    """Return a metric that is a percentile of good requests' latency, in ms."""

    def latency(stage: Stage, service: str) -> float:
        good = [r for r in stage.requests(service) if r.outcome is Outcome.GOOD]
        ordered = sorted(each.seconds for each in good)
        if not ordered:
            return 0.0
        place = min(len(ordered) - 1, int(len(ordered) * percentile / 100))
        return ordered[place] * 1000

    return latency


METRICS: dict[str, Metric] = {
    "flows": _flows,
    "finished flows": _finished_flows,
    "broken flows": _broken_flows,
    "requests": _requests,
    "runs": _runs,
    "good share": _share(Outcome.GOOD),
    "not run share": _share(Outcome.NOT_RUN),
    "failed share": _share(Outcome.FAILED),
    "failed requests": _counted(Outcome.FAILED),
    "wrong service": _counted(Outcome.WRONG_SERVICE),
    "incomplete answers": _counted(Outcome.INCOMPLETE, Outcome.FOREIGN),
    "double runs": _double_runs,
    "false not run": _false_not_run,
    "unrun good": _unrun_good,
    "imbalance": _imbalance,
    "late work": _late_work,
    "cut runs": _cut_runs,
    "behind": _behind,
    "reverts": _reverts,
    "p50 ms": _latency(50),
    "p99 ms": _latency(99),
}
NEED_SERVICE = ("imbalance", "runs")


def holds(value: float, operator: str, limit: float) -> bool:
    """Whether a value keeps to what is expected of it."""
    match operator:
        case "<=":
            return value <= limit + EXACT
        case ">=":
            return value >= limit - EXACT
        case _:
            return abs(value - limit) <= EXACT
