"""``cornelspan profile``: list, show, edit, set, diff, history, revert and delete."""

from dataclasses import dataclass
from datetime import UTC, datetime
from difflib import unified_diff
from typing import Annotated

import cappa
from result import Err, Ok, Result

from cornelspan_cli._client import (
    ChangeCommand,
    OperatorCommand,
    Session,
    change_author,
    submit_change,
)
from cornelspan_cli._fields import (
    changed_fields,
    profile_fields,
    profile_lines,
    read_profile,
    set_fields,
)
from cornelspan_cli._output import ExitCode, fail, show_json, show_table
from cornelspan_control.changes import Invalid, NotFound, new_change
from cornelspan_control.configuration_reader import (
    CurrentVersion,
    read_current,
    read_history,
    read_snapshot,
)
from cornelspan_control.profiles import Profile
from cornelspan_control.records import Version, read_version

HISTORY_LIMIT = 50
ProfileName = Annotated[str, cappa.Arg(help="Name of the profile.")]


@cappa.command(name="list", help="List the profiles and the services that use them.")
@dataclass(frozen=True, kw_only=True)
class ListProfiles(OperatorCommand):
    """List profiles.

    Example: cornelspan profile list --json
    """

    async def execute(self, session: Session) -> int:
        """Print the accepted profiles."""
        match await read_snapshot(session.client):
            case Err(error):
                return fail(error)
            case Ok(snapshot):
                pass
        if self.json:
            show_json(snapshot.profiles)
            return ExitCode.SUCCESS
        users: dict[str, list[str]] = {}
        for service in snapshot.services:
            users.setdefault(service.profile, []).append(service.name)
        rows = [
            (p.name, p.kind, p.priority, ", ".join(users.get(p.name, [])))
            for p in sorted(snapshot.profiles, key=lambda each: each.name)
        ]
        title = f"Profiles at revision {snapshot.revision}"
        show_table(title, ("name", "kind", "priority", "used by"), rows)
        return ExitCode.SUCCESS


@cappa.command(name="show", help="Show the path and value of each field of a profile.")
@dataclass(frozen=True, kw_only=True)
class ShowProfile(OperatorCommand):
    """Show a profile.

    Example: cornelspan profile show orders
    """

    name: ProfileName

    async def execute(self, session: Session) -> int:
        """Print the version in force."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                version = current.version
        if self.json:
            show_json({"version": version.change, "profile": version.profile})
            return ExitCode.SUCCESS
        title = f"Profile {self.name}, version {version.change} by {version.author}"
        show_table(title, ("field", "value"), profile_fields(version.profile))
        return ExitCode.SUCCESS


@cappa.command(name="edit", help="Create or replace a profile from a JSON file.")
@dataclass(frozen=True, kw_only=True)
class EditProfile(ChangeCommand):
    """Create or replace a profile.

    Example: cornelspan profile edit orders --file orders.json --base 3f2a
    """

    name: ProfileName
    file: Annotated[
        str, cappa.Arg(long="--file", help="JSON file, - for standard input.")
    ]
    base: Annotated[
        str,
        cappa.Arg(
            long="--base",
            help="Version that the edit is based on; exit 3 if another is in force. "
            "By default the one in force.",
        ),
    ] = ""

    async def execute(self, session: Session) -> int:
        """Submit the content of the file."""
        match read_profile(self.file, self.name):
            case Err(error):
                return fail(error)
            case Ok(profile):
                pass
        match await read_current(session.client, "profiles", self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                return await _submit(session, self, current, profile, base=self.base)


@cappa.command(name="set", help="Change single fields of a profile.")
@dataclass(frozen=True, kw_only=True)
class SetProfile(ChangeCommand):
    """Change single fields of a profile, named by their paths.

    Example: cornelspan profile set orders priority=1 requests.queue=128 --wait
    """

    name: ProfileName
    fields: Annotated[list[str], cappa.Arg(help="One or more of PATH=VALUE.")]

    async def execute(self, session: Session) -> int:
        """Submit the changed profile."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                pass
        match set_fields(current.version.profile, self.fields):
            case Err(error):
                return fail(error)
            case Ok(profile):
                return await _submit(session, self, current, profile)


