"""``cornelspand``: the daemon's command line."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Annotated, Any, Literal, TypeVar

import cappa
from result import Err, Ok

from cornelspan_common.settings import (
    AgentSettings,
    BalancerSettings,
    Checked,
    DaemonSettings,
    load_settings,
)
from cornelspan_common.tls import Tls, open_tls
from cornelspan_daemon.running import run_agent, run_balancer
from cornelspan_passthrough.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
)

EXIT_BAD_SETTINGS = 2
Role = Literal["balancer", "agent", "passthrough-balancer", "passthrough-agent"]
SETTINGS_BY_ROLE: dict[str, type[Checked]] = {
    "balancer": BalancerSettings,
    "agent": AgentSettings,
    "passthrough-balancer": PassthroughBalancerSettings,
    "passthrough-agent": PassthroughAgentSettings,
}
DaemonType = TypeVar("DaemonType", bound=DaemonSettings)
SettingsFile = Annotated[
    str, cappa.Arg(long="--settings", help="Path of a JSON settings file.")
]


@cappa.command(name="balancer", help="Run a balancer on an entry VM.")
@dataclass(frozen=True)
class BalancerCommand:
    """Run a balancer.

    Example: cornelspand balancer --settings examples/balancer-1.json
    """

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until a signal asks for a stop."""
        match load_settings(self.settings, BalancerSettings):
            case Ok(settings):
                return run_with_tls(settings, run_balancer)
            case Err(error):
                return report_error(str(error))


@cappa.command(name="agent", help="Run an agent beside one backend server.")
@dataclass(frozen=True)
class AgentCommand:
    """Run an agent.

    Example: cornelspand agent --settings examples/order-hub-1.json
    """

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until a signal asks for a stop."""
        match load_settings(self.settings, AgentSettings):
            case Ok(settings):
                return run_with_tls(settings, run_agent)
            case Err(error):
                return report_error(str(error))


@cappa.command(name="check", help="Check a settings file; exit 2 if it is invalid.")
@dataclass(frozen=True)
class CheckCommand:
    """Check a settings file without running anything.

    Example: cornelspand check balancer --settings examples/balancer-1.json
    """

    role: Annotated[Role, cappa.Arg(help="The role that the settings are for.")]
    settings: SettingsFile

    def __call__(self) -> int:
        """Report the first invalid field."""
        match load_settings(self.settings, SETTINGS_BY_ROLE[self.role]):
            case Ok(_):
                print(f"{self.settings}: valid settings for role {self.role}")
                return 0
            case Err(error):
                return report_error(str(error))


@cappa.command(name="cornelspand", help="The daemons of cornelspan.")
@dataclass(frozen=True)
class DaemonCommand:
    """The daemon's commands."""

    command: cappa.Subcommands[BalancerCommand | AgentCommand | CheckCommand]


def run_with_tls(
    settings: DaemonType, run: Callable[[DaemonType, Tls], Coroutine[Any, Any, None]]
) -> int:
    """Load the TLS files that the settings name, and run a daemon with them."""
    match open_tls(settings.tls):
        case Ok(tls):
            asyncio.run(run(settings, tls))
            return 0
        case Err(error):
            return report_error(str(error))


def report_error(reason: str) -> int:
    """Print why the settings are invalid, and return the exit code."""
    print(reason, file=sys.stderr)
    return EXIT_BAD_SETTINGS


def main() -> None:
    """Entry point of the ``cornelspand`` binary."""
    sys.exit(cappa.invoke(DaemonCommand))
