"""Client of the platform's object store.

Each call returns a ``Result`` with a typed error. Beside success and failure a write
can end with ``OutcomeUnknown``: the response was lost and the store may have executed
the request. The caller then has to read the object to find out.

    client = StoreClient(settings.store)
    match await client.put("configuration/head", value, expected=17):
        case Ok(version): ...
        case Err(VersionConflict()): ...
        case Err(OutcomeUnknown()): ...
"""

import ssl
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import HTTPResponse

from cornelspan_common.calls import CallBudget, HttpCaller
from cornelspan_common.settings import StoreSettings
from cornelspan_common.store_errors import (
    CallRefused,
    ObjectMissing,
    OutcomeUnknown,
    ReadError,
    StoreUnavailable,
    VersionConflict,
    WriteError,
)
from cornelspan_common.tls import reason_of

WATCH_GRACE_SECONDS = 2.0
NO_VERSION = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's value and the version it was read at."""

    name: str
    version: int
    value: bytes


class Listing(msgspec.Struct, frozen=True):
    """Names and versions under a prefix, at the store's version."""

    version: int
    objects: tuple[tuple[str, int], ...]


class WatchResult(msgspec.Struct, frozen=True):
    """Names that changed during a watch, and the store's version at its end."""

    version: int
    changed: tuple[str, ...]


