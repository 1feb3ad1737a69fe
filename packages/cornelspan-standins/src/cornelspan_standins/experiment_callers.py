"""Callers of an experiment: they keep flows open, repeat, retry and give up."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from cornelspan_standins.experiment_plan import RequestPlan
from cornelspan_standins.packet_ends import PacketClient

BACKOFF_SECONDS = (0.015, 0.045)
FIRST_ADDRESS = 0x64400001
IDLE_FLOW_SECONDS = 10.0

OpenFlow = Callable[[int, int, Callable[[str], None]], PacketClient]


class Ending(Enum):
    """What came of a request, for its caller."""

    ON_TIME = "on time"
    LATE = "late"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Asked:
    """One request after its end; times in seconds."""

    kind: str
    at: float
    seconds: float
    ending: Ending


@dataclass
class CallerFlow:
    """A flow that stays open between requests."""

    client: PacketClient
    used_at: float
    told: Callable[[str], None] = lambda event: None


@dataclass
class Callers:
    """All callers of a deployment.

    ``now`` and ``after`` are the world's, ``open_flow`` opens a flow from an address to
    a route's port. ``done`` collects the requests that have ended.
    """

    now: Callable[[], float]
    after: Callable[[float, Callable[[], None]], None]
    open_flow: OpenFlow
    chance: random.Random
    count: int
    ports: dict[str, int]
    done: list[Asked] = field(default_factory=list)
    shed: int = 0
    idle: dict[tuple[int, str], list[CallerFlow]] = field(default_factory=dict)

    def ask(self, kind: RequestPlan, number: int) -> None:
        """Have a caller, by chance, make a request."""
        address = FIRST_ADDRESS + self.chance.randrange(self.count)
        asking = Asking(self, kind, number, address, self.now())
        budget = kind.budget_milliseconds / 1000
        self.after(budget, asking.give_up)
        asking.try_once()

    def idle_flow(self, address: int, kind: str) -> CallerFlow | None:
        """Take an open flow of a caller that no request uses."""
        flows = self.idle.get((address, kind), [])
        while flows:
            flow = flows.pop()
            young = self.now() - flow.used_at < IDLE_FLOW_SECONDS
            if young and not flow.client.is_over:
                return flow
        return None

    def keep(self, address: int, kind: str, flow: CallerFlow) -> None:
        """Keep an open flow for a later request."""
        flow.used_at = self.now()
        self.idle.setdefault((address, kind), []).append(flow)


@dataclass
class Asking:
    """One request, from its first try to its end."""

    callers: Callers
    kind: RequestPlan
    number: int
    address: int
    began_at: float
    tries: int = 0
    is_done: bool = False
    flow: CallerFlow | None = None

    def try_once(self) -> None:
        """Send the request on an open flow, or open one for it."""
        if self.is_done:
            return
        self.tries += 1
        kept = None
        if not self.kind.own_flow:
            kept = self.callers.idle_flow(self.address, self.kind.name)
        if kept is None:
            self.flow = self._new_flow()
            return
        self.flow = kept
        kept.told = lambda event: self._told(kept, event)
        kept.client.request(self._data())

    def give_up(self) -> None:
        """End the request when its time is spent."""
        if self.is_done:
            return
        self._end(Ending.FAILED)
        if self.flow is not None:
            self.flow.client.abandon()

    def _new_flow(self) -> CallerFlow:
        port = self.callers.ports[self.kind.name]
        client = self.callers.open_flow(
            self.address, port, lambda event: flow.told(event)
        )
        flow = CallerFlow(client, self.callers.now())
        flow.told = lambda event: self._told(flow, event)
        client.open()
        return flow

    def _data(self) -> bytes:
        return f"{self.kind.name}:{self.number}".encode()

    def _told(self, flow: CallerFlow, event: str) -> None:
        if self.is_done or flow is not self.flow:
            return
        if event == "open":
            flow.client.request(self._data())
        elif event == "answer":
            self._answered(flow)
        elif event == "shed":
            self.callers.shed += 1
            self._keep(flow)
            self._failed(has_run=False)
        elif event == "reset":
            self._failed(has_run=True)
        else:
            self._failed(has_run=False)

    def _answered(self, flow: CallerFlow) -> None:
        took = self.callers.now() - self.began_at
        is_late = took > self.kind.target_milliseconds / 1000
        self._end(Ending.LATE if is_late else Ending.ON_TIME)
        self._keep(flow)

    def _keep(self, flow: CallerFlow) -> None:
        if not self.kind.own_flow:
            self.callers.keep(self.address, self.kind.name, flow)

    def _failed(self, *, has_run: bool) -> None:
        """Try again if the request may be repeated, else end it.

        Args:
            has_run: Whether it may have run.
        """
        self.flow = None
        if self.tries > self.kind.retries or (has_run and not self.kind.idempotent):
            self._end(Ending.FAILED)
            return
        self.callers.after(self.callers.chance.uniform(*BACKOFF_SECONDS), self.try_once)

    def _end(self, ending: Ending) -> None:
        self.is_done = True
        took = self.callers.now() - self.began_at
        asked = Asked(self.kind.name, self.began_at, took, ending)
        self.callers.done.append(asked)
