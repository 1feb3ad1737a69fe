"""Accepting changes: validation, conflicts, lost responses and races."""

import asyncio

import msgspec
import pytest
from result import Err, Ok

from cornelspan_common.settings import Address, StoreSettings
from cornelspan_control.changes import (
    Conflict,
    Indeterminate,
    Invalid,
    NotFound,
    NotWritten,
    accept,
    new_change,
)
from cornelspan_control.configuration import Configuration
from cornelspan_control.configuration_reader import (
    read_current,
    read_history,
    read_newer,
    read_snapshot,
)
from cornelspan_control.profiles import Profile, Service
from cornelspan_control.records import MAX_ANCESTORS
from cornelspan_control.store import StoreClient
from cornelspan_standins.objects import Rates, object_store

FAST = Rates(writes=100_000, reads=100_000)
ORDER = Profile(name="order")
HUB = Service(name="order-hub", address="10.0.0.1:80", profile="order")


@pytest.fixture
def settings(base_port):
    here = Address(host="127.0.0.1", port=base_port)
    return StoreSettings(address=here, call_seconds=0.5, calls_per_second=1000)


@pytest.fixture
async def store(settings):
    async with object_store(settings.address, rates=FAST) as running:
        yield running


@pytest.fixture
async def client(store, settings):
    return StoreClient(settings, seed=1)


async def create(client, kind, value):
    change = new_change(kind, value.name, value, author="mara", base="")
    return (await accept(client, change)).unwrap()


async def edit(client, name, author, **fields):
    seen = (await read_current(client, "profiles", name)).unwrap()
    value = msgspec.structs.replace(seen.version.profile, **fields)
    change = new_change(
        "profiles",
        name,
        value,
        author=author,
        base=seen.base,
        min_version=seen.min_version,
    )
    return await accept(client, change)


async def test_accepted_changes_are_read_whole_or_as_a_delta(client):
    await create(client, "profiles", ORDER)
    configuration = Configuration()
    configuration.apply((await read_snapshot(client)).unwrap())
    await create(client, "services", HUB)
    await create(client, "profiles", Profile(name="receipt"))
    delta = (await read_newer(client, 1)).unwrap()
    assert configuration.advance(delta)
    whole = Configuration()
    whole.apply((await read_snapshot(client)).unwrap())
    assert configuration == whole
    assert (await read_newer(client, 3)).unwrap() is None


async def test_refused_changes_write_nothing(client, store):
    await create(client, "profiles", ORDER)
    await create(client, "services", HUB)
    before = store.version
    base = (await read_current(client, "services", "order-hub")).unwrap().base
    order = (await read_current(client, "profiles", "order")).unwrap().base
    moved = msgspec.structs.replace(HUB, address="10.0.0.2:80")
    unknown = msgspec.structs.replace(HUB, profile="none")
    twin = msgspec.structs.replace(HUB, name="twin")
    for change, kind in [
        (new_change("services", "order-hub", moved, author="a", base=base), Invalid),
        (new_change("services", "order-hub", unknown, author="a", base=base), Invalid),
        (new_change("services", "twin", twin, author="a", base=""), Invalid),
        (new_change("profiles", "order", None, author="a", base=order), Invalid),
        (new_change("profiles", "none", None, author="a", base=""), NotFound),
    ]:
        assert isinstance((await accept(client, change)).unwrap_err(), kind)
    assert store.version == before


async def test_racing_edit_gets_a_conflict_with_the_other_version(client):
    # Two operators edit the same version. The second to save would silently revert the
    # first edit; it gets a conflict with the first one's version instead.
    await create(client, "profiles", ORDER)
    base = (await read_current(client, "profiles", "order")).unwrap().base
    mine = Profile(name="order", priority=1)
    (await edit(client, "order", "janis", priority=2)).unwrap()
    change = new_change("profiles", "order", mine, author="mara", base=base)
    conflict = (await accept(client, change)).unwrap_err()
    assert isinstance(conflict, Conflict)
    assert (conflict.current.author, conflict.current.profile.priority) == ("janis", 2)


async def test_same_change_twice_is_applied_once(client):
    change = new_change("profiles", "order", ORDER, author="mara", base="")
    first = await accept(client, change)
    assert await accept(client, change) == first


