"""Experiments: the simulation, the compared policies, sweeps and the command."""

import json
import logging
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from cornelspan_common.settings import load_settings
from cornelspan_standins.experiment import play
from cornelspan_standins.experiment_ablations import MECHANISMS
from cornelspan_standins.experiment_callers import Ending
from cornelspan_standins.experiment_figures import figures_of, windows_of
from cornelspan_standins.experiment_plan import ExperimentPlan, FaultPlan, PolicyPlan
from cornelspan_standins.experiment_sweep import vary

PLANS = Path(__file__).parent.parent / "experiments"


@pytest.fixture(autouse=True)
def quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture
def plan():
    found = load_settings(str(PLANS / "kiosk.json"), ExperimentPlan).unwrap()
    return msgspec.structs.replace(found, faults=(), seconds=6.0)


def replaced(plan, **values):
    return msgspec.structs.replace(plan, **values)


@pytest.mark.parametrize(
    "file", sorted(PLANS.glob("*.json")), ids=lambda each: each.stem
)
def test_plans_are_valid(file):
    assert load_settings(str(file), ExperimentPlan).is_ok()


def test_a_calm_day_is_served_on_time(plan):
    figures = figures_of(play(plan))
    assert figures.failed == 0
    assert figures.on_time > 0.99
    assert figures.recovery_seconds == 0


def test_a_seed_gives_the_same_outcome(plan):
    short = replaced(plan, seconds=2.0)
    assert play(short).asked == play(short).asked
    assert play(short).asked != play(replaced(short, seed=2)).asked


@pytest.mark.parametrize("load", [2.5, 3.0])
def test_orders_are_on_time_in_a_crowd_while_they_alone_fit(plan, load):
    """Orders are on time under overload while their load alone fits the endpoints.

    Arrivals exceed the capacity of all endpoints, and orders are a quarter of the load.
    The other requests get what is left.
    """
    figures = figures_of(play(replaced(plan, load=load)))
    assert figures.first >= 0.95


@pytest.mark.parametrize(
    ("order", "least"), [("due", 1.0), ("deadline", 1.2), ("age", 1.2), ("none", 1.1)]
)
def test_on_time_first_earns_more_in_a_crowd(plan, order, least):
    """Under overload, more answers are on time than with any simpler queue order.

    By age or by deadline, nearly every request waits until it is late. By due time,
    requests run that are already late. Without a queue, endpoints shed orders and feeds
    alike.
    """
    crowd = replaced(plan, load=2.5)
    figures = figures_of(play(crowd))
    baseline = figures_of(play(replaced(crowd, policy=PolicyPlan(order=order))))
    assert figures.worth > least * baseline.worth
    assert figures.first >= baseline.first - 0.01


def test_an_outage_is_over_within_a_second_of_the_power(plan):
    """Nine tenths of the earlier rate is answered a second after power is restored.

    All VMs lose power for 1.5 s, so no earlier flow survives.
    """
    outage = FaultPlan(kind="power", at=3.0, lasts=1.5)
    outcome = play(replaced(plan, faults=(outage,), seconds=8.0))
    assert figures_of(outcome).recovery_seconds <= 1.0
    last = windows_of(outcome)[-1]
    assert last.worth > 0.9


def test_flows_survive_a_restart_of_all_daemons(plan):
    """Answers may be late, but no request fails when all daemons restart.

    Every process of the system is killed at once, while the endpoints keep running.
    """
    kill = FaultPlan(kind="daemons", at=3.0, lasts=0.2)
    outcome = play(replaced(plan, faults=(kill,)))
    failed = [each for each in outcome.asked if each.ending is Ending.FAILED]
    assert not failed


@pytest.fixture
def slow_third():
    """Return a plan with a third of the endpoints eight times as slow for six seconds.

    Each booking has its own flow, and the endpoints have capacity for all arrivals.
    """
    found = load_settings(str(PLANS / "foil-press.json"), ExperimentPlan).unwrap()
    slow = FaultPlan(kind="slow", at=3.0, lasts=6.0, share=0.33, factor=8.0)
    return msgspec.structs.replace(found, faults=(slow,), seconds=10.0)


def test_bookings_are_on_time_while_a_third_of_the_endpoints_is_slow(slow_third):
    """Bookings are on time although some backend servers are eight times as slow.

    If flows were placed by the number of running requests alone, a slow endpoint would
    look as good as a healthy one.
    """
    figures = figures_of(play(slow_third))
    without_latency = PolicyPlan(without="paces")
    baseline = figures_of(play(replaced(slow_third, policy=without_latency)))
    assert figures.first >= 0.98
    assert figures.first > baseline.first


def test_no_system_does_better_than_the_ideal_one(plan):
    """The simulated ideal system earns more; its losses can't be avoided."""
    outage = FaultPlan(kind="power", at=3.0, lasts=1.0)
    crowd = replaced(plan, faults=(outage,), seconds=8.0)
    ideal = replaced(crowd, policy=PolicyPlan(ideal=True))
    assert figures_of(play(ideal)).worth > figures_of(play(crowd)).worth


@pytest.mark.parametrize("name", sorted(MECHANISMS))
def test_each_mechanism_can_be_taken_out_and_is_back_afterwards(plan, name):
    short = replaced(plan, seconds=1.0)
    before = play(short).asked
    played = play(replaced(short, policy=PolicyPlan(without=name)))
    assert played.asked
    assert play(short).asked == before


def test_values_vary_by_path(plan):
    variants = vary(
        plan, ["policy.order=on-time,age", "requests.0.per_second=10"]
    ).unwrap()
    assert [each.plan.policy.order for each in variants] == ["on-time", "age"]
    assert {each.plan.requests[0].per_second for each in variants} == {10.0}


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("load", "expected PATH=VALUE,VALUE"),
        ("policy.other=1", "there is no such setting"),
        ("requests.9.worth=1", "there is no such setting"),
        ("policy.order=fast", "Invalid enum value"),
        ("policy.without=everything", "policy.without"),
    ],
)
def test_a_variation_that_cannot_be_is_refused_with_its_reason(plan, text, reason):
    assert reason in str(vary(plan, [text]).unwrap_err())


def run_command(*arguments):
    return subprocess.run(
        [str(Path(sys.executable).with_name("cornelspan")), "experiment", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_command_prints_a_table_and_one_line_of_json(plan, tmp_path):
    file = tmp_path / "plan.json"
    file.write_bytes(msgspec.json.encode(replaced(plan, seconds=1.0)))
    plot = tmp_path / "plot.svg"
    completed = run_command(str(file), "--vary", "load=0.5,1", "--plot", str(plot))
    assert completed.returncode == 0, completed.stderr
    figures = json.loads(completed.stdout.splitlines()[-1])
    assert [each["load"] for each in figures] == ["0.5", "1"]
    assert plot.read_bytes().startswith(b"<?xml")


def test_the_command_names_what_is_wrong_with_a_plan(tmp_path):
    file = tmp_path / "plan.json"
    file.write_text('{"services": [], "requests": 3}')
    completed = run_command(str(file))
    assert completed.returncode == 2
    assert "$.requests" in completed.stderr
