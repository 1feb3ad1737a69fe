"""The agents of one service as one of them knows them, and questions between them."""

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
    """The service's agents: those announced, and those met on a stream before.

    An open is repeated for about 12 s by the fabric's end, so for ``stable_seconds``
    after a change one may come to a new home that an old home has placed already.
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
        """Return the candidates by this agent's own view."""
        return self.ranking.candidates(self.service, flow).names

    def find_agent(self, name: str) -> AgentId | None:
        """Return the newest incarnation known of a peer, None if it isn't known."""
        known = self.members.known.get(name)
        announced = known.incarnation if known and known.service == self.service else 0
        incarnation = max(announced, self.contacted.get(name, 0))
        return AgentId(name, incarnation) if incarnation else None

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Whether a agent has ended; with 0, whether any agent of that name has."""
        if name == self.agent_id.name:
            return incarnation < self.agent_id.incarnation
        if self.members.gone.get(name, -1) >= incarnation:
            return True
        agent = self.find_agent(name)
        return agent is not None and 0 < incarnation < agent.incarnation

    def is_stable(self) -> bool:
        """Whether the group is the same for longer than an open is repeated."""
        return self.clock() - self.changed_at >= self.stable_seconds

    def outranks(self, flow: int, one: str, other: str) -> bool:
        """Whether of two homes the first wins.

        Configured weights are left out: two that tie need not know each other's.
        """
        first = score(flow, name_seed(one), 1.0)
        return first > score(flow, name_seed(other), 1.0)

    def add_peer(self, name: str, incarnation: int) -> None:
        """Note a peer that speaks to us; it may not have been announced yet."""
        agent = self.find_agent(name)
        if self.is_gone(name, incarnation) or name == self.agent_id.name:
            return
        if agent is None or agent.incarnation < incarnation:
            self.contacted[name] = incarnation
            self.changed_at = self.clock()

    def refresh(self) -> list[AgentId]:
        """Look at the members anew; return the lives that have ended since."""
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
    """Questions to peers that wait for an answer."""

    def __init__(self, send: Callable[[str, Message], bool]) -> None:
        self.send = send
        self.pending: dict[tuple[str, int], asyncio.Future[AnswerResult]] = {}

    async def call(
        self, names: Sequence[str], message: Claim | Handoff
    ) -> list[AnswerResult]:
        """Ask peers at the same time; one that is silent costs ``CALL_TIMEOUT_SECONDS``."""
        keys = [(name, message.question) for name in names]
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
        """Take in a peer's answer; one that comes too late is left out."""
        future = self.pending.get((name, answer.question))
        if future is not None and not future.done():
            future.set_result(Ok(answer))

    def fail_calls_to(self, name: str) -> None:
        """End all questions to a peer that is gone."""
        for (callee, _), future in list(self.pending.items()):
            if callee == name and not future.done():
                future.set_result(Err(CallError(name, gone=True)))
