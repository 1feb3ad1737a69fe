"""Generated pages are up to date, and the targets of links between pages exist."""

import ast
import re
import sys
from pathlib import Path

import pytest

from cornelspan_cli.settings_page import settings_page

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tools"))

from import_diagram import import_page  # noqa: E402

LINK = re.compile(r"\]\((?!https?:)([^)#\s]+)")
INLINE_CODE = re.compile(r"`[^`\n]*`")


def alarm_events():
    """Return the events that the packages log as warnings or errors."""
    modules = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/**/*.py")]
    for module in modules:
        for node in ast.walk(ast.parse(module.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if ast.unparse(node.func) in ("log.warning", "log.error"):
                yield from event_names(node.args[0])


def event_names(node):
    parts = [node.body, node.orelse] if isinstance(node, ast.IfExp) else [node]
    return [part.value.split(":")[0] for part in parts]


def test_every_alarm_is_on_the_operators_page():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    found = set(alarm_events())
    assert "burn alert ended" in found
    assert {event for event in found if f"`{event}`" not in page} == set()


def test_settings_page_is_up_to_date():
    assert (ROOT / "docs/SETTINGS.md").read_text() == settings_page()


def test_packages_page_is_up_to_date():
    assert (ROOT / "docs/PACKAGES.md").read_text() == import_page()


@pytest.mark.parametrize("page", sorted(ROOT.glob("docs/**/*.md")), ids=str)
def test_links_lead_somewhere(page):
    text = INLINE_CODE.sub("", page.read_text())
    links = LINK.findall(text)
    assert [link for link in links if not (page.parent / link).exists()] == []
