"""Running scenarios, one or a directory, and the table of their results."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

from cornelspan_standins.deployment import PLANS
from cornelspan_standins.scenario_stage import stage, stage_plan
from cornelspan_standins.scenario_steps import ACTS, check_step
from cornelspan_standins.scenario_types import (
    Position,
    Scenario,
    ScenarioError,
    StepError,
)
from cornelspan_standins.scenarios import load_scenario

SUFFIX = "*.scenario"
BASE_PORT = 22100


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """The verdict on one scenario; ``error`` is None if all held."""

    scenario: Scenario
    error: ScenarioError | None
    seconds: float

    @property
    def ok(self) -> bool:
        """Whether all expectations held."""
        return self.error is None


def check_scenario(scenario: Scenario, *, seed: int = 1) -> ScenarioError | None:
    """Return what is wrong with a scenario before it is run, if anything is."""
    start = Position(1, 1)
    if scenario.deployment not in PLANS:
        known = ", ".join(PLANS)
        reason = f"no deployment {scenario.deployment!r}; there are: {known}"
        return ScenarioError(scenario.file, start, reason)
    try:
        plan = stage_plan(scenario, seed=seed, base_port=BASE_PORT)
        for step in scenario.steps:
            check_step(plan, step)
    except StepError as error:
        return ScenarioError(scenario.file, error.position, error.reason)
    except (msgspec.ValidationError, TypeError) as error:
        return ScenarioError(scenario.file, start, str(error))
    return None


async def run_scenario(
    scenario: Scenario, *, seed: int, base_port: int = BASE_PORT
) -> ScenarioResult:
    """Run one scenario on a deployment of its own.

    Args:
        scenario: What to run.
        seed: Seed of all random choices.
        base_port: First port of the deployment.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    error = check_scenario(scenario, seed=seed)
    if error is None:
        error = await _run_steps(scenario, seed=seed, base_port=base_port)
    return ScenarioResult(scenario, error, loop.time() - started)


async def _run_steps(
    scenario: Scenario, *, seed: int, base_port: int
) -> ScenarioError | None:
    async with stage(scenario, seed=seed, base_port=base_port) as running:
        try:
            for step in scenario.steps:
                await ACTS[type(step)](running, step)
        except StepError as error:
            return ScenarioError(scenario.file, error.position, error.reason)
    return None


def find_scenarios(
    paths: Iterable[Path],
) -> Result[list[Scenario], list[ScenarioError]]:
    """Parse and check files and all scenario files in directories.

    Returns:
        The scenarios in order of their names, or all errors found.
    """
    files = [file for path in paths for file in _files(path)]
    scenarios, errors = [], []
    for file in files:
        match load_scenario(file):
            case Err(error):
                errors.append(error)
            case Ok(scenario):
                refused = check_scenario(scenario)
                errors += [refused] if refused else []
                scenarios.append(scenario)
    return Err(errors) if errors else Ok(scenarios)


def _files(path: Path) -> list[Path]:
    return sorted(path.glob(SUFFIX)) if path.is_dir() else [path]


def show_results(results: list[ScenarioResult], console: Console) -> None:
    """Print the table of results, errors below it, then one line of JSON."""
    table = Table("scenario", "covers", "verdict", "seconds", title="Scenarios")
    for result in results:
        verdict = "holds" if result.ok else "FAILS"
        covers = ", ".join(result.scenario.covers)
        name = Path(result.scenario.file).stem
        table.add_row(name, covers, verdict, f"{result.seconds:.1f}")
    console.print(table)
    for result in results:
        if result.error is not None:
            console.print(str(result.error), highlight=False, markup=False)
    failed = sum(not result.ok for result in results)
    summary = {"scenarios": len(results), "failed": failed}
    print(msgspec.json.encode(summary).decode(), file=console.file)
