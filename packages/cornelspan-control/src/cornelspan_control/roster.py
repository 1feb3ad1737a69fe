"""The roster: the members of a data centre as one object in the store.

It serves processes whose seeds don't answer, and relays that started without knowing of
each other. The primary relay writes it when members change, by a conditional update of
the version that it knows. A relay that was paused while another one wrote fails to
update, and reads the newer roster.
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
    """The members of one data centre, the relay that wrote them, and its epoch."""

    epoch: int
    writer: str
    members: tuple[Announce, ...]


class RosterWriter:
    """Writes the rosters of the data centres whose primary relay this daemon is.

    Attributes:
        versions: Last known object version of each roster.
        written: Epoch and member digest in each roster as last written.
        writes: Writes that took effect.
        conflicts: Writes that failed because the roster had been written since, by
            another relay or by this one in a write whose response was lost.
    """

    def __init__(self, plane: Plane) -> None:
        self.plane = plane
        self.versions: dict[str, int] = {}
        self.written: dict[str, tuple[int, int]] = {}
        self.writes = 0
        self.conflicts = 0

    def _state(self, datacentre: str) -> tuple[int, int]:
        """Return epoch and member digest; a roster is written when they change."""
        plane = self.plane
        return plane.epochs.get(datacentre, 0), plane.members.digest(datacentre)

    async def run(self) -> None:
        """Write each roster that has changed, periodically until cancelled."""
        control = self.plane.settings.control
        while True:
            jitter = self.plane.store.random.uniform(0.5, 1.5)
            await asyncio.sleep(control.publish_seconds * jitter)
            for datacentre in self.plane.datacentres_as_primary():
                if self._state(datacentre) != self.written.get(datacentre):
                    await self._write(datacentre)

    async def _write(self, datacentre: str) -> None:
        plane = self.plane
        state = self._state(datacentre)
        roster = Roster(
            epoch=state[0],
            writer=plane.name,
            members=tuple(plane.members.of_datacentre(datacentre)),
        )
        name = ROSTER_PREFIX + datacentre
        version = self.versions.get(datacentre, NO_VERSION)
        put = await plane.store.put(name, msgspec.json.encode(roster), expected=version)
        match put:
            case Ok(written):
                self.versions[datacentre] = written
                self.written[datacentre] = state
                self.writes += 1
            case Err(VersionConflict()):
                self.conflicts += 1
                await self._read_after_conflict(datacentre)
            case Err(error):
                log.info(
                    "roster write failed or outcome unknown", extra={"why": str(error)}
                )

    async def _read_after_conflict(self, datacentre: str) -> None:
        """Read a roster's version and members, which the next write is based on.

        With the version read, the next conditional write can succeed; with the members
        applied, it doesn't remove them from the roster. The roster was written by
        another relay, or by this one in a write whose response was lost.
        """
        match await self.plane.store.get(ROSTER_PREFIX + datacentre):
            case Ok(found):
                self.versions[datacentre] = found.version
                apply_roster(self.plane, datacentre, found.value)
            case Err(ObjectMissing()):
                self.versions[datacentre] = NO_VERSION
            case Err(error):
                log.info(
                    "could not read roster after conflict", extra={"why": str(error)}
                )


async def read_rosters(plane: Plane) -> None:
    """Read the rosters of all data centres periodically, while this daemon is a relay.

    A process that knows no other member reads them too, after a delay. Usually a seed
    has sent the members by then, which saves the calls when all daemons of a site
    restart together.
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
            log.info("could not list rosters", extra={"why": str(error)})
            return
    for name in names:
        match await plane.store.get(name):
            case Ok(found):
                apply_roster(plane, name.removeprefix(ROSTER_PREFIX), found.value)
            case Err(error):
                log.info("could not read roster", extra={"why": str(error)})


def apply_roster(plane: Plane, datacentre: str, value: bytes) -> None:
    """Apply the announcements in a roster.

    Members that have died since it was written are removed by their relays later.
    """
    try:
        roster = msgspec.json.decode(value, type=Roster)
    except msgspec.DecodeError as error:
        log.warning("could not decode roster", extra={"why": str(error)})
        return
    own = plane.announcement().service
    members = tuple(m for m in roster.members if not own or _is_relevant(plane, m))
    plane.apply_membership(Membership(datacentre, roster.epoch, members, ()))


def _is_relevant(plane: Plane, member: Announce) -> bool:
    """Whether an agent needs to know a member: balancers nearby and its service."""
    if member.role == "balancer":
        return member.datacentre == plane.datacentre
    return member.service == plane.announcement().service
