"""One agent's records of idempotency keys, and its votes on claims.

A request with a key runs only after a majority of the service's agents have recorded
its claim. Any two majorities share an agent, which knows the first claim. So a second
claim on the key is not granted at any agent, even after the first claimant has died.
Records are kept in memory only, and expire after the window set by the profile.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import xxhash
from msgspec.structs import replace

from cornelspan_common.requests import KeptAnswer, KeyRecord, Token

MAX_RECORDS = 100_000


class KeyState(IntEnum):
    """The state of the request that runs under a key.

    It is claimed or running, has ended with an answer, or has an unknown outcome.
    """

    CLAIMED = 1
    DONE = 2
    UNKNOWN = 3


class Vote(IntEnum):
    """An agent's vote on a claim.

    It recorded the claim, knows another one on the key, or may not vote.
    """

    RECORDED = 1
    KNOWN = 2
    NOT_READY = 3


def key_digest(key: str) -> bytes:
    """Return the 128-bit digest that is sent and stored instead of a key."""
    return xxhash.xxh3_128_digest(key.encode())


def fingerprint_of(method: str, target: str, body: bytes) -> int:
    """Return a digest that tells whether two requests with the same key are equal."""
    digest = xxhash.xxh3_64(f"{method} {target}\n".encode())
    digest.update(body)
    return digest.intdigest() >> 1


@dataclass(slots=True)
class StoredRecord:
    """A record and when it expires, in seconds on the owner's clock."""

    record: KeyRecord
    expires_at: float


@dataclass
class KeyStore:
    """The records of one agent, in the order in which their keys first arrived.

    ``refused`` counts claims that were not recorded because the store was full.
    """

    records: dict[bytes, StoredRecord] = field(default_factory=dict)
    swept_at: float = 0.0
    refused: int = 0

    def find(self, key: bytes, now: float) -> KeyRecord | None:
        """Return the record of a key with the seconds until it expires, if any."""
        stored = self.records.get(key)
        if stored is None or stored.expires_at <= now:
            return None
        return replace(stored.record, seconds=stored.expires_at - now)

    def record_claim(
        self, claim: KeyRecord, now: float
    ) -> tuple[Vote, KeyRecord | None]:
        """Record a claim unless the key has another one or the store is full.

        Returns:
            The vote, and the record of another claim on the key if there is one.
        """
        self._drop_expired(now)
        known = self.find(claim.key, now)
        if known is not None:
            same_claim = known.token == claim.token
            return (Vote.RECORDED, None) if same_claim else (Vote.KNOWN, known)
        if len(self.records) >= MAX_RECORDS:
            # Dropping another record to make room could let its request run twice.
            self.refused += 1
            return Vote.NOT_READY, None
        self.records[claim.key] = StoredRecord(claim, now + claim.seconds)
        return Vote.RECORDED, None

    def release(self, key: bytes, token: Token) -> bool:
        """Remove a claim whose request has not run; False if there is none.

        A claim with another token on the same key stays.
        """
        stored = self.records.get(key)
        if stored is None or stored.record.token != token:
            return False
        if stored.record.state != KeyState.CLAIMED:
            return False
        del self.records[key]
        return True

    def finish(self, record: KeyRecord, now: float) -> None:
        """Record how a run ended.

        This replaces the record of any other claim on the key. Only a granted claim can
        finish, so the other one was not granted.
        """
        stored = self.records.get(record.key)
        same_claim = stored is not None and stored.record.token == record.token
        if same_claim and stored.record.answer is not None and record.answer is None:
            return
        self.records[record.key] = StoredRecord(record, now + record.seconds)

    def merge(self, records: Iterable[KeyRecord], now: float) -> None:
        """Add another agent's records; of two on one key, keep the later state."""
        for record in records:
            stored = self.records.get(record.key)
            if stored is None or _supersedes(record, stored.record):
                self.records[record.key] = StoredRecord(record, now + record.seconds)

    def all_records(self, now: float) -> list[KeyRecord]:
        """Return all records that have not expired, to send to another agent."""
        found = (self.find(key, now) for key in list(self.records))
        return [record for record in found if record is not None]

    def _drop_expired(self, now: float) -> None:
        """Delete expired records, at most once a second."""
        if now - self.swept_at < 1.0:
            return
        self.swept_at = now
        expired = [
            key for key, stored in self.records.items() if stored.expires_at <= now
        ]
        for key in expired:
            del self.records[key]


def finished_record(
    claim: KeyRecord, state: KeyState, seconds: float, answer: KeptAnswer | None
) -> KeyRecord:
    """Return the record of a claim whose run has ended."""
    return replace(claim, state=int(state), seconds=seconds, answer=answer)


def _supersedes(record: KeyRecord, known: KeyRecord) -> bool:
    """Whether a record has a later state than the known one, or its answer."""
    if record.state != known.state:
        return known.state == KeyState.CLAIMED
    return known.answer is None and record.answer is not None
