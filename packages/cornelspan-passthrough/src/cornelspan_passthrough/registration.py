"""Registers a daemon in the platform's store."""

from result import Err, Ok

from cornelspan_common.logs import get_log
from cornelspan_passthrough.members import Member
from cornelspan_passthrough.store import Backoff, PlatformStore

log = get_log(__name__)


async def register_member(
    store: PlatformStore, member: Member, backoff: Backoff
) -> None:
    """Write a member's entry, retrying until the store has accepted it."""
    while True:
        match await store.put_member(member):
            case Ok(_):
                log.info("registered", extra={"address": member.address})
                return
            case Err(error):
                log.warning("registration failed", extra={"reason": str(error)})
                await backoff.wait()
