"""Seeded simulations of keyed requests while agents die, restart or are partitioned.

The code of claims and voters is real, the links and servers are simulated. A link keeps
the order of messages, delays them at random, and loses those in flight when an agent
dies or is cut off. A request goes on at its server after its agent has died, and some
answers are lost. Callers repeat an order at any agent until they know its outcome.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from cornelspan_common.control import Announce
from cornelspan_common.tasks import Tasks
from cornelspan_control.members import Members
from cornelspan_requests import claims as claims_module, voters as voters_module
from cornelspan_requests.claims import Claims
from cornelspan_requests.exchange import Request
from cornelspan_requests.keyed import serve_keyed
from cornelspan_requests.outcomes import AnswerHead, Failure, Reason, RequestOutcome
from cornelspan_requests.voters import VoterSet
from virtual_time import run_virtually

WINDOW = 60.0
DEADLINE = 3.0
ORDERS = 12
FINAL = 6
SERVICE = "order-hub"


@dataclass
class FakeAnswer:
    status: int = 0

    async def start(self, head):
        self.status = head.status
        return True

    async def write(self, chunk):
        return True


@dataclass
class Simulation:
    """All agents and servers of one seeded run.

    ``runs`` counts the actual runs of each order, and ``outcomes`` the outcomes that
    callers got. ``false_not_run`` lists orders that were reported as not run but had
    run. ``cut`` are agents that are partitioned from the others.
    """

    seed: int
    size: int
    agents: dict = field(default_factory=dict)
    incarnations: Counter = field(default_factory=Counter)
    cut: set = field(default_factory=set)
    runs: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)
    false_not_run: list = field(default_factory=list)
    last_arrival: dict = field(default_factory=dict)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.loop = asyncio.get_running_loop()
        self.members = {}

    def start(self, name):
        """Start an agent without records; the others learn of it at different times."""
        self.incarnations[name] += 1
        incarnation = self.incarnations[name]
        agent = AgentIncarnation(self, name, incarnation)
        self.agents[name] = agent
        announced = Announce(
            name, "agent", "d", incarnation, "h", 1, SERVICE, 1.0, 2, False
        )
        agent.members.record(announced)
        for other in list(self.agents.values()):
            for one, known in ((other, agent), (agent, other)):
                about = Announce(
                    known.name,
                    "agent",
                    "d",
                    known.incarnation,
                    "h",
                    1,
                    SERVICE,
                    1.0,
                    2,
                    False,
                )
                delay = self.random.uniform(0, 0.05 if self.loop.time() < 1001 else 1)
                self.loop.call_later(delay, one.members.record, about)
        agent.begin()

    def kill(self, name):
        """Stop an agent at once; the others detect it at different times."""
        agent = self.agents.pop(name)
        agent.end()
        for other in self.agents.values():
            delay = self.random.uniform(0.1, 3)
            self.loop.call_later(delay, other.members.remove, name, agent.incarnation)

    def send(self, sender, to, message):
        """Deliver a message in order after a random delay; False without a stream."""
        receiver = self.agents.get(to)
        if receiver is None or sender.ended or self.is_cut(sender.name, to):
            return False
        link = (sender.name, sender.incarnation, to, receiver.incarnation)
        at = self.loop.time() + self.random.expovariate(1 / 0.004)
        self.last_arrival[link] = at = max(at, self.last_arrival.get(link, 0) + 1e-6)
        self.loop.call_at(at, self.arrive, sender, receiver, message)
        return True

    def arrive(self, sender, receiver, message):
        if not receiver.ended and not self.is_cut(sender.name, receiver.name):
            receiver.claims.receive(sender.name, message)

    def is_cut(self, one, other):
        return (one in self.cut) != (other in self.cut)

    async def run_at_server(self, order):
        """Run an order at a server; it goes on even if its agent dies."""
        draw = self.random.random()
        if draw < 0.1:
            return Err(Failure(RequestOutcome.NOT_RUN, Reason.REFUSED))
        self.runs[order] += 1
        await asyncio.sleep(self.random.lognormvariate(-3, 1))
        if draw < 0.35:
            return Err(Failure(RequestOutcome.UNKNOWN, Reason.BROKEN))
        return Ok(200)


class AgentIncarnation:
    """One incarnation of an agent, with the real claims and voters."""

    def __init__(self, simulation, name, incarnation):
        self.simulation = simulation
        self.name = name
        self.incarnation = incarnation
        self.ended = False
        self.members = Members()
        self.tasks = Tasks()
        self.claims = Claims(
            VoterSet(name, incarnation, simulation.loop.time()),
            lambda to, message: simulation.send(self, to, message),
            simulation.loop.time,
            lambda: WINDOW,
            lambda: WINDOW + DEADLINE,
        )

    def begin(self):
        self.tasks.start(self.claims.join(), name="join")
        self.tasks.start(self.watch(), name="watch")

    def end(self):
        self.ended = True
        for task in list(self.tasks.running):
            task.cancel()

    async def watch(self):
        while True:
            self.observe()
            await asyncio.sleep(0.25)

    def observe(self):
        members = self.members.of_service(SERVICE)
        now = self.simulation.loop.time()
        self.claims.voters.observe(members, now, WINDOW + DEADLINE)

    async def order(self, order):
        """Serve one attempt at an order."""
        now = self.simulation.loop.time()
        request = Request("POST", "/o", (), b"x", "c", now, now + DEADLINE, 0, order)

        async def serve(request, sink):
            try:
                async with asyncio.timeout_at(request.deadline):
                    result = await self.simulation.run_at_server(order)
            except TimeoutError:
                return Err(Failure(RequestOutcome.UNKNOWN, Reason.DEADLINE))
            if isinstance(result, Ok):
                await sink.start(AnswerHead(200, "OK", ()))
            return result

        self.observe()
        return await serve_keyed(request, FakeAnswer(), self.claims, serve, self.tasks)


async def call(simulation, order):
    """Repeat an order until its outcome is known, at most ``FINAL`` times."""
    for _ in range(FINAL):
        await asyncio.sleep(simulation.random.uniform(0, 0.8))
        if not simulation.agents:
            continue
        agent = simulation.random.choice(
            sorted(simulation.agents.values(), key=lambda a: a.name)
        )
        attempt = agent.tasks.start(agent.order(order), name="attempt")
        done, _ = await asyncio.wait(
            {attempt}, timeout=simulation.random.choice((0.1, 5))
        )
        if not done or attempt.cancelled() or attempt.exception():
            simulation.outcomes["lost"] += 1
            continue
        match attempt.result():
            case Ok(_):
                simulation.outcomes["ran"] += 1
                return
            case Err(failure):
                simulation.outcomes[failure.outcome.value] += 1
                if failure.outcome is RequestOutcome.NOT_RUN and simulation.runs[order]:
                    simulation.false_not_run.append((order, failure.reason))


async def break_things(simulation):
    """Kill, restart, add or cut off agents at random; kill only if three are left."""
    for _ in range(8):
        await asyncio.sleep(simulation.random.uniform(0.2, 1.2))
        fault = simulation.random.choice(("kill", "restart", "cut", "join"))
        names = sorted(simulation.agents)
        if fault == "kill" and len(names) > 2:
            simulation.kill(simulation.random.choice(names))
        elif fault == "restart":
            name = simulation.random.choice(names)
            simulation.kill(name)
            await asyncio.sleep(simulation.random.uniform(0, 0.5))
            simulation.start(name)
        elif fault == "cut":
            simulation.cut = (
                {simulation.random.choice(names)} if not simulation.cut else set()
            )
        elif fault == "join":
            simulation.start(f"hub-{len(simulation.incarnations) + 1}")


async def one_run(seed):
    # Jitter uses the random module's global generator, so seed that as well.
    random.seed(seed)
    simulation = Simulation(seed, size=3 + seed % 5)
    for number in range(simulation.size):
        simulation.start(f"hub-{number + 1}")
    await asyncio.sleep(2.5)
    callers = [
        asyncio.create_task(call(simulation, f"order-{n}"))
        for n in range(ORDERS)
        # Each order is sent twice at the same time, as by a double click.
        for _ in range(2)
    ]
    breaking = asyncio.create_task(break_things(simulation))
    await asyncio.wait([*callers, breaking])
    for caller in callers:
        caller.result()
    breaking.result()
    for agent in simulation.agents.values():
        agent.end()
    await asyncio.sleep(5)
    return simulation


def run_seeds(seeds):
    total = Counter()
    for seed in seeds:
        simulation = run_virtually(one_run(seed))
        doubles = [order for order, count in simulation.runs.items() if count > 1]
        total["doubles"] += len(doubles)
        total["false_not_run"] += len(simulation.false_not_run)
        total["runs"] += sum(simulation.runs.values())
        total.update(simulation.outcomes)
    return total


def check(seeds):
    total = run_seeds(seeds)
    print(dict(total))
    assert total["doubles"] == 0
    assert total["false_not_run"] == 0
    # The check would be worthless if all orders were rejected; most must run.
    assert total["runs"] >= 0.6 * ORDERS * len(seeds)


def test_no_order_runs_twice():
    check(range(20))


@pytest.mark.soak
def test_no_order_runs_twice_in_many_runs():
    check(range(200))


@pytest.mark.parametrize("fault", ["no majority", "votes at once"])
def test_planted_fault_is_found(monkeypatch, fault):
    # Disables one rule: that a claim needs a majority, or that an agent without records
    # waits before it votes. The simulation must then find double runs; otherwise
    # finding none in the other tests proves nothing.
    if fault == "no majority":
        monkeypatch.setattr(claims_module, "majority", lambda count: 1)
    else:
        monkeypatch.setattr(voters_module.VoterSet, "update_ready", lambda *_: True)
    assert run_seeds(range(20))["doubles"] > 0
