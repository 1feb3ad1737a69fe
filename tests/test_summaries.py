"""Counts of good and bad requests when relays, agents and the store fail."""

import random

from result import Err

from cornelspan_common.service_levels import Minute, ServiceCounts
from cornelspan_common.settings import Address, StoreSettings
from cornelspan_control.burn import totals_over
from cornelspan_control.store import StoreClient
from cornelspan_control.summaries import Collector, read_summary
from cornelspan_standins.objects import object_store
from local import BASE_PORT

HERE = Address(host="127.0.0.1", port=BASE_PORT + 301)
SETTINGS = StoreSettings(address=HERE, call_seconds=0.3, calls_per_second=1000)
NOW = 29_000_000
DATACENTRE = "chuo-hall"


def counts(agent, *minutes, complete=NOW - 1, service="order-hub"):
    reports = tuple(Minute(NOW - age, good, bad) for age, good, bad in minutes)
    return ServiceCounts(agent, 1, service, complete, reports, b"")


async def sums(client, service="order-hub"):
    summary, _ = (await read_summary(client, DATACENTRE)).unwrap()
    totals = totals_over(summary.services[service].series, 60, now=NOW)
    return totals.good, totals.bad


async def test_minutes_said_again_are_counted_once():
    async with object_store(HERE):
        client = StoreClient(SETTINGS)
        relay = Collector(DATACENTRE)
        for _ in range(3):
            relay.record(counts("order-hub-1", (10, 5, 1), (9, 4, 0)))
            (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (9, 1)
        assert relay.sealed_minute("order-hub-1", 1) == NOW - 1


async def test_minute_that_is_still_counted_in_waits():
    # An agent reports in the middle of a minute and is then disconnected. The relay
    # seals only minutes that the agent reported as complete, so the rest isn't lost.
    async with object_store(HERE):
        client = StoreClient(SETTINGS)
        relay = Collector(DATACENTRE)
        relay.record(counts("order-hub-1", (5, 5, 0), (6, 1, 0), complete=NOW - 6))
        (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (1, 0)
        relay.record(counts("order-hub-1", (5, 7, 1)))
        (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (8, 1)


async def test_two_relays_hear_the_same_agents():
    # Both relays of a data centre collect the same counts and write in turn, since
    # neither knows whether the other is alive. The object has the last counted minute
    # of each agent, so the second write adds nothing.
    async with object_store(HERE):
        client = StoreClient(SETTINGS)
        relays = [Collector(DATACENTRE), Collector(DATACENTRE)]
        for relay in relays:
            relay.record(counts("order-hub-1", (10, 5, 1)))
            relay.record(counts("order-hub-2", (10, 7, 0)))
        for relay in (*relays, *relays):
            (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (12, 1)


async def test_agent_that_was_cut_off_is_counted_later():
    # An agent reaches no relay for half an hour and then reports all its minutes. The
    # minutes of other agents are sealed by then, but its own are not and are added.
    async with object_store(HERE):
        client = StoreClient(SETTINGS)
        relay = Collector(DATACENTRE)
        relay.record(counts("order-hub-1", (30, 1, 0)))
        (await relay.seal(client, now=NOW)).unwrap()
        relay.record(counts("order-hub-2", (30, 0, 4)))
        (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (1, 4)


async def test_random_losses_leave_the_right_sums():
    # Responses of the store are lost after the write, requests are lost before it, and
    # relays are replaced between rounds. Each minute must still be counted once, since
    # the object itself has the last counted minute of each agent.
    generator = random.Random(7)
    async with object_store(HERE, seed=7) as store:
        client = StoreClient(SETTINGS, seed=7)
        reports = [counts(f"order-hub-{n}", (20 - n, n, 1)) for n in range(1, 8)]
        relay = Collector(DATACENTRE)
        for _ in range(12):
            store.faults.lost_answers = generator.choice([0.0, 0.5])
            store.faults.lost_requests = generator.choice([0.0, 0.5])
            if generator.random() < 0.5:
                relay = Collector(DATACENTRE)
            for each in generator.sample(reports, 5):
                relay.record(each)
            await relay.seal(client, now=NOW)
        store.faults.lost_answers = store.faults.lost_requests = 0.0
        for each in reports:
            relay.record(each)
        (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (sum(range(1, 8)), 7)


async def test_store_outage_keeps_everything_for_later():
    async with object_store(HERE) as store:
        client = StoreClient(SETTINGS)
        relay = Collector(DATACENTRE)
        relay.record(counts("order-hub-1", (10, 5, 1)))
        store.faults.down = True
        assert isinstance(await relay.seal(client, now=NOW), Err)
        store.faults.down = False
        (await relay.seal(client, now=NOW)).unwrap()
        assert await sums(client) == (5, 1)


async def test_silent_agent_is_named():
    async with object_store(HERE):
        client = StoreClient(SETTINGS)
        relay = Collector(DATACENTRE)
        for agent in ("order-hub-1", "order-hub-2"):
            relay.record(counts(agent, (30, 1, 0), complete=NOW - 10))
        (await relay.seal(client, now=NOW - 10)).unwrap()
        relay.record(counts("order-hub-1", (5, 1, 0)))
        (await relay.seal(client, now=NOW)).unwrap()
        silent = relay.summary.silent_agents()
        assert [each.agent for each in silent] == ["order-hub-2"]
