"""Messages by which agents of one service hand requests over and guard keys.

Tags 40 to 59. A request goes over only when it surely has not run, and runs at the
receiver only once its body is there whole.
"""

from cornelspan_common.packets import Message

Headers = tuple[tuple[str, str], ...]


class RequestStart(Message, frozen=True, tag=40):
    """A request handed over; its body follows in parts.

    ``number`` is the sender's own, ``milliseconds`` what is left until the deadline,
    ``length`` the bytes of the body.
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

    ``offset`` is where the part begins. Two agents may have two streams, and parts that
    change from one to the other can overtake each other.
    """

    number: int
    offset: int
    body: bytes
    last: bool


class RequestCancel(Message, frozen=True, tag=42):
    """Nobody waits for the answer any more."""

    number: int


class AnswerStart(Message, frozen=True, tag=43):
    """Status and headers of the answer to a request that was handed over."""

    number: int
    status: int
    reason: str
    headers: Headers


class AnswerPart(Message, frozen=True, tag=44):
    """A part of an answer's body from ``offset``; it is whole only after the last."""

    number: int
    offset: int
    body: bytes
    last: bool


class AnswerFailed(Message, frozen=True, tag=45):
    """There is no answer, or no more of it; ``outcome`` and ``reason`` as told."""

    number: int
    outcome: str
    reason: str
    retry_after: float


class AnswerAck(Message, frozen=True, tag=46):
    """The caller has taken so many more bytes, so that the sender may go on."""

    number: int
    size: int


class Token(Message, frozen=True):
    """One claim on a key: by which agent, in which life of it, and its how manieth."""

    holder: str
    incarnation: int
    number: int


class KeptAnswer(Message, frozen=True):
    """A finished answer, small enough to be given again."""

    status: int
    reason: str
    headers: Headers
    body: bytes


class KeyRecord(Message, frozen=True):
    """What an agent knows of an idempotency key.

    ``key`` and ``fingerprint`` are digests of key and request. ``state`` is one of the
    agent's key states, ``seconds`` how long the record is still to be kept.
    """

    key: bytes
    token: Token
    fingerprint: int
    state: int
    seconds: float
    answer: KeptAnswer | None = None


class KeyClaim(Message, frozen=True, tag=47):
    """Asks the receiver to record a claim on a key, unless it knows another."""

    query_id: int
    record: KeyRecord


class KeyVote(Message, frozen=True, tag=48):
    """Answer to a claim.

    ``verdict`` says whether it was recorded, ``known`` is the record in its way, and
    ``voters`` the agents whose votes count, as the sender sees it.
    """

    query_id: int
    verdict: int
    known: KeyRecord | None
    voters: tuple[str, ...]
    incarnation: int


class KeyRelease(Message, frozen=True, tag=49):
    """A claim that came to no run: the key is free again."""

    key: bytes
    token: Token


class KeyDone(Message, frozen=True, tag=50):
    """How the run of a key has ended; only some receivers get the answer as well."""

    record: KeyRecord


class KeySync(Message, frozen=True, tag=51):
    """An agent that has just started asks for all claims before it votes."""

    query_id: int
    name: str
    incarnation: int


class KeyRecords(Message, frozen=True, tag=52):
    """Some of an agent's key records, in answer to ``KeySync`` or before it leaves.

    ``ready`` tells whether the sender votes itself, ``restart_seen`` whether it knows
    records from before a restart of the whole service, and ``total`` how many records
    all parts have together. ``query_id`` is that of the ``KeySync``, or zero if there
    was none.
    """

    query_id: int
    ready: bool
    restart_seen: bool
    voters: tuple[str, ...]
    records: tuple[KeyRecord, ...]
    total: int


class KeyLeave(Message, frozen=True, tag=53):
    """The sender has handed on all its claims and votes no more."""

    name: str
    incarnation: int
