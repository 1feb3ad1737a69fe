"""Changes of the configuration: validated, then accepted by one conditional update.

    change = new_change("profiles", profile.name, profile, author="mara", base=seen)
    match await accept(client, change):
        case Ok(accepted): ...
        case Err(Conflict() as conflict): ...

A change writes its new version and index under its own id, then updates the head. The
conditional update of the head is the commit point: before it the change has no effect,
after it every daemon will put it in force. If the response is lost, the head is read
again, and the change was accepted if the head lists its id. If it doesn't, the same
conditional update is sent again, so that at most one of the two can take effect.
"""

import asyncio
import secrets
import time
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from cornelspan_common.store_errors import (
    CallRefused,
    OutcomeUnknown,
    VersionConflict,
)
from cornelspan_control.profiles import Profile, Service
from cornelspan_control.records import (
    HEAD_NAME,
    INDEX_PREFIX,
    MAX_ANCESTORS,
    MAX_RECENT_CHANGES,
    AcceptedChange,
    Head,
    Index,
    Kind,
    ProfileEntry,
    ServiceEntry,
    Version,
    read_head,
    read_index,
    read_version,
    version_name,
)
from cornelspan_control.store import (
    NO_VERSION,
    StoreClient,
)

CHANGE_ID_BYTES = 8
TIMEOUT_SECONDS = 20.0
BACKOFF_SECONDS = 0.01
BACKOFF_LIMIT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change is not valid; nothing was written."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclass(frozen=True, slots=True)
class NotFound:
    """No profile or service of that name is in force."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"no {self.kind[:-1]} named {self.name}"


@dataclass(frozen=True, slots=True)
class Conflict:
    """The profile or service has changed since the operator read it.

    ``current`` is the version now in force, None if it was deleted or can't be read.
    """

    kind: Kind
    name: str
    current: Version | None

    def __str__(self) -> str:
        what = f"{self.kind[:-1]} {self.name}"
        if self.current is None:
            return f"{what} was deleted meanwhile"
        return f"{what} was changed meanwhile by {self.current.author}"


@dataclass(frozen=True, slots=True)
class Indeterminate:
    """Whether the change took effect is unknown.

    Calling ``accept`` with the same change later finds out.
    """

    change: str
    reason: str

    def __str__(self) -> str:
        return f"outcome of change {self.change} is unknown: {self.reason}"


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The store is unavailable or refused the change, which was not accepted."""

    reason: str

    def __str__(self) -> str:
        return f"not accepted: {self.reason}"


