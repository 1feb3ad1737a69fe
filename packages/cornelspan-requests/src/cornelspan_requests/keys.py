"""What one agent remembers of idempotency keys, and how it votes on claims.

A request with a key runs only after more than half of the service's agents have
recorded its claim. Any two such halves share an agent, and that one knows the first
claim; so a second one fails wherever it arrives, also after the first claimant's death.
Records live in memory alone and end with the window of the profile.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import xxhash
from msgspec.structs import replace

from cornelspan_common.requests import KeptAnswer, KeyRecord, Token

MAX_RECORDS = 100_000


class KeyState(IntEnum):
    """How far the run of a key has come."""

    CLAIMED = 1
    DONE = 2
    UNKNOWN = 3


class Vote(IntEnum):
    """A vote on a claim."""

    RECORDED = 1
    KNOWN = 2
    NOT_READY = 3


def key_digest(key: str) -> bytes:
    """Return the 128-bit digest that stands for a key."""
    return xxhash.xxh3_128_digest(key.encode())


def fingerprint_of(method: str, target: str, body: bytes) -> int:
    """Return a digest of a request, which tells a repeated one from another."""
    digest = xxhash.xxh3_64(f"{method} {target}\n".encode())
    digest.update(body)
    return digest.intdigest() >> 1


@dataclass(slots=True)
class StoredRecord:
    """A record and when it ends, in seconds of the owner's clock."""

    record: KeyRecord
    expires_at: float


@dataclass
class KeyStore:
    """The records of one agent, oldest first by their first arrival."""

    records: dict[bytes, StoredRecord] = field(default_factory=dict)
    swept_at: float = 0.0
    refused: int = 0

    def find(self, key: bytes, now: float) -> KeyRecord | None:
        """Return what is known of a key, with the time that the record still has."""
        stored = self.records.get(key)
        if stored is None or stored.expires_at <= now:
            return None
        return replace(stored.record, seconds=stored.expires_at - now)

    def record_claim(
        self, claim: KeyRecord, now: float
    ) -> tuple[Vote, KeyRecord | None]:
        """Record a claim, or tell what stands in its way."""
        self._drop_expired(now)
        known = self.find(claim.key, now)
        if known is not None:
            same = known.token == claim.token
            return (Vote.RECORDED, None) if same else (Vote.KNOWN, known)
        if len(self.records) >= MAX_RECORDS:
            # Dropping a record to make room would let its key run again.
            self.refused += 1
            return Vote.NOT_READY, None
        self.records[claim.key] = StoredRecord(claim, now + claim.seconds)
        return Vote.RECORDED, None

    def release(self, key: bytes, token: Token) -> bool:
        """Forget a claim that came to no run; another's claim stays."""
        stored = self.records.get(key)
        if stored is None or stored.record.token != token:
            return False
        if stored.record.state != KeyState.CLAIMED:
            return False
        del self.records[key]
        return True

    def finish(self, record: KeyRecord, now: float) -> None:
        """Note how a run ended.

        A record that is here under another claim gives way: only a granted claim
        finishes, and whoever else claimed the key has not been granted it.
        """
        stored = self.records.get(record.key)
        same = stored is not None and stored.record.token == record.token
        if same and stored.record.answer is not None and record.answer is None:
            return
        self.records[record.key] = StoredRecord(record, now + record.seconds)

    def merge(self, records: Iterable[KeyRecord], now: float) -> None:
        """Add another agent's records; what has come further wins."""
        for record in records:
            stored = self.records.get(record.key)
            if stored is None or _supersedes(record, stored.record):
                self.records[record.key] = StoredRecord(record, now + record.seconds)

    def all_records(self, now: float) -> list[KeyRecord]:
        """Return what is to be handed to an agent that starts."""
        found = (self.find(key, now) for key in list(self.records))
        return [record for record in found if record is not None]

    def _drop_expired(self, now: float) -> None:
        """Forget ended records, at most once a second."""
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
    """Whether a record tells more than the known one."""
    if record.state != known.state:
        return known.state == KeyState.CLAIMED
    return known.answer is None and record.answer is not None