class StoreClient:
    """Client of the store, limited to one daemon's rate of calls.

    Attributes:
        random: Source of the jitter, shared by the call budget and the tasks of the
            control plane, so that one seed determines all of it.
        reads: Attempted reads, lists and watches, including those not sent because the
            rate was exceeded.
        writes: Attempted writes and deletes, counted in the same way.
        lost_responses: Calls that ended without a response, for example by a timeout.
            The store may have received them.
        received_bytes: Size of the bodies of successful reads.

    Args:
        settings: Address, rate of calls and timeout.
        tls: Client context; None for plain HTTP.
        seed: Seed of ``random``, for tests.
    """

    def __init__(
        self,
        settings: StoreSettings,
        *,
        tls: ssl.SSLContext | None = None,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self.tls = tls
        self.budget = CallBudget(settings.calls_per_second, seed=seed)
        self.random = self.budget.random
        scheme = "https" if tls else "http"
        self.caller = HttpCaller(
            f"{scheme}://{settings.address}",
            self.budget,
            call_seconds=settings.call_seconds,
            tls=tls,
        )
        self.reads = 0
        self.writes = 0
        self.lost_responses = 0
        self.received_bytes = 0

    @property
    def failures(self) -> int:
        """Calls that did not reach the store or got no response."""
        return self.lost_responses + self.caller.unreached

    def close(self) -> None:
        """Cancel all running calls."""
        self.caller.close()

    async def get(self, name: str) -> Result[StoredObject, ReadError]:
        """Read an object. The read may be stale and return an older value."""
        match await self._read(self._object_path(name), name):
            case Ok(response):
                return _stored_object(response, name)
            case Err(error):
                return Err(error)

    async def list_objects(self, prefix: str) -> Result[Listing, ReadError]:
        """List the objects under a prefix."""
        path = "/list?" + urlencode({"prefix": prefix})
        return _decode(await self._read(path, prefix), Listing)

    async def watch(
        self, prefix: str, *, after: int, seconds: float
    ) -> Result[WatchResult, ReadError]:
        """Wait until an object under a prefix changes or the time has elapsed.

        Args:
            prefix: Which objects to watch.
            after: The store's version of the last ``WatchResult`` or ``Listing``.
            seconds: How long to wait for a change.
        """
        query = {"prefix": prefix, "after": after, "seconds": seconds}
        path = "/watch?" + urlencode(query)
        limit = seconds + WATCH_GRACE_SECONDS
        return _decode(await self._read(path, prefix, seconds=limit), WatchResult)

    async def put(
        self, name: str, value: bytes, *, expected: int | None = None
    ) -> Result[int, WriteError]:
        """Write an object.

        Args:
            name: Name of the object.
            value: Its new value, up to a megabyte.
            expected: Version that the object must have; 0 if it must not exist; None
                writes unconditionally.

        Returns:
            The new version.
        """
        return await self._write("PUT", name, value, expected)

    async def delete(
        self, name: str, *, expected: int | None = None
    ) -> Result[int, WriteError]:
        """Delete an object, if it has the expected version."""
        return await self._write("DELETE", name, None, expected)

    async def _read(
        self, path: str, name: str, *, seconds: float | None = None
    ) -> Result[HTTPResponse, ReadError]:
        self.reads += 1
        sent = await self.caller.send("GET", path, seconds=seconds)
        match sent:
            case Err(error) if isinstance(error, CallRefused | StoreUnavailable):
                return Err(error)
            case Err(failure):
                self.lost_responses += 1
                return Err(StoreUnavailable(reason_of(failure)))
            case Ok(response):
                pass
        if response.code == 404:
            return Err(ObjectMissing(name))
        if response.code == 200:
            self.received_bytes += len(response.body)
            return Ok(response)
        return Err(_call_refused(response))

    async def _write(
        self, method: str, name: str, value: bytes | None, expected: int | None
    ) -> Result[int, WriteError]:
        self.writes += 1
        match await self.caller.send(
            method,
            self._object_path(name),
            body=value,
            headers=_condition_headers(expected),
        ):
            case Err(error) if isinstance(error, CallRefused | StoreUnavailable):
                return Err(error)
            case Err(failure):
                self.lost_responses += 1
                return Err(OutcomeUnknown(name, reason_of(failure)))
            case Ok(response):
                return _write_result(response, name)

    def _object_path(self, name: str) -> str:
        return "/objects/" + quote(name)


def _condition_headers(expected: int | None) -> dict[str, str]:
    if expected is None:
        return {}
    if expected == NO_VERSION:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _write_result(response: HTTPResponse, name: str) -> Result[int, WriteError]:
    match response.code:
        case 200:
            version = _reply_version(response)
            if version is None:
                # The write took effect but its version is unknown. The caller reads
                # the object, as it does after a lost response.
                return Err(OutcomeUnknown(name, "the response contains no version"))
            return Ok(version)
        case 412:
            # Without a version in the response, report none: callers read the object
            # again after a conflict.
            return Err(VersionConflict(name, _reply_version(response) or NO_VERSION))
        case 413 | 429:
            return Err(_call_refused(response))
        case code:
            # The error may come from a gateway, and the store behind it may have
            # executed the write.
            return Err(OutcomeUnknown(name, f"the response status was {code}"))


def _call_refused(response: HTTPResponse) -> CallRefused:
    """Return the error for a call that got an error status and changed nothing.

    For a write these are 413 and 429, for a read all but 200 and 404.
    ``retry_seconds`` is 0 unless the response gives a number of seconds to wait.
    """
    wait = response.headers.get("Retry-After", "0")
    seconds = float(wait) if wait.isdecimal() else 0.0
    return CallRefused(f"the response status was {response.code}", seconds)


def _decode(read: Result[HTTPResponse, ReadError], kind: type) -> Result:
    match read:
        case Ok(response):
            return _decode_json(response.body, kind)
        case error:
            return error


class WriteReply(msgspec.Struct, frozen=True):
    """Body of the store's response to a write."""

    version: int


def _reply_version(response: HTTPResponse) -> int | None:
    return _decode_json(response.body, WriteReply).map(lambda each: each.version).ok()


def _stored_object(
    response: HTTPResponse, name: str
) -> Result[StoredObject, StoreUnavailable]:
    """Return the object that was read; an error if its version is no number."""
    version = response.headers.get("Etag", "").strip('"')
    if not version.isdecimal():
        return Err(StoreUnavailable(f"{name} has invalid version {version!r}"))
    return Ok(StoredObject(name, int(version), response.body))


def _decode_json(body: bytes, kind: type) -> Result:
    """Decode a response body.

    A proxy may respond in the store's place with any content. That is returned as an
    error: an exception would end the task that watches the store, and the daemon would
    miss all further changes.
    """
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(StoreUnavailable(f"invalid response from the store: {error}"))