ChangeError = Invalid | NotFound | Conflict | Indeterminate | NotWritten


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change to one profile or service.

    Attributes:
        value: The new value; None deletes the profile or service.
        change: Id of the change, and of the version that it creates.
        at: When it was made, in seconds since the epoch.
        base: Id of the version that the operator saw; "" if there must be none yet.
        min_version: Object version of the head when ``base`` was read.
    """

    kind: Kind
    name: str
    value: Profile | Service | None
    author: str
    base: str
    change: str
    at: float
    min_version: int = NO_VERSION


def new_change(
    kind: Kind,
    name: str,
    value: Profile | Service | None,
    *,
    author: str,
    base: str,
    min_version: int = NO_VERSION,
) -> Change:
    """Return a change with a new random id."""
    change = secrets.token_hex(CHANGE_ID_BYTES)
    return Change(kind, name, value, author, base, change, time.time(), min_version)


async def accept(
    client: StoreClient, change: Change, *, timeout_seconds: float = TIMEOUT_SECONDS
) -> Result[AcceptedChange, ChangeError]:
    """Apply a change to the configuration, at most once.

    A concurrent change to another profile or service is no conflict; this change is
    then validated again on top of it.

    Args:
        client: The store.
        change: The change. The call is idempotent for the same change.
        timeout_seconds: How long to retry while the store is unavailable or the outcome
            is unknown.

    Returns:
        The accepted change, or why it was not accepted.
    """
    progress = _ChangeProgress(client, change, min_version=change.min_version)
    backoff = BACKOFF_SECONDS
    deadline = time.monotonic() + timeout_seconds
    while True:
        outcome = await progress.run()
        if outcome is not None:
            return outcome
        if time.monotonic() + backoff > deadline:
            return Err(progress.timeout_error())
        await asyncio.sleep(backoff * client.random.uniform(0.5, 1.0))
        backoff = min(2 * backoff, BACKOFF_LIMIT_SECONDS)


class _ChangeProgress:
    """Progress of one change.

    Attributes:
        min_version: Object version of the head known to exist; older reads are stale.
        head_sent: Whether an update of the head was sent whose outcome is unknown.
        first_sent_revision: Revision of the head before the first such update.
        reason: Why the last call of the store failed.
    """

    def __init__(
        self, client: StoreClient, change: Change, *, min_version: int
    ) -> None:
        self.client = client
        self.change = change
        self.min_version = min_version
        self.head_sent = False
        self.first_sent_revision = 0
        self.reason = ""

    async def run(self) -> Result[AcceptedChange, ChangeError] | None:
        """Try once; return None if it has to be retried."""
        match await read_head(self.client, min_version=self.min_version):
            case Err(error):
                return self.record_failure(error)
            case Ok((head, version)):
                self.min_version = version
        if accepted := head.find(self.change.change):
            return Ok(accepted)
        if self.head_sent and head.changes_since(self.first_sent_revision) is None:
            return Err(
                Indeterminate(
                    self.change.change, "the head no longer lists all later changes"
                )
            )
        match await read_index(self.client, head):
            case Err(error):
                return self.record_failure(error)
            case Ok(index):
                pass
        if problem := await self.validate(index):
            return Err(problem)
        return await self.write(head, index, version)

    async def validate(self, index: Index) -> ChangeError | None:
        """Return why the change can't be applied to an index, or None if it can."""
        change = self.change
        current = index.version(change.kind, change.name)
        if current != change.base:
            return await self.conflict(current)
        if change.value is None and not current:
            return NotFound(change.kind, change.name)
        if change.kind == "profiles":
            return _validate_profile(change, index)
        return _validate_service(change, index)

    async def conflict(self, current: str) -> Conflict:
        """Return a conflict that holds the current version."""
        kind, name = self.change.kind, self.change.name
        if not current:
            return Conflict(kind, name, None)
        read = await read_version(self.client, kind, name, current)
        return Conflict(kind, name, read.ok())

    async def write(
        self, head: Head, index: Index, version: int
    ) -> Result[AcceptedChange, ChangeError] | None:
        """Write the version and the index, then update the head.

        Returns:
            None if it has to be retried.
        """
        change = self.change
        surplus: tuple[str, ...] = ()
        if change.value is not None:
            match await self.ancestors():
                case Err(error):
                    return self.record_failure(error)
                case Ok(ancestors):
                    surplus = ancestors[MAX_ANCESTORS:]
            record = _version_record(change, ancestors[:MAX_ANCESTORS])
            name = version_name(change.kind, change.name, change.change)
            if error := await self.create(name, record):
                return self.record_failure(error)
        revision = head.revision + 1
        index_id = f"{change.change}-{revision}"
        if error := await self.create(
            INDEX_PREFIX + index_id, _index_with(index, change)
        ):
            return self.record_failure(error)
        accepted = _accepted_change(change, revision)
        new_head = _head_with(head, accepted, index_id)
        self.first_sent_revision = (
            self.first_sent_revision if self.head_sent else head.revision
        )
        updated = await self.update_head(new_head, version)
        if updated:
            await self.clean_up(head, surplus)
            return Ok(accepted)
        return None

    async def ancestors(self) -> Result[tuple[str, ...], object]:
        """Return the ids of the previous versions, newest first."""
        change = self.change
        if not change.base:
            return Ok(())
        read = await read_version(self.client, change.kind, change.name, change.base)
        return read.map(lambda seen: (change.base, *seen.ancestors))

    async def create(self, name: str, record: Version | Index) -> object | None:
        """Write an immutable object and return the error, if any.

        Its name contains the id of this change, so an existing object of that name was
        written by an earlier run of the same change and is no conflict.
        """
        value = msgspec.json.encode(record)
        match await self.client.put(name, value, expected=NO_VERSION):
            case Ok(_) | Err(VersionConflict()):
                return None
            case Err(error):
                return error

    async def update_head(self, head: Head, version: int) -> bool:
        """Update the head; return False if that failed or the outcome is unknown."""
        value = msgspec.json.encode(head)
        match await self.client.put(HEAD_NAME, value, expected=version):
            case Ok(_):
                return True
            case Err(VersionConflict() as error):
                self.min_version = max(self.min_version, error.version)
                self.reason = str(error)
            case Err(OutcomeUnknown() as error):
                self.head_sent = True
                self.reason = str(error)
            case Err(error):
                self.reason = str(error)
        return False

    async def clean_up(self, previous_head: Head, surplus: tuple[str, ...]) -> None:
        """Delete objects that are no longer needed after the head was updated.

        These are the surplus versions, beyond ``MAX_ANCESTORS``, and the index of the
        oldest change, which the new head no longer lists. Errors are ignored, since an
        object that is left over has no effect.

        Args:
            previous_head: The head before the update.
            surplus: Ids of the surplus versions.
        """
        change = self.change
        for old in surplus:
            await self.client.delete(version_name(change.kind, change.name, old))
        if len(previous_head.recent) >= MAX_RECENT_CHANGES:
            oldest = previous_head.recent[0]
            await self.client.delete(f"{INDEX_PREFIX}{oldest.change}-{oldest.revision}")

    def record_failure(
        self, error: object
    ) -> Result[AcceptedChange, ChangeError] | None:
        """Record why a call of the store failed.

        Returns:
            An error if the store refused the call without asking for a retry and no
            update of the head may have taken effect, else None to retry.
        """
        self.reason = str(error)
        if (
            isinstance(error, CallRefused)
            and not error.retry_seconds
            and not self.head_sent
        ):
            return Err(NotWritten(self.reason))
        return None

    def timeout_error(self) -> ChangeError:
        """Return the error for a change that was not accepted within the timeout."""
        if self.head_sent:
            return Indeterminate(self.change.change, self.reason)
        return NotWritten(self.reason)


