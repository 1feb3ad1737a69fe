"""No flow breaks while endpoints, agents and balancers change, on real sockets."""

import asyncio
import dataclasses
from contextlib import asynccontextmanager

import pytest

from cornelspan_standins.callers import Callers, LoadSettings, Outcome, Target
from cornelspan_standins.deployment import (
    SHIRAKABA,
    caller_address,
    deployment,
)

ENDPOINTS = 4
SOAK_SEEDS = range(20)
IMPAIRED = {"loss": 0.01, "reorder": 0.02, "duplicate": 0.01}


def plan_of(base_port, seed):
    services = tuple(
        dataclasses.replace(each, endpoints=count)
        for each, count in zip(SHIRAKABA.services, (ENDPOINTS, 2), strict=True)
    )
    return dataclasses.replace(
        SHIRAKABA, services=services, base_port=base_port, seed=seed, **IMPAIRED
    )


@asynccontextmanager
async def under_load(base_port, seed):
    """Run a deployment under load, and check at the end that no flow has broken."""
    plan = plan_of(base_port, seed)
    targets = tuple(
        Target(service=each.name, address=caller_address(plan, each.name))
        for each in plan.services
    )
    settings = LoadSettings(
        targets=targets,
        seed=seed,
        flows=100_000,
        at_once=24,
        long_requests=10,
        sizes=(200, 20_000),
    )
    async with deployment(plan) as state:
        callers = Callers(settings)
        running = asyncio.create_task(callers.run())
        await asyncio.sleep(0.5)
        yield state
        await asyncio.sleep(0.5)
        callers.stop()
        report = await running
        assert report.broken == 0, broken_requests(report)
        assert state.fabric.counts.broken == 0
        assert report.count(Outcome.WRONG_SERVICE) == 0
        assert report.incomplete_answers == 0, cut_requests(report)
        assert report.finished == report.opened > 50


def broken_requests(report):
    return [each for each in report.requests if each.outcome is Outcome.BROKEN][:5]


def cut_requests(report):
    cut = (Outcome.INCOMPLETE, Outcome.FOREIGN)
    return [each for each in report.requests if each.outcome in cut][:5]


async def halve(state, seconds):
    for number in range(ENDPOINTS // 2):
        await state.drain_agent("order-hub", number)


async def double(state, seconds):
    await halve(state, seconds)
    await asyncio.sleep(0.3)
    for number in range(ENDPOINTS // 2):
        await state.start_agent("order-hub", number)


async def restart_agents(state, seconds):
    for service, number in list(state.agents):
        await state.drain_agent(service, number)
        await state.start_agent(service, number)


async def restart_balancers(state, seconds):
    for number in list(state.balancers):
        await state.restart_balancer(number)
        await state.wait_ready()


async def hold_views_apart(state, seconds):
    """Delay three changes at two balancers and at the members that follow them."""
    replays = [delay_updates(state.balancers[number]) for number in (0, 1)]
    await state.drain_agent("order-hub", 0)
    await state.start_agent("order-hub", 0)
    await state.drain_agent("order-hub", 1)
    await asyncio.sleep(seconds)
    for replay in replays:
        replay()
    await asyncio.sleep(0.3)


def delay_updates(balancer):
    """Hold back a balancer's membership updates; return a function to apply them."""
    plane = balancer.control.plane
    kept = []

    def keep_announce(member):
        kept.append(lambda: plane.record_announcement(member))
        return False

    def keep_gone(gone):
        kept.append(lambda: plane.remove(gone, plane.datacentre))
        return False

    plane._announce, plane._remove = keep_announce, keep_gone

    def replay():
        del plane._announce, plane._remove
        for update in kept:
            update()

    return replay


CHANGES = (halve, double, restart_agents, restart_balancers, hold_views_apart)


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
async def test_no_flow_breaks(base_port, change):
    # Clients hold flows open while agents, balancers and endpoints change. A flow with
    # a second owner, or without one, would be reset, which its client sees as broken.
    async with under_load(base_port, seed=1) as state:
        await change(state, 1.0)


async def test_leaving_agent_opens_no_flow_while_balancers_still_send_to_it(base_port):
    # Balancers rank a leaving agent as home until its last flow has ended. From the
    # moment it starts to leave, it must hand off all OPENs that they send to it.
    async with under_load(base_port, seed=2) as state:
        address = caller_address(state.plan, "order-hub")
        held = [await connect(address) for _ in range(12)]
        await asyncio.sleep(0.3)
        leaving = state.agents["order-hub", 0]
        leave = asyncio.create_task(leaving.leave())
        await asyncio.sleep(0)
        opened = leaving.flows.counts.opened
        handed_off = leaving.router.ownership.counts.handed_off
        await asyncio.sleep(3.0)
        assert not leave.done()
        assert leaving.flows.counts.opened == opened
        assert leaving.router.ownership.counts.handed_off > handed_off
        for writer in held:
            writer.close()
        await leave
        assert not leaving.flows.owned
        await state.kill_agent("order-hub", 0)


async def connect(address):
    """Open a flow that stays open and sends no request."""
    _, writer = await asyncio.open_connection(address.host, address.port)
    return writer


@pytest.mark.soak
@pytest.mark.parametrize("seed", SOAK_SEEDS)
@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
async def test_no_flow_breaks_at_any_seed(base_port, change, seed):
    async with under_load(base_port, seed=seed) as state:
        await change(state, 5.0)
