"""``cornelspan experiment``: simulate a deployment and compare policies."""

import logging
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok
from rich.console import Console

from cornelspan_common.settings import load_settings

NOT_INSTALLED = "cornelspan-standins is not installed; experiments need it"


@cappa.command(name="experiment", help="Simulate a deployment in virtual time.")
@dataclass(frozen=True)
class ExperimentCommand:
    """Simulate a plan with the daemons' own decision code, and print the figures.

    The output is a table and then one line of JSON.

    Example: cornelspan experiment experiments/kiosk.json --vary load=1,1.5,2
    """

    file: Annotated[Path, cappa.Arg(help="Plan of the experiment, a JSON file.")]
    vary: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="Values for a setting of the plan, PATH=VALUE,VALUE. "
            "If repeated, all combinations are run.",
        ),
    ] = field(default_factory=list)
    seeds: Annotated[
        int, cappa.Arg(long=True, help="Number of seeds for each variant.")
    ] = 1
    plot: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help="Write a plot over time to this file; its suffix selects the format.",
        ),
    ] = None

    def __call__(self) -> int:
        """Run all variants and return 0, or 2 for an invalid plan or variation."""
        try:
            from cornelspan_standins import experiment_plan, experiment_sweep
        except ImportError:
            return _fail_usage(NOT_INSTALLED)
        if self.seeds < 1:
            return _fail_usage("--seeds must be at least 1")
        match load_settings(str(self.file), experiment_plan.ExperimentPlan):
            case Ok(plan):
                pass
            case Err(error):
                return _fail_usage(error)
        match experiment_sweep.vary(plan, self.vary):
            case Ok(variants):
                pass
            case Err(error):
                return _fail_usage(error)
        # The simulated daemons would log thousands of lines per virtual second.
        logging.disable(logging.CRITICAL)
        runs = list(experiment_sweep.run_variants(variants, self.seeds))
        experiment_sweep.show_runs(runs, Console())
        if self.plot is not None:
            from cornelspan_cli.experiment_plot import write_plot

            write_plot(runs, self.plot)
        return 0


def _fail_usage(reason: object) -> int:
    print(f"cornelspan: {reason}", file=sys.stderr)
    return 2
