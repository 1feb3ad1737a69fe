"""Plays an experiment: the product's daemons and decisions before modelled endpoints.

Everything runs in virtual time and follows from the plan's seed. Endpoints, callers and
the network are models; balancers and agents are the real ones.

    outcome = play(plan)
    figures_of(outcome).worth
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import IPv4Address

import msgspec

from cornelspan_common.ejection import EjectionPolicy
from cornelspan_passthrough.configuration import Configuration, Route, Share
from cornelspan_passthrough.packet_headers import route_number
from cornelspan_standins.experiment_ablations import without
from cornelspan_standins.experiment_callers import Asked, Callers
from cornelspan_standins.experiment_ideal import Oracle
from cornelspan_standins.experiment_plan import (
    ExperimentPlan,
    FaultPlan,
    RequestPlan,
)
from cornelspan_standins.experiment_policies import NO_LINE, ORDERS, PLACINGS
from cornelspan_standins.packet_ends import (
    ROUTE_ADDRESS,
    PacketClient,
    PacketEndpoint,
)
from cornelspan_standins.packet_world import PacketWorld

FIRST_PORT = 443
IDLE_MILLISECONDS = 15_000
NEVER = EjectionPolicy(failures=1000)


@dataclass(frozen=True)
class Outcome:
    """What came of an experiment."""

    plan: ExperimentPlan
    asked: tuple[Asked, ...]
    shed: int
    flows_turned_away: int


def play(plan: ExperimentPlan) -> Outcome:
    """Play a plan from its first arrival until the last request has ended."""
    with without(plan.policy.without.split("+") if plan.policy.without else []):
        return Experiment(plan).play()


class Experiment:
    """A world that plays one plan."""

    def __init__(self, plan: ExperimentPlan) -> None:
        self.plan = plan
        self.chance = random.Random(plan.seed)
        self.world = PacketWorld(plan.seed)
        self.kinds = {kind.name: kind for kind in plan.requests}
        self.ports = {name: FIRST_PORT + n for n, name in enumerate(self.kinds)}
        self.world.configuration = configuration_of(plan)
        self.world.report_capacity = max(each.slots for each in plan.services)
        self.slow: dict[str, float] = {}
        self.rate = plan.load
        self.callers = Callers(
            now=lambda: self.world.now,
            after=self.world.after,
            open_flow=self._open_flow,
            chance=random.Random(plan.seed + 1),
            count=plan.callers,
            ports=self.ports,
        )
        self.balancers = [f"10.0.0.{n + 1}" for n in range(plan.balancers)]
        self.agents: list[str] = []
        self.turned_away = 0
        self.oracle = Oracle(self.world, self.slow)
        self._start_fleet()

    def play(self) -> Outcome:
        """Let the arrivals come and the faults happen."""
        world, plan = self.world, self.plan
        world.run(plan.lead_seconds)
        for kind in plan.requests:
            self._arrive_after(kind, 0)
        for fault in plan.faults:
            world.after(fault.at, lambda fault=fault: self._begin(fault))
        longest = max(kind.budget_milliseconds for kind in plan.requests) / 1000
        world.run(plan.seconds + longest)
        self._count_turned_away()
        return Outcome(
            plan, tuple(self.callers.done), self.callers.shed, self.turned_away
        )

    # The fleet

    def _start_fleet(self) -> None:
        for index, service in enumerate(self.plan.services, start=1):
            for number in range(service.endpoints):
                address = f"10.{index}.{number // 200}.{number % 200 + 1}"
                self.world.add_agent(address, service.name)
                self.agents.append(address)
                endpoint = self.world.endpoints[address]
                endpoint.slots = service.slots
                endpoint.queue = service.queue
                endpoint.cold_factor = service.cold_factor
                endpoint.tells_shed = True
                endpoint.work = lambda data, address=address: self._work(address, data)
                self._instruct(address)
        for address in self.balancers:
            self._start_balancer(address)

    def _start_balancer(self, address: str) -> None:
        balancer = self.world.add_balancer(address)
        balancer.choose_endpoint = PLACINGS[self.plan.policy.placing]
        if self.plan.policy.ideal:
            self.oracle.guide(balancer)

    def _instruct(self, address: str) -> None:
        """Give an agent the plan's policy."""
        policy = self.plan.policy
        agent = self.world.agents[address]
        agent.request_queue.order = ORDERS[policy.order]
        has_line = policy.order != "none"
        agent.requests_beyond_slots = policy.queued_requests if has_line else NO_LINE
        if not policy.ejects:
            agent.settings = msgspec.structs.replace(agent.settings, ejection=NEVER)

    def _work(self, address: str, data: bytes) -> float:
        """Return how long a request takes, the same at each try."""
        name = data.decode().partition(":")[0]
        kind = self.kinds[name]
        chance = random.Random(f"{self.plan.seed}:{data}")
        mean = kind.work_milliseconds / 1000
        middle = mean * math.exp(-(kind.work_spread**2) / 2)
        seconds = middle * math.exp(chance.gauss(0, kind.work_spread))
        return seconds * self.slow.get(address, 1.0)

    def _open_flow(
        self, address: int, port: int, told: Callable[[str], None]
    ) -> PacketClient:
        return self.world.new_client(address, port, told)

    # Arrivals

    def _arrive_after(self, kind: RequestPlan, number: int) -> None:
        rate = kind.per_second * self.rate
        self.world.after(
            self.chance.expovariate(rate), lambda: self._arrive(kind, number)
        )

    def _arrive(self, kind: RequestPlan, number: int) -> None:
        if self.world.now > self.plan.lead_seconds + self.plan.seconds:
            return
        self.callers.ask(kind, number)
        self._arrive_after(kind, number + 1)

    # Faults

    def _begin(self, fault: FaultPlan) -> None:
        match fault.kind:
            case "power":
                self._stop_daemons()
                self._crash(self.agents, fault.lasts)
                self._restart_daemons(fault.lasts)
            case "daemons":
                self._stop_daemons()
                self._restart_daemons(fault.lasts)
            case "crash":
                self._crash(self._some(fault.share), fault.lasts)
            case "reset" | "mute":
                self._spoil(fault)
            case "burst":
                self.rate = self.plan.load * fault.factor
                self.world.after(fault.lasts, self._end_burst)
            case "slow":
                self.slow.update(dict.fromkeys(self._some(fault.share), fault.factor))
                self.world.after(fault.lasts, self.slow.clear)

    def _spoil(self, fault: FaultPlan) -> None:
        """Have some endpoints fail all requests for a while."""
        for address in self._some(fault.share):
            endpoint = self.world.endpoints[address]
            endpoint.resets = fault.kind == "reset"
            endpoint.mute = NO_LINE if fault.kind == "mute" else 0
            self.world.after(fault.lasts, endpoint.heal)

    def _end_burst(self) -> None:
        self.rate = self.plan.load

    def _some(self, share: float) -> list[str]:
        """Return a share of the endpoints, one at least."""
        count = max(1, round(share * len(self.agents)))
        return self.chance.sample(self.agents, count)

    def _crash(self, addresses: list[str], seconds: float) -> None:
        for address in addresses:
            self.world.endpoints[address].crash()
            self.world.after(
                seconds + self._jitter(),
                lambda address=address: self._start_endpoint(address),
            )
        if self.plan.policy.ideal:
            self.oracle.tell_dead()

    def _start_endpoint(self, address: str) -> None:
        endpoint: PacketEndpoint = self.world.endpoints[address]
        services = {each.name: each for each in self.plan.services}
        cold = services[endpoint.service].cold_seconds
        endpoint.start(self.world.now + cold)

    def _stop_daemons(self) -> None:
        self._count_turned_away()
        for address in (*self.balancers, *self.agents):
            self.world.stop_daemon(address)

    def _restart_daemons(self, down: float) -> None:
        plan = self.plan
        if plan.policy.ideal:
            self.world.after(down, self._restart_at_once)
            return
        for address in self.balancers:
            self.world.after(
                down + plan.balancer_start_seconds + self._jitter(),
                lambda address=address: self._start_balancer(address),
            )
        for address in self.agents:
            self.world.after(
                down + plan.agent_start_seconds + self._jitter(),
                lambda address=address: self._restart_agent(address),
            )

    def _restart_at_once(self) -> None:
        """Start all daemons as the ideal system does, and tell of what is dead."""
        for address in self.agents:
            self._restart_agent(address)
        for address in self.balancers:
            self._start_balancer(address)
        self.oracle.tell_dead()

    def _restart_agent(self, address: str) -> None:
        self.world.start_agent(address)
        self._instruct(address)

    def _jitter(self) -> float:
        return self.chance.uniform(0, self.plan.start_jitter_seconds)

    def _count_turned_away(self) -> None:
        """Count what the balancers of now have seen, before they end."""
        self.turned_away += sum(
            balancer.counts["flows_turned_away"]
            for balancer in self.world.balancers.values()
        )


def configuration_of(plan: ExperimentPlan) -> Configuration:
    """Return the configuration of a plan: a route for each kind of requests."""
    address = str(IPv4Address(ROUTE_ADDRESS))
    routes = tuple(
        Route(
            number=route_number(address, FIRST_PORT + number),
            name=kind.name,
            shares=(Share(kind.service, 1),),
            priority=kind.priority,
            idempotent=kind.idempotent,
            timeout_milliseconds=kind.budget_milliseconds,
            target_milliseconds=kind.target_milliseconds,
        )
        for number, kind in enumerate(plan.requests)
    )
    return Configuration(1, routes, IDLE_MILLISECONDS)
