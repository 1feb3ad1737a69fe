"""The adapter's calls to the platform's store, against a stand-in of the store."""

import asyncio

import pytest
from result import Err, Ok

from cornelspan_common.store_errors import (
    CallRefused,
    OutcomeUnknown,
    StoreUnavailable,
)
from cornelspan_passthrough.members import AGENT, Member
from cornelspan_passthrough.settings import ObjectStoreSettings
from cornelspan_passthrough.store import HistoryExpired
from cornelspan_shirakaba.store import ShirakabaStore
from cornelspan_standins.platform_store import (
    PlatformObjects,
    configuration_spec,
    platform_store,
)

ORDERS = Member("10.1.0.11", AGENT, "chuo-hall", "orders")
RECEIPTS = Member("10.1.0.12", AGENT, "chuo-hall", "receipts")


@pytest.fixture
def objects():
    return PlatformObjects(page=2)


@pytest.fixture
async def store(objects, base_port):
    with platform_store(("127.0.0.1", base_port), objects):
        settings = ObjectStoreSettings(
            address=f"127.0.0.1:{base_port}", call_milliseconds=300
        )
        client = ShirakabaStore(settings)
        yield client
        client.close()


async def test_members_are_listed_over_pages_and_watched(store):
    others = [Member(f"10.1.0.{n}", AGENT, "chuo-hall", "orders") for n in range(5)]
    for member in others:
        assert await store.put_member(member) == Ok(None)
    listing = (await store.list_members()).unwrap()
    assert sorted(listing.members, key=str) == sorted(others, key=str)
    await store.put_member(ORDERS)
    await store.remove_member("10.1.0.3")
    changes = (await store.watch_members(listing.revision, 1.0)).unwrap()
    assert changes.changed == [ORDERS]
    assert changes.removed == ["10.1.0.3"]


async def test_a_restart_changes_nothing_in_the_store(store, objects):
    """A daemon that registers again unchanged ends no watch.

    After a power loss all VMs register as before. If each write changed something, it
    would wake every balancer.
    """
    await store.put_member(ORDERS)
    revision = objects.revision
    assert await store.put_member(ORDERS) == Ok(None)
    assert objects.revision == revision


async def test_an_address_that_changes_hands_is_replaced(store):
    await store.put_member(ORDERS)
    successor = Member(ORDERS.address, AGENT, "chuo-hall", "receipts")
    await store.put_member(successor)
    assert (await store.list_members()).unwrap().members == [successor]


async def test_the_configuration_is_read_and_watched(store, objects):
    assert (await store.read_configuration()).unwrap().configuration is None
    objects.put("config", "main", configuration_spec(3))
    found = (await store.read_configuration()).unwrap()
    assert found.configuration.version == 3
    route = found.configuration.routes[0]
    assert (route.priority, route.timeout_milliseconds) == (1, 2000)
    objects.put("config", "main", configuration_spec(8))
    objects.put("config", "main", configuration_spec(7))
    newer = (await store.watch_configuration(found.revision, 1.0)).unwrap()
    assert newer.configuration.version == 8


async def test_a_configuration_that_cannot_be_read_is_left_out(store, objects):
    objects.put("config", "main", {"version": 3, "routes": [{"name": "x"}]})
    found = (await store.read_configuration()).unwrap()
    assert found.configuration is None


async def test_an_odd_entry_hides_no_other(store, objects):
    """Members are listed and watched beside another writer's unreadable entry.

    A single entry of another type used to make the whole answer unreadable.
    """
    await store.put_member(ORDERS)
    objects.by_kind["members"]["10.0.0.1"] = {"meta": {"name": 7}, "spec": 3}
    objects.put("members", "10.0.0.2", {"role": "agent"})
    listing = (await store.list_members()).unwrap()
    assert listing.members == [ORDERS]
    assert len(listing.unreadable) == 2
    objects.put("members", "10.0.0.2", "odd")
    await store.put_member(RECEIPTS)
    changes = (await store.watch_members(listing.revision, 1.0)).unwrap()
    assert changes.changed == [RECEIPTS]
    assert [each.name for each in changes.unreadable] == ["10.0.0.2"]


async def test_a_watch_without_a_change_ends_with_its_time(store):
    after = (await store.list_members()).unwrap().revision
    changes = (await store.watch_members(after, 0.1)).unwrap()
    assert (changes.changed, changes.removed) == ([], [])


async def test_dropped_history_is_told_apart(store, objects):
    await store.put_member(ORDERS)
    objects.drop_history()
    assert await store.watch_members(1, 0.5) == Err(HistoryExpired())


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_call_did_nothing(store, objects, status):
    objects.refusal = status
    assert isinstance((await store.list_members()).unwrap_err(), CallRefused)
    assert isinstance((await store.put_member(ORDERS)).unwrap_err(), CallRefused)
    assert objects.revision == 1


async def test_a_write_whose_answer_is_lost_is_of_unknown_outcome(store, objects):
    """A lost answer counts neither as a rejection nor as a success.

    The store writes the member and answers nothing; the next write finds the object.
    """
    objects.silent = True
    error = (await store.put_member(ORDERS)).unwrap_err()
    assert isinstance(error, OutcomeUnknown)
    objects.silent = False
    assert await store.put_member(ORDERS) == Ok(None)


async def test_a_silent_store_does_not_hold_a_call_for_ever(store, objects):
    objects.silent = True
    async with asyncio.timeout(5.0):
        error = (await store.watch_members(1, 0.1)).unwrap_err()
    assert isinstance(error, StoreUnavailable)


async def test_an_answer_that_is_not_the_stores_is_an_error(store, objects):
    objects.garbled = True
    error = (await store.list_members()).unwrap_err()
    assert isinstance(error, StoreUnavailable)
