"""Messages of agents of one service for handed-over requests and idempotency keys.

Tags 40 to 59. A request is handed over only if it has certainly not run, and the
receiver runs it only once it has the complete body.
"""

from cornelspan_common.packets import Message

Headers = tuple[tuple[str, str], ...]


class RequestStart(Message, frozen=True, tag=40):
    """A request that is handed over; its body follows in parts.

    ``number`` identifies the request among those of the sender. ``milliseconds`` is the
    time left until the deadline, ``length`` the size of the body in bytes.
    """

    number: int
    method: str
    target: str
    headers: Headers
    caller: str
    milliseconds: int
    priority: int
    length: int


class RequestPart(Message, frozen=True, tag=41):
    """A part of a request's body; the receiver runs the request after the last.

    ``offset`` is the position of the part in the body. It reveals reordering: if two
    agents have two streams, parts on one can overtake those on the other.
    """

    number: int
    offset: int
    body: bytes
    last: bool


class RequestCancel(Message, frozen=True, tag=42):
    """The caller no longer waits for the answer, so the request may be cancelled."""

    number: int


class AnswerStart(Message, frozen=True, tag=43):
    """Status and headers of the answer to a request that was handed over."""

    number: int
    status: int
    reason: str
    headers: Headers


class AnswerPart(Message, frozen=True, tag=44):
    """A part of an answer's body at ``offset``; the body is complete after ``last``."""

    number: int
    offset: int
    body: bytes
    last: bool


class AnswerFailed(Message, frozen=True, tag=45):
    """The request failed, or its answer broke off; the failure that the caller gets."""

    number: int
    outcome: str
    reason: str
    retry_after: float


class AnswerAck(Message, frozen=True, tag=46):
    """The caller has received ``size`` more bytes, so the next part may be sent."""

    number: int
    size: int


class Token(Message, frozen=True):
    """Identifies one claim on a key: its agent, that one's incarnation and a number.

    ``number`` counts the claims of an incarnation.
    """

    holder: str
    incarnation: int
    number: int


class KeptAnswer(Message, frozen=True):
    """A complete answer, small enough to be stored and replayed."""

    status: int
    reason: str
    headers: Headers
    body: bytes


class KeyRecord(Message, frozen=True):
    """The record of an idempotency key.

    ``key`` and ``fingerprint`` are digests of the key and of the request. ``state`` is
    the number of a key state, ``seconds`` the time until the record expires.
    """

    key: bytes
    token: Token
    fingerprint: int
    state: int
    seconds: float
    answer: KeptAnswer | None = None


class KeyClaim(Message, frozen=True, tag=47):
    """Asks the receiver to record a claim on a key, unless it has another record.

    ``query_id`` matches the vote to this message.
    """

    query_id: int
    record: KeyRecord


class KeyVote(Message, frozen=True, tag=48):
    """Answer to a ``KeyClaim``.

    ``vote`` tells whether the claim was recorded, ``known`` is another record of the
    key that the sender has, and ``voters`` are the agents whose votes count, as the
    sender knows them.
    """

    query_id: int
    vote: int
    known: KeyRecord | None
    voters: tuple[str, ...]
    incarnation: int


class KeyRelease(Message, frozen=True, tag=49):
    """Releases the claim on a key, because its request has certainly not run."""

    key: bytes
    token: Token


class KeyDone(Message, frozen=True, tag=50):
    """The final record of a key's request; only some receivers get the answer too."""

    record: KeyRecord


class KeySync(Message, frozen=True, tag=51):
    """Sent by an agent that has just started: requests all records of keys.

    It votes only once it has them.
    """

    query_id: int
    name: str
    incarnation: int


class KeyRecords(Message, frozen=True, tag=52):
    """Some of an agent's key records, in answer to ``KeySync`` or before it leaves.

    ``ready`` tells whether the sender may vote, ``restart_seen`` whether it knows that
    an agent of the service has restarted, and ``total`` how many records all parts have
    together. ``query_id`` is that of the ``KeySync``, or zero if there was none.
    """

    query_id: int
    ready: bool
    restart_seen: bool
    voters: tuple[str, ...]
    records: tuple[KeyRecord, ...]
    total: int


class KeyLeave(Message, frozen=True, tag=53):
    """The sender has sent its records to the other agents and no longer votes."""

    name: str
    incarnation: int
