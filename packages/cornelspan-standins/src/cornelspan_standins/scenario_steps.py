"""How each step of a scenario is carried out on its stage."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from cornelspan_standins import scenario_types as s
from cornelspan_standins.callers import Callers, LoadSettings, Target as CallerTarget
from cornelspan_standins.deployment import Plan, caller_address
from cornelspan_standins.objects import Faults
from cornelspan_standins.scenario_checks import METRICS, NEED_SERVICE, holds
from cornelspan_standins.scenario_stage import Left, Stage, changed, daemon_key, plain
from cornelspan_standins.scenario_types import Position, StepError

LOAD_SECONDS = 90.0
POLL_SECONDS = 0.05
NO_LONGER_RUNS = "does not run"
FLOWS_LIMIT = 100_000

Act = Callable[[Stage, s.Step], Awaitable[None]]


async def _load(stage: Stage, step: s.Load) -> None:
    callers = Callers(load_settings(stage.plan, step))
    stage.callers[step.name] = callers
    stage.loads[step.name] = stage.tasks.start(callers.run(), name=f"load {step.name}")


async def _wait_for(stage: Stage, step: s.WaitFor) -> None:
    if step.load not in stage.loads:
        raise StepError(step.position, f"no load named {step.load!r} was started")
    try:
        await asyncio.wait_for(stage.loads[step.load], LOAD_SECONDS)
    except TimeoutError:
        reason = f"load {step.load!r} is not through after {LOAD_SECONDS:g} s"
        raise StepError(step.position, reason) from None


async def _wait(stage: Stage, step: s.Wait) -> None:
    await asyncio.sleep(step.seconds)


async def _start(stage: Stage, step: s.Start) -> None:
    target, running = step.target, stage.deployment
    number = target.number - 1
    match target.kind:
        case "balancer":
            await running.start_balancer(number)
        case "agent":
            await running.start_agent(target.service, number)
        case "server":
            await running.start_server(target.service, number)
        case "endpoint":
            await running.start_server(target.service, number)
            await running.start_agent(target.service, number)
    _back(stage, target)


async def _kill(stage: Stage, step: s.Kill) -> None:
    target, running = step.target, stage.deployment
    _need_running(stage, target)
    number = target.number - 1
    match target.kind:
        case "balancer":
            await running.kill_balancer(number)
        case "agent":
            await running.kill_agent(target.service, number)
        case "server":
            await running.kill_server(target.service, number)
        case "endpoint":
            await running.kill_agent(target.service, number)
            await running.kill_server(target.service, number)


async def _stop(stage: Stage, step: s.Stop) -> None:
    target, running = step.target, stage.deployment
    _need_running(stage, target)
    number = target.number - 1
    if target.kind == "balancer":
        await running.stop_balancer(number)
        return
    _note_leaving(stage, target)
    await running.drain_agent(target.service, number)
    if target.kind == "endpoint":
        await running.kill_server(target.service, number)


async def _drain(stage: Stage, step: s.Drain) -> None:
    """Begin to leave; the scenario goes on meanwhile."""
    target = step.target
    _need_running(stage, target)
    if target.kind == "balancer":
        raise StepError(step.position, "a balancer has nothing to drain; stop it")
    _note_leaving(stage, target)
    if target.kind == "server":
        stage.deployment.servers[target.service, target.number - 1].drain()
        return
    draining = stage.deployment.drain_agent(target.service, target.number - 1)
    stage.tasks.start(draining, name=f"drain {target}")


async def _pause(stage: Stage, step: s.Pause) -> None:
    """Freeze a process now, and let it go on later; the scenario goes on meanwhile."""
    target = step.target
    _need_running(stage, target)
    loop = asyncio.get_running_loop()
    if target.kind in ("server", "endpoint"):
        server = stage.deployment.servers[target.service, target.number - 1]
        server.pause()
        loop.call_later(step.seconds, server.resume)
    if target.kind != "server":
        host = stage.deployment.hosts[daemon_key(target)]
        host.pause()
        loop.call_later(step.seconds, host.resume)


async def _fault(stage: Stage, step: s.Fault) -> None:
    target = step.target
    if target.kind != "server":
        raise StepError(step.position, "only servers have faults that can be set")
    _need_running(stage, target)
    server = stage.deployment.servers[target.service, target.number - 1]
    server.settings = _checked(
        step.position, lambda: changed(server.settings, step.settings)
    )


async def _store(stage: Stage, step: s.Store) -> None:
    match step.state:
        case "down":
            faults = Faults(down=True)
        case "hangs":
            faults = Faults(hang=True)
        case "slow":
            faults = Faults(delay_seconds=step.amount)
        case "lossy":
            half = step.amount / 2
            faults = Faults(lost_answers=half, lost_requests=half)
        case "stale":
            faults = Faults(stale_reads=step.amount)
        case _:
            faults = Faults()
    stage.deployment.store.faults = faults


async def _cut(stage: Stage, step: s.Cut) -> None:
    loop = asyncio.get_running_loop()
    for one in stage.process_names(step.one):
        for other in stage.process_names(step.other):
            stage.cuts.cut(one, other)
            loop.call_later(step.seconds, stage.cuts.heal, one, other)


async def _change_profile(stage: Stage, step: s.ChangeProfile) -> None:
    await _edit(stage, step.position, "profiles", step.profile, step.settings)


async def _use_profile(stage: Stage, step: s.UseProfile) -> None:
    settings: s.Settings = {"profile": step.profile}
    await _edit(stage, step.position, "services", step.service, settings)


async def _race(stage: Stage, step: s.Race) -> None:
    accepted = await stage.race(step.profile, step.first, step.second)
    if accepted != 1:
        raise StepError(step.position, f"{accepted} of two racing edits were accepted")


async def _edit(
    stage: Stage, position: Position, kind: str, name: str, settings: s.Settings
) -> None:
    try:
        refused = await stage.edit(kind, name, settings)
    except msgspec.ValidationError as error:
        raise StepError(position, str(error)) from None
    if refused:
        raise StepError(position, refused)


async def _expect(stage: Stage, step: s.Expect) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + step.within_seconds
    measure = METRICS[step.metric]
    value = measure(stage, step.service)
    while not holds(value, step.operator, step.value):
        if loop.time() >= deadline:
            expected = f"{step.operator} {step.value:g}"
            reason = f"{step.metric} is {value:g}, expected {expected}"
            raise StepError(step.position, reason)
        await asyncio.sleep(POLL_SECONDS)
        value = measure(stage, step.service)


ACTS: dict[type[s.Step], Act] = {
    s.Load: _load,
    s.WaitFor: _wait_for,
    s.Wait: _wait,
    s.Start: _start,
    s.Kill: _kill,
    s.Stop: _stop,
    s.Drain: _drain,
    s.Pause: _pause,
    s.Fault: _fault,
    s.Store: _store,
    s.Cut: _cut,
    s.ChangeProfile: _change_profile,
    s.UseProfile: _use_profile,
    s.Race: _race,
    s.Expect: _expect,
}


def check_step(plan: Plan, step: s.Step) -> None:
    """Check a step against the deployment before anything runs.

    Raises:
        StepError: If it names what there is not, or a setting that does not fit.
    """
    services = {each.name: each.endpoints for each in plan.services}
    for target in _targets(step):
        _check_target(target, services, plan.balancers)
    match step:
        case s.Load():
            for name in step.services:
                _check_service(step.position, name, services)
            _checked(step.position, lambda: load_settings(plan, step))
        case s.Expect():
            _check_expect(step, services)
        case _:
            return


def load_settings(plan: Plan, step: s.Load) -> LoadSettings:
    """Return the settings of a load; its flows are unlimited if it has ``seconds``."""
    targets = tuple(
        CallerTarget(service=name, address=caller_address(plan, name))
        for name in step.services
    )
    settings = {name: plain(value) for name, value in step.settings.items()}
    if "size" in settings:
        settings["sizes"] = [settings.pop("size")]
    if "seconds" in settings:
        settings.setdefault("flows", FLOWS_LIMIT)
    document = {
        "targets": msgspec.to_builtins(targets),
        "seed": plan.seed,
        "prefix": step.name,
        **settings,
    }
    return msgspec.convert(document, LoadSettings)


def _targets(step: s.Step) -> list[s.Target]:
    if isinstance(step, s.Cut):
        return [step.one, step.other]
    target = getattr(step, "target", None)
    return [target] if target is not None else []


def _check_target(target: s.Target, services: dict[str, int], balancers: int) -> None:
    if target.kind == "balancer":
        if target.number > balancers:
            raise StepError(target.position, f"there are {balancers} balancers")
        return
    _check_service(target.position, target.service, services)
    endpoints = services[target.service]
    if target.number > endpoints:
        reason = f"{target.service} has {endpoints} endpoints"
        raise StepError(target.position, reason)


def _check_service(position: Position, name: str, services: dict[str, int]) -> None:
    if name not in services:
        known = ", ".join(services)
        raise StepError(position, f"no service {name!r}; there are: {known}")


def _check_expect(step: s.Expect, services: dict[str, int]) -> None:
    if step.metric not in METRICS:
        known = ", ".join(sorted(METRICS))
        raise StepError(step.position, f"no metric {step.metric!r}; known: {known}")
    if step.service:
        _check_service(step.position, step.service, services)
    elif step.metric in NEED_SERVICE:
        raise StepError(step.position, f"{step.metric!r} needs 'of SERVICE'")


def _checked(position: Position, make: Callable[[], object]) -> object:
    try:
        return make()
    except (msgspec.ValidationError, TypeError) as error:
        raise StepError(position, str(error)) from None


def _need_running(stage: Stage, target: s.Target) -> None:
    running = stage.deployment
    key = (target.service, target.number - 1)
    agents = key in running.agents
    servers = key in running.servers
    runs = {
        "balancer": target.number - 1 in running.balancers,
        "agent": agents,
        "server": servers,
        "endpoint": agents and servers,
    }
    if not runs[target.kind]:
        raise StepError(target.position, f"{target} {NO_LONGER_RUNS}")


def _note_leaving(stage: Stage, target: s.Target) -> None:
    endpoint = f"{target.service}-{target.number}"
    stage.left.append(Left(endpoint, asyncio.get_running_loop().time()))


def _back(stage: Stage, target: s.Target) -> None:
    """An endpoint that has come back may have new work again."""
    endpoint = f"{target.service}-{target.number}"
    stage.left = [left for left in stage.left if left.endpoint != endpoint]
