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

OPEN_HOPS = 6
PLACING_STEPS = 16
STRANGERS = 1000
STRANGER_SECONDS = 1.0
LOST = Rejected("owner lost")
UNSURE_SECONDS = 60.0


@dataclass(slots=True)
class Pending:
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
    refusals: int = 0
    waits: int = 0


@dataclass
class Ownership:
    """What one agent knows and has promised about the flows of its service.

    ``unsure`` holds the targets of hand-offs that no answer came to: they may own the
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
    pending: dict[int, Pending] = field(default_factory=dict)
    strange_since: dict[str, float] = field(default_factory=dict)
    last_call_id: int = 0
    counts: OwnershipCounts = field(default_factory=OwnershipCounts)
    unsure: FlowAgents = field(
        default_factory=lambda: FlowAgents(idle_seconds=UNSURE_SECONDS)
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
                else LOST
            )
        owner = self.directory.owners.get(flow, now)
        if owner is not None:
            return OwnedBy(owner.name)
        home = self.directory.homes.get(flow, now)
        return ForwardTo(home.name) if home is not None else None

    async def open(
        self, packet: Packet, listed: Sequence[str], hops: int
    ) -> OpenResult:
        """Find or become the home of a flow, and place it.

        Args:
            packet: The OPEN.
            listed: Candidates as the balancer that sent it ranks them.
            hops: Agents that have passed the packet on.
        """
        if hops >= OPEN_HOPS:
            listed = self._break_circle(packet.flow, listed)
        known = self.locate(packet.flow)
        if known is not None:
            return known
        if packet.flow in self.pending:
            return RetryLater("open under way")
        pending = self.pending[packet.flow] = Pending()
        try:
            opened = await self._open(packet, listed, pending)
        finally:
            del self.pending[packet.flow]
        if isinstance(opened, RetryLater):
            self.counts.waits += 1
        return opened

    async def _open(
        self, packet: Packet, listed: Sequence[str], pending: Pending
    ) -> OpenResult:
        if self._must_claim(packet.flow, listed):
            self.counts.claimed += 1
            found = await self._claim(packet.flow, self._others(packet.flow, listed))
            # While the answers were on their way this agent may have yielded, taken a
            # hand-off, or been told of an owner: that comes first.
            found = self.locate(packet.flow) or found
            if found is not None:
                return found
        pending.placing = True
        return await self._place(packet, pending)

    def _break_circle(self, flow: int, listed: Sequence[str]) -> Sequence[str]:
        """Forget the recorded home of a flow, and have it asked once more.

        Two agents that each yielded to the other, one after a claim that came to
        nothing, pass an open to and fro. To claim anew is safe, since the other is
        asked and says so if it is placing.

        Returns:
            Whom to ask; in an order that calls for a claim.
        """
        home = self.directory.homes.get(flow, self.clock())
        self.directory.homes.drop(flow)
        return (*listed, home.name if home else self.agent_id.name)

    def _must_claim(self, flow: int, listed: Sequence[str]) -> bool:
        """Whether another agent may take itself for the home of this flow.

        A time after each change alone is not enough, since updates reach balancers
        late, for minutes while the store is down: the sender's list has to be the same
        as this agent's own, with this agent first.
        """
        if self.unsure.get(flow, self.clock()) is not None:
            return False
        ranked = self.group.ranked(flow)
        first = bool(ranked) and ranked[0] == self.agent_id.name
        return not (first and tuple(listed) == ranked and self.group.is_stable())

    async def _claim(self, flow: int, names: list[str]) -> OpenResult | None:
        """Ask agents, and the homes that they name; None if the claim stands with all.

        Only a home itself knows whether it still is: others may have recorded a claim
        that has since yielded.
        """
        if strange := self._strangers(names):
            return RetryLater(f"{strange[0]} is not known here yet")
        asked: set[str] = set()
        asking = [name for name in names if self.group.find_agent(name)]
        while asking:
            answers = await self.call_peers(asking, self._claim_message(flow))
            asked.update(asking)
            match self._weigh(flow, asking, answers):
                case Ok(pointers):
                    asking = [n for n in dict.fromkeys(pointers) if n not in asked]
                case Err(opened):
                    return opened
        return None

    def _strangers(self, names: list[str]) -> list[str]:
        """Return names that this agent has not heard of, but may in a moment.

        A balancer may know a new agent before this one does. A name that stays unknown
        is of one that was gone before this agent began; waiting on would hold up every
        flow while an old view lasts.
        """
        now = self.clock()
        unknown = [name for name in names if self.group.find_agent(name) is None]
        if len(self.strange_since) > STRANGERS:
            self.strange_since.clear()
        return [
            name
            for name in unknown
            if now - self.strange_since.setdefault(name, now) < STRANGER_SECONDS
        ]

    def _weigh(
        self, flow: int, asked: Sequence[str], answers: list[AnswerResult]
    ) -> Result[list[str], OpenResult]:
        """Read answers to a claim.

        Returns:
            Other homes that have to be asked, or what ends the claim.
        """
        pointers: list[str] = []
        silent: OpenResult | None = None
        for name, answer in zip(asked, answers, strict=True):
            match answer:
                case Ok(ClaimAnswer(owner=owner) as found) if owner:
                    return Err(self._owned_by(flow, found))
                case Ok(ClaimAnswer(home=home) as found) if home == name:
                    return Err(self._home_is(flow, found))
                case Ok(ClaimAnswer(home=home, home_incarnation=life)) if home:
                    if self._is_over(home, life):
                        continue
                    if self.group.find_agent(home) is None:
                        return Err(ForwardTo(name))
                    pointers.append(home)
                case Err(CallError(gone=False)):
                    silent = RetryLater(f"no answer from {name}")
        return Err(silent) if silent is not None else Ok(pointers)

    def _owned_by(self, flow: int, answer: ClaimAnswer) -> OpenResult:
        if self.group.is_gone(answer.owner, answer.owner_incarnation):
            return LOST
        owner = AgentId(answer.owner, answer.owner_incarnation)
        if owner == self.agent_id:
            return self.locate(flow) or RetryLater("flow has ended")
        self.directory.owners.put(flow, owner, self.clock())
        return OwnedBy(owner.name)

    def _home_is(self, flow: int, answer: ClaimAnswer) -> OpenResult:
        home = AgentId(answer.home, answer.home_incarnation)
        self.directory.homes.put(flow, home, self.clock())
        self.counts.yielded += 1
        return ForwardTo(home.name)

    def _others(self, flow: int, listed: Sequence[str]) -> list[str]:
        """Return the candidates of both views but this agent and those gone."""
        names = dict.fromkeys([*listed, *self.group.ranked(flow)])
        names.pop(self.agent_id.name, None)
        return [name for name in names if not self._is_over(name, 0)]

    def _is_over(self, name: str, incarnation: int) -> bool:
        """Whether a life has ended, or with 0 the last one known of a name."""
        life = self.group.find_agent(name)
        if life is not None:
            return incarnation != 0 and life.incarnation > incarnation
        return self.group.is_gone(name, incarnation)

    async def _place(self, packet: Packet, pending: Pending) -> OpenResult:
        """Keep the flow or hand it off, until someone has it for sure."""
        attempts_left = HANDOFF_ATTEMPTS
        yielded = ""
        lost: set[str] = set()
        for _ in range(PLACING_STEPS):
            target = self._target(packet.flow, lost)
            if target is None:
                return self._nobody_takes_it()
            if target == "":
                self.counts.kept += 1
                self.local.open(packet)
                return OwnedBy(self.agent_id.name)
            pending.target = target
            match await self._hand_off(packet, target, attempts_left, yielded):
                case Ok(HandoffAnswer(accepted=True)):
                    return self._handed_to(packet.flow, target)
                case Ok(HandoffAnswer(home=home) as answer) if home:
                    settled = await self._settle(packet.flow, answer)
                    if settled is not None:
                        return settled
                    yielded = home
                case Ok(HandoffAnswer(load=load)):
                    self.counts.refusals += 1
                    attempts_left -= 1
                    if load.slots == 0 or attempts_left < 0:
                        lost.add(target)
                case Err(CallError(gone=True)):
                    lost.add(target)
                case Err():
                    return RetryLater(f"no answer from {target}")
        return RetryLater("refused too often")

    def _nobody_takes_it(self) -> OpenResult:
        """Refuse a flow that nobody can take, unless someone may in a moment.

        In a rolling restart the last agent leaves while its successors have told no
        load yet. Refused, the caller would see a broken flow; its open is repeated
        for about 12 s anyway, and a group that has settled refuses at once.
        """
        if self.group.is_stable():
            return Rejected("no endpoint takes new flows")
        return RetryLater("no endpoint has told that it takes new flows")

    def _target(self, flow: int, lost: set[str]) -> str | None:
        """Return whom to place a flow at, "" for here, None if nobody can take it."""
        unsure = self.unsure.get(flow, self.clock())
        if unsure is not None:
            if not self._is_over(unsure.name, unsure.incarnation):
                return unsure.name
            self.unsure.drop(flow)
        peers = [
            name
            for name in self.group.ranked(flow)
            if name != self.agent_id.name
            and name not in lost
            and self.group.find_agent(name)
        ]
        ordered = rank_targets(self.local.load(), self.loads, peers)
        return ordered[0] if ordered else None

    async def _hand_off(
        self, packet: Packet, target: str, attempts_left: int, yielded: str
    ) -> AnswerResult:
        """Ask a peer to own the flow; without an answer it stays the one to ask."""
        flow = packet.flow
        again = self.unsure.get(flow, self.clock()) is not None
        limit = NO_LIMIT if again else busy_limit(self.loads, target, attempts_left)
        life = self.group.find_agent(target) or AgentId(target, 0)
        self.unsure.put(flow, life, self.clock())
        self.loads.add_unanswered(target)
        message = self._handoff_message(packet, limit, yielded)
        [answer] = await self.call_peers([target], message)
        self.loads.remove_unanswered(target)
        match answer:
            case Ok(HandoffAnswer(load=load)):
                self.loads.update(load)
                self.unsure.drop(flow)
            case Err(CallError(gone=True)):
                self.unsure.drop(flow)
        return answer

    def _handed_to(self, flow: int, target: str) -> OpenResult:
        self.counts.handed_off += 1
        life = self.group.find_agent(target)
        if life is not None:
            self.directory.owners.put(flow, life, self.clock())
        return OwnedBy(target)

    async def _settle(self, flow: int, refused: HandoffAnswer) -> OpenResult | None:
        """Ask the home that a refusal names; None if it yields or is gone."""
        home = refused.home
        if self._is_over(home, refused.home_incarnation):
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
