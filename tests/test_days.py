"""The days added to the users' hunts."""

import tomllib
from pathlib import Path

import pytest

DAYS = Path(__file__).parent.parent / "deploy" / "days"
FILES = sorted(DAYS.glob("*.toml"))
ANY_DEPLOYMENT = {"zone": "@z0", "service": "@s0", "class": "@c0"}


def days_of(file):
    return tomllib.loads(file.read_text())["day"]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_day_is_told_and_fits_any_deployment(file):
    (day,) = days_of(file)
    assert day["name"] == file.stem
    assert f"`{file.stem}`" in (DAYS / "README.md").read_text()
    assert day["faults"]
    for each in (*day["faults"], *day.get("plan", [])):
        assert "kind" in each
        for field, name in ANY_DEPLOYMENT.items():
            assert each.get(field, name) == name
