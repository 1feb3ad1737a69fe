"""One seeded discrete-event run of the real admission code, for ``bench requests``.

Arrivals, service times and the clock are made up; slots, queues, early shed, placement
and moving on are the agent's own code.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from cornelspan_control.profiles import RequestPolicy
from cornelspan_ownership.placement import (
    LOAD_INTERVAL_SECONDS,
    LoadTable,
    OwnLoad,
    load_message,
)
from cornelspan_requests.admission import Admission
from cornelspan_requests.dispatch import (
    LOCAL,
    MAX_MOVES,
    choose_destination,
    urgent_loads,
)
from cornelspan_requests.endpoint import MOVE_CHECK_SECONDS, has_idle_peer
from cornelspan_requests.outcomes import Failure, Reason
from cornelspan_requests.queue import Ticket

MEAN_SECONDS = 0.05
SLOTS = 2
TOP_PRIORITY = 0
WARM_SECONDS = 5.0
SERVICE = "order-hub"


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind; ``load`` is a share of all endpoints' capacity.

    ``callers`` is how many different callers send them.
    """

    name: str
    load: float
    priority: int
    deadline_seconds: float
    callers: int


@dataclass(frozen=True, slots=True)
class Case:
    """One run: its streams, endpoints and spread of service times."""

    label: str
    streams: tuple[Stream, ...]
    endpoints: int = 7
    sigma: float = 1.0
    seconds: float = 40.0
    policy: RequestPolicy = field(default_factory=RequestPolicy)


@dataclass
class Tally:
    """Requests of one stream by their end, after the run has warmed up."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    shed: int = 0
    good_seconds: float = 0.0


@dataclass(eq=False, slots=True)
class Job:
    """One request on its way."""

    stream: Stream
    caller: str
    arrived: float
    seconds: float
    counted: bool
    moves: int = 0
    tried: set[int] = field(default_factory=set)


@dataclass
class Site:
    """One endpoint with its agent's admission and what it knows of its peers."""

    admission: Admission
    loads: LoadTable = field(default_factory=LoadTable)
    jobs: dict[Ticket, Job] = field(default_factory=dict)


