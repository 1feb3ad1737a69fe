"""A whole deployment in one process on loopback, with real sockets.

The places, services and numbers of endpoints are the brief's. Each daemon has its own
configuration and members, as it would in a process of its own.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from dataclasses import dataclass, field

import msgspec

from cornelspan_agent.daemon import Agent, agent
from cornelspan_balancer.daemon import Balancer, balancer
from cornelspan_common.errors import InvariantError
from cornelspan_common.settings import (
    Address,
    AgentSettings,
    BalancerSettings,
    StoreSettings,
)
from cornelspan_control.changes import accept, new_change
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_control.profiles import Profile, Service
from cornelspan_control.records import Kind
from cornelspan_control.store import StoreClient
from cornelspan_standins.fabric import Fabric, FabricSettings, fabric
from cornelspan_standins.hosting import Host, hosted
from cornelspan_standins.journal import Journal
from cornelspan_standins.objects import ObjectStore, object_store
from cornelspan_standins.servers import (
    BackendServer,
    ServerSettings,
    backend_server,
)

LOOPBACK = "127.0.0.1"
STORE_OFFSET = 0
FABRIC_OFFSET = 1
CALLER_OFFSET = 10
BALANCER_OFFSET = 20
AGENT_OFFSET = 100
SERVER_OFFSET = 200
READY_SECONDS = 20.0
READY_STEP_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service: how many endpoints, and the profile that it runs under."""

    name: str
    endpoints: int
    profile: Profile


@dataclass(frozen=True, slots=True)
class Plan:
    """What is deployed, and where on loopback.

    Daemons whose key is in ``hosted``, ``("balancer", 0)`` for example, run in threads
    of their own, so that they can be paused. ``servers`` changes the settings of the
    backend servers of a service.
    """

    name: str
    datacentres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: int = 3
    base_port: int = 18100
    seed: int = 1
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    mean_seconds: float = 0.01
    backlog: int = 200
    hosted: frozenset[tuple] = frozenset()
    servers: dict[str, dict[str, float]] = field(default_factory=dict)


ORDERS = Profile(name="orders", priority=0)
DOCUMENTS = Profile(name="documents", priority=5)
SHIRAKABA = Plan(
    name="shirakaba",
    datacentres=("chuo-hall", "kita-hall", "atsubetsu-hall"),
    services=(
        ServicePlan("order-hub", 7, ORDERS),
        ServicePlan("receipt-render", 3, DOCUMENTS),
    ),
)
MEZVARTI = Plan(
    name="mezvarti",
    datacentres=("sigulda-a", "sigulda-b", "cesis-a", "valmiera-a"),
    services=(
        ServicePlan("permit-desk", 7, ORDERS),
        ServicePlan("ticket-print", 4, DOCUMENTS),
    ),
)
PLANS = {plan.name: plan for plan in (SHIRAKABA, MEZVARTI)}


def caller_address(plan: Plan, service: str) -> Address:
    """Return the address that callers of a service use."""
    number = [each.name for each in plan.services].index(service)
    return Address(host=LOOPBACK, port=plan.base_port + CALLER_OFFSET + number)


def store_address(plan: Plan) -> Address:
    """Return where the object store listens."""
    return Address(host=LOOPBACK, port=plan.base_port + STORE_OFFSET)


def fabric_settings(plan: Plan) -> FabricSettings:
    """Return the settings of the fabric."""
    return FabricSettings(
        name="fabric",
        listen=Address(host=LOOPBACK, port=plan.base_port + FABRIC_OFFSET),
        addresses=tuple(caller_address(plan, each.name) for each in plan.services),
        loss=plan.loss,
        duplicate=plan.duplicate,
        reorder=plan.reorder,
        seed=plan.seed,
    )


def balancer_address(plan: Plan, number: int) -> Address:
    """Return where a balancer listens for other daemons."""
    return Address(host=LOOPBACK, port=plan.base_port + BALANCER_OFFSET + number)


