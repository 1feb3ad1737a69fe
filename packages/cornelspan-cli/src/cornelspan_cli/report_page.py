"""The report as one HTML page with embedded plots."""

import base64
import io
from datetime import UTC, datetime

import jinja2
import matplotlib
from matplotlib.figure import Figure

from cornelspan_control.burn import (
    RULES,
    WINDOWS,
    Bucket,
    Totals,
    burn_rate,
)
from cornelspan_control.reports import Report, ServiceReport

matplotlib.use("Agg")

PLOTTED_HOURS = 72
FIGURE_INCHES = (7.0, 2.2)
DOTS_PER_INCH = 90


def render_page(report: Report) -> str:
    """Return the report as an HTML page that loads no other files."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("cornelspan_cli"), autoescape=True
    )
    return environment.get_template("report.html").render(
        report=report,
        windows=WINDOWS,
        plots={each.burn.service: burn_plot(each) for each in report.services},
        moment=datetime.fromtimestamp(report.minute * 60, UTC),
    )


def burn_plot(service: ServiceReport) -> str:
    """Return a plot of a service's hourly burn rate as a PNG image in base64.

    Horizontal lines mark the thresholds of the alert rules.
    """
    hours = service.series.hours[-PLOTTED_HOURS:]
    figure = Figure(figsize=FIGURE_INCHES)
    axes = figure.subplots()
    times = [datetime.fromtimestamp(bucket.number * 3600, UTC) for bucket in hours]
    axes.plot(
        times, [_hourly_burn_rate(bucket, service) for bucket in hours], marker="."
    )
    for rule in RULES:
        axes.axhline(rule.rate, linestyle="--", linewidth=0.7, label=rule.name)
    axes.set_ylabel("burn rate")
    axes.legend(fontsize="small")
    figure.autofmt_xdate()
    image = io.BytesIO()
    figure.savefig(image, format="png", dpi=DOTS_PER_INCH, bbox_inches="tight")
    return base64.b64encode(image.getvalue()).decode()


def _hourly_burn_rate(bucket: Bucket, service: ServiceReport) -> float:
    return burn_rate(Totals(bucket.good, bucket.bad), service.burn.objective)
