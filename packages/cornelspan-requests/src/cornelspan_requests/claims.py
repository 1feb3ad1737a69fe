"""Claims on idempotency keys, granted by a majority of the service's agents.

match await claims.claim(key, fingerprint, deadline):
    case Granted(record): run, then claims.finish(record, ...)
    case Existing(record): answer from the record
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
from cornelspan_requests.keys import KeyState, KeyStore, Vote, finished_record
from cornelspan_requests.voters import VoterSet, majority

VOTE_TIMEOUT_SECONDS = 0.5
QUORUM_TIMEOUT_SECONDS = 3.0
MIN_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 0.4
SYNC_INTERVAL_SECONDS = 0.5
RECORDS_PER_MESSAGE = 256
ANSWER_COPIES = 2

Send = Callable[[str, Message], bool]
Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim was granted: the request may run, once."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Existing:
    """The key is claimed already.

    ``holder_gone`` tells that the agent that holds the claim has died, left or
    restarted.
    """

    record: KeyRecord
    holder_gone: bool = False


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """Too few agents answered, so it is not known whether the key has run."""


ClaimResult = Granted | Existing | NoQuorum


@dataclass
class VoteRound:
    """A round of votes on one claim, with the votes so far.

    ``recorded`` are the agents that recorded the claim, with their incarnations.
    ``known`` are records of other claims on the key, by the agent that has them.
    ``not_ready`` are agents that may not vote yet. ``voters`` are all whose votes
    count, including those that only other voters know of.
    """

    claim: KeyRecord
    recorded: dict[str, int] = field(default_factory=dict)
    known: dict[str, KeyRecord] = field(default_factory=dict)
    not_ready: set[str] = field(default_factory=set)
    voters: set[str] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def granted(self) -> bool:
        """Whether a majority of all known voters has recorded the claim."""
        return len(self.recorded) >= majority(len(self.voters))

    @property
    def complete(self) -> bool:
        """Whether all voters have answered."""
        answered = self.recorded.keys() | self.known.keys() | self.not_ready
        return self.voters <= answered

    @property
    def decided(self) -> bool:
        """Whether further votes can't change the result for the claimant."""
        if self.complete:
            return True
        if not self.known:
            return self.granted
        return any(self._is_conclusive(record) for record in self.known.values())

    def _is_conclusive(self, record: KeyRecord) -> bool:
        """Whether the record of one voter decides the round by itself.

        A record of a claim whose request still runs does so once its holder has
        answered, and a record of a finished run if it has the answer, or if the outcome
        of the run is unknown.
        """
        if record.state == KeyState.CLAIMED:
            return record.token.holder in self.recorded.keys() | self.known.keys()
        return record.state == KeyState.UNKNOWN or record.answer is not None