def balancer_settings(plan: Plan, number: int) -> BalancerSettings:
    """Return the settings of one balancer, numbered from 0."""
    return BalancerSettings(
        name=f"balancer-{number + 1}",
        datacentre=plan.datacentres[number % len(plan.datacentres)],
        listen=balancer_address(plan, number),
        store=StoreSettings(address=store_address(plan)),
        fabrics=(fabric_settings(plan).listen,),
        seeds=tuple(balancer_address(plan, each) for each in range(plan.balancers)),
    )


def agent_settings(plan: Plan, service: str, number: int) -> AgentSettings:
    """Return the settings of one agent of a service, numbered from 0."""
    slot = 20 * [each.name for each in plan.services].index(service) + number
    return AgentSettings(
        name=f"{service}-{number + 1}",
        datacentre=plan.datacentres[number % len(plan.datacentres)],
        listen=Address(host=LOOPBACK, port=plan.base_port + AGENT_OFFSET + slot),
        store=StoreSettings(address=store_address(plan)),
        fabrics=(fabric_settings(plan).listen,),
        seeds=tuple(balancer_address(plan, each) for each in range(plan.balancers)),
        service=service,
        endpoint=Address(host=LOOPBACK, port=plan.base_port + SERVER_OFFSET + slot),
    )


def server_settings(plan: Plan, service: str, number: int) -> ServerSettings:
    """Return the settings of one backend server of a service, numbered from 0."""
    settings = agent_settings(plan, service, number)
    usual = ServerSettings(
        name=settings.name,
        service=service,
        listen=settings.endpoint,
        seed=plan.seed + settings.endpoint.port,
        mean_seconds=plan.mean_seconds,
        backlog=plan.backlog,
    )
    return msgspec.structs.replace(usual, **plan.servers.get(service, {}))


@dataclass
class Deployment:
    """The running pieces, each with the context that stops it."""

    plan: Plan
    fabric: Fabric
    store: ObjectStore
    journal: Journal = field(default_factory=Journal)
    balancers: dict[int, Balancer] = field(default_factory=dict)
    agents: dict[tuple[str, int], Agent] = field(default_factory=dict)
    servers: dict[tuple[str, int], BackendServer] = field(default_factory=dict)
    contexts: dict[tuple, AsyncExitStack] = field(default_factory=dict)
    hosts: dict[tuple, Host] = field(default_factory=dict)

    async def start_balancer(self, number: int) -> Balancer:
        """Start a balancer, numbered from 0."""
        settings = balancer_settings(self.plan, number)
        state = await self._enter(
            ("balancer", number), lambda: running_balancer(settings)
        )
        self.balancers[number] = state
        return state

    async def kill_balancer(self, number: int) -> None:
        """Stop a balancer at once, as a crash would."""
        del self.balancers[number]
        await self.contexts.pop(("balancer", number)).aclose()

    async def restart_balancer(self, number: int) -> None:
        """Let a balancer leave in order, then start it again."""
        await self.stop_balancer(number)
        await self.start_balancer(number)

    async def stop_balancer(self, number: int) -> None:
        """Let a balancer leave in order."""
        await self._leave(("balancer", number), self.balancers[number])
        await self.kill_balancer(number)

    async def start_server(self, service: str, number: int) -> BackendServer:
        """Start the backend server of one endpoint, numbered from 0."""
        settings = server_settings(self.plan, service, number)
        stack = self.contexts["server", service, number] = AsyncExitStack()
        server = await stack.enter_async_context(backend_server(settings, self.journal))
        self.servers[service, number] = server
        return server

    async def kill_server(self, service: str, number: int) -> None:
        """Stop a backend server at once, as a crash would."""
        del self.servers[service, number]
        await self.contexts.pop(("server", service, number)).aclose()

    async def start_agent(self, service: str, number: int) -> Agent:
        """Start the agent beside one endpoint of a service, numbered from 0."""
        settings = agent_settings(self.plan, service, number)
        state = await self._enter(
            ("agent", service, number), lambda: running_agent(settings)
        )
        self.agents[service, number] = state
        return state

    async def kill_agent(self, service: str, number: int) -> None:
        """Stop an agent at once, as a crash would."""
        del self.agents[service, number]
        await self.contexts.pop(("agent", service, number)).aclose()

    async def drain_agent(self, service: str, number: int) -> None:
        """Let an agent leave in order."""
        await self._leave(("agent", service, number), self.agents[service, number])
        await self.kill_agent(service, number)

    async def _enter(
        self, key: tuple, make: Callable[[], AbstractAsyncContextManager]
    ) -> Balancer | Agent:
        """Run a daemon here, or in a thread where the plan says so."""
        stack = self.contexts[key] = AsyncExitStack()
        if key not in self.plan.hosted:
            return await stack.enter_async_context(make())
        host = await stack.enter_async_context(hosted(make))
        self.hosts[key] = host
        return host.state

    async def _leave(self, key: tuple, daemon: Balancer | Agent) -> None:
        """Have a daemon leave, in the event loop that it runs in."""
        host = self.hosts.get(key)
        if host is None:
            await daemon.leave()
            return
        left = asyncio.run_coroutine_threadsafe(daemon.leave(), host.loop)
        await asyncio.wrap_future(left)

    def ready(self) -> bool:
        """Whether all that runs is linked and has a configuration in force."""
        balancers = list(self.balancers.values())
        agents = list(self.agents.values())
        linked = all(len(each.agents.open) == len(agents) for each in balancers)
        answering = all(each.fabrics.open for each in agents)
        daemons = [*balancers, *agents]
        informed = all(each.configuration.revision for each in daemons)
        sprayed = len(self.fabric.balancers) == len(balancers)
        return linked and answering and informed and sprayed

    async def wait_ready(self) -> None:
        """Wait until all is linked; a deployment that never is breaks the run."""
        async with asyncio.timeout(READY_SECONDS):
            while not self.ready():
                await asyncio.sleep(READY_STEP_SECONDS)


