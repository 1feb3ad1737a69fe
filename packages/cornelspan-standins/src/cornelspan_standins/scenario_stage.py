"""What a scenario runs on: deployment, callers, and what has happened so far."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
from result import Err, Result

from cornelspan_common.store_errors import (
    ReadError,
)
from cornelspan_common.tasks import Tasks, task_group
from cornelspan_control.changes import (
    ChangeError,
    Conflict,
    NotFound,
    accept,
    new_change,
)
from cornelspan_control.configuration_reader import read_current
from cornelspan_control.profiles import Profile, Service
from cornelspan_control.records import AcceptedChange, Kind
from cornelspan_control.store import (
    StoreClient,
    StoreSettings,
)
from cornelspan_standins.callers import Callers, LoadReport, RequestOutcome
from cornelspan_standins.cuts import Cuts, cuttable
from cornelspan_standins.deployment import (
    PLANS,
    Deployment,
    Plan,
    deployment,
    store_address,
)
from cornelspan_standins.scenario_types import Scenario, Settings, Target, Value

WATCH_SECONDS = 0.05
OPERATOR = "scenario"
EDIT_TRIES = 10


@dataclass(frozen=True, slots=True)
class Left:
    """An endpoint that was told to leave, and when, by the loop's clock."""

    endpoint: str
    at: float


@dataclass
class Stage:
    """State of one run of a scenario.

    ``reverts`` counts how often a daemon's revision was seen to go back, ``accepted``
    is the newest revision that the store has confirmed to an operator.
    """

    plan: Plan
    deployment: Deployment
    cuts: Cuts
    tasks: Tasks
    loads: dict[str, asyncio.Task] = field(default_factory=dict)
    callers: dict[str, Callers] = field(default_factory=dict)
    left: list[Left] = field(default_factory=list)
    accepted: int = 0
    reverts: int = 0
    seen: dict[tuple, tuple[int, int]] = field(default_factory=dict)

    def reports(self) -> list[LoadReport]:
        """Return the reports of all loads, ended or not."""
        return [callers.report for callers in self.callers.values()]

    def requests(self, service: str) -> list[RequestOutcome]:
        """Return all requests of one service, or of all for ""."""
        return [
            request
            for report in self.reports()
            for request in report.requests
            if service in ("", request.service)
        ]

    def daemons(self) -> dict[tuple, object]:
        """Return all balancers and agents that run, by key."""
        balancers = {("balancer", n): b for n, b in self.deployment.balancers.items()}
        agents = {("agent", *key): a for key, a in self.deployment.agents.items()}
        return balancers | agents

    async def watch_revisions(self) -> None:
        """Note when a daemon's revision goes back within one life of it."""
        while True:
            for key, daemon in self.daemons().items():
                life = daemon.hello.incarnation
                revision = daemon.configuration.revision
                before = self.seen.get(key, (life, 0))
                if before[0] == life and revision < before[1]:
                    self.reverts += 1
                self.seen[key] = (life, revision)
            await asyncio.sleep(WATCH_SECONDS)

    async def edit(self, kind: Kind, name: str, settings: Settings) -> str:
        """Change a profile or service as an operator would.

        An operator who was shown an older version gets a conflict, looks again and
        edits again.

        Returns:
            "" once it is accepted, else why it is not.
        """
        client = StoreClient(StoreSettings(address=store_address(self.plan)))
        try:
            for _ in range(EDIT_TRIES):
                outcome = await _edit_once(client, kind, name, settings)
                if not isinstance(outcome.err(), Conflict):
                    break
        finally:
            client.close()
        if outcome.is_err():
            return str(outcome.unwrap_err())
        self.accepted = max(self.accepted, outcome.unwrap().revision)
        return ""

    async def race(self, name: str, first: Settings, second: Settings) -> int:
        """Have two operators edit a profile that both saw in the same version.

        Returns:
            How many of the two were accepted.
        """
        client = StoreClient(StoreSettings(address=store_address(self.plan)))
        try:
            seen = (await read_current(client, "profiles", name)).unwrap()
            profile = seen.version.profile
            edits = [
                new_change(
                    "profiles",
                    name,
                    changed(profile, settings),
                    author=OPERATOR,
                    base=seen.base,
                )
                for settings in (first, second)
            ]
            outcomes = await asyncio.gather(*(accept(client, each) for each in edits))
        finally:
            client.close()
        accepted = [each.unwrap().revision for each in outcomes if each.is_ok()]
        self.accepted = max([self.accepted, *accepted])
        return len(accepted)

    def process_names(self, target: Target) -> list[str]:
        """Return the names by which streams know a target."""
        if target.kind == "balancer":
            return [f"balancer-{target.number}"]
        return [f"{target.service}-{target.number}"]


async def _edit_once(
    client: StoreClient, kind: Kind, name: str, settings: Settings
) -> Result[AcceptedChange, ReadError | ChangeError]:
    seen = await read_current(client, kind, name)
    if seen.is_err():
        return seen
    version = seen.unwrap().version
    if version is None:
        return Err(NotFound(kind, name))
    value = changed(version.profile or version.service, settings)
    base = seen.unwrap().base
    change = new_change(kind, name, value, author=OPERATOR, base=base)
    return await accept(client, change)


def changed(value: Profile | Service, settings: Settings) -> Profile | Service:
    """Return a profile or service with fields set by dotted path.

    Raises:
        msgspec.ValidationError: If a path or a value does not fit the schema.
    """
    document = msgspec.to_builtins(value)
    for path, wanted in settings.items():
        *parents, field_name = path.split(".")
        place = document
        for parent in parents:
            if not isinstance(place.get(parent), dict):
                raise msgspec.ValidationError(f"no field {path!r}")
            place = place[parent]
        place[field_name] = plain(wanted)
    return msgspec.convert(document, type(value))


def plain(value: Value) -> Value | int:
    """Return a whole number as an integer, since the schema tells them apart."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def stage_plan(scenario: Scenario, *, seed: int, base_port: int) -> Plan:
    """Return the deployment that a scenario asks for."""
    plan = PLANS[scenario.deployment]
    profiles = dict(scenario.profiles)
    services = tuple(
        dataclasses.replace(
            each, profile=changed(each.profile, profiles.get(each.profile.name, {}))
        )
        for each in plan.services
    )
    servers = {
        name: {key: plain(value) for key, value in settings.items()}
        for name, settings in scenario.servers
    }
    return dataclasses.replace(
        plan,
        services=services,
        balancers=scenario.balancers,
        base_port=base_port,
        seed=seed,
        hosted=frozenset(daemon_key(target) for target in scenario.paused()),
        servers=servers,
        **(scenario.fabric or {}),
    )


def daemon_key(target: Target) -> tuple:
    """Return the deployment's key of a balancer or of an endpoint's agent."""
    if target.kind == "balancer":
        return ("balancer", target.number - 1)
    return ("agent", target.service, target.number - 1)


@asynccontextmanager
async def stage(
    scenario: Scenario, *, seed: int, base_port: int
) -> AsyncIterator[Stage]:
    """Run the deployment of a scenario as long as the context lasts."""
    plan = stage_plan(scenario, seed=seed, base_port=base_port)
    with cuttable() as cuts:
        async with deployment(plan) as state, task_group() as tasks:
            running = Stage(plan, state, cuts, tasks)
            running.accepted = max(
                daemon.configuration.revision for daemon in running.daemons().values()
            )
            tasks.start(running.watch_revisions(), name="watch revisions")
            yield running
