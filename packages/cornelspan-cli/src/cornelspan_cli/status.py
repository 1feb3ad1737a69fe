"""``cornelspan status``: the revision and state of each daemon."""

from dataclasses import dataclass

import cappa
from result import Err, Ok

from cornelspan_cli._client import OperatorCommand, Session
from cornelspan_cli._output import ExitCode, fail, show_json, show_table
from cornelspan_common.control import MemberStatus
from cornelspan_control.fleet_status import FleetStatus, read_fleet_status
from cornelspan_control.records import read_head

COLUMNS = ("name", "role", "data centre", "service", "state", "revision", "behind")


@cappa.command(name="status", help="Show the revision and state of each daemon.")
@dataclass(frozen=True, kw_only=True)
class StatusCommand(OperatorCommand):
    """Show all daemons; exit 6 if one is behind the accepted revision.

    Example: cornelspan status --json
    """

    async def execute(self, session: Session) -> int:
        """Ask the relays for their members, and print them."""
        fleet = await read_fleet_status(
            session.client, session.settings, name="cornelspan"
        )
        warnings = list(fleet.warnings)
        accepted = fleet.revision
        match await read_head(session.client):
            case Ok((head, _)):
                accepted = max(accepted, head.revision)
            case Err(error):
                warnings.append(f"accepted revision unknown: {error}")
        if not fleet.answers:
            return fail(f"no relay answered; {'; '.join(warnings)}")
        behind = fleet.members_behind(accepted)
        if self.json:
            _print_json(fleet, accepted, warnings)
        else:
            _print_table(fleet, accepted, warnings)
        return ExitCode.NOT_IN_FORCE if behind else ExitCode.SUCCESS


def _print_json(fleet: FleetStatus, accepted: int, warnings: list[str]) -> None:
    daemons = [
        {
            "name": status.member.name,
            "role": status.member.role,
            "datacentre": status.member.datacentre,
            "service": status.member.service,
            "state": _member_state(status),
            "revision": status.revision,
            "behind": _revisions_behind(status, accepted),
            "silent_seconds": status.silent_seconds,
        }
        for status in fleet.members()
    ]
    show_json({"revision": accepted, "daemons": daemons, "warnings": warnings})


def _print_table(fleet: FleetStatus, accepted: int, warnings: list[str]) -> None:
    rows = [
        (
            status.member.name,
            status.member.role,
            status.member.datacentre,
            status.member.service,
            _member_state(status),
            status.revision,
            _revisions_behind(status, accepted),
        )
        for status in fleet.members()
    ]
    show_table(f"Daemons; accepted revision {accepted}", COLUMNS, rows)
    for warning in warnings:
        print(f"warning: {warning}")


def _member_state(status: MemberStatus) -> str:
    if status.member.leaving:
        return "leaving"
    return "unheard" if status.silent_seconds < 0 else "live"


def _revisions_behind(status: MemberStatus, accepted: int) -> int:
    """Return by how many revisions a daemon is behind the accepted one."""
    return max(0, accepted - max(0, status.revision))
