"""Claims on idempotency keys over all agents of a service.

match await claims.claim(key, fingerprint, deadline):
    case Granted(record): run, then claims.finish(record, ...)
    case Known(record): answer from the record
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelspan_common.hashing import name_seed, rank
from cornelspan_common.packets import Message
from cornelspan_common.requests import (
    KeptAnswer,
    KeyClaim,
    KeyDone,
    KeyLeave,
    KeyRecord,
    KeyRecords,
    KeyRelease,
    KeySync,
    KeyVote,
    Token,
)
from cornelspan_requests.electorate import Electorate, majority
from cornelspan_requests.keys import KeyState, Ledger, Verdict, done_record

VOTE_SECONDS = 0.5
QUORUM_SECONDS = 3.0
LEAST_PAUSE = 0.02
LONGEST_PAUSE = 0.4
SYNC_SECONDS = 0.5
RECORDS_A_MESSAGE = 256
ANSWER_COPIES = 2

Send = Callable[[str, Message], bool]
Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim stands: the request may run, once."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Known:
    """Another claim stands; ``holder_gone`` tells that its agent died while it ran."""

    record: KeyRecord
    holder_gone: bool = False


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """Too few agents answered; whether the key has run is not known."""


Claimed = Granted | Known | NoQuorum


@dataclass
class Ballot:
    """One question and the votes on it so far."""

    claim: KeyRecord
    recorded: dict[str, int] = field(default_factory=dict)
    known: dict[str, KeyRecord] = field(default_factory=dict)
    not_ready: set[str] = field(default_factory=set)
    electorate: set[str] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def granted(self) -> bool:
        """Whether more than half have recorded the claim, by every voter's view."""
        return len(self.recorded) >= majority(len(self.electorate))

    @property
    def complete(self) -> bool:
        """Whether all have voted."""
        voters = self.recorded.keys() | self.known.keys() | self.not_ready
        return self.electorate <= voters

    @property
    def decided(self) -> bool:
        """Whether waiting for more votes can't change what the claimant does."""
        if self.complete:
            return True
        if not self.known:
            return self.granted
        return any(self._settles(record) for record in self.known.values())

    def _settles(self, record: KeyRecord) -> bool:
        """Whether one voter's record is all that there is to know."""
        if record.state == KeyState.CLAIMED:
            return record.token.holder in self.recorded.keys() | self.known.keys()
        return record.state == KeyState.UNKNOWN or record.answer is not None


