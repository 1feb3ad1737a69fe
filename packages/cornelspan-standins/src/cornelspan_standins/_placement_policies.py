"""Policies that ``bench placement`` compares: the real decision code and baselines."""

from collections import deque
from collections.abc import Callable

from cornelspan_common.control import Announce
from cornelspan_common.ownership import Load
from cornelspan_control.members import Members
from cornelspan_control.ranking import Ranking
from cornelspan_ownership.placement import (
    HANDOFF_ATTEMPTS,
    LOAD_INTERVAL_SECONDS,
    LoadTable,
    OwnLoad,
    accepts_handoff,
    busy_limit,
    load_message,
    must_send_now,
    rank_targets,
)
from cornelspan_standins._placement_run import (
    NETWORK_SECONDS,
    SLOTS,
    Arrive,
    Place,
    Policy,
    Run,
)

SERVICE = "order-hub"
BALANCERS = 3
LATE_SECONDS = 1.0
VIEW_SECONDS = 0.02


def hash_only(run: Run) -> Place:
    """Each flow stays at its home."""
    home = _homes(run)
    return lambda flow, arrive: arrive(home(flow))


def round_robin(run: Run) -> Place:
    """Each balancer counts for itself; the fabric sprays at random."""
    size = len(run.endpoints)
    turns = [int(turn) for turn in run.random.integers(0, size, BALANCERS)]

    def place(flow: int, arrive: Arrive) -> None:
        balancer = int(run.random.integers(BALANCERS))
        turns[balancer] = (turns[balancer] + 1) % size
        arrive(turns[balancer])

    return place


def least_loaded_late(run: Run) -> Place:
    """The least loaded endpoint as it was a second ago, among equals at random."""
    view = _late_view(run)

    def place(flow: int, arrive: Arrive) -> None:
        busy = view()
        least = min(busy)
        equals = [index for index, one in enumerate(busy) if one == least]
        arrive(equals[int(run.random.integers(len(equals)))])

    return place


def two_choices_late(run: Run) -> Place:
    """The less loaded, as of a second ago, of two endpoints drawn at random."""
    view = _late_view(run)
    size = len(run.endpoints)

    def place(flow: int, arrive: Arrive) -> None:
        busy = view()
        one = int(run.random.integers(size))
        other = (one + 1 + int(run.random.integers(size - 1))) % size
        arrive(one if busy[one] <= busy[other] else other)

    return place


def ideal(run: Run) -> Place:
    """The endpoint that would be done first, by its true load of this moment."""
    speeds = [run.case.slowness] + [1.0] * (len(run.endpoints) - 1)

    def place(flow: int, arrive: Arrive) -> None:
        costs = [
            (max(1.0, (endpoint.busy + 1) / SLOTS) * speed, endpoint.busy, index)
            for index, (endpoint, speed) in enumerate(
                zip(run.endpoints, speeds, strict=True)
            )
        ]
        arrive(min(costs)[2])

    return place


def home_then_least(run: Run) -> Place:
    """The real code: the home keeps what finds a slot, else hands to the cheapest."""
    return Group(run).place


POLICIES: dict[str, Policy] = {
    "hash only": hash_only,
    "round robin": round_robin,
    "least loaded, late view": least_loaded_late,
    "two choices, late view": two_choices_late,
    "home, then least": home_then_least,
    "ideal, true view": ideal,
}


def _name(index: int) -> str:
    return f"agent-{index}"


def _ranking(size: int) -> Ranking:
    members = Members()
    for index in range(size):
        members.record(
            Announce(
                _name(index),
                "agent",
                "chuo-hall",
                1,
                "127.0.0.1",
                1,
                SERVICE,
                1.0,
                SLOTS,
                False,
            )
        )
    return Ranking(members)


def _homes(run: Run) -> Callable[[int], int]:
    ranking = _ranking(len(run.endpoints))
    numbers = {_name(index): index for index in range(len(run.endpoints))}
    return lambda flow: numbers[ranking.candidates(SERVICE, flow).names[0]]


def _late_view(run: Run) -> Callable[[], list[int]]:
    """Return a reading of all loads as they were ``LATE_SECONDS`` ago."""
    past: deque[list[int]] = deque(maxlen=round(LATE_SECONDS / VIEW_SECONDS))

    def look() -> None:
        past.append([endpoint.busy for endpoint in run.endpoints])
        run.after(VIEW_SECONDS, look)

    look()
    return lambda: past[0]


class Group:
    """Agents of the run: each one's view of its peers, and the messages between."""

    def __init__(self, run: Run) -> None:
        self.run = run
        size = len(run.endpoints)
        self.names = [_name(index) for index in range(size)]
        self.numbers = {name: index for index, name in enumerate(self.names)}
        self.ranking = _ranking(size)
        self.views = [LoadTable() for _ in range(size)]
        self.due = [False] * size
        self.told = [self._load(index) for index in range(size)]
        self.messages = 0
        run.changed = self._changed
        for index in range(size):
            self._tell(index)

    def place(self, flow: int, arrive: Arrive) -> None:
        """Place a flow from its home."""
        home, *peers = self.ranking.candidates(SERVICE, flow).names
        self._try(self.numbers[home], peers, HANDOFF_ATTEMPTS, arrive)

    def _try(self, home: int, peers: list[str], tries: int, arrive: Arrive) -> None:
        chosen = rank_targets(self._own(home), self.views[home], peers)[0]
        if not chosen:
            arrive(home)
            return
        target = self.numbers[chosen]
        limit = busy_limit(self.views[home], chosen, tries)
        self.views[home].add_pending_handoff(chosen)
        self.messages += 2
        load = self._load(home)

        def reach() -> None:
            self.views[target].update(load)
            taken = accepts_handoff(self._own(target), limit)
            if taken:
                arrive(target)
            answer = self._load(target)
            self.run.after(NETWORK_SECONDS, lambda: answered(answer, taken))

        def answered(answer: Load, taken: bool) -> None:
            self.views[home].remove_pending_handoff(chosen)
            self.views[home].update(answer)
            if not taken:
                self._try(home, peers, tries - 1, arrive)

        self.run.after(NETWORK_SECONDS, reach)

    def _own(self, index: int) -> OwnLoad:
        endpoint = self.run.endpoints[index]
        return OwnLoad(
            SLOTS, endpoint.running, len(endpoint.waiting), endpoint.mean_seconds
        )

    def _load(self, index: int) -> Load:
        own = self._own(index)
        return load_message(SERVICE, self.names[index], 1, own)

    def _changed(self, index: int) -> None:
        """Have the peers told of a change when the real code would."""
        own = self._own(index)
        if must_send_now(self.told[index], own):
            self._tell(index)
        elif not self.due[index]:
            self.due[index] = True
            self.run.after(LOAD_INTERVAL_SECONDS, lambda: self._tell(index))

    def _tell(self, index: int) -> None:
        self.due[index] = False
        load = self.told[index] = self._load(index)
        self.messages += len(self.views) - 1
        others = [view for other, view in enumerate(self.views) if other != index]

        def deliver() -> None:
            for view in others:
                view.update(load)

        self.run.after(NETWORK_SECONDS, deliver)
