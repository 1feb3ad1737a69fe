"""Agreement between the agents of a service on one owner for each flow.

The first candidate of a new flow is its home. The home places the flow: it becomes the
owner itself or hands the flow off to a peer. While the membership changes, or is known
differently by two agents, both can act as home of one flow. A home that can't rule
this out *claims* the flow first: every other candidate replies with the owner or home
that it knows, and otherwise records the claim.

    ownership = Ownership(
        agent_id, "order-hub", group, local, call_peers, clock, directory
    )
    match await ownership.open(packet, candidates, hops):
        case OwnedBy(owner):
            ...

Two homes can't both place a flow: an agent that has recorded a claim no longer places
the flow on its own, and an agent that has begun to place it never grants a claim. So
of two homes that claim the flow from each other at most one places it. The other one
*yields*: it forwards the OPEN instead of placing the flow.
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

MAX_HOPS_TO_HOME = 6
MAX_PLACEMENT_STEPS = 16
MAX_UNKNOWN_AGENTS = 1000
UNKNOWN_AGENT_SECONDS = 1.0
OWNER_LOST = Rejected("owner lost")
UNANSWERED_HANDOFF_SECONDS = 60.0


@dataclass(slots=True)
class PendingOpen:
    """An OPEN that is being handled here.

    ``placing`` is set once no claim is needed or all claims were granted; ``target`` is
    the peer that the flow is being handed off to, "" before one is chosen.
    """

    placing: bool = False
    target: str = ""


@dataclass
class OwnershipCounts:
    """Counts of OPENs by outcome, and of hand-offs that peers rejected."""

    kept: int = 0
    handed_off: int = 0
    claimed: int = 0
    yielded: int = 0
    rejected_handoffs: int = 0
    deferred: int = 0


@dataclass
class Ownership:
    """One agent's state of flow ownership, and the handling of OPENs.

    ``unanswered_handoffs`` has the targets of hand-offs without an answer. A target may
    own the flow, so no other agent is tried until it answers or is gone.
    ``unknown_since`` has when a candidate that this agent doesn't know was first seen,
    in seconds of the clock.
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
    last_question: int = 0
    counts: OwnershipCounts = field(default_factory=OwnershipCounts)
    unanswered_handoffs: FlowAgents = field(
        default_factory=lambda: FlowAgents(idle_seconds=UNANSWERED_HANDOFF_SECONDS)
    )

    def locate(self, flow: int) -> OpenResult | None:
        """Return the result for a flow by local knowledge, None if it is unknown."""
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
        """Handle an OPEN: return the owner or home, or place the flow as its home.

        Args:
            packet: The OPEN.
            candidates: The candidates as ranked by the balancer that sent the packet.
            hops: How many agents have forwarded the packet.
        """
        if hops >= MAX_HOPS_TO_HOME:
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
            # While it waited for the answers, this agent may have recorded another
            # home's claim, accepted a hand-off or received an ``Owner`` message. These
            # take precedence over the result of the claim.
            found = self.locate(packet.flow) or found
            if found is not None:
                return found
        pending.placing = True
        return await self._place(packet, pending)

    def _break_loop(self, flow: int, candidates: Sequence[str]) -> Sequence[str]:
        """Drop the recorded home of a flow, so that this agent claims the flow again.

        If two agents each recorded the other as home, one of them after its own claim
        failed, they forward an OPEN to each other without end. A new claim is safe: the
        other agent is asked too, and names itself as home if it is placing the flow.

        Returns:
            The candidates to ask, in an order that makes a claim necessary.
        """
        home = self.directory.homes.get(flow, self.clock())
        self.directory.homes.drop(flow)
        return (*candidates, home.name if home else self.agent_id.name)

    def _must_claim(self, flow: int, candidates: Sequence[str]) -> bool:
        """Whether another agent may act as home of this flow too.

        Waiting for some time after each change of the group is not enough: while the
        store is down, updates reach balancers minutes late. So the sender's candidates
        must also equal this agent's own, with this agent first. A flow with an
        unanswered hand-off needs no claim, since its placement has already begun.
        """
        if self.unanswered_handoffs.get(flow, self.clock()) is not None:
            return False
        ranked = self.group.ranked(flow)
        first = bool(ranked) and ranked[0] == self.agent_id.name
        return not (first and tuple(candidates) == ranked and self.group.is_stable())

    async def _claim(self, flow: int, names: list[str]) -> OpenResult | None:
        """Ask agents, and the homes that they name, to record a claim to a flow.

        A home named in an answer is asked as well: it may have yielded since, which
        only it knows. Names that have been unknown for ``UNKNOWN_AGENT_SECONDS`` are
        skipped.

        Returns:
            None if this agent may place the flow: each agent that was asked has
            recorded the claim, is gone, or named a home that has ended or yielded.
            Otherwise the result of the OPEN: an owner was named, another home keeps its
            claim or is not known here, or an agent is not known here yet or didn't
            answer.
        """
        if unknown_names := self._recently_unknown(names):
            return RetryLater(f"{unknown_names[0]} is not known here yet")
        asked: set[str] = set()
        to_ask = [name for name in names if self.group.find_agent(name)]
        while to_ask:
            answers = await self.call_peers(to_ask, self._new_claim(flow))
            asked.update(to_ask)
            match self._evaluate_answers(flow, to_ask, answers):
                case Ok(named_homes):
                    to_ask = [n for n in dict.fromkeys(named_homes) if n not in asked]
                case Err(result):
                    return result
        return None

    def _recently_unknown(self, names: list[str]) -> list[str]:
        """Return the unknown agents that may still be announced here.

        A balancer may know a new agent before this agent does. A name that stays
        unknown for ``UNKNOWN_AGENT_SECONDS`` belongs to an agent that was gone before
        this one started; waiting longer would delay every OPEN from a balancer with
        an outdated membership.
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
        """Evaluate the answers to a claim.

        Returns:
            Other homes that have to be asked, or else the result of the OPEN.
        """
        named_homes: list[str] = []
        unanswered: OpenResult | None = None
        for name, answer in zip(asked, answers, strict=True):
            match answer:
                case Ok(ClaimAnswer(owner=owner) as found) if owner:
                    return Err(self._owner_from_answer(flow, found))
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

    def _owner_from_answer(self, flow: int, answer: ClaimAnswer) -> OpenResult:
        """Record the owner that an answer names; reject the flow if it is gone."""
        if self.group.is_gone(answer.owner, answer.owner_incarnation):
            return OWNER_LOST
        owner = AgentId(answer.owner, answer.owner_incarnation)
        if owner == self.agent_id:
            return self.locate(flow) or RetryLater("flow has ended")
        self.directory.owners.put(flow, owner, self.clock())
        return OwnedBy(owner.name)

    def _yield_to_home(self, flow: int, answer: ClaimAnswer) -> OpenResult:
        """Record the agent that keeps its claim as home, and forward the OPEN to it."""
        home = AgentId(answer.home, answer.home_incarnation)
        self.directory.homes.put(flow, home, self.clock())
        self.counts.yielded += 1
        return ForwardTo(home.name)

    def _other_candidates(self, flow: int, candidates: Sequence[str]) -> list[str]:
        """Return the live candidates of both lists, without this agent."""
        names = dict.fromkeys([*candidates, *self.group.ranked(flow)])
        names.pop(self.agent_id.name, None)
        return [name for name in names if not self._has_ended(name, 0)]

    def _has_ended(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation has ended; with 0, whether the agent as a whole has.

        Unlike ``group.is_gone``, this is false with 0 for an agent that was removed and
        is known again.
        """
        agent = self.group.find_agent(name)
        if agent is not None:
            return incarnation != 0 and agent.incarnation > incarnation
        return self.group.is_gone(name, incarnation)

    async def _place(self, packet: Packet, pending: PendingOpen) -> OpenResult:
        """Keep the flow or hand it off, trying targets until one accepts it."""
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
        """Reject a flow that no agent can take, or defer it while the group changes.

        In a rolling restart the last old agent leaves before the new agents have sent
        their load. Rejecting the flow then would break it for the client, although the
        fabric retries the OPEN for about 12 s. A stable group rejects at once.
        """
        if self.group.is_stable():
            return Rejected("no endpoint takes new flows")
        return RetryLater("no endpoint has told that it takes new flows")

    def _choose_target(self, flow: int, excluded: set[str]) -> str | None:
        """Return the agent to place a flow on, "" for this one, None for no agent."""
        unanswered = self.unanswered_handoffs.get(flow, self.clock())
        if unanswered is not None:
            if not self._has_ended(unanswered.name, unanswered.incarnation):
                return unanswered.name
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
        """Hand the flow off to a peer, which stays the only target until it answers."""
        flow = packet.flow
        is_retry = self.unanswered_handoffs.get(flow, self.clock()) is not None
        limit = NO_LIMIT if is_retry else busy_limit(self.loads, target, attempts_left)
        agent = self.group.find_agent(target) or AgentId(target, 0)
        self.unanswered_handoffs.put(flow, agent, self.clock())
        self.loads.add_pending_handoff(target)
        message = self._new_handoff(packet, limit, yielded)
        [answer] = await self.call_peers([target], message)
        self.loads.remove_pending_handoff(target)
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
        """Claim the flow from the home that a peer named when it rejected a hand-off.

        Returns:
            None if that home yields or is gone, else the result of the OPEN.
        """
        home = answer.home
        if self._has_ended(home, answer.home_incarnation):
            return None
        return await self._claim(flow, [home])

    def _new_claim(self, flow: int) -> Claim:
        self.last_question += 1
        agent_id = self.agent_id
        return Claim(
            self.service, flow, agent_id.name, agent_id.incarnation, self.last_question
        )

    def _new_handoff(self, packet: Packet, limit: int, yielded: str) -> Handoff:
        self.last_question += 1
        agent_id = self.agent_id
        load = load_message(
            self.service, agent_id.name, agent_id.incarnation, self.local.load()
        )
        return Handoff(
            self.service,
            packet,
            agent_id.name,
            agent_id.incarnation,
            self.last_question,
            yielded,
            limit,
            load,
        )
