"""``cornelspan report``: burn rates of service-level objectives."""

import math
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

from cornelspan_cli._client import OperatorCommand, Session, run_command
from cornelspan_cli._output import ExitCode, fail, show_json
from cornelspan_cli.report_page import render_page
from cornelspan_common.logs import get_log, start_logging
from cornelspan_common.service_levels import MINUTE_SECONDS
from cornelspan_common.settings import LogSettings
from cornelspan_common.store_errors import (
    StoreError,
)
from cornelspan_control.burn import WINDOWS
from cornelspan_control.configuration_reader import read_snapshot
from cornelspan_control.reports import Report, ServiceReport, build_report
from cornelspan_control.store import (
    StoreClient,
)
from cornelspan_control.summaries import read_summaries

MIN_DISPLAYED_BUDGET_LEFT = -9.99
COLUMNS = (
    "service",
    *(window.name for window in WINDOWS),
    "left",
    "lasts",
    "p99 ms",
    "alerts",
)

log = get_log(__name__)


@cappa.command(name="report", help="Show service-level burn rates; exit 7 on an alert.")
@dataclass(frozen=True, kw_only=True)
class ReportCommand(OperatorCommand):
    """Show how fast each service uses up its error budget.

    Example: cornelspan report --html burn.html
    """

    html: Annotated[
        str,
        cappa.Arg(
            long="--html", help="Also write an HTML page with plots to this file."
        ),
    ] = ""

    def __call__(self) -> int:
        """Start logging, run the command and return its exit code."""
        start_logging(LogSettings(level="WARNING"), process="report")
        return run_command(self, self.execute)

    async def execute(self, session: Session) -> int:
        """Build the report, print it and log its alerts."""
        match await fetch_report(session.client):
            case Err(error):
                return fail(error)
            case Ok(report):
                pass
        if self.html:
            Path(self.html).write_text(render_page(report))
        if self.json:
            show_json(report_document(report))
        else:
            show_report(report, Console())
        log_alerts(report)
        return ExitCode.ALERT if report.alerts else ExitCode.SUCCESS


async def fetch_report(client: StoreClient) -> Result[Report, StoreError]:
    """Build the report from the summaries and the configuration in the store."""
    match await read_summaries(client):
        case Err(error):
            return Err(error)
        case Ok(summaries):
            pass
    now = int(time.time()) // MINUTE_SECONDS
    result = await read_snapshot(client)
    return result.map(lambda snapshot: build_report(summaries, snapshot, now=now))


def log_alerts(report: Report) -> None:
    """Log a warning for each alert."""
    for each in report.services:
        for alert in each.burn.alerts:
            log.warning(
                "burn alert",
                extra={
                    "service": each.burn.service,
                    "alert": alert,
                    "rates": each.burn.rates,
                    "budget_left": round(each.burn.budget_left, 4),
                },
            )


def report_document(report: Report) -> dict[str, object]:
    """Return the report as a JSON document.

    ``exhausted_in_days`` is null if budget is left and none was used in the last hour.
    """
    return {
        "minute": report.minute,
        "missing": report.missing,
        "services": [_service_document(each) for each in report.services],
    }


def _service_document(service: ServiceReport) -> dict[str, object]:
    burn = service.burn
    never_exhausted = math.isinf(burn.exhausted_in_days)
    return {
        "service": burn.service,
        "profile": service.profile,
        "objective": burn.objective,
        "burn": burn.rates,
        "requests": burn.requests,
        "budget_left": burn.budget_left,
        "exhausted_in_days": None if never_exhausted else burn.exhausted_in_days,
        "alerts": burn.alerts,
        "p50_ms": service.p50_ms,
        "p99_ms": service.p99_ms,
        "datacentres": service.datacentres,
    }


def show_report(report: Report, console: Console) -> None:
    """Print the report as a table that fits 80 columns, then the missing data."""
    table = Table(
        title="Service-level burn", title_justify="left", box=None, padding=(0, 1)
    )
    for column in COLUMNS:
        table.add_column(column, no_wrap=True)
    for each in report.services:
        table.add_row(*_row(each))
    console.print(table)
    for line in report.missing:
        console.print(f"missing: {line}", highlight=False)


def _row(service: ServiceReport) -> list[str]:
    burn = service.burn
    return [
        burn.service,
        *(f"{burn.rates[window.name]:.1f}" for window in WINDOWS),
        f"{max(burn.budget_left, MIN_DISPLAYED_BUDGET_LEFT):.0%}",
        format_time_left(burn.exhausted_in_days),
        f"{service.p99_ms:.0f}",
        "+".join(alert.removesuffix(" burn") for alert in burn.alerts) or "-",
    ]


def format_time_left(days: float) -> str:
    """Return the time until the budget is exhausted, in days or hours."""
    if math.isinf(days):
        return "ever"
    return f"{days:.1f} d" if days >= 1 else f"{days * 24:.1f} h"
