"""Base classes of the operator commands, and submission of configuration changes."""

import asyncio
import getpass
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated

import cappa
from result import Err, Ok

from cornelspan_cli._output import ExitCode, fail, show_json
from cornelspan_common.settings import ClientSettings, load_settings
from cornelspan_common.tls import Tls, open_tls
from cornelspan_control.changes import Change, accept
from cornelspan_control.fleet_status import read_fleet_status
from cornelspan_control.records import AcceptedChange
from cornelspan_control.store import StoreClient

DEFAULT_SETTINGS = "cornelspan.json"
POLL_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class OperatorCommand(ABC):
    """Base of the commands that connect to the store, with their common options."""

    settings: Annotated[
        str,
        cappa.Arg(
            long="--settings",
            default=cappa.Env("CORNELSPAN_SETTINGS", default=DEFAULT_SETTINGS),
            help="JSON settings file of this client, also set by CORNELSPAN_SETTINGS.",
        ),
    ] = DEFAULT_SETTINGS
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the result as JSON.")
    ] = False

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        return run_command(self, self.execute)

    @abstractmethod
    async def execute(self, session: "Session") -> int:
        """Run the body of the command and return its exit code."""


@dataclass(frozen=True, kw_only=True)
class ChangeCommand(OperatorCommand):
    """Base of the commands that change the configuration, with their options."""

    author: Annotated[
        str,
        cappa.Arg(
            long="--author",
            help="Author recorded with the change; by default the login name.",
        ),
    ] = ""
    wait: Annotated[
        bool,
        cappa.Arg(
            long="--wait",
            help="Wait until the change is in force on every daemon, exit 6 if not.",
        ),
    ] = False
    wait_seconds: Annotated[
        float, cappa.Arg(long="--wait-seconds", help="Timeout of --wait, in seconds.")
    ] = 15.0


@dataclass(frozen=True, slots=True)
class Session:
    """The store client and the settings that one command runs with."""

    client: StoreClient
    settings: ClientSettings


CommandBody = Callable[[Session], Awaitable[int]]


def run_command(options: OperatorCommand, execute: CommandBody) -> int:
    """Load the settings, run the body of a command and return the exit code.

    Returns:
        The exit code of the body, or the one for unusable settings or TLS files.
    """
    match load_settings(options.settings, ClientSettings):
        case Err(error):
            return fail(error)
        case Ok(settings):
            pass
    match open_tls(settings.tls):
        case Err(error):
            return fail(error)
        case Ok(tls):
            return asyncio.run(_run_with_client(settings, tls, execute))


async def _run_with_client(
    settings: ClientSettings, tls: Tls, execute: CommandBody
) -> int:
    client = StoreClient(settings.store, tls=tls.client)
    try:
        return await execute(Session(client, settings))
    finally:
        client.close()


def change_author(options: ChangeCommand) -> str:
    """Return the author to record with a change: the option, or the login name."""
    return options.author or getpass.getuser()


async def submit_change(
    session: Session, options: ChangeCommand, change: Change
) -> int:
    """Submit a change, print its revision, and wait if ``--wait`` is given.

    Returns:
        The exit code; an error is printed on standard error.
    """
    match await accept(session.client, change):
        case Err(error):
            return fail(error)
        case Ok(accepted):
            pass
    if options.json:
        show_json(accepted)
    else:
        print(f"accepted as revision {accepted.revision}, version {accepted.change}")
    if not options.wait:
        return ExitCode.SUCCESS
    return await _wait_until_in_force(session, options, accepted)


async def _wait_until_in_force(
    session: Session, options: ChangeCommand, accepted: AcceptedChange
) -> int:
    """Wait until the revision is in force on every daemon that a relay knows.

    After the timeout, the names of the daemons that are behind are printed.
    """
    deadline = time.monotonic() + options.wait_seconds
    revision = accepted.revision
    while True:
        fleet = await read_fleet_status(
            session.client, session.settings, name="cornelspan"
        )
        behind = fleet.members_behind(revision)
        if fleet.answers and not behind:
            print(f"in force on {len(fleet.members())} daemons")
            return ExitCode.SUCCESS
        if time.monotonic() > deadline:
            break
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    missing = (
        ", ".join(behind) if fleet.answers else "all daemons, since no relay answered"
    )
    fail(f"accepted, but revision {revision} is not yet in force on: {missing}")
    return ExitCode.NOT_IN_FORCE
