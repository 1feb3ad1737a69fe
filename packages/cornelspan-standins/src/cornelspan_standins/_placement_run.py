"""One seeded discrete-event run of a placement policy, for ``bench placement``.

Only arrivals, service times and queues are made up. What decides is given in: a policy
is a function that takes a flow and calls back, at once or after some messages, with
the endpoint that the flow has reached.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import numpy as np

MEAN_SECONDS = 0.05
SIGMA = 1.0
SLOTS = 2
NETWORK_SECONDS = 0.0015
SAMPLE_SECONDS = 0.02
WARM_SECONDS = 3.0
MEAN_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Case:
    """Size and load of a run; ``slowness`` stretches endpoint 0's service times.

    ``load`` is a share of what the endpoints could do if none were slow.
    """

    endpoints: int
    load: float
    slowness: float = 1.0
    seconds: float = 60.0

    @property
    def label(self) -> str:
        """Name of the case in the table."""
        slow = f", one {self.slowness:g}x slower" if self.slowness != 1.0 else ""
        return f"{self.endpoints} endpoints, {self.load:.0%}{slow}"


@dataclass(slots=True)
class Endpoint:
    """Slots and queue of one backend server, as its own agent sees them."""

    running: int = 0
    waiting: deque[tuple[float, float]] = field(default_factory=deque)
    mean_seconds: float = MEAN_SECONDS

    @property
    def busy(self) -> int:
        """Requests that hold a slot or wait for one."""
        return self.running + len(self.waiting)


Action = Callable[[], None]
Arrive = Callable[[int], None]
Place = Callable[[int, Arrive], None]
Policy = Callable[["Run"], Place]


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run gave: imbalance (mean of max/mean) and p99 wait in seconds."""

    imbalance: float
    wait_p99: float


class Run:
    """Clock, endpoints and the queue of what happens next."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.random = np.random.default_rng(seed)
        self.now = 0.0
        self.endpoints = [Endpoint() for _ in range(case.endpoints)]
        self.events: list[tuple[float, int, Action]] = []
        self.count = 0
        self.waits: list[float] = []
        self.imbalances: list[float] = []
        self.changed: Callable[[int], None] = lambda index: None

    def after(self, delay: float, action: Action) -> None:
        """Have something happen later; at one moment the earlier asked comes first."""
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, action))

    def run(self, place: Place) -> Outcome:
        """Run the case to its end."""
        for at, flow, service in self._arrivals():
            self._until(at)
            place(flow, partial(self._arrive, (at, service)))
        return Outcome(
            float(np.mean(self.imbalances)), float(np.quantile(self.waits, 0.99))
        )

    def _arrivals(self) -> list[tuple[float, int, float]]:
        """Draw all arrivals before the run, so that every policy meets the same."""
        case = self.case
        rate = case.load * case.endpoints * SLOTS / MEAN_SECONDS
        count = int(rate * case.seconds)
        times = np.cumsum(self.random.exponential(1 / rate, count)).tolist()
        flows = self.random.integers(0, 1 << 63, count).tolist()
        mu = np.log(MEAN_SECONDS) - SIGMA**2 / 2
        services = self.random.lognormal(mu, SIGMA, count).tolist()
        self.after(WARM_SECONDS, self._sample)
        return list(zip(times, flows, services, strict=True))

    def _until(self, at: float) -> None:
        events = self.events
        while events and events[0][0] <= at:
            self.now, _, action = heapq.heappop(events)
            action()
        self.now = at

    def _arrive(self, request: tuple[float, float], index: int) -> None:
        endpoint = self.endpoints[index]
        if endpoint.running < SLOTS:
            self._start(index, request)
        else:
            endpoint.waiting.append(request)
        self.changed(index)

    def _start(self, index: int, request: tuple[float, float]) -> None:
        arrived, service = request
        if arrived > WARM_SECONDS:
            self.waits.append(self.now - arrived)
        taken = service * (self.case.slowness if index == 0 else 1.0)
        self.endpoints[index].running += 1
        self.after(taken, lambda: self._finish(index, taken))

    def _finish(self, index: int, taken: float) -> None:
        endpoint = self.endpoints[index]
        endpoint.running -= 1
        endpoint.mean_seconds += MEAN_SHARE * (taken - endpoint.mean_seconds)
        if endpoint.waiting:
            self._start(index, endpoint.waiting.popleft())
        self.changed(index)

    def _sample(self) -> None:
        busy = [endpoint.busy for endpoint in self.endpoints]
        if any(busy):
            self.imbalances.append(max(busy) * len(busy) / sum(busy))
        self.after(SAMPLE_SECONDS, self._sample)
