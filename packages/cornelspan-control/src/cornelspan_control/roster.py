"""The members of a data centre as kept in the store: one object, written on change.

Processes that know no living seed start from it, and so do relays that came up apart
from each other. The primary relay writes it, under the condition that it is the version
that this relay knows: one that was paused meanwhile fails, reads, and learns.
"""

import asyncio

import msgspec
from result import Err, Ok

from cornelspan_common.control import Announce, Membership
from cornelspan_common.logs import get_log
from cornelspan_common.settings import Checked
from cornelspan_common.store_errors import (
    ObjectMissing,
    VersionConflict,
)
from cornelspan_control.plane import Plane
from cornelspan_control.store import (
    NO_VERSION,
)

ROSTER_PREFIX = "members/"
READ_INTERVAL_SECONDS = 60.0
INITIAL_READ_SECONDS = 2.0

log = get_log(__name__)


class Roster(Checked, frozen=True, kw_only=True):
    """The members of one data centre, who wrote them, and under which epoch."""

    epoch: int
    writer: str
    members: tuple[Announce, ...]


class RosterPublisher:
    """What this relay knows of the objects that it writes, by data centre.

    ``writes`` counts the writes that took effect, ``conflicts`` those that another
    relay's write had overtaken.
    """

    def __init__(self, plane: Plane) -> None:
        self.plane = plane
        self.versions: dict[str, int] = {}
        self.written: dict[str, tuple[int, int]] = {}
        self.writes = 0
        self.conflicts = 0

    def _state(self, datacentre: str) -> tuple[int, int]:
        """Return what tells whether an object has to be written."""
        plane = self.plane
        return plane.epochs.get(datacentre, 0), plane.members.digest(datacentre)

    async def run(self) -> None:
        """Write each object that has changed while this daemon is its primary."""
        control = self.plane.settings.control
        while True:
            jitter = self.plane.store.random.uniform(0.5, 1.5)
            await asyncio.sleep(control.publish_seconds * jitter)
            for datacentre in self.plane.primary_datacentres():
                if self._state(datacentre) != self.written.get(datacentre):
                    await self._write(datacentre)

    async def _write(self, datacentre: str) -> None:
        plane = self.plane
        _state = self._state(datacentre)
        roster = Roster(
            epoch=_state[0],
            writer=plane.name,
            members=tuple(plane.members.of_datacentre(datacentre)),
        )
        name = ROSTER_PREFIX + datacentre
        version = self.versions.get(datacentre, NO_VERSION)
        put = await plane.store.put(name, msgspec.json.encode(roster), expected=version)
        match put:
            case Ok(written):
                self.versions[datacentre] = written
                self.written[datacentre] = _state
                self.writes += 1
            case Err(VersionConflict()):
                self.conflicts += 1
                await self._reload(datacentre)
            case Err(error):
                log.info("members not written", extra={"why": str(error)})

    async def _reload(self, datacentre: str) -> None:
        """Read what another relay wrote, or this one with an answer that was lost."""
        match await self.plane.store.get(ROSTER_PREFIX + datacentre):
            case Ok(found):
                self.versions[datacentre] = found.version
                apply_roster(self.plane, datacentre, found.value)
            case Err(ObjectMissing()):
                self.versions[datacentre] = NO_VERSION
            case Err(error):
                log.info("members not read", extra={"why": str(error)})


async def read_rosters(plane: Plane) -> None:
    """Learn of the other data centres now and then, while this daemon is a relay.

    A process that has met nobody reads them too. It waits a moment first: a seed tells
    the same without a call, and a restart of a whole site would bring two from each.
    """
    interval = INITIAL_READ_SECONDS
    while True:
        await asyncio.sleep(interval * plane.store.random.uniform(0.5, 1.5))
        interval = READ_INTERVAL_SECONDS
        if plane.is_relay:
            await _read_all(plane)
        elif len(plane.members.known) <= 1:
            interval = INITIAL_READ_SECONDS
            await _read_all(plane)


async def _read_all(plane: Plane) -> None:
    match await plane.store.list_objects(ROSTER_PREFIX):
        case Ok(listing):
            names = [name for name, _ in listing.objects]
        case Err(error):
            log.info("members not listed", extra={"why": str(error)})
            return
    for name in names:
        match await plane.store.get(name):
            case Ok(found):
                apply_roster(plane, name.removeprefix(ROSTER_PREFIX), found.value)
            case Err(error):
                log.info("members not read", extra={"why": str(error)})


def apply_roster(plane: Plane, datacentre: str, value: bytes) -> None:
    """Take in the members of an object; who died since is found out by its relays."""
    try:
        roster = msgspec.json.decode(value, type=Roster)
    except msgspec.DecodeError as error:
        log.warning("members refused", extra={"why": str(error)})
        return
    own = plane.announcement().service
    members = tuple(m for m in roster.members if not own or _is_relevant(plane, m))
    plane.apply_membership(Membership(datacentre, roster.epoch, members, ()))


def _is_relevant(plane: Plane, member: Announce) -> bool:
    """Whether an agent needs to know of a member."""
    if member.role == "balancer":
        return member.datacentre == plane.datacentre
    return member.service == plane.announcement().service
