"""The store client against a stand-in store with faults."""

import asyncio
import time

import pytest
from result import Err

from cornelspan_common.calls import CallBudget
from cornelspan_common.settings import Address, StoreSettings
from cornelspan_common.store_errors import (
    CallRefused,
    ObjectMissing,
    OutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from cornelspan_control.store import StoreClient
from cornelspan_standins.objects import Rates, object_store


@pytest.fixture
def here(base_port):
    return Address(host="127.0.0.1", port=base_port)


@pytest.fixture
def settings(here):
    return StoreSettings(address=here, call_seconds=0.3, calls_per_second=1000)


async def test_conditional_writes_and_listing(here, settings):
    async with object_store(here):
        client = StoreClient(settings)
        assert await client.get("a/x") == Err(ObjectMissing("a/x"))
        first = (await client.put("a/x", b"1", expected=0)).unwrap()
        again = await client.put("a/x", b"2", expected=0)
        assert again == Err(VersionConflict("a/x", first))
        second = (await client.put("a/x", b"2", expected=first)).unwrap()
        await client.put("b/y", b"other")
        read = (await client.get("a/x")).unwrap()
        assert (read.version, read.value) == (second, b"2")
        assert (await client.list_objects("a/")).unwrap().objects == (("a/x", second),)
        await client.delete("a/x", expected=second)
        assert (await client.list_objects("a/")).unwrap().objects == ()


async def test_value_over_a_megabyte_is_refused(here, settings):
    async with object_store(here) as store:
        refused = await StoreClient(settings).put("big", b"x" * 1_000_001)
        assert isinstance(refused.unwrap_err(), CallRefused)
        assert store.values == {}


async def test_watch_wakes_on_a_change_and_ends_in_time(here, settings):
    async with object_store(here):
        client = StoreClient(settings)
        waiting = asyncio.create_task(client.watch("a/", after=0, seconds=5))
        await asyncio.sleep(0.05)
        await client.put("a/x", b"1")
        seen = (await waiting).unwrap()
        assert seen.changed == ("a/x",)
        quiet = await client.watch("a/", after=seen.version, seconds=0.05)
        assert quiet.unwrap().changed == ()


async def test_lost_answer_is_an_unknown_outcome_that_took_effect(here, settings):
    async with object_store(here) as store:
        client = StoreClient(settings)
        store.faults.lost_answers = 1.0
        lost = await client.put("a", b"1", expected=0)
        assert isinstance(lost.unwrap_err(), OutcomeUnknown)
        assert (await client.get("a")).unwrap().value == b"1"


async def test_down_and_hanging_store_are_error_values(here, settings):
    async with object_store(here) as store:
        client = StoreClient(settings)
        store.faults.down = True
        assert isinstance((await client.get("a")).unwrap_err(), StoreUnavailable)
        assert isinstance((await client.put("a", b"")).unwrap_err(), OutcomeUnknown)
        store.faults.down = False
        store.faults.hang = True
        assert isinstance((await client.get("a")).unwrap_err(), StoreUnavailable)
    refused = await client.put("a", b"")
    assert isinstance(refused.unwrap_err(), StoreUnavailable)


async def test_stale_reads_and_missed_events(here, settings):
    async with object_store(here) as store:
        client = StoreClient(settings)
        await client.put("a", b"old")
        store.faults.missed_events = 1.0
        await client.put("a", b"new")
        store.faults.stale_reads = 1.0
        assert (await client.get("a")).unwrap().value == b"old"
        seen = (await client.watch("a", after=1, seconds=0.05)).unwrap()
        assert seen.changed == ()


async def test_over_its_rate_the_store_refuses(here, settings):
    async with object_store(here, rates=Rates(writes=5, reads=5)) as store:
        client = StoreClient(settings)
        answers = [await client.get("a") for _ in range(20)]
        refused = [a for a in answers if isinstance(a.unwrap_err(), CallRefused)]
        assert len(refused) == store.calls["refused"] > 0


async def test_budget_holds_its_rate_and_says_no():
    budget = CallBudget(50, seed=1)
    started = time.monotonic()
    taken = await asyncio.gather(*(budget.take(1.0) for _ in range(230)))
    assert all(taken)
    assert time.monotonic() - started >= 29 / 50
    small = CallBudget(0.1, seed=1)
    assert await small.take(0)
    assert not await small.take(0)