class Run:
    """The clock, the endpoints and what happens next."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.random = np.random.default_rng(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0
        self.sites = [Site(Admission(SLOTS)) for _ in range(case.endpoints)]
        self.tallies = {stream.name: Tally() for stream in case.streams}

    def run(self) -> dict[str, Tally]:
        """Play the case to its end and return the tallies by stream."""
        for stream in self.case.streams:
            self._next_arrival(stream)
        self.at(0.0, self._share_loads)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.tallies

    def goodput(self) -> float:
        """Return the useful work as a share of what the slots could do."""
        measured = self.case.seconds - WARM_SECONDS
        slots = self.case.endpoints * SLOTS
        useful = sum(tally.good_seconds for tally in self.tallies.values())
        return useful / (slots * measured)

    def at(self, moment: float, action: Callable[[], None]) -> None:
        """Have something happen at a moment."""
        self.number += 1
        heapq.heappush(self.events, (moment, self.number, action))

    def _next_arrival(self, stream: Stream) -> None:
        rate = stream.load * self.case.endpoints * SLOTS / MEAN_SECONDS
        moment = self.now + float(self.random.exponential(1 / rate))
        if moment < self.case.seconds:
            self.at(moment, lambda: self._arrive(stream))

    def _arrive(self, stream: Stream) -> None:
        sigma = self.case.sigma
        location = np.log(MEAN_SECONDS) - sigma**2 / 2
        caller = f"{stream.name}-{self.random.integers(stream.callers)}"
        seconds = float(self.random.lognormal(location, sigma))
        job = Job(stream, caller, self.now, seconds, self.now >= WARM_SECONDS)
        self.tallies[stream.name].offered += job.counted
        # The flow's owner is whichever endpoint its hash has chosen.
        self._dispatch(job, int(self.random.integers(self.case.endpoints)))
        self._next_arrival(stream)

    def _dispatch(self, job: Job, owner: int) -> None:
        """Place a job as its flow's owner does, and move it on when turned away."""
        place = self._place(job, owner)
        while place is not None:
            job.tried.add(place)
            refusal = self._offer(job, place, owner)
            if refusal is None or not self._moves_on(job, refusal):
                return
            place = self._place(job, owner)
        self._shed(job)

    def _place(self, job: Job, owner: int) -> int | None:
        site = self.sites[owner]
        tried = {LOCAL if at == owner else str(at) for at in job.tried}
        names = [str(at) for at in range(len(self.sites)) if at != owner]
        queue = self.case.policy.queue
        own, loads = _own_load(site), site.loads
        if job.stream.priority == TOP_PRIORITY:
            own, loads = urgent_loads(own, loads)
        name = choose_destination(own, loads, names, tried, queue)
        if name is None:
            return None
        if name != LOCAL:
            site.loads.add_pending_handoff(name)
        return owner if name == LOCAL else int(name)

    def _moves_on(self, job: Job, refusal: Failure) -> bool:
        if refusal.reason is Reason.CALLER_SHARE or job.moves >= MAX_MOVES:
            self._shed(job)
            return False
        job.moves += 1
        return True

    def _offer(self, job: Job, place: int, owner: int) -> Failure | None:
        site = self.sites[place]
        deadline = job.arrived + job.stream.deadline_seconds
        priority = job.stream.priority
        ticket = Ticket(job.caller, priority, deadline, self.now)
        decision = site.admission.offer(ticket, self.case.policy, now=self.now)
        if decision.rejection is not None:
            return decision.rejection
        site.jobs[ticket] = job
        if decision.started:
            self._start(site, ticket, owner)
        for given in decision.shed:
            self._give_up(site, given.ticket, given.rejection)
        return None

    def _give_up(self, site: Site, ticket: Ticket, refusal: Failure) -> None:
        job = site.jobs.pop(ticket)
        if self._moves_on(job, refusal):
            self._dispatch(job, self.sites.index(site))

    def _start(self, site: Site, ticket: Ticket, owner: int) -> None:
        job = site.jobs[ticket]
        deadline = job.arrived + job.stream.deadline_seconds
        # The agent cuts a run at its deadline, which frees the slot.
        ends = max(self.now, min(self.now + job.seconds, deadline))
        self.at(ends, lambda: self._finish(site, ticket, owner))

    def _finish(self, site: Site, ticket: Ticket, owner: int) -> None:
        job = site.jobs.pop(ticket)
        self._count(job, self.now - ticket.started)
        for started in site.admission.finish(ticket, now=self.now):
            self._start(site, started, owner)
        for given in site.admission.shed_late(self.now):
            self._give_up(site, given.ticket, given.rejection)

    def _count(self, job: Job, elapsed: float) -> None:
        """Count a job that has ended after holding a slot for some time."""
        tally = self.tallies[job.stream.name]
        in_time = self.now < job.arrived + job.stream.deadline_seconds
        if job.counted:
            tally.in_time += in_time
            tally.late += not in_time
        if in_time and WARM_SECONDS <= self.now < self.case.seconds:
            tally.good_seconds += elapsed

    def _move_first(self, at: int, site: Site) -> None:
        """Move the first that waits to an endpoint with a free slot, as agents do."""
        tickets = site.admission.queue.tickets
        if not tickets or self.now - tickets[0].arrived < MOVE_CHECK_SECONDS:
            return
        if has_idle_peer(peer.load for peer in site.loads.peers.values()):
            ticket = tickets[0]
            site.admission.cancel(ticket)
            job = site.jobs.pop(ticket)
            job.tried.clear()
            self._dispatch(job, at)

    def _shed(self, job: Job) -> None:
        self.tallies[job.stream.name].shed += job.counted

    def _share_loads(self) -> None:
        """Let every agent tell the others its load, as they do at intervals."""
        for at, site in enumerate(self.sites):
            own = _own_load(site)
            load = load_message(SERVICE, str(at), 1, own)
            for other in self.sites:
                if other is not site:
                    other.loads.update(load)
                    other.loads.peers[str(at)].pending_handoffs = 0
        for at, site in enumerate(self.sites):
            self._move_first(at, site)
        if self.now < self.case.seconds:
            self.at(self.now + LOAD_INTERVAL_SECONDS, self._share_loads)


class PlainRun(Run):
    """The same with a plain queue: in order of arrival, without bound or shedding.

    Placement is ideal, by the true lengths of the queues.
    """

    def __init__(self, case: Case, seed: int) -> None:
        super().__init__(case, seed)
        self.queues: list[deque[Job]] = [deque() for _ in self.sites]
        self.running = [0] * len(self.sites)

    def _dispatch(self, job: Job, owner: int) -> None:
        busy = [
            running + len(queue)
            for running, queue in zip(self.running, self.queues, strict=True)
        ]
        place = busy.index(min(busy))
        self.queues[place].append(job)
        self._start_next(place)

    def _start_next(self, place: int) -> None:
        if self.running[place] == SLOTS or not self.queues[place]:
            return
        job = self.queues[place].popleft()
        self.running[place] += 1
        self.at(self.now + job.seconds, lambda: self._end(place, job))

    def _end(self, place: int, job: Job) -> None:
        self.running[place] -= 1
        self._count(job, job.seconds)
        self._start_next(place)


def _own_load(site: Site) -> OwnLoad:
    admission = site.admission
    waiting = len(admission.queue)
    urgent = admission.queue.count_up_to(TOP_PRIORITY)
    mean = admission.times.mean
    return OwnLoad(SLOTS, admission.running, waiting, mean, urgent)
