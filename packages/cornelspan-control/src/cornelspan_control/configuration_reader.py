"""Reads the accepted configuration from the store, as a snapshot or a delta."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from cornelspan_common.store_errors import (
    ReadError,
    StoreUnavailable,
)
from cornelspan_control.configuration import Delta, Snapshot
from cornelspan_control.records import (
    AcceptedChange,
    Head,
    Kind,
    Version,
    read_head,
    read_index,
    read_version,
)
from cornelspan_control.store import (
    NO_VERSION,
    StoreClient,
)

PARALLEL_READS = 8


@dataclass(frozen=True, slots=True)
class CurrentVersion:
    """A profile or service as read from the store, to base a change on.

    Attributes:
        head: Head of the configuration that was read.
        min_version: Object version of that head; later reads must not be older.
        version: The version in force; None if the name doesn't exist.
    """

    head: Head
    min_version: int
    version: Version | None

    @property
    def base(self) -> str:
        """Id of the version in force, "" if there is none."""
        return self.version.change if self.version else ""


async def read_current(
    client: StoreClient, kind: Kind, name: str, *, min_version: int = NO_VERSION
) -> Result[CurrentVersion, ReadError]:
    """Read the current version of one profile or service."""
    match await read_head(client, min_version=min_version):
        case Err(error):
            return Err(error)
        case Ok((head, object_version)):
            pass
    match await read_index(client, head):
        case Err(error):
            return Err(error)
        case Ok(index):
            change = index.version(kind, name)
    if not change:
        return Ok(CurrentVersion(head, object_version, None))
    read = await read_version(client, kind, name, change)
    return read.map(lambda version: CurrentVersion(head, object_version, version))


async def read_history(
    client: StoreClient, kind: Kind, name: str, *, limit: int
) -> Result[list[Version], ReadError]:
    """Return the versions of a profile or service, newest first."""
    match await read_current(client, kind, name):
        case Err(error):
            return Err(error)
        case Ok(CurrentVersion(version=None)):
            return Ok([])
        case Ok(seen):
            newest = seen.version
    older = await _read_all(
        client, [(kind, name, change) for change in newest.ancestors[: limit - 1]]
    )
    return older.map(lambda versions: [newest, *versions])


async def read_snapshot(
    client: StoreClient, *, min_version: int = NO_VERSION
) -> Result[Snapshot, ReadError]:
    """Read the whole configuration at the head's revision."""
    match await read_head(client, min_version=min_version):
        case Err(error):
            return Err(error)
        case Ok((head, _)):
            return await _snapshot_at(client, head)


async def read_newer(
    client: StoreClient, revision: int
) -> Result[Snapshot | Delta | None, ReadError]:
    """Read the changes accepted after a revision.

    Returns:
        None if there are none, a delta if the head still lists all of them, else a
        snapshot. A stale read may return None or miss the newest changes, but never
        returns a revision at or below the given one.
    """
    match await read_head(client):
        case Err(error):
            return Err(error)
        case Ok((head, _)):
            pass
    if head.revision <= revision:
        return Ok(None)
    changes = head.changes_since(revision) if revision else None
    if changes is None:
        return await _snapshot_at(client, head)
    return await _delta(client, revision, head.revision, changes)


async def _snapshot_at(client: StoreClient, head: Head) -> Result[Snapshot, ReadError]:
    read = await read_index(client, head)
    return read.map(
        lambda index: Snapshot(
            revision=head.revision,
            profiles=tuple(entry.profile for entry in index.profiles.values()),
            services=tuple(entry.service for entry in index.services.values()),
        )
    )


async def _delta(
    client: StoreClient, base: int, revision: int, changes: Iterable[AcceptedChange]
) -> Result[Delta, ReadError]:
    """Read the newest version of each profile and service that changed."""
    newest = {(accepted.kind, accepted.name): accepted for accepted in changes}
    wanted = [
        (kind, name, accepted.change)
        for (kind, name), accepted in newest.items()
        if not accepted.deleted
    ]
    match await _read_all(client, wanted):
        case Err(error):
            return Err(error)
        case Ok(versions):
            pass
    removed = {"profiles": [], "services": []}
    for (kind, name), accepted in newest.items():
        if accepted.deleted:
            removed[kind].append(name)
    return Ok(
        Delta(
            base=base,
            revision=revision,
            profiles=tuple(v.profile for v in versions if v.profile),
            services=tuple(v.service for v in versions if v.service),
            removed_profiles=tuple(removed["profiles"]),
            removed_services=tuple(removed["services"]),
        )
    )


async def _read_all(
    client: StoreClient, wanted: list[tuple[Kind, str, str]]
) -> Result[list[Version], ReadError]:
    """Read versions in order, a few in parallel; stop at the first error."""
    versions: list[Version] = []
    for start in range(0, len(wanted), PARALLEL_READS):
        part = wanted[start : start + PARALLEL_READS]
        reads = await asyncio.gather(*(read_version(client, *name) for name in part))
        for read in reads:
            if isinstance(read, Err):
                return Err(StoreUnavailable(str(read.err_value)))
            versions.append(read.ok_value)
    return Ok(versions)
