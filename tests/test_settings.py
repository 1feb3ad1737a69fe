"""Invalid settings are errors that name the field."""

import json

import pytest

from cornelspan_common.settings import (
    AgentSettings,
    BalancerSettings,
    decode_settings,
    load_settings,
)

GOOD = {
    "name": "entry-1",
    "datacentre": "chuo-hall",
    "listen": {"host": "127.0.0.1", "port": 18001},
    "store": {"address": {"host": "127.0.0.1", "port": 18000}},
    "fabrics": [{"host": "127.0.0.1", "port": 18002}],
}


def test_good_settings_decode():
    settings = decode_settings(json.dumps(GOOD).encode(), BalancerSettings).unwrap()
    assert str(settings.listen) == "127.0.0.1:18001"


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"colour": "red"}, "$"),
        ({"name": "Entry 1"}, "$.name"),
        ({"listen": {"host": "127.0.0.1", "port": 70000}}, "$.listen.port"),
        ({"listen": {"host": "localhost", "port": 1}}, "$.listen"),
        ({"fabrics": [{"host": "127.0.0.1", "port": "x"}]}, "$.fabrics[0].port"),
    ],
)
def test_error_names_the_field(change, path):
    text = json.dumps(GOOD | change).encode()
    assert decode_settings(text, BalancerSettings).unwrap_err().path == path


def test_agent_needs_its_service():
    error = decode_settings(json.dumps(GOOD).encode(), AgentSettings).unwrap_err()
    assert "service" in error.reason


def test_missing_file_is_an_error_value(tmp_path):
    error = load_settings(str(tmp_path / "none.json"), AgentSettings).unwrap_err()
    assert "No such file" in error.reason
