"""Service-level counts from gateways to the store, in a deployment."""

import asyncio
import dataclasses

from cornelspan_balancer import service_levels
from cornelspan_common.settings import StoreSettings
from cornelspan_control import summaries
from cornelspan_control.store import StoreClient
from cornelspan_requests import objectives, reporting
from cornelspan_standins.callers import LoadSettings, Target, run_callers
from cornelspan_standins.deployment import (
    SHIRAKABA,
    caller_address,
    deployment,
    store_address,
)

FAST = 0.2


def shorten_intervals(monkeypatch):
    """Shorten minutes to a second, so that they are sealed within the test."""
    monkeypatch.setattr(objectives, "MINUTE_SECONDS", 1)
    monkeypatch.setattr(service_levels, "MINUTE_SECONDS", 1)
    monkeypatch.setattr(service_levels, "CHECK_SECONDS", FAST)
    monkeypatch.setattr(reporting, "REPORT_SECONDS", FAST)
    monkeypatch.setattr(summaries, "SEAL_SECONDS", 1.0)


async def stored(client):
    """Return the number of ``order-hub`` requests in the store."""
    found = (await summaries.read_summaries(client)).unwrap()
    return sum(
        bucket.good + bucket.bad
        for summary in found
        for bucket in summary.services.get(
            "order-hub", summaries.ServiceSummary()
        ).series.days
    )


async def test_every_request_is_counted_once_though_a_relay_dies(
    monkeypatch, base_port
):
    # Agents report request counts to both relays, and one relay dies under load. The
    # agents must report counts that are not sealed to the other relays, so that the
    # store has each request exactly once.
    shorten_intervals(monkeypatch)
    plan = dataclasses.replace(SHIRAKABA, base_port=base_port)
    target = Target(service="order-hub", address=caller_address(plan, "order-hub"))
    load = LoadSettings(targets=(target,), flows=60, rate=30.0, long_requests=5)
    async with deployment(plan) as state:
        client = StoreClient(
            StoreSettings(address=store_address(plan), calls_per_second=1000)
        )
        running = asyncio.create_task(run_callers(load))
        await asyncio.sleep(1.0)
        await state.kill_balancer(0)
        report = await running
        for _ in range(100):
            counted = await stored(client)
            if counted >= len(report.requests):
                break
            await asyncio.sleep(0.1)
        client.close()
    assert counted == len(report.requests)