async def test_revert_is_a_new_change_and_history_is_bounded(client, store):
    await create(client, "profiles", ORDER)
    for number in range(MAX_ANCESTORS + 10):
        (await edit(client, "order", "mara", drain_seconds=float(number))).unwrap()
    versions = (await read_history(client, "profiles", "order", limit=100)).unwrap()
    assert len(versions) == MAX_ANCESTORS + 1
    stored = [n for n, v in store.values.items() if "/order/" in n and v[-1][1]]
    assert len(stored) == MAX_ANCESTORS + 1
    old = versions[5].profile
    (await edit(client, "order", "mara", drain_seconds=old.drain_seconds)).unwrap()
    head = (await read_snapshot(client)).unwrap()
    assert head.revision == MAX_ANCESTORS + 12
    assert head.profiles == (old,)


async def test_lost_answer_is_settled_by_the_change_id(client, store):
    # The head is updated but the response is lost. The change must not be reported as
    # failed, and the retry must not create a second revision: its id is in the head.
    store.faults.lost_answers = 0.4
    for number in range(30):
        profile = Profile(name=f"p{number}")
        accepted = await create(client, "profiles", profile)
        assert accepted.revision == number + 1


async def test_late_write_cannot_apply_twice(client, store, settings):
    # The store is slower than the call's timeout, so the first update of the head is
    # still in flight when it is retried. Both have the same condition, so at most one
    # takes effect. How often that happens depends on the computer's speed, so edits
    # continue until it has happened, at least five times.
    await create(client, "profiles", Profile(name="order", drain_seconds=0.0))
    quick = StoreClient(msgspec.structs.replace(settings, call_seconds=0.05))
    number = 0
    while number < 5 or (store.calls["conflict"] == 0 and number < 80):
        number += 1
        seen = (await read_current(client, "profiles", "order")).unwrap()
        value = Profile(name="order", drain_seconds=float(number))
        change = new_change("profiles", "order", value, author="mara", base=seen.base)
        store.faults.delay_seconds = 0.03
        await accept(quick, change, timeout_seconds=5.0)
        store.faults.delay_seconds = 0.0
        await asyncio.sleep(0.1)
        (await accept(client, change)).unwrap()
    assert store.calls["conflict"] > 0
    snapshot = (await read_snapshot(client)).unwrap()
    assert snapshot.revision == number + 1
    assert snapshot.profiles[0].drain_seconds == float(number)


async def test_store_down_is_told_apart_from_unknown(client, store):
    store.faults.down = True
    change = new_change("profiles", "order", ORDER, author="mara", base="")
    refused = await accept(client, change, timeout_seconds=0.2)
    assert isinstance(refused.unwrap_err(), NotWritten)
    store.faults.down = False

    async def break_once_head_is_sent():
        while "configuration/head" not in store.values:
            await asyncio.sleep(0)
        store.faults.down = True

    store.faults.lost_answers = 1.0
    breaking = asyncio.create_task(break_once_head_is_sent())
    unknown = await accept(client, change, timeout_seconds=0.5)
    await breaking
    assert isinstance(unknown.unwrap_err(), Indeterminate)
    store.faults.down = False
    assert isinstance(await accept(client, change), Ok)


async def test_two_operators_race_500_edits(client, store, settings):
    # Both increment the same number 250 times, while the store loses requests and
    # responses and returns stale reads. A lost edit makes the sum too small, one that
    # is applied twice too large. After a conflict the edit is retried.
    await create(client, "profiles", Profile(name="order", drain_seconds=0.0))
    store.faults.lost_answers = 0.02
    store.faults.lost_requests = 0.02
    store.faults.stale_reads = 0.05

    async def add_one(operator, author):
        while True:
            match await read_current(operator, "profiles", "order"):
                case Err(_):
                    continue
                case Ok(seen):
                    now = seen.version.profile
            value = msgspec.structs.replace(now, drain_seconds=now.drain_seconds + 1)
            change = new_change(
                "profiles", "order", value, author=author, base=seen.base
            )
            match await accept(operator, change):
                case Ok(_):
                    return
                case Err(Conflict()):
                    continue
                case Err(error):
                    raise AssertionError(error)

    async def operate(author):
        operator = StoreClient(settings, seed=len(author))
        for _ in range(250):
            await add_one(operator, author)

    await asyncio.gather(operate("mara"), operate("janis"))
    store.faults.stale_reads = 0.0
    snapshot = (await read_snapshot(client)).unwrap()
    assert snapshot.profiles[0].drain_seconds == 500
    assert snapshot.revision == 501


async def test_wrong_store_content_is_an_error_value(client, store):
    store.write("configuration/head", b"{broken")
    assert isinstance(await read_snapshot(client), Err)