def _validate_profile(change: Change, index: Index) -> ChangeError | None:
    if change.value is not None:
        return None
    services = [
        n for n, entry in index.services.items() if entry.service.profile == change.name
    ]
    if services:
        names = ", ".join(sorted(services))
        return Invalid(f"profile {change.name} is in use by {names}")
    return None


def _validate_service(change: Change, index: Index) -> ChangeError | None:
    if not isinstance(change.value, Service):
        return None
    service = change.value
    if service.profile not in index.profiles:
        return Invalid(f"service {service.name}: no profile named {service.profile}")
    entry = index.services.get(service.name)
    known = entry.service if entry else service
    if known.address != service.address:
        return Invalid(
            f"service {service.name}: its address {known.address} can't be changed, "
            "since running flows would reach another service; create a new service"
        )
    for name, entry in index.services.items():
        if entry.service.address == service.address and name != service.name:
            return Invalid(f"address {service.address} belongs to service {name}")
    return None


def _version_record(change: Change, ancestors: tuple[str, ...]) -> Version:
    value = change.value
    return Version(
        change=change.change,
        author=change.author,
        at=change.at,
        ancestors=ancestors,
        profile=value if isinstance(value, Profile) else None,
        service=value if isinstance(value, Service) else None,
    )


def _index_with(index: Index, change: Change) -> Index:
    """Return a copy of the index with the change applied."""
    profiles, services = dict(index.profiles), dict(index.services)
    match change.value:
        case None if change.kind == "profiles":
            del profiles[change.name]
        case None:
            del services[change.name]
        case Profile() as profile:
            entry = ProfileEntry(version=change.change, profile=profile)
            profiles[change.name] = entry
        case Service() as service:
            services[change.name] = ServiceEntry(version=change.change, service=service)
    return Index(profiles=profiles, services=services)


def _accepted_change(change: Change, revision: int) -> AcceptedChange:
    return AcceptedChange(
        revision=revision,
        change=change.change,
        author=change.author,
        at=change.at,
        kind=change.kind,
        name=change.name,
        deleted=change.value is None,
    )


def _head_with(head: Head, accepted: AcceptedChange, index: str) -> Head:
    recent = (*head.recent, accepted)[-MAX_RECENT_CHANGES:]
    return Head(revision=accepted.revision, index=index, recent=recent)
