"""Changes of the configuration: validated, then accepted by one conditional update.

    change = new_change("profiles", profile.name, profile, author="mara", base=seen)
    match await accept(client, change):
        case Ok(accepted): ...
        case Err(Conflict() as conflict): ...

A change writes its new version and index under its own id, then moves the head. The
head's conditional update is the moment of acceptance: before it nothing counts, after
it every daemon will put it in force. If the answer is lost, the change reads the head
back: its own id there settles it. If the id is not there, the same conditional update
is sent again, so that a first one still on its way can't take effect as well.
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
    HEAD,
    INDEX,
    KEPT_VERSIONS,
    RECENT_CHANGES,
    Accepted,
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
    NO_OBJECT,
    StoreClient,
)

ID_BYTES = 8
SETTLE_SECONDS = 20.0
PAUSE_SECONDS = 0.01
PAUSE_LIMIT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Invalid:
    """A change that was refused by validation; nothing was written."""

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
    """Somebody else changed the same profile or service first.

    ``theirs`` is the version now in force, None if they deleted it.
    """

    kind: Kind
    name: str
    theirs: Version | None

    def __str__(self) -> str:
        what = f"{self.kind[:-1]} {self.name}"
        if self.theirs is None:
            return f"{what} was deleted meanwhile"
        return f"{what} was changed meanwhile by {self.theirs.author}"


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Whether the change took effect is unknown; its id will settle it later."""

    change: str
    reason: str

    def __str__(self) -> str:
        return f"outcome of change {self.change} is unknown: {self.reason}"


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The store could not take the change, and it is surely not accepted."""

    reason: str

    def __str__(self) -> str:
        return f"not accepted: {self.reason}"


ChangeError = Invalid | NotFound | Conflict | Unsettled | NotWritten


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator wants: a new value of a profile or service, None to delete it.

    ``base`` is the version that the operator saw, "" when it must not exist yet, and
    ``floor`` the head's object version it was seen at.
    """

    kind: Kind
    name: str
    value: Profile | Service | None
    author: str
    base: str
    change: str
    at: float
    floor: int = NO_OBJECT


def new_change(
    kind: Kind,
    name: str,
    value: Profile | Service | None,
    *,
    author: str,
    base: str,
    floor: int = NO_OBJECT,
) -> Change:
    """Return a change with an id of its own."""
    change = secrets.token_hex(ID_BYTES)
    return Change(kind, name, value, author, base, change, time.time(), floor)


async def accept(
    client: StoreClient, change: Change, *, settle_seconds: float = SETTLE_SECONDS
) -> Result[Accepted, ChangeError]:
    """Bring a change into the configuration, exactly once.

    A change of another profile or service that comes in between is no conflict; the
    change is then validated again on top of it.

    Args:
        client: The store.
        change: The change; calling again with the same one never applies it twice.
        settle_seconds: How long to try while the store gives no clear answer.

    Returns:
        The accepted change, or why it was not accepted.
    """
    attempt = _Attempt(client, change, floor=change.floor)
    pause = PAUSE_SECONDS
    ends = time.monotonic() + settle_seconds
    while True:
        outcome = await attempt.run()
        if outcome is not None:
            return outcome
        if time.monotonic() + pause > ends:
            return Err(attempt.gave_up())
        await asyncio.sleep(pause * client.random.uniform(0.5, 1.0))
        pause = min(2 * pause, PAUSE_LIMIT_SECONDS)


