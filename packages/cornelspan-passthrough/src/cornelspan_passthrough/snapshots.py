"""What a balancer tells a peer that can't reach the store."""

import msgspec

from cornelspan_common.logs import get_log
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.configuration import Configuration
from cornelspan_passthrough.following import members_are, take_configuration
from cornelspan_passthrough.members import Member

SNAPSHOT_PATH = "/snapshot"

log = get_log(__name__)


class Snapshot(msgspec.Struct, frozen=True):
    """Configuration and members that a balancer knows; ``is_whole`` if it has read
    them all.
    """

    configuration: Configuration | None
    members: tuple[Member, ...]
    is_whole: bool


def encode_snapshot(balancer: Balancer) -> bytes:
    """Return what a balancer knows, for a peer."""
    members = tuple(balancer.members.all())
    snapshot = Snapshot(
        balancer.routes.configuration, members, balancer.members.is_complete
    )
    return msgspec.msgpack.encode(snapshot)


def take_snapshot(balancer: Balancer, body: bytes, peer: str, now: float) -> None:
    """Take in what a peer knows, where it is newer."""
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        log.warning("broken snapshot", extra={"peer": peer, "reason": str(error)})
        return
    take_configuration(balancer, snapshot.configuration, peer)
    if balancer.members.revision:
        return
    balancer.members.is_complete = balancer.members.is_complete or snapshot.is_whole
    news = [balancer.members.add_announced(member) for member in snapshot.members]
    if any(news):
        members_are(balancer, now)
