"""``cornelspan report`` shows the report as a table, as JSON and as an HTML page."""

import io
import json

import msgspec
from rich.console import Console

from cornelspan_cli.report import report_document, show_report
from cornelspan_cli.report_page import render_page
from cornelspan_control.burn import FAST
from cornelspan_control.reports import build_report
from test_reports import NOW, SNAPSHOT, burning_summary


def test_report_as_table_json_and_page():
    report = build_report([burning_summary()], SNAPSHOT, now=NOW)
    output = io.StringIO()
    show_report(report, Console(file=output, width=80))
    assert "fast+slow" in output.getvalue()
    assert "receipt-render" in output.getvalue()
    document = json.loads(msgspec.json.encode(report_document(report)))
    assert document["services"][0]["burn"]["1 h"] > FAST.rate
    assert document["services"][1]["exhausted_in_days"] is None
    page = render_page(report)
    assert page.count("data:image/png;base64,") == 2