class _Attempt:
    """One change on its way: what is known of the head, and what was sent."""

    def __init__(self, client: StoreClient, change: Change, *, floor: int) -> None:
        self.client = client
        self.change = change
        self.floor = floor
        self.sent = False
        self.sent_revision = 0
        self.reason = ""

    async def run(self) -> Result[Accepted, ChangeError] | None:
        """Try once; None if it has to be tried again."""
        match await read_head(self.client, floor=self.floor):
            case Err(error):
                return self.again(error)
            case Ok((head, version)):
                self.floor = version
        if settled := head.find(self.change.change):
            return Ok(settled)
        if self.sent and head.since(self.sent_revision) is None:
            return Err(Unsettled(self.change.change, "too many changes came since"))
        match await read_index(self.client, head):
            case Err(error):
                return self.again(error)
            case Ok(index):
                pass
        if problem := await self.check(index):
            return Err(problem)
        return await self.write(head, index, version)

    async def check(self, index: Index) -> ChangeError | None:
        """Validate against what is in force now."""
        change = self.change
        current = index.version(change.kind, change.name)
        if current != change.base:
            return await self.conflict(current)
        if change.value is None and not current:
            return NotFound(change.kind, change.name)
        if change.kind == "profiles":
            return _check_profile(change, index)
        return _check_service(change, index)

    async def conflict(self, current: str) -> Conflict:
        """Return the conflict with the other's version in it."""
        kind, name = self.change.kind, self.change.name
        if not current:
            return Conflict(kind, name, None)
        theirs = await read_version(self.client, kind, name, current)
        return Conflict(kind, name, theirs.ok())

    async def write(
        self, head: Head, index: Index, version: int
    ) -> Result[Accepted, ChangeError] | None:
        """Write version and index, then move the head."""
        change = self.change
        dropped: tuple[str, ...] = ()
        if change.value is not None:
            match await self.ancestors():
                case Err(error):
                    return self.again(error)
                case Ok(ancestors):
                    dropped = ancestors[KEPT_VERSIONS:]
            record = _version_record(change, ancestors[:KEPT_VERSIONS])
            name = version_name(change.kind, change.name, change.change)
            if error := await self.create(name, record):
                return self.again(error)
        revision = head.revision + 1
        index_id = f"{change.change}-{revision}"
        if error := await self.create(INDEX + index_id, _changed(index, change)):
            return self.again(error)
        accepted = _accepted(change, revision)
        new_head = _next_head(head, accepted, index_id)
        self.sent_revision = self.sent_revision if self.sent else head.revision
        moved = await self.move(new_head, version)
        if moved:
            await self.clean_up(head, dropped)
            return Ok(accepted)
        return None

    async def ancestors(self) -> Result[tuple[str, ...], object]:
        """Return the ids of the versions before the new one, newest first."""
        change = self.change
        if not change.base:
            return Ok(())
        read = await read_version(self.client, change.kind, change.name, change.base)
        return read.map(lambda seen: (change.base, *seen.ancestors))

    async def create(self, name: str, record: Version | Index) -> object | None:
        """Write an object that never changes; one that is there already is ours."""
        value = msgspec.json.encode(record)
        match await self.client.put(name, value, expected=NO_OBJECT):
            case Ok(_) | Err(VersionConflict()):
                return None
            case Err(error):
                return error

    async def move(self, head: Head, version: int) -> bool:
        """Move the head; False if it did not, or nobody knows."""
        value = msgspec.json.encode(head)
        match await self.client.put(HEAD, value, expected=version):
            case Ok(_):
                return True
            case Err(VersionConflict() as error):
                self.floor = max(self.floor, error.version)
                self.reason = str(error)
            case Err(OutcomeUnknown() as error):
                self.sent = True
                self.reason = str(error)
            case Err(error):
                self.reason = str(error)
        return False

    async def clean_up(self, head: Head, dropped: tuple[str, ...]) -> None:
        """Delete what is no longer kept; what stays behind by a failure is harmless."""
        change = self.change
        for old in dropped:
            await self.client.delete(version_name(change.kind, change.name, old))
        if len(head.recent) >= RECENT_CHANGES:
            oldest = head.recent[0]
            await self.client.delete(f"{INDEX}{oldest.change}-{oldest.revision}")

    def again(self, error: object) -> Result[Accepted, ChangeError] | None:
        """Note why this try failed; a refusal for good ends the change."""
        self.reason = str(error)
        if isinstance(error, CallRefused) and not error.retry_seconds and not self.sent:
            return Err(NotWritten(self.reason))
        return None

    def gave_up(self) -> ChangeError:
        """Return the error for a change that found no clear answer in time."""
        if self.sent:
            return Unsettled(self.change.change, self.reason)
        return NotWritten(self.reason)


def _check_profile(change: Change, index: Index) -> ChangeError | None:
    if change.value is not None:
        return None
    users = [
        n for n, entry in index.services.items() if entry.service.profile == change.name
    ]
    if users:
        names = ", ".join(sorted(users))
        return Invalid(f"profile {change.name} is in use by {names}")
    return None


def _check_service(change: Change, index: Index) -> ChangeError | None:
    if not isinstance(change.value, Service):
        return None
    service = change.value
    if service.profile not in index.profiles:
        return Invalid(f"service {service.name}: no profile named {service.profile}")
    entry = index.services.get(service.name)
    known = entry.service if entry else service
    if known.address != service.address:
        return Invalid(
            f"service {service.name}: its address {known.address} never changes, "
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


def _changed(index: Index, change: Change) -> Index:
    """Return the index with the change in it."""
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


def _accepted(change: Change, revision: int) -> Accepted:
    return Accepted(
        revision=revision,
        change=change.change,
        author=change.author,
        at=change.at,
        kind=change.kind,
        name=change.name,
        deleted=change.value is None,
    )


def _next_head(head: Head, accepted: Accepted, index: str) -> Head:
    recent = (*head.recent, accepted)[-RECENT_CHANGES:]
    return Head(revision=accepted.revision, index=index, recent=recent)