@cappa.command(name="diff", help="Compare a profile with an earlier version.")
@dataclass(frozen=True, kw_only=True)
class DiffProfile(OperatorCommand):
    """Compare the version in force with an earlier one, by default the previous.

    Example: cornelspan profile diff orders 3f2a90
    """

    name: ProfileName
    version: Annotated[
        str, cappa.Arg(help="Earlier version, or the start of its id.")
    ] = ""

    async def execute(self, session: Session) -> int:
        """Print the fields that differ."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                newest = current.version
        match await _find_earlier(session, self.name, newest, self.version):
            case Err(error):
                return fail(error)
            case Ok(older):
                pass
        before, after = profile_lines(older.profile), profile_lines(newest.profile)
        if self.json:
            changed = {"from": older.change, "to": newest.change}
            show_json({**changed, "changed": changed_fields(older, newest)})
            return ExitCode.SUCCESS
        for line in unified_diff(
            before, after, older.change, newest.change, lineterm="", n=0
        ):
            print(line)
        return ExitCode.SUCCESS


@cappa.command(name="history", help="List the versions of a profile, newest first.")
@dataclass(frozen=True, kw_only=True)
class ProfileHistory(OperatorCommand):
    """List the versions of a profile.

    Example: cornelspan profile history orders
    """

    name: ProfileName
    limit: Annotated[
        int, cappa.Arg(long="--limit", help="Maximum number of versions, at most 50.")
    ] = 20

    async def execute(self, session: Session) -> int:
        """Print the author and time of each version."""
        limit = min(self.limit, HISTORY_LIMIT)
        match await read_history(session.client, "profiles", self.name, limit=limit):
            case Err(error):
                return fail(error)
            case Ok([]):
                return fail(NotFound("profiles", self.name))
            case Ok(versions):
                pass
        if self.json:
            show_json(versions)
            return ExitCode.SUCCESS
        rows = [(v.change, _format_time(v.at), v.author) for v in versions]
        show_table(f"Versions of {self.name}", ("version", "at", "by"), rows)
        return ExitCode.SUCCESS


@cappa.command(name="revert", help="Restore an earlier version as a new change.")
@dataclass(frozen=True, kw_only=True)
class RevertProfile(ChangeCommand):
    """Restore an earlier version.

    Example: cornelspan profile revert orders 3f2a90
    """

    name: ProfileName
    version: Annotated[
        str, cappa.Arg(help="Version to restore, or the start of its id.")
    ]

    async def execute(self, session: Session) -> int:
        """Submit the content of the earlier version as a new change."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                pass
        match await _find_earlier(session, self.name, current.version, self.version):
            case Err(error):
                return fail(error)
            case Ok(older):
                return await _submit(session, self, current, older.profile)


@cappa.command(name="delete", help="Delete a profile that no service uses.")
@dataclass(frozen=True, kw_only=True)
class DeleteProfile(ChangeCommand):
    """Delete a profile.

    Example: cornelspan profile delete documents
    """

    name: ProfileName

    async def execute(self, session: Session) -> int:
        """Submit the deletion."""
        match await _read_existing(session, self.name):
            case Err(error):
                return fail(error)
            case Ok(current):
                return await _submit(session, self, current, None)


@cappa.command(
    name="profile", help="Show and change profiles, the settings for a kind of traffic."
)
@dataclass(frozen=True)
class ProfileCommand:
    """Show and change profiles."""

    command: cappa.Subcommands[
        ListProfiles
        | ShowProfile
        | EditProfile
        | SetProfile
        | DiffProfile
        | ProfileHistory
        | RevertProfile
        | DeleteProfile
    ]


async def _read_existing(session: Session, name: str) -> Result[CurrentVersion, object]:
    """Return the version in force, or ``NotFound`` if there is none."""
    match await read_current(session.client, "profiles", name):
        case Ok(CurrentVersion(version=None)):
            return Err(NotFound("profiles", name))
        case current:
            return current


async def _find_earlier(
    session: Session, name: str, newest: Version, prefix: str
) -> Result[Version, object]:
    """Return the earlier version whose id starts with a prefix.

    An empty prefix selects the version before the newest.
    """
    matches = [each for each in newest.ancestors if each.startswith(prefix)]
    if not matches or (prefix and len(matches) > 1):
        return Err(Invalid(f"{name} has no unique earlier version {prefix}".rstrip()))
    return await read_version(session.client, "profiles", name, matches[0])


async def _submit(
    session: Session,
    options: ChangeCommand,
    current: CurrentVersion,
    profile: Profile | None,
    *,
    base: str = "",
) -> int:
    """Submit a profile based on the current version; None deletes it."""
    change = new_change(
        "profiles",
        options.name,
        profile,
        author=change_author(options),
        base=base or current.base,
        min_version=current.min_version,
    )
    return await submit_change(session, options, change)


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
