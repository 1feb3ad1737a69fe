"""One owner for each flow: how the agents of a service agree on it.

The first candidate of a new flow is its home and places it, here or at a peer. Two
agents can take themselves for the home of one flow when the membership changes or is
known differently in two places. So a home that can't rule this out *claims* the flow
first: each other candidate answers what it knows and remembers the claim.

    ownership = Ownership(me, "order-hub", group, local, ask)
    match await ownership.open(packet, candidates):
        case At(owner):
            ...

What an answer promises makes the safeguard enough: an agent that has answered "not
here" places the flow no more by itself, and one that has begun to place it never
yields. Of two homes that ask each other at most one therefore places.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelspan_common.ownership import Claim, ClaimAnswer, Handoff, HandoffAnswer
from cornelspan_common.packets import Packet
from cornelspan_ownership.directory import AgentId, Directory, FlowAgents
from cornelspan_ownership.interfaces import (
    AnswerResult,
    CallError,
    CallPeers,
    ForwardTo,
    LocalAgent,
    OpenResult,
    OwnedBy,
    PeerGroup,
    Rejected,
    RetryLater,
)
from cornelspan_ownership.placement import (
    HANDOFF_ATTEMPTS,
    NO_LIMIT,
    LoadTable,
    busy_limit,
    load_message,
    rank_targets,
)

MAX_OPEN_HOPS = 6
MAX_PLACEMENT_STEPS = 16
MAX_UNKNOWN_AGENTS = 1000
UNKNOWN_AGENT_SECONDS = 1.0
OWNER_LOST = Rejected("owner lost")
UNANSWERED_HANDOFF_SECONDS = 60.0


@dataclass(slots=True)
class PendingOpen:
    """An open under way here."""

    placing: bool = False
    target: str = ""


@dataclass
class OwnershipCounts:
    """Opens by how they were decided."""

    kept: int = 0
    handed_off: int = 0
    claimed: int = 0
    yielded: int = 0
    rejected_handoffs: int = 0
    deferred: int = 0


@dataclass
class Ownership:
    """What one agent knows and has promised about the flows of its service.

    ``unanswered_handoffs`` holds the targets of hand-offs that no answer came to: they may own the
    flow, so nobody else is asked until they answer or are gone.
    """

    agent_id: AgentId
    service: str
    group: PeerGroup
    local: LocalAgent
    call_peers: CallPeers
    clock: Callable[[], float]
    directory: Directory
    loads: LoadTable = field(default_factory=LoadTable)
    pending: dict[int, PendingOpen] = field(default_factory=dict)
    unknown_since: dict[str, float] = field(default_factory=dict)
    last_call_id: int = 0
    counts: OwnershipCounts = field(default_factory=OwnershipCounts)
    unanswered_handoffs: FlowAgents = field(
        default_factory=lambda: FlowAgents(idle_seconds=UNANSWERED_HANDOFF_SECONDS)
    )

    def locate(self, flow: int) -> OpenResult | None:
        """Return what is known here of a flow, None if nothing."""
        if self.local.owns(flow):
            return OwnedBy(self.agent_id.name)
        now = self.clock()
        ended = self.directory.ended.get(flow, now)
        if ended is not None:
            return (
                RetryLater("flow has ended")
                if ended.name in ("", self.agent_id.name)
                else OWNER_LOST
            )
        owner = self.directory.owners.get(flow, now)
        if owner is not None:
            return OwnedBy(owner.name)
        home = self.directory.homes.get(flow, now)
        return ForwardTo(home.name) if home is not None else None

    async def open(
        self, packet: Packet, candidates: Sequence[str], hops: int
    ) -> OpenResult:
        """Find or become the home of a flow, and place it.

        Args:
            packet: The OPEN.
            listed: Candidates as the balancer that sent it ranks them.
            hops: Agents that have passed the packet on.
        """
        if hops >= MAX_OPEN_HOPS:
            candidates = self._break_loop(packet.flow, candidates)
        known = self.locate(packet.flow)
        if known is not None:
            return known
        if packet.flow in self.pending:
            return RetryLater("open under way")
        pending = self.pending[packet.flow] = PendingOpen()
        try:
            opened = await self._open(packet, candidates, pending)
        finally:
            del self.pending[packet.flow]
        if isinstance(opened, RetryLater):
            self.counts.deferred += 1
        return opened

    async def _open(
        self, packet: Packet, candidates: Sequence[str], pending: PendingOpen
    ) -> OpenResult:
        if self._must_claim(packet.flow, candidates):
            self.counts.claimed += 1
            found = await self._claim(
                packet.flow, self._other_candidates(packet.flow, candidates)
            )
            # While the answers were on their way this agent may have yielded, taken a
            # hand-off, or been told of an owner: that comes first.
            found = self.locate(packet.flow) or found
            if found is not None:
                return found
        pending.placing = True
        return await self._place(packet, pending)

    def _break_loop(self, flow: int, candidates: Sequence[str]) -> Sequence[str]:
        """Forget the recorded home of a flow, and have it asked once more.

        Two agents that each yielded to the other, one after a claim that came to
        nothing, pass an open to and fro. To claim anew is safe, since the other is
        asked and says so if it is placing.

        Returns:
            Whom to ask; in an order that calls for a claim.
        """
        home = self.directory.homes.get(flow, self.clock())
        self.directory.homes.drop(flow)
        return (*candidates, home.name if home else self.agent_id.name)

    def _must_claim(self, flow: int, candidates: Sequence[str]) -> bool:
        """Whether another agent may take itself for the home of this flow.

        A time after each change alone is not enough, since updates reach balancers
        late, for minutes while the store is down: the sender's list has to be the same
        as this agent's own, with this agent first.
        """
        if self.unanswered_handoffs.get(flow, self.clock()) is not None:
            return False
        ranked = self.group.ranked(flow)
        first = bool(ranked) and ranked[0] == self.agent_id.name
        return not (first and tuple(candidates) == ranked and self.group.is_stable())

    async def _claim(self, flow: int, names: list[str]) -> OpenResult | None:
        """Ask agents, and the homes that they name; None if the claim stands with all.

        Only a home itself knows whether it still is: others may have recorded a claim
        that has since yielded.
        """
        if unknown_names := self._recently_unknown(names):
            return RetryLater(f"{unknown_names[0]} is not known here yet")
        asked: set[str] = set()
        to_ask = [name for name in names if self.group.find_agent(name)]
        while to_ask:
            answers = await self.call_peers(to_ask, self._claim_message(flow))
            asked.update(to_ask)
            match self._evaluate_answers(flow, to_ask, answers):
                case Ok(named_homes):
                    to_ask = [n for n in dict.fromkeys(named_homes) if n not in asked]
                case Err(opened):
                    return opened
        return None

    def _recently_unknown(self, names: list[str]) -> list[str]:
        """Return names that this agent has not heard of, but may in a moment.

        A balancer may know a new agent before this one does. A name that stays unknown
        is of one that was gone before this agent began; waiting on would hold up every
        flow while an old view lasts.
        """
        now = self.clock()
        unknown = [name for name in names if self.group.find_agent(name) is None]
        if len(self.unknown_since) > MAX_UNKNOWN_AGENTS:
            self.unknown_since.clear()
        return [
            name
            for name in unknown
            if now - self.unknown_since.setdefault(name, now) < UNKNOWN_AGENT_SECONDS
        ]

    def _evaluate_answers(
        self, flow: int, asked: Sequence[str], answers: list[AnswerResult]
    ) -> Result[list[str], OpenResult]:
        """Read answers to a claim.

        Returns:
            Other homes that have to be asked, or what ends the claim.
        """
        named_homes: list[str] = []
        unanswered: OpenResult | None = None
        for name, answer in zip(asked, answers, strict=True):
            match answer:
                case Ok(ClaimAnswer(owner=owner) as found) if owner:
                    return Err(self._record_owner(flow, found))
                case Ok(ClaimAnswer(home=home) as found) if home == name:
                    return Err(self._yield_to_home(flow, found))
                case Ok(ClaimAnswer(home=home, home_incarnation=incarnation)) if home:
                    if self._has_ended(home, incarnation):
                        continue
                    if self.group.find_agent(home) is None:
                        return Err(ForwardTo(name))
                    named_homes.append(home)
                case Err(CallError(gone=False)):
                    unanswered = RetryLater(f"no answer from {name}")
        return Err(unanswered) if unanswered is not None else Ok(named_homes)

    def _record_owner(self, flow: int, answer: ClaimAnswer) -> OpenResult:
        if self.group.is_gone(answer.owner, answer.owner_incarnation):
            return OWNER_LOST
        owner = AgentId(answer.owner, answer.owner_incarnation)
        if owner == self.agent_id:
            return self.locate(flow) or RetryLater("flow has ended")
        self.directory.owners.put(flow, owner, self.clock())
        return OwnedBy(owner.name)

    def _yield_to_home(self, flow: int, answer: ClaimAnswer) -> OpenResult:
        home = AgentId(answer.home, answer.home_incarnation)
        self.directory.homes.put(flow, home, self.clock())
        self.counts.yielded += 1
        return ForwardTo(home.name)

    def _other_candidates(self, flow: int, candidates: Sequence[str]) -> list[str]:
        """Return the candidates of both views but this agent and those gone."""
        names = dict.fromkeys([*candidates, *self.group.ranked(flow)])
        names.pop(self.agent_id.name, None)
        return [name for name in names if not self._has_ended(name, 0)]

    def _has_ended(self, name: str, incarnation: int) -> bool:
        """Whether a life has ended, or with 0 the last one known of a name."""
        agent = self.group.find_agent(name)
        if agent is not None:
            return incarnation != 0 and agent.incarnation > incarnation
        return self.group.is_gone(name, incarnation)

    async def _place(self, packet: Packet, pending: PendingOpen) -> OpenResult:
        """Keep the flow or hand it off, until someone has it for sure."""
        attempts_left = HANDOFF_ATTEMPTS
        yielded = ""
        excluded: set[str] = set()
        for _ in range(MAX_PLACEMENT_STEPS):
            target = self._choose_target(packet.flow, excluded)
            if target is None:
                return self._no_target()
            if target == "":
                self.counts.kept += 1
                self.local.open(packet)
                return OwnedBy(self.agent_id.name)
            pending.target = target
            match await self._hand_off(packet, target, attempts_left, yielded):
                case Ok(HandoffAnswer(accepted=True)):
                    return self._record_handoff(packet.flow, target)
                case Ok(HandoffAnswer(home=home) as answer) if home:
                    result = await self._claim_from_home(packet.flow, answer)
                    if result is not None:
                        return result
                    yielded = home
                case Ok(HandoffAnswer(load=load)):
                    self.counts.rejected_handoffs += 1
                    attempts_left -= 1
                    if load.slots == 0 or attempts_left < 0:
                        excluded.add(target)
                case Err(CallError(gone=True)):
                    excluded.add(target)
                case Err():
                    return RetryLater(f"no answer from {target}")
        return RetryLater("refused too often")

    def _no_target(self) -> OpenResult:
        """Refuse a flow that nobody can take, unless someone may in a moment.

        In a rolling restart the last agent leaves while its successors have told no
        load yet. Refused, the caller would see a broken flow; its open is repeated
        for about 12 s anyway, and a group that has settled refuses at once.
        """
        if self.group.is_stable():
            return Rejected("no endpoint takes new flows")
        return RetryLater("no endpoint has told that it takes new flows")

    def _choose_target(self, flow: int, excluded: set[str]) -> str | None:
        """Return whom to place a flow at, "" for here, None if nobody can take it."""
        unanswered_handoffs = self.unanswered_handoffs.get(flow, self.clock())
        if unanswered_handoffs is not None:
            if not self._has_ended(
                unanswered_handoffs.name, unanswered_handoffs.incarnation
            ):
                return unanswered_handoffs.name
            self.unanswered_handoffs.drop(flow)
        peers = [
            name
            for name in self.group.ranked(flow)
            if name != self.agent_id.name
            and name not in excluded
            and self.group.find_agent(name)
        ]
        ordered = rank_targets(self.local.load(), self.loads, peers)
        return ordered[0] if ordered else None

    async def _hand_off(
        self, packet: Packet, target: str, attempts_left: int, yielded: str
    ) -> AnswerResult:
        """Ask a peer to own the flow; without an answer it stays the one to ask."""
        flow = packet.flow
        is_retry = self.unanswered_handoffs.get(flow, self.clock()) is not None
        limit = NO_LIMIT if is_retry else busy_limit(self.loads, target, attempts_left)
        agent = self.group.find_agent(target) or AgentId(target, 0)
        self.unanswered_handoffs.put(flow, agent, self.clock())
        self.loads.add_unanswered(target)
        message = self._handoff_message(packet, limit, yielded)
        [answer] = await self.call_peers([target], message)
        self.loads.remove_unanswered(target)
        match answer:
            case Ok(HandoffAnswer(load=load)):
                self.loads.update(load)
                self.unanswered_handoffs.drop(flow)
            case Err(CallError(gone=True)):
                self.unanswered_handoffs.drop(flow)
        return answer

    def _record_handoff(self, flow: int, target: str) -> OpenResult:
        self.counts.handed_off += 1
        agent = self.group.find_agent(target)
        if agent is not None:
            self.directory.owners.put(flow, agent, self.clock())
        return OwnedBy(target)

    async def _claim_from_home(
        self, flow: int, answer: HandoffAnswer
    ) -> OpenResult | None:
        """Ask the home that a refusal names; None if it yields or is gone."""
        home = answer.home
        if self._has_ended(home, answer.home_incarnation):
            return None
        return await self._claim(flow, [home])

    def _claim_message(self, flow: int) -> Claim:
        self.last_call_id += 1
        agent_id = self.agent_id
        return Claim(
            self.service, flow, agent_id.name, agent_id.incarnation, self.last_call_id
        )

    def _handoff_message(self, packet: Packet, limit: int, yielded: str) -> Handoff:
        self.last_call_id += 1
        agent_id = self.agent_id
        load = load_message(
            self.service, agent_id.name, agent_id.incarnation, self.local.load()
        )
        return Handoff(
            self.service,
            packet,
            agent_id.name,
            agent_id.incarnation,
            self.last_call_id,
            yielded,
            limit,
            load,
        )
