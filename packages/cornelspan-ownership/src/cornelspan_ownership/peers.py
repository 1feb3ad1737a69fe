"""The agents of one service as one of them knows them, and questions between them."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok

from cornelspan_common.hashing import name_seed, score
from cornelspan_common.ownership import Claim, Handoff
from cornelspan_common.packets import Message
from cornelspan_control.members import Members
from cornelspan_control.ranking import Ranking
from cornelspan_ownership.directory import Holder
from cornelspan_ownership.group import Answer, Answered, AskError

SETTLE_SECONDS = 15.0
ASK_SECONDS = 0.5


class ServiceGroup:
    """The service's agents: those announced, and those met on a stream before.

    An open is repeated for about 12 s by the fabric's end, so for ``settle_seconds``
    after a change one may come to a new home that an old home has placed already.
    """

    def __init__(
        self,
        me: Holder,
        service: str,
        members: Members,
        clock: Callable[[], float],
        *,
        settle_seconds: float = SETTLE_SECONDS,
    ) -> None:
        self.me = me
        self.service = service
        self.members = members
        self.clock = clock
        self.settle_seconds = settle_seconds
        self.ranking = Ranking(members)
        self.met: dict[str, int] = {}
        self.lives: dict[str, int] = {}
        self.version = -1
        self.changed_at = clock()

    def ranked(self, flow: int) -> tuple[str, ...]:
        """Return the candidates by this agent's own view."""
        return self.ranking.candidates(self.service, flow).names

    def life(self, name: str) -> Holder | None:
        """Return the newest life known of a peer, None if it isn't known."""
        known = self.members.known.get(name)
        announced = known.incarnation if known and known.service == self.service else 0
        life = max(announced, self.met.get(name, 0))
        return Holder(name, life) if life else None

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Whether a life has ended; with 0, whether any life of that name has."""
        if name == self.me.name:
            return incarnation < self.me.incarnation
        if self.members.tombstones.get(name, -1) >= incarnation:
            return True
        life = self.life(name)
        return life is not None and 0 < incarnation < life.incarnation

    def is_settled(self) -> bool:
        """Whether the group is the same for longer than an open is repeated."""
        return self.clock() - self.changed_at >= self.settle_seconds

    def outranks(self, flow: int, one: str, other: str) -> bool:
        """Whether of two homes the first wins.

        Configured weights are left out: two that tie need not know each other's.
        """
        first = score(flow, name_seed(one), 1.0)
        return first > score(flow, name_seed(other), 1.0)

    def meet(self, name: str, incarnation: int) -> None:
        """Note a peer that speaks to us; it may not have been announced yet."""
        life = self.life(name)
        if self.is_gone(name, incarnation) or name == self.me.name:
            return
        if life is None or life.incarnation < incarnation:
            self.met[name] = incarnation
            self.changed_at = self.clock()

    def refresh(self) -> list[Holder]:
        """Look at the members anew; return the lives that have ended since."""
        if self.version == self.members.version and not self.met:
            return []
        self.version = self.members.version
        self.met = {n: i for n, i in self.met.items() if not self.is_gone(n, i)}
        agents = self.members.of_service(self.service)
        names = {agent.name for agent in agents} | set(self.met)
        lives = {name: self.life(name).incarnation for name in names}
        ended = [Holder(n, i) for n, i in self.lives.items() if lives.get(n) != i]
        if lives != self.lives:
            self.changed_at = self.clock()
        self.lives = lives
        return ended


class Questions:
    """Questions to peers that wait for an answer."""

    def __init__(self, send: Callable[[str, Message], bool]) -> None:
        self.send = send
        self.waiting: dict[tuple[str, int], asyncio.Future[Answered]] = {}

    async def ask(
        self, names: Sequence[str], message: Claim | Handoff
    ) -> list[Answered]:
        """Ask peers at the same time; one that is silent costs ``ASK_SECONDS``."""
        keys = [(name, message.question) for name in names]
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in keys]
        self.waiting.update(zip(keys, futures, strict=True))
        for name, future in zip(names, futures, strict=True):
            if not self.send(name, message):
                future.set_result(Err(AskError(name, gone=False)))
        try:
            await asyncio.wait(futures, timeout=ASK_SECONDS)
        finally:
            for key in keys:
                self.waiting.pop(key, None)
        return [
            future.result() if future.done() else Err(AskError(name, gone=False))
            for name, future in zip(names, futures, strict=True)
        ]

    def answered(self, name: str, answer: Answer) -> None:
        """Take in a peer's answer; one that comes too late is left out."""
        future = self.waiting.get((name, answer.question))
        if future is not None and not future.done():
            future.set_result(Ok(answer))

    def lost(self, name: str) -> None:
        """End all questions to a peer that is gone."""
        for (asked, _), future in list(self.waiting.items()):
            if asked == name and not future.done():
                future.set_result(Err(AskError(name, gone=True)))