@dataclass
class Claims:
    """The claims of one agent, its votes on other claims, and how it starts to vote.

    ``window`` returns how long the record of a finished run is kept, and
    ``voter_window`` how long a missing agent stays a voter: as long as a claim lasts.
    Both are in seconds. ``sync_number`` is the number of the latest request for the
    other agents' records, and ``records_received`` counts the records got for it.
    """

    voters: VoterSet
    send: Send
    clock: Clock
    window: Callable[[], float]
    voter_window: Callable[[], float]
    key_store: KeyStore = field(default_factory=KeyStore)
    rounds: dict[int, VoteRound] = field(default_factory=dict)
    number: int = 0
    sync_number: int = 0
    records_received: Counter[str] = field(default_factory=Counter)
    leaving: bool = False

    async def claim(self, key: bytes, fingerprint: int, deadline: float) -> ClaimResult:
        """Claim a key for a run, or return the record of an earlier claim.

        While another run of the key goes on, wait for its end and ask again after
        jittered pauses. Without a quorum, give up after ``QUORUM_TIMEOUT_SECONDS``:
        long enough for agents that start together. After the loss of a majority a
        quorum may be missing for the whole record window.

        Args:
            key: Digest of the key.
            fingerprint: Digest of the request.
            deadline: When to stop trying, in seconds on the clock.
        """
        pause = MIN_PAUSE_SECONDS
        quorum_until = min(deadline, self.clock() + QUORUM_TIMEOUT_SECONDS)
        while True:
            result = await self._run_round(key, fingerprint, deadline)
            if isinstance(result, Granted) or self.clock() + pause > deadline:
                return result
            if isinstance(result, NoQuorum) and self.clock() >= quorum_until:
                return result
            if isinstance(result, Existing):
                running = result.record.state == KeyState.CLAIMED
                if not running or result.holder_gone:
                    return result
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(MAX_PAUSE_SECONDS, 2 * pause)

    def release(self, claim: KeyRecord) -> None:
        """Release a claim whose request has certainly not run."""
        self.key_store.release(claim.key, claim.token)
        self._broadcast(KeyRelease(claim.key, claim.token))

    def finish(
        self, claim: KeyRecord, state: KeyState, answer: KeptAnswer | None
    ) -> None:
        """Record how the run of a granted claim ended, and send it to the other voters.

        ``ANSWER_COPIES`` of them, chosen by rendezvous hashing of the key, get the
        answer too. So a repeated request can still get it after this agent has died.

        Args:
            claim: The granted claim.
            state: How the run ended.
            answer: The answer to keep, if any.
        """
        record = finished_record(claim, state, self.window(), answer)
        self.key_store.finish(record, self.clock())
        others = self._others()
        ranked = rank(
            int.from_bytes(claim.key[:8], "little"),
            [(name, name_seed(name), 1.0) for name in others],
        )
        without_answer = finished_record(claim, state, self.window(), None)
        for index, name in enumerate(ranked):
            self.send(
                name, KeyDone(record if index < ANSWER_COPIES else without_answer)
            )

    def receive(self, sender: str, message: Message) -> None:
        """Process a message of another agent."""
        now = self.clock()
        match message:
            case KeyClaim():
                self._answer_claim(sender, message, now)
            case KeyVote():
                self._receive_vote(sender, message)
            case KeyRelease(key, token):
                self.key_store.release(key, token)
            case KeyDone(record):
                self.key_store.finish(record, now)
            case KeySync():
                self._answer_sync(sender, message, now)
            case KeyRecords():
                self._receive_records(sender, message, now)
            case KeyLeave(name, incarnation):
                self.voters.remove_voter(name, incarnation)

    async def join(self) -> None:
        """Request the records of the other agents until this one may vote."""
        while not self.voters.update_ready(self.clock(), self.voter_window()):
            self.number += 1
            self.sync_number = self.number
            self.records_received.clear()
            voters = self.voters
            self._broadcast(KeySync(self.number, voters.name, voters.incarnation))
            await asyncio.sleep(SYNC_INTERVAL_SECONDS * random.uniform(0.5, 1.0))

    def leave(self) -> None:
        """Send all records to the other agents and stop voting, in a planned stop."""
        self.leaving = True
        now = self.clock()
        for name in self._others():
            self._send_records(name, 0, now)
        voters = self.voters
        self._broadcast(KeyLeave(voters.name, voters.incarnation))

    async def _run_round(
        self, key: bytes, fingerprint: int, deadline: float
    ) -> ClaimResult:
        """Let all voters vote on a new claim, and return the result."""
        self.number += 1
        voters = self.voters
        token = Token(voters.name, voters.incarnation, self.number)
        seconds = self.window() + max(0.0, deadline - self.clock())
        claim = KeyRecord(key, token, fingerprint, KeyState.CLAIMED, seconds)
        vote_round = VoteRound(claim, voters=voters.names())
        self.rounds[self.number] = vote_round
        question = self.number
        try:
            if not self._vote_locally(vote_round):
                return NoQuorum()
            if not vote_round.decided:
                self._broadcast(KeyClaim(question, claim))
                await self._wait_for_votes(vote_round, deadline)
            return self._decide(vote_round)
        except BaseException:
            self.release(claim)
            raise
        finally:
            del self.rounds[question]

    def _vote_locally(self, vote_round: VoteRound) -> bool:
        """Record the agent's own claim, and count its own vote if it may vote.

        The claim is recorded even if this agent may not vote. Otherwise it could record
        another agent's claim on the same key, and the other agent would conclude that
        this one holds no claim of its own.

        Returns:
            False if there is no room for the record.
        """
        name = self.voters.name
        vote, known = self.key_store.record_claim(vote_round.claim, self.clock())
        if known is None and vote is not Vote.RECORDED:
            return False
        ready = self.voters.update_ready(self.clock(), self.voter_window())
        if not ready or self.leaving:
            vote = Vote.NOT_READY
        self._record_vote(vote_round, name, self.voters.incarnation, vote, known)
        return True

    async def _wait_for_votes(self, vote_round: VoteRound, deadline: float) -> None:
        """Wait until a round is decided, or the vote timeout or deadline passes."""
        seconds = min(VOTE_TIMEOUT_SECONDS, max(0.0, deadline - self.clock()))
        try:
            async with asyncio.timeout(seconds):
                while not vote_round.decided:
                    vote_round.changed.clear()
                    await vote_round.changed.wait()
        except TimeoutError:
            return

    def _decide(self, vote_round: VoteRound) -> ClaimResult:
        """Return the result of a round; release a claim that was not granted."""
        if vote_round.granted and not vote_round.known:
            return Granted(vote_round.claim)
        self.release(vote_round.claim)
        if not vote_round.known:
            return NoQuorum()
        record = max(vote_round.known.values(), key=_completeness)
        if self._is_released(vote_round, record):
            # The holder has no such claim any more: its release message was lost.
            self._broadcast(KeyRelease(record.key, record.token))
            self.key_store.release(record.key, record.token)
            return NoQuorum()
        return Existing(record, holder_gone=self._holder_gone(record))

    def _is_released(self, vote_round: VoteRound, record: KeyRecord) -> bool:
        """Whether a record is of a claim that its holder has released."""
        holder = record.token.holder
        if record.state != KeyState.CLAIMED:
            return False
        if holder == self.voters.name:
            same_incarnation = record.token.incarnation == self.voters.incarnation
            return same_incarnation and holder not in vote_round.known
        return vote_round.recorded.get(holder) == record.token.incarnation

    def _holder_gone(self, record: KeyRecord) -> bool:
        """Whether the holder of a record has died, left or restarted."""
        voter = self.voters.by_name.get(record.token.holder)
        if voter is None or voter.missing_since is not None:
            return True
        return voter.incarnation != record.token.incarnation

    def _answer_claim(self, sender: str, claim: KeyClaim, now: float) -> None:
        """Vote on the claim of another agent."""
        vote, known = Vote.NOT_READY, None
        if self.voters.update_ready(now, self.voter_window()) and not self.leaving:
            vote, known = self.key_store.record_claim(claim.record, now)
        else:
            known = self.key_store.find(claim.record.key, now)
        names = tuple(sorted(self.voters.names()))
        incarnation = self.voters.incarnation
        self.send(sender, KeyVote(claim.query_id, vote, known, names, incarnation))

    def _receive_vote(self, sender: str, message: KeyVote) -> None:
        """Count a vote, and add voters that only its sender knows."""
        vote_round = self.rounds.get(message.query_id)
        if vote_round is None:
            return
        unknown = set(message.voters) - vote_round.voters
        vote_round.voters |= {
            name for name in unknown if name not in self.voters.left_incarnations
        }
        vote = Vote(message.vote)
        self._record_vote(vote_round, sender, message.incarnation, vote, message.known)
        vote_round.changed.set()

    def _record_vote(
        self,
        vote_round: VoteRound,
        name: str,
        incarnation: int,
        vote: Vote,
        known: KeyRecord | None,
    ) -> None:
        """Add the vote of one agent to a round."""
        if known is not None and known.token != vote_round.claim.token:
            vote_round.known[name] = known
        elif vote is Vote.RECORDED:
            vote_round.recorded[name] = incarnation
        else:
            vote_round.not_ready.add(name)

    def _answer_sync(self, sender: str, sync: KeySync, now: float) -> None:
        """Send all records to an agent that has started."""
        # From here on the new agent counts as a voter. So a claim that is granted after
        # this answer needs a majority that includes the new agent, or one of the agents
        # whose records it has received.
        self.voters.add_voter(sync.name, sync.incarnation)
        self._send_records(sender, sync.query_id, now)

    def _send_records(self, name: str, question: int, now: float) -> None:
        """Send all records to an agent, in several messages if needed."""
        records = self.key_store.all_records(now)
        names = tuple(sorted(self.voters.names()))
        ready = self.voters.update_ready(now, self.voter_window())
        for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE):
            part = tuple(records[start : start + RECORDS_PER_MESSAGE])
            restart_seen = self.voters.restart_seen
            total = len(records)
            message = KeyRecords(question, ready, restart_seen, names, part, total)
            self.send(name, message)

    def _receive_records(self, sender: str, records: KeyRecords, now: float) -> None:
        """Merge records, and note when an agent has sent all of its own."""
        self.key_store.merge(records.records, now)
        if records.query_id != self.sync_number or not self.sync_number:
            return
        self.records_received[sender] += len(records.records)
        if self.records_received[sender] == records.total:
            self.voters.record_sync(
                sender,
                ready=records.ready,
                restart_seen=records.restart_seen,
                others=records.voters,
            )
            self.voters.update_ready(now, self.voter_window())

    def _others(self) -> list[str]:
        """Return the names of the other voters."""
        return sorted(self.voters.names() - {self.voters.name})

    def _broadcast(self, message: Message) -> None:
        """Send a message to all other voters."""
        for name in self._others():
            self.send(name, message)


def _completeness(record: KeyRecord) -> tuple[bool, bool]:
    """Return a sort key: finished records last, those with an answer at the end."""
    return record.state != KeyState.CLAIMED, record.answer is not None
