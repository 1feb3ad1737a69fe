"""``cornelspan``: the command line client for operators."""

import sys
from dataclasses import dataclass

import cappa

from cornelspan_cli.bench import BenchCommand
from cornelspan_cli.check import CheckCommand
from cornelspan_cli.demo import DemoCommand
from cornelspan_cli.experiment import ExperimentCommand
from cornelspan_cli.profiles import ProfileCommand
from cornelspan_cli.report import ReportCommand
from cornelspan_cli.scenario import ScenarioCommand
from cornelspan_cli.services import ServiceCommand
from cornelspan_cli.soak import SoakCommand
from cornelspan_cli.status import StatusCommand


@cappa.command(name="cornelspan", help="Operate a cornelspan deployment.")
@dataclass(frozen=True)
class CornelspanCommand:
    """Operate a cornelspan deployment, and test one on loopback."""

    command: cappa.Subcommands[
        ProfileCommand
        | ServiceCommand
        | StatusCommand
        | ReportCommand
        | CheckCommand
        | DemoCommand
        | BenchCommand
        | ExperimentCommand
        | ScenarioCommand
        | SoakCommand
    ]


def main() -> None:
    """Entry point of the ``cornelspan`` binary."""
    sys.exit(cappa.invoke(CornelspanCommand))
