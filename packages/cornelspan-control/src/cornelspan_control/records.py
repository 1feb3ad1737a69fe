"""Layout of the configuration in the store.

    configuration/head                    the accepted revision; changed last
    configuration/index/ID                all that is in force, by name
    configuration/profiles/NAME/ID        one version of a profile
    configuration/services/NAME/ID        one version of a service

All objects but the head are immutable and named by the id of the change that created
them. So a reader of the head always gets one consistent configuration, even if it reads
the other objects later, and objects of a change that was not accepted have no effect.
"""

from typing import Literal

import msgspec
from result import Err, Ok, Result

from cornelspan_common.settings import Checked
from cornelspan_common.store_errors import (
    ObjectMissing,
    ReadError,
    StoreUnavailable,
)
from cornelspan_control.profiles import Profile, Service
from cornelspan_control.store import (
    NO_VERSION,
    StoreClient,
)

HEAD_NAME = "configuration/head"
INDEX_PREFIX = "configuration/index/"
MAX_RECENT_CHANGES = 64
MAX_ANCESTORS = 50

Kind = Literal["profiles", "services"]


class AcceptedChange(Checked, frozen=True, kw_only=True):
    """One accepted change.

    ``change`` is the id of the change and of the version that it created. ``at`` is in
    seconds since the epoch, by the clock of the operator's computer.
    """

    revision: int
    change: str
    author: str
    at: float
    kind: Kind
    name: str
    deleted: bool = False


class Head(Checked, frozen=True, kw_only=True):
    """The accepted revision, its index, and the newest changes, newest last."""

    revision: int = 0
    index: str = ""
    recent: tuple[AcceptedChange, ...] = ()

    def find(self, change: str) -> AcceptedChange | None:
        """Return the accepted change with this id, if the head still lists it."""
        for accepted in self.recent:
            if accepted.change == change:
                return accepted
        return None

    def changes_since(self, revision: int) -> tuple[AcceptedChange, ...] | None:
        """Return the changes after a revision; None if not all are still listed."""
        oldest = self.recent[0].revision if self.recent else self.revision + 1
        if revision < oldest - 1:
            return None
        return tuple(a for a in self.recent if a.revision > revision)


class ProfileEntry(Checked, frozen=True, kw_only=True):
    """A profile in force and the id of its version."""

    version: str
    profile: Profile


class ServiceEntry(Checked, frozen=True, kw_only=True):
    """A service in force and the id of its version."""

    version: str
    service: Service


class Index(Checked, frozen=True, kw_only=True):
    """All profiles and services in force, by name.

    It contains the values as well as the version ids. A daemon that starts without
    peers then needs two reads instead of a thousand, for which its call budget would
    take minutes. The store's limit of a megabyte per value limits the size of the
    configuration.
    """

    profiles: dict[str, ProfileEntry] = {}
    services: dict[str, ServiceEntry] = {}

    def version(self, kind: Kind, name: str) -> str:
        """Return the version in force of a profile or service, "" for none."""
        entries = self.profiles if kind == "profiles" else self.services
        entry = entries.get(name)
        return entry.version if entry else ""


class Version(Checked, frozen=True, kw_only=True):
    """One version of a profile or service.

    ``ancestors`` are the ids of the versions before it, newest first.
    """

    change: str
    author: str
    at: float
    ancestors: tuple[str, ...] = ()
    profile: Profile | None = None
    service: Service | None = None


RecordType = type[Head] | type[Index] | type[Version]


def version_name(kind: Kind, name: str, change: str) -> str:
    """Return the object name of a version."""
    return f"configuration/{kind}/{name}/{change}"


async def read_head(
    client: StoreClient, *, min_version: int = NO_VERSION
) -> Result[tuple[Head, int], ReadError]:
    """Read the head and its object version.

    Args:
        client: The store.
        min_version: Object version known to exist; an older one is a stale read and
            returned as an error. If none is given and the store has no head, an empty
            head with ``NO_VERSION`` is returned.
    """
    match await client.get(HEAD_NAME):
        case Err(ObjectMissing()) if min_version == NO_VERSION:
            return Ok((Head(), NO_VERSION))
        case Err(ObjectMissing()):
            return Err(
                StoreUnavailable(
                    "the head is missing: lost by the store, or a stale read"
                )
            )
        case Err(error):
            return Err(error)
        case Ok(found):
            pass
    if found.version < min_version:
        return Err(StoreUnavailable(f"stale read of the head: version {found.version}"))
    return _decode(found.value, Head).map(lambda head: (head, found.version))


async def read_index(client: StoreClient, head: Head) -> Result[Index, ReadError]:
    """Read the index that a head names."""
    if not head.index:
        return Ok(Index())
    found = await client.get(INDEX_PREFIX + head.index)
    return found.and_then(lambda stored: _decode(stored.value, Index))


async def read_version(
    client: StoreClient, kind: Kind, name: str, change: str
) -> Result[Version, ReadError]:
    """Read one version of a profile or service."""
    found = await client.get(version_name(kind, name, change))
    return found.and_then(lambda stored: _decode(stored.value, Version))


def _decode(value: bytes, kind: RecordType) -> Result:
    try:
        return Ok(msgspec.json.decode(value, type=kind))
    except msgspec.DecodeError as error:
        return Err(StoreUnavailable(f"invalid configuration object: {error}"))
