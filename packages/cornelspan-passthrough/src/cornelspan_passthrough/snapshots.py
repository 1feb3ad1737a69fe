"""Snapshots of configuration and members that a balancer serves to its peers."""

import msgspec

from cornelspan_common.logs import get_log
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.configuration import Configuration
from cornelspan_passthrough.following import (
    apply_configuration,
    recompute_and_log_members,
)
from cornelspan_passthrough.members import Member

SNAPSHOT_PATH = "/snapshot"

log = get_log(__name__)


class Snapshot(msgspec.Struct, frozen=True):
    """Configuration and members known to a balancer.

    ``is_whole`` says that the balancer knows all members.
    """

    configuration: Configuration | None
    members: tuple[Member, ...]
    is_whole: bool


def encode_snapshot(balancer: Balancer) -> bytes:
    """Return this balancer's snapshot, encoded for a peer."""
    members = tuple(balancer.members.all())
    snapshot = Snapshot(
        balancer.routes.configuration, members, balancer.members.is_complete
    )
    return msgspec.msgpack.encode(snapshot)


def apply_snapshot(balancer: Balancer, body: bytes, peer: str, now: float) -> None:
    """Apply a peer's configuration if it is newer, and add its members.

    The members are added only while this balancer has not read them from the store.
    """
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        log.warning("invalid snapshot", extra={"peer": peer, "reason": str(error)})
        return
    apply_configuration(balancer, snapshot.configuration, peer)
    if balancer.members.revision:
        return
    balancer.members.is_complete = balancer.members.is_complete or snapshot.is_whole
    has_changed = [
        balancer.members.add_announced(member) for member in snapshot.members
    ]
    if any(has_changed):
        recompute_and_log_members(balancer, now)
