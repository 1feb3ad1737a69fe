"""Log lines are JSON objects, whatever values are logged."""

import json
import logging
from ipaddress import IPv4Address

import pytest

from cornelspan_common.logs import JsonLines


def line_of(text="flow placed", *arguments, error=None, **fields):
    record = logging.LogRecord("part", logging.INFO, "file", 1, text, arguments, error)
    vars(record).update(fields)
    return json.loads(JsonLines("vm-1").format(record))


def test_a_line_tells_when_who_what_and_the_fields():
    line = line_of("agent %s", "lost", flow=17, refused=None)
    assert line.pop("time")
    assert line == {
        "level": "INFO",
        "logger": "part",
        "message": "agent lost",
        "process": "vm-1",
        "flow": 17,
        "refused": None,
    }


def test_a_trace_is_part_of_its_line():
    try:
        raise ValueError("odd")
    except ValueError as error:
        caught = (type(error), error, error.__traceback__)
    assert "ValueError: odd" in line_of(error=caught)["exc_info"]


@pytest.mark.parametrize(
    "value",
    [IPv4Address("10.1.0.1"), {1, 2}, object(), b"x", "\ud800", 1 << 80, {(): 1}],
)
def test_no_field_costs_the_line(value):
    assert "odd" in line_of(odd=value)
