"""The status of a daemon and its data centre, for operators."""

import time

from cornelspan_common.control import MemberStatus, Status
from cornelspan_control.plane import Plane

STORE_SILENT_SECONDS = 30.0
NEVER = -1.0
NEVER_REPORTED = -1


def status_of(plane: Plane) -> Status:
    """Return the status of a daemon and the members of its data centres.

    These are its own data centre and those whose primary relay it is.
    """
    now = time.monotonic()
    centres = sorted({plane.datacentre, *plane.datacentres_as_primary()})
    members = [m for each in centres for m in plane.members.of_datacentre(each)]
    return Status(
        name=plane.name,
        datacentre=plane.datacentre,
        relays=tuple(plane.relays()),
        epoch=plane.epoch,
        revision=plane.configuration.revision,
        store_silent_seconds=_seconds_since(plane.last_store_read, now),
        members=tuple(_member_status(plane, member.name, now) for member in members),
        warnings=tuple(_warnings(plane, now)),
    )


def _member_status(plane: Plane, name: str, now: float) -> MemberStatus:
    member = plane.members.known[name]
    if name == plane.name:
        return MemberStatus(member, plane.configuration.revision, 0.0)
    heartbeat = plane.last_heartbeats.get(name)
    current = heartbeat is not None and heartbeat.incarnation == member.incarnation
    last_heard = plane.last_heard.get(name, 0.0)
    return MemberStatus(
        member,
        heartbeat.revision if current else NEVER_REPORTED,
        _seconds_since(last_heard, now),
    )


def _warnings(plane: Plane, now: float) -> list[str]:
    warnings = []
    silent = _seconds_since(plane.last_store_read, now)
    if plane.is_relay and silent == NEVER:
        warnings.append("the store was never reached")
    elif plane.is_relay and silent > STORE_SILENT_SECONDS:
        warnings.append(f"the store is silent for {silent:.0f} s")
    if plane.configuration.revision == 0:
        warnings.append("no configuration is in force")
    if plane.false_removals:
        warnings.append(f"{plane.name} was taken for dead {plane.false_removals} times")
    warnings += [f"relay {name} can't be heard" for name in sorted(plane.silent_relays)]
    return warnings


def _seconds_since(moment: float, now: float) -> float:
    return round(now - moment, 3) if moment else NEVER
