"""``python -m cornelspan_standins``: one stand-in as a process of its own.

    python -m cornelspan_standins fabric --settings examples/fabric.json

Each runs until SIGTERM or SIGINT. docs/PROCESSES.md starts a whole deployment so.
"""

import asyncio
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import cappa
from result import Err, Ok

from cornelspan_common.logs import start_logging
from cornelspan_common.settings import Checked, LogSettings, load_settings
from cornelspan_daemon.main import SettingsFile, report_error
from cornelspan_daemon.running import stop_event
from cornelspan_standins.examples import write_examples
from cornelspan_standins.fabric import FabricSettings, fabric
from cornelspan_standins.journal import Journal
from cornelspan_standins.objects import StoreStandinSettings, object_store
from cornelspan_standins.servers import ServerSettings, backend_server

SettingsType = TypeVar("SettingsType", bound=Checked)
Context = AbstractAsyncContextManager[Any]


@cappa.command(name="store", help="Run a stand-in for the platform's object store.")
@dataclass(frozen=True)
class StoreCommand:
    """Run an object store that keeps all in memory.

    Example: python -m cornelspan_standins store --settings examples/store.json
    """

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until a signal asks for a stop."""
        return run_standin(
            self.settings,
            StoreStandinSettings,
            lambda settings: object_store(settings.listen, seed=settings.seed),
        )


@cappa.command(name="fabric", help="Run a stand-in for the users' fabric.")
@dataclass(frozen=True)
class FabricCommand:
    """Run a fabric.

    Example: python -m cornelspan_standins fabric --settings examples/fabric.json
    """

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until a signal asks for a stop."""
        return run_standin(self.settings, FabricSettings, fabric)


@cappa.command(name="server", help="Run a stand-in for a backend server.")
@dataclass(frozen=True)
class ServerCommand:
    """Run a backend server.

    Example: python -m cornelspan_standins server --settings order-hub-1-server.json
    """

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until a signal asks for a stop."""
        return run_standin(
            self.settings,
            ServerSettings,
            lambda settings: backend_server(settings, Journal()),
        )


@cappa.command(name="examples", help="Write the example settings files.")
@dataclass(frozen=True)
class ExamplesCommand:
    """Write the settings files of a small deployment.

    Example: python -m cornelspan_standins examples examples
    """

    directory: Annotated[Path, cappa.Arg(help="Where the files go.")]

    def __call__(self) -> int:
        """Write the files."""
        write_examples(self.directory)
        return 0


@cappa.command(name="cornelspan_standins", help="Stand-ins as processes.")
@dataclass(frozen=True)
class Root:
    """The commands."""

    command: cappa.Subcommands[
        StoreCommand | FabricCommand | ServerCommand | ExamplesCommand
    ]


def run_standin(
    file: str, kind: type[SettingsType], open_standin: Callable[[SettingsType], Context]
) -> int:
    """Load a stand-in's settings, and run it until a signal asks for a stop.

    Returns:
        The exit code: 0 after an orderly stop, 2 when the settings are refused.
    """
    match load_settings(file, kind):
        case Ok(settings):
            asyncio.run(_run(settings, open_standin))
            return 0
        case Err(error):
            return report_error(str(error))


async def _run(
    settings: SettingsType, open_standin: Callable[[SettingsType], Context]
) -> None:
    start_logging(LogSettings(), process=settings.name)
    with stop_event() as stop:
        async with open_standin(settings):
            await stop.wait()


if __name__ == "__main__":
    sys.exit(cappa.invoke(Root))
