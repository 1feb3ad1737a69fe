"""The agents of one service as known to one of them, and calls between them."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok

from cornelspan_common.hashing import name_seed, score
from cornelspan_common.ownership import Claim, Handoff
from cornelspan_common.packets import Message
from cornelspan_control.members import Members
from cornelspan_control.ranking import Ranking
from cornelspan_ownership.directory import AgentId
from cornelspan_ownership.interfaces import Answer, AnswerResult, CallError

STABLE_SECONDS = 15.0
CALL_TIMEOUT_SECONDS = 0.5


class ServiceGroup:
    """The service's agents: announced ones, and ones that sent a message before that.

    The fabric retries an OPEN for about 12 s. So for ``stable_seconds`` after a change
    of the group a new home may receive an OPEN that an earlier home has placed already.
    ``contacted`` has the incarnations known from messages, ``incarnations`` all of them
    as of the last ``refresh``.
    """

    def __init__(
        self,
        agent_id: AgentId,
        service: str,
        members: Members,
        clock: Callable[[], float],
        *,
        stable_seconds: float = STABLE_SECONDS,
    ) -> None:
        self.agent_id = agent_id
        self.service = service
        self.members = members
        self.clock = clock
        self.stable_seconds = stable_seconds
        self.ranking = Ranking(members)
        self.contacted: dict[str, int] = {}
        self.incarnations: dict[str, int] = {}
        self.version = -1
        self.changed_at = clock()

    def ranked(self, flow: int) -> tuple[str, ...]:
        """Return the candidates of a flow by this agent's view, best first."""
        return self.ranking.candidates(self.service, flow).names

    def find_agent(self, name: str) -> AgentId | None:
        """Return the newest known incarnation of a peer, None for an unknown one."""
        known = self.members.known.get(name)
        announced = known.incarnation if known and known.service == self.service else 0
        incarnation = max(announced, self.contacted.get(name, 0))
        return AgentId(name, incarnation) if incarnation else None

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation of an agent is known here to have ended.

        With 0, whether the removal of any incarnation of that name is recorded, even if
        a newer one is alive; with 0 and this agent's own name always true.
        """
        if name == self.agent_id.name:
            return incarnation < self.agent_id.incarnation
        if self.members.tombstones.get(name, -1) >= incarnation:
            return True
        agent = self.find_agent(name)
        return agent is not None and 0 < incarnation < agent.incarnation

    def is_stable(self) -> bool:
        """Whether the group has not changed for longer than an OPEN is retried."""
        return self.clock() - self.changed_at >= self.stable_seconds

    def outranks(self, flow: int, one: str, other: str) -> bool:
        """Whether agent ``one`` takes precedence over ``other`` as home of a flow.

        Configured weights are ignored, because two agents may not know each other's
        weight and would then get different results.
        """
        first = score(flow, name_seed(one), 1.0)
        return first > score(flow, name_seed(other), 1.0)

    def add_peer(self, name: str, incarnation: int) -> None:
        """Record the sender of a message, which may not have been announced yet.

        An incarnation that has ended is ignored.
        """
        agent = self.find_agent(name)
        if self.is_gone(name, incarnation) or name == self.agent_id.name:
            return
        if agent is None or agent.incarnation < incarnation:
            self.contacted[name] = incarnation
            self.changed_at = self.clock()

    def refresh(self) -> list[AgentId]:
        """Read the membership again; return the incarnations that have ended since."""
        if self.version == self.members.version and not self.contacted:
            return []
        self.version = self.members.version
        self.contacted = {
            n: i for n, i in self.contacted.items() if not self.is_gone(n, i)
        }
        agents = self.members.of_service(self.service)
        names = {agent.name for agent in agents} | set(self.contacted)
        incarnations = {name: self.find_agent(name).incarnation for name in names}
        ended = [
            AgentId(n, i)
            for n, i in self.incarnations.items()
            if incarnations.get(n) != i
        ]
        if incarnations != self.incarnations:
            self.changed_at = self.clock()
        self.incarnations = incarnations
        return ended


class PeerCalls:
    """Requests to peers, matched with their answers by peer and question number."""

    def __init__(self, send: Callable[[str, Message], bool]) -> None:
        self.send = send
        self.pending: dict[tuple[str, int], asyncio.Future[AnswerResult]] = {}

    async def call(
        self, names: Sequence[str], message: Claim | Handoff
    ) -> list[AnswerResult]:
        """Send a message to peers and wait for their answers.

        Returns:
            An answer for each name, or an error for a peer that can't be reached, is
            gone or has not answered within ``CALL_TIMEOUT_SECONDS``.
        """
        keys = [(name, message.query_id) for name in names]
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in keys]
        self.pending.update(zip(keys, futures, strict=True))
        for name, future in zip(names, futures, strict=True):
            if not self.send(name, message):
                future.set_result(Err(CallError(name, gone=False)))
        try:
            await asyncio.wait(futures, timeout=CALL_TIMEOUT_SECONDS)
        finally:
            for key in keys:
                self.pending.pop(key, None)
        return [
            future.result() if future.done() else Err(CallError(name, gone=False))
            for name, future in zip(names, futures, strict=True)
        ]

    def handle_answer(self, name: str, answer: Answer) -> None:
        """Complete the call that an answer belongs to; ignore a late answer."""
        future = self.pending.get((name, answer.query_id))
        if future is not None and not future.done():
            future.set_result(Ok(answer))

    def fail_calls_to(self, name: str) -> None:
        """Fail all pending calls to a peer that is gone."""
        for (callee, _), future in list(self.pending.items()):
            if callee == name and not future.done():
                future.set_result(Err(CallError(name, gone=True)))
