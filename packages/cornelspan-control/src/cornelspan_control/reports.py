"""The service-level report: burn rates of each service over all data centres.

It is built from the summaries that relays keep in the store, so it needs no running
daemon. ``missing`` lists data that is too old or absent.
"""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from cornelspan_control.burn import (
    Burn,
    Series,
    Totals,
    burn_of,
    merge_series,
    totals_over,
)
from cornelspan_control.configuration import Snapshot
from cornelspan_control.profiles import Objective, Profile
from cornelspan_control.summaries import (
    MAX_LATENCY_MICROSECONDS,
    SIGNIFICANT_DIGITS,
    Summary,
    merge_latencies,
)

STALE_MINUTES = 10


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """One service: burn rates, latency percentiles and data centres with counts."""

    burn: Burn
    profile: str
    p50_ms: float
    p99_ms: float
    datacentres: tuple[str, ...]
    series: Series
    last_hour: Totals


@dataclass(frozen=True, slots=True)
class Report:
    """All services at one minute, and which data is missing."""

    minute: int
    services: tuple[ServiceReport, ...]
    missing: tuple[str, ...]

    @property
    def alerts(self) -> tuple[tuple[str, str], ...]:
        """Pairs of service and alert name, of all firing alerts."""
        return tuple(
            (each.burn.service, alert)
            for each in self.services
            for alert in each.burn.alerts
        )


def build_report(summaries: list[Summary], snapshot: Snapshot, *, now: int) -> Report:
    """Build the report.

    Args:
        summaries: One of each data centre.
        snapshot: The configuration in force, which has the objectives.
        now: The current minute.
    """
    profiles = {profile.name: profile for profile in snapshot.profiles}
    configured = {service.name: service.profile for service in snapshot.services}
    counted = {name for summary in summaries for name in summary.services}
    names = sorted(counted | set(configured))
    services = tuple(
        _service_report(name, profiles.get(configured.get(name, "")), summaries, now)
        for name in names
    )
    return Report(now, services, _missing(summaries, configured, now))


def _service_report(
    name: str, profile: Profile | None, summaries: list[Summary], now: int
) -> ServiceReport:
    found = [summary for summary in summaries if name in summary.services]
    series = Series()
    for summary in found:
        series = merge_series(series, summary.services[name].series)
    latencies = _latencies([summary.services[name].latencies for summary in found])
    objective = profile.objective if profile else Objective()
    return ServiceReport(
        burn=burn_of(name, series, objective, now=now),
        profile=profile.name if profile else "",
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        datacentres=tuple(summary.datacentre for summary in found),
        series=series,
        last_hour=totals_over(series, 60, now=now),
    )


def _latencies(encoded: list[bytes]) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    histogram.decode_and_add(merge_latencies(encoded))
    return histogram


def _missing(
    summaries: list[Summary], configured: dict[str, str], now: int
) -> tuple[str, ...]:
    """Describe the missing data by data centre, then services without counts."""
    lines = []
    for summary in summaries:
        age = now - summary.minute
        if not summary.minute:
            lines.append(f"data centre {summary.datacentre}: can't be read")
        elif age > STALE_MINUTES:
            lines.append(f"data centre {summary.datacentre}: {age} min old")
        lines += [
            f"agent {agent.agent} ({agent.service}): silent for "
            f"{summary.minute - agent.minute} min"
            for agent in summary.silent_agents()
        ]
    counted = {name for summary in summaries for name in summary.services}
    lines += [
        f"service {name}: never counted" for name in sorted(set(configured) - counted)
    ]
    return tuple(lines)
