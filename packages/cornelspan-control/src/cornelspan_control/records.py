"""How the configuration lies in the store.

    configuration/head                    the accepted revision; changed last
    configuration/index/ID                all that is in force, by name
    configuration/profiles/NAME/ID        one version of a profile
    configuration/services/NAME/ID        one version of a service

All but the head are written once and never changed, under the id of the change that
made them. So a reader of the head sees one whole configuration, however late it reads
the rest, and a change that was not accepted leaves nothing behind that counts.
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
    """One accepted change: what it made, who asked for it, and when.

    ``change`` is the id of the change and of the version that it made. ``at`` is in
    seconds since the epoch, by the clock of the operator's machine.
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
        """Return a change if it is among the newest ones accepted."""
        for accepted in self.recent:
            if accepted.change == change:
                return accepted
        return None

    def changes_since(self, revision: int) -> tuple[AcceptedChange, ...] | None:
        """Return the changes after a revision; None if they reach back too far."""
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
    """All that is in force, whole, by name.

    It repeats the content of the versions that it names. A daemon that starts with no
    peers then needs two reads and not a thousand, which its call budget would spread
    over minutes. The store's limit of a megabyte a value bounds the configuration.
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
        floor: Object version known to exist; an older answer is stale, and an error.
    """
    match await client.get(HEAD_NAME):
        case Err(ObjectMissing()) if min_version == NO_VERSION:
            return Ok((Head(), NO_VERSION))
        case Err(ObjectMissing()):
            return Err(StoreUnavailable("the store has lost the head or is stale"))
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
        return Err(StoreUnavailable(f"an object that is none of ours: {error}"))
