"""``cornelspan service``: list, show and create services, and set their profile."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from result import Err, Ok, Result

from cornelspan_cli._client import (
    ChangeCommand,
    OperatorCommand,
    Session,
    change_author,
    submit_change,
)
from cornelspan_cli._output import ExitCode, fail, show_json, show_table
from cornelspan_control.changes import Invalid, NotFound, new_change
from cornelspan_control.configuration_reader import (
    CurrentVersion,
    read_current,
    read_snapshot,
)
from cornelspan_control.profiles import Service

ServiceName = Annotated[str, cappa.Arg(help="Name of the service.")]
ProfileName = Annotated[str, cappa.Arg(help="Name of the profile.")]


@cappa.command(name="list", help="List the services.")
@dataclass(frozen=True, kw_only=True)
class ListServices(OperatorCommand):
    """List services.

    Example: cornelspan service list
    """

    async def execute(self, session: Session) -> int:
        """Print the accepted services."""
        match await read_snapshot(session.client):
            case Err(error):
                return fail(error)
            case Ok(snapshot):
                pass
        if self.json:
            show_json(snapshot.services)
            return ExitCode.SUCCESS
        services = sorted(snapshot.services, key=lambda each: each.name)
        rows = [(each.name, each.address, each.profile) for each in services]
        title = f"Services at revision {snapshot.revision}"
        show_table(title, ("name", "address", "profile"), rows)
        return ExitCode.SUCCESS


@cappa.command(name="show", help="Show a service.")
@dataclass(frozen=True, kw_only=True)
class ShowService(OperatorCommand):
    """Show a service.

    Example: cornelspan service show order-hub --json
    """

    name: ServiceName

    async def execute(self, session: Session) -> int:
        """Print the version in force."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                version = current.version
        if self.json:
            show_json({"version": version.change, "service": version.service})
            return ExitCode.SUCCESS
        rows = list(msgspec.to_builtins(version.service).items())
        title = f"Service {self.name}, version {version.change} by {version.author}"
        show_table(title, ("field", "value"), rows)
        return ExitCode.SUCCESS


@cappa.command(name="use", help="Set the profile of a service.")
@dataclass(frozen=True, kw_only=True)
class UseProfile(ChangeCommand):
    """Set the profile of a service.

    Example: cornelspan service use order-hub orders --wait
    """

    name: ServiceName
    profile: ProfileName

    async def execute(self, session: Session) -> int:
        """Submit the service with its new profile."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                pass
        service = msgspec.structs.replace(current.version.service, profile=self.profile)
        change = new_change(
            "services",
            self.name,
            service,
            author=change_author(self),
            base=current.base,
            min_version=current.min_version,
        )
        return await submit_change(session, self, change)


@cappa.command(
    name="create", help="Create a service; its address can't be changed later."
)
@dataclass(frozen=True, kw_only=True)
class CreateService(ChangeCommand):
    """Create a service.

    Example: cornelspan service create order-hub 10.0.0.1:443 orders
    """

    name: ServiceName
    address: Annotated[str, cappa.Arg(help="IP:PORT that callers connect to.")]
    profile: ProfileName

    async def execute(self, session: Session) -> int:
        """Validate and submit the new service."""
        values = {"name": self.name, "address": self.address, "profile": self.profile}
        try:
            service = msgspec.convert(values, Service)
        except msgspec.ValidationError as error:
            return fail(Invalid(str(error)))
        change = new_change(
            "services", self.name, service, author=change_author(self), base=""
        )
        return await submit_change(session, self, change)


@cappa.command(
    name="service", help="Show and change services, their addresses and profiles."
)
@dataclass(frozen=True)
class ServiceCommand:
    """Show and change services."""

    command: cappa.Subcommands[ListServices | ShowService | UseProfile | CreateService]


async def _read_existing(session: Session, name: str) -> Result[CurrentVersion, object]:
    """Return the version in force, or ``NotFound`` if there is none."""
    match await read_current(session.client, "services", name):
        case Ok(CurrentVersion(version=None)):
            return Err(NotFound("services", name))
        case current:
            return current