@asynccontextmanager
async def running_balancer(settings: BalancerSettings) -> AsyncIterator[Balancer]:
    """Run a balancer with a configuration and members of its own."""
    async with balancer(settings, Configuration(), Members()) as state:
        yield state


@asynccontextmanager
async def running_agent(settings: AgentSettings) -> AsyncIterator[Agent]:
    """Run an agent with a configuration and members of its own."""
    async with agent(settings, Configuration(), Members()) as state:
        yield state


@asynccontextmanager
async def deployment(plan: Plan) -> AsyncIterator[Deployment]:
    """Run a whole deployment as long as the context lasts."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            object_store(store_address(plan), seed=plan.seed)
        )
        await accept_first(plan)
        running = await stack.enter_async_context(fabric(fabric_settings(plan)))
        state = Deployment(plan, running, store)
        stack.push_async_callback(_stop_all, state)
        for service in plan.services:
            for number in range(service.endpoints):
                await state.start_server(service.name, number)
                await state.start_agent(service.name, number)
        for number in range(plan.balancers):
            await state.start_balancer(number)
        await state.wait_ready()
        yield state


async def accept_first(plan: Plan) -> None:
    """Bring the plan's profiles and services into an empty store."""
    address = store_address(plan)
    client = StoreClient(StoreSettings(address=address, calls_per_second=1000))
    try:
        for kind, value in _first_values(plan):
            change = new_change(kind, value.name, value, author="demo", base="")
            accepted = await accept(client, change)
            if accepted.is_err():
                raise InvariantError(str(accepted.unwrap_err()))
    finally:
        client.close()


def _first_values(plan: Plan) -> list[tuple[Kind, Profile | Service]]:
    profiles = {each.profile.name: each.profile for each in plan.services}
    values: list[tuple[Kind, Profile | Service]] = [
        ("profiles", profile) for profile in profiles.values()
    ]
    for each in plan.services:
        address = str(caller_address(plan, each.name))
        service = Service(name=each.name, address=address, profile=each.profile.name)
        values.append(("services", service))
    return values


async def _stop_all(state: Deployment) -> None:
    for stack in reversed(list(state.contexts.values())):
        await stack.aclose()