@dataclass
class Claims:
    """The claims of one agent, its votes on others', and its way into the group.

    ``window`` is how long a finished run is remembered, and ``seat_window`` how long a
    claim of a run that goes on can last, both in seconds.
    """

    electorate: Electorate
    send: Send
    clock: Clock
    window: Callable[[], float]
    seat_window: Callable[[], float]
    ledger: Ledger = field(default_factory=Ledger)
    ballots: dict[int, Ballot] = field(default_factory=dict)
    number: int = 0
    syncing: int = 0
    received: Counter[str] = field(default_factory=Counter)
    leaving: bool = False

    async def claim(self, key: bytes, fingerprint: int, deadline: float) -> Claimed:
        """Claim a key for a run, or learn what has become of it.

        While another run of the key goes on this waits for its end, asking again with
        jittered pauses. Without a quorum it gives up after ``QUORUM_SECONDS``, enough
        for agents that start together; a lost majority may take the whole window.

        Args:
            key: Digest of the key.
            fingerprint: Digest of the request.
            deadline: How long to go on, by the clock.
        """
        pause = LEAST_PAUSE
        quorum_until = min(deadline, self.clock() + QUORUM_SECONDS)
        while True:
            claimed = await self._ask(key, fingerprint, deadline)
            if isinstance(claimed, Granted) or self.clock() + pause > deadline:
                return claimed
            if isinstance(claimed, NoQuorum) and self.clock() >= quorum_until:
                return claimed
            if isinstance(claimed, Known):
                running = claimed.record.state == KeyState.CLAIMED
                if not running or claimed.holder_gone:
                    return claimed
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(LONGEST_PAUSE, 2 * pause)

    def release(self, claim: KeyRecord) -> None:
        """Give a granted claim back: its request has surely not run."""
        self.ledger.release(claim.key, claim.token)
        self._broadcast(KeyRelease(claim.key, claim.token))

    def finish(
        self, claim: KeyRecord, state: KeyState, answer: KeptAnswer | None
    ) -> None:
        """Tell all how the run of a granted claim has ended.

        The first by the key's rank get the answer too, so that it can be given again
        when this agent has died.
        """
        record = done_record(claim, state, self.window(), answer)
        self.ledger.finish(record, self.clock())
        others = self._others()
        ranked = rank(
            int.from_bytes(claim.key[:8], "little"),
            [(name, name_seed(name), 1.0) for name in others],
        )
        without = done_record(claim, state, self.window(), None)
        for at, name in enumerate(ranked):
            self.send(name, KeyDone(record if at < ANSWER_COPIES else without))

    def receive(self, sender: str, message: Message) -> None:
        """Take a message of another agent."""
        now = self.clock()
        match message:
            case KeyClaim():
                self._vote(sender, message, now)
            case KeyVote():
                self._count(sender, message)
            case KeyRelease(key, token):
                self.ledger.release(key, token)
            case KeyDone(record):
                self.ledger.finish(record, now)
            case KeySync():
                self._answer_sync(sender, message, now)
            case KeyRecords():
                self._take_in(sender, message, now)
            case KeyLeave(name, incarnation):
                self.electorate.leave(name, incarnation)

    async def join(self) -> None:
        """Ask the others for their claims until this agent may vote."""
        while not self.electorate.settle(self.clock(), self.seat_window()):
            self.number += 1
            self.syncing = self.number
            self.received.clear()
            electorate = self.electorate
            self._broadcast(
                KeySync(self.number, electorate.name, electorate.incarnation)
            )
            await asyncio.sleep(SYNC_SECONDS * random.uniform(0.5, 1.0))

    def leave(self) -> None:
        """Hand all claims to the others and give up the seat, in a planned stop."""
        self.leaving = True
        now = self.clock()
        for name in self._others():
            self._send_records(name, 0, now)
        electorate = self.electorate
        self._broadcast(KeyLeave(electorate.name, electorate.incarnation))

    async def _ask(self, key: bytes, fingerprint: int, deadline: float) -> Claimed:
        """Put one claim to the vote."""
        self.number += 1
        electorate = self.electorate
        token = Token(electorate.name, electorate.incarnation, self.number)
        seconds = self.window() + max(0.0, deadline - self.clock())
        claim = KeyRecord(key, token, fingerprint, KeyState.CLAIMED, seconds)
        ballot = Ballot(claim, electorate=electorate.names())
        self.ballots[self.number] = ballot
        question = self.number
        try:
            if not self._vote_here(ballot):
                return NoQuorum()
            if not ballot.decided:
                self._broadcast(KeyClaim(question, claim))
                await self._wait_for_votes(ballot, deadline)
            return self._close(ballot)
        except BaseException:
            self.release(claim)
            raise
        finally:
            del self.ballots[question]

    def _vote_here(self, ballot: Ballot) -> bool:
        """Record the own claim and count the own vote, if it counts yet.

        Recorded it is in any case: another agent takes our vote for its claim as word
        that we hold none.

        Returns:
            False if there is no room for the record.
        """
        name = self.electorate.name
        verdict, known = self.ledger.vote(ballot.claim, self.clock())
        if known is None and verdict is not Verdict.RECORDED:
            return False
        ready = self.electorate.settle(self.clock(), self.seat_window())
        if not ready or self.leaving:
            verdict = Verdict.NOT_READY
        self._enter(ballot, name, self.electorate.incarnation, verdict, known)
        return True

    async def _wait_for_votes(self, ballot: Ballot, deadline: float) -> None:
        seconds = min(VOTE_SECONDS, max(0.0, deadline - self.clock()))
        try:
            async with asyncio.timeout(seconds):
                while not ballot.decided:
                    ballot.changed.clear()
                    await ballot.changed.wait()
        except TimeoutError:
            return

    def _close(self, ballot: Ballot) -> Claimed:
        """Read the votes; a claim that is not granted is taken back everywhere."""
        if ballot.granted and not ballot.known:
            return Granted(ballot.claim)
        self.release(ballot.claim)
        if not ballot.known:
            return NoQuorum()
        record = max(ballot.known.values(), key=_knowledge)
        if self._stale(ballot, record):
            # The holder says it holds no such claim: its release was lost on the way.
            self._broadcast(KeyRelease(record.key, record.token))
            self.ledger.release(record.key, record.token)
            return NoQuorum()
        return Known(record, holder_gone=self._holder_gone(record))

    def _stale(self, ballot: Ballot, record: KeyRecord) -> bool:
        """Whether a claim stands at a voter that its own holder no longer holds."""
        holder = record.token.holder
        if record.state != KeyState.CLAIMED:
            return False
        if holder == self.electorate.name:
            this_life = record.token.incarnation == self.electorate.incarnation
            return this_life and holder not in ballot.known
        return ballot.recorded.get(holder) == record.token.incarnation

    def _holder_gone(self, record: KeyRecord) -> bool:
        seat = self.electorate.seats.get(record.token.holder)
        if seat is None or seat.lost_at is not None:
            return True
        return seat.incarnation != record.token.incarnation

    def _vote(self, sender: str, claim: KeyClaim, now: float) -> None:
        verdict, known = Verdict.NOT_READY, None
        if self.electorate.settle(now, self.seat_window()) and not self.leaving:
            verdict, known = self.ledger.vote(claim.record, now)
        else:
            known = self.ledger.find(claim.record.key, now)
        names = tuple(sorted(self.electorate.names()))
        life = self.electorate.incarnation
        self.send(sender, KeyVote(claim.question, verdict, known, names, life))

    def _count(self, sender: str, vote: KeyVote) -> None:
        ballot = self.ballots.get(vote.question)
        if ballot is None:
            return
        unknown = set(vote.electorate) - ballot.electorate
        ballot.electorate |= {
            name for name in unknown if name not in self.electorate.left
        }
        verdict = Verdict(vote.verdict)
        self._enter(ballot, sender, vote.incarnation, verdict, vote.known)
        ballot.changed.set()

    def _enter(
        self,
        ballot: Ballot,
        name: str,
        incarnation: int,
        verdict: Verdict,
        known: KeyRecord | None,
    ) -> None:
        if known is not None and known.token != ballot.claim.token:
            ballot.known[name] = known
        elif verdict is Verdict.RECORDED:
            ballot.recorded[name] = incarnation
        else:
            ballot.not_ready.add(name)

    def _answer_sync(self, sender: str, sync: KeySync, now: float) -> None:
        # From here on the new agent counts, so that a claim granted after this answer
        # needs a majority which includes it or one of those it has heard.
        self.electorate.welcome(sync.name, sync.incarnation)
        self._send_records(sender, sync.question, now)

    def _send_records(self, name: str, question: int, now: float) -> None:
        records = self.ledger.all_records(now)
        names = tuple(sorted(self.electorate.names()))
        ready = self.electorate.settle(now, self.seat_window())
        for start in range(0, max(1, len(records)), RECORDS_A_MESSAGE):
            part = tuple(records[start : start + RECORDS_A_MESSAGE])
            earlier = self.electorate.earlier
            total = len(records)
            message = KeyRecords(question, ready, earlier, names, part, total)
            self.send(name, message)

    def _take_in(self, sender: str, records: KeyRecords, now: float) -> None:
        self.ledger.take_in(records.records, now)
        if records.question != self.syncing or not self.syncing:
            return
        self.received[sender] += len(records.records)
        if self.received[sender] == records.total:
            self.electorate.answered(
                sender,
                ready=records.ready,
                earlier=records.earlier,
                others=records.electorate,
            )
            self.electorate.settle(now, self.seat_window())

    def _others(self) -> list[str]:
        return sorted(self.electorate.names() - {self.electorate.name})

    def _broadcast(self, message: Message) -> None:
        for name in self._others():
            self.send(name, message)


def _knowledge(record: KeyRecord) -> tuple[bool, bool]:
    return record.state != KeyState.CLAIMED, record.answer is not None
