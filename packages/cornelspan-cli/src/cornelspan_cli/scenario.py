"""``cornelspan scenario``: run scenarios against a deployment on loopback."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok
from rich.console import Console

from cornelspan_common.logs import start_logging
from cornelspan_common.settings import LogSettings

NOT_INSTALLED = "cornelspan-standins is not installed; scenarios need it"


@cappa.command(name="run", help="Run scenarios; exit 1 if one fails.")
@dataclass(frozen=True)
class RunScenarios:
    """Run scenario files, or all files of a directory, one after another.

    Example: cornelspan scenario run scenarios --seed 3
    """

    paths: Annotated[list[Path], cappa.Arg(help="Scenario files or directories.")]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all random choices.")] = 1
    port: Annotated[
        int, cappa.Arg(long=True, help="First port of the deployment on loopback.")
    ] = 22100
    short: Annotated[
        bool, cappa.Arg(long=True, help="Run only scenarios marked 'ci'.")
    ] = False

    def __call__(self) -> int:
        """Run the scenarios; return 1 if one fails, 2 if one can't be parsed."""
        try:
            from cornelspan_standins import scenario_run
        except ImportError:
            print(NOT_INSTALLED, file=sys.stderr)
            return 2
        start_logging(LogSettings(level="ERROR"), process="scenario")
        match scenario_run.find_scenarios(self.paths):
            case Err(errors):
                print("\n".join(str(error) for error in errors), file=sys.stderr)
                return 2
            case Ok(scenarios):
                pass
        results = []
        for scenario in scenarios:
            if self.short and not scenario.short:
                continue
            print(f"running {scenario.file}", file=sys.stderr, flush=True)
            running = scenario_run.run_scenario(
                scenario, seed=self.seed, base_port=self.port
            )
            results.append(asyncio.run(running))
        scenario_run.show_results(results, Console())
        return 0 if all(result.ok for result in results) else 1


@cappa.command(name="scenario", help="Run scripted failures against a deployment.")
@dataclass(frozen=True)
class ScenarioCommand:
    """Run scenarios."""

    command: cappa.Subcommands[RunScenarios]
