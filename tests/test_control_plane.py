"""Configuration and membership of a small fleet, with failures of store and relays."""

import asyncio
import time

import pytest
from result import Err, Ok

from control_fleet import SHORT_TIMES, Fleet
from cornelspan_common.settings import Address, StoreSettings
from cornelspan_control.changes import Conflict, accept, new_change
from cornelspan_control.configuration_reader import read_current
from cornelspan_control.profiles import Profile
from cornelspan_control.store import StoreClient
from cornelspan_standins.objects import Rates, object_store

FAST = Rates(writes=100_000, reads=100_000)


@pytest.fixture
def address(base_port):
    return Address(host="127.0.0.1", port=base_port)


@pytest.fixture
async def store(address):
    async with object_store(address, rates=FAST) as running:
        yield running


@pytest.fixture
async def fleet(store, address):
    running = Fleet(address, address.port + 10)
    yield running
    await running.stop()


@pytest.fixture
def operator(address):
    return StoreClient(StoreSettings(address=address, calls_per_second=1000))


async def wait_until(condition, *, seconds=10.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.02)


async def put_profile(operator, name="order", **fields):
    """Edit a profile; retry after a conflict, which a stale read can cause."""
    while True:
        seen = await read_current(operator, "profiles", name)
        if isinstance(seen, Err):
            continue
        base = seen.ok_value.base
        value = Profile(name=name, **fields)
        change = new_change("profiles", name, value, author="mara", base=base)
        match await accept(operator, change):
            case Ok(accepted):
                return accepted.revision
            case Err(error):
                assert isinstance(error, Conflict), error


async def start_fleet(fleet, balancers=3, agents=4):
    for number in range(balancers):
        await fleet.start(f"entry-{number}")
    for number in range(agents):
        await fleet.start(f"hub-{number}", service="order-hub")
    await wait_until(lambda: all_know(fleet))


def all_know(fleet):
    """Whether each daemon knows all members it must know, and no dead ones."""
    return all(
        required_members(fleet, node) <= set(node.members.known) <= set(fleet.nodes)
        for node in fleet.nodes.values()
    )


def required_members(fleet, node):
    """Names that a daemon must know.

    For an agent these are its service's agents and its data centre's balancers.
    """
    return {
        name
        for name, other in fleet.nodes.items()
        if not node.service
        or other.service == node.service
        or (not other.service and other.settings.datacentre == node.settings.datacentre)
    }


async def test_change_reaches_every_daemon(fleet, operator):
    await start_fleet(fleet)
    revision = await put_profile(operator)
    await wait_until(lambda: fleet.revisions() == {revision})


async def test_only_two_relays_watch_and_agree(fleet, store):
    await start_fleet(fleet, balancers=5)
    await asyncio.sleep(0.5)
    views = {tuple(n.control.plane.relays()) for n in fleet.nodes.values()}
    assert len(views) == 1
    before = store.calls["watch"]
    await asyncio.sleep(1.2)
    assert store.calls["watch"] - before <= 2 * 4


async def test_leaving_and_crash_are_known_to_all(fleet):
    await start_fleet(fleet)
    agent = fleet.nodes["hub-0"]
    agent.leaving = True
    agent.control.announce()
    await wait_until(
        lambda: all(n.members.known["hub-0"].leaving for n in fleet.nodes.values())
    )
    agent.control.leave()
    await asyncio.sleep(0.05)
    await fleet.kill("hub-0")
    await fleet.kill("hub-1")
    await wait_until(lambda: all_know(fleet))


async def test_store_down_changes_nothing_and_newcomers_start(fleet, store, operator):
    # While the store is down, the configuration in force stays, membership still
    # changes, and a daemon that starts gets the newest configuration from its peers.
    await start_fleet(fleet)
    revision = await put_profile(operator, priority=3)
    await wait_until(lambda: fleet.revisions() == {revision})
    store.faults.down = True
    await fleet.kill("hub-3")
    await fleet.start("entry-new")
    await fleet.start("hub-new", service="order-hub")
    await wait_until(lambda: all_know(fleet))
    await wait_until(lambda: fleet.revisions() == {revision})
    await asyncio.sleep(1.0)
    assert fleet.revisions() == {revision}
    store.faults.down = False
    revision = await put_profile(operator, priority=4)
    await wait_until(lambda: fleet.revisions() == {revision}, seconds=15)


async def test_missed_events_and_stale_reads_delay_but_never_revert(
    fleet, store, operator
):
    # Watches miss all writes, and a third of the reads are stale. Relays read the head
    # after each watch, and never apply a revision that isn't newer.
    await start_fleet(fleet)
    seen = {name: 0 for name in fleet.nodes}
    store.faults.missed_events = 1.0
    store.faults.stale_reads = 0.3
    revision = 0
    for number in range(5):
        revision = await put_profile(operator, priority=number)
        for name, node in fleet.nodes.items():
            assert node.configuration.revision >= seen[name]
            seen[name] = node.configuration.revision
    await wait_until(lambda: fleet.revisions() == {revision})


async def test_relay_killed_while_changes_come(fleet, operator):
    # The primary relay crashes after a change was accepted and before it forwards it.
    # The second relay watches the store too, and another balancer replaces the primary.
    await start_fleet(fleet, balancers=4)
    primary = fleet.nodes["entry-0"].control.plane.relays()[0]
    revision = await put_profile(operator, priority=1)
    await fleet.kill(primary)
    revision = await put_profile(operator, priority=2)
    await wait_until(lambda: fleet.revisions() == {revision})
    await wait_until(lambda: all_know(fleet))
    relays = {tuple(n.control.plane.relays()) for n in fleet.nodes.values()}
    assert len(relays) == 1
    assert primary not in relays.pop()


async def test_slow_store_delays_no_more_than_its_own_answers(fleet, store, operator):
    await start_fleet(fleet)
    store.faults.delay_seconds = 0.05
    revision = await put_profile(operator, priority=1)
    await wait_until(lambda: fleet.revisions() == {revision})


async def test_daemon_started_with_the_store_down_and_alone(fleet, store, operator):
    # The only daemon starts while the store is down. It has no configuration until the
    # store is reachable again.
    revision = await put_profile(operator)
    store.faults.down = True
    node = await fleet.start("entry-0")
    await asyncio.sleep(0.3)
    assert node.configuration.revision == 0
    store.faults.down = False
    await wait_until(lambda: node.configuration.revision == revision, seconds=15)


async def test_two_data_centres_learn_of_each_other(fleet, store, operator):
    for number in range(2):
        await fleet.start(f"entry-{number}")
    for number in range(2):
        await fleet.start(f"north-{number}", datacentre="kita-hall")
    await fleet.start("hub-0", service="order-hub", datacentre="kita-hall")
    await fleet.start("hub-1", service="order-hub", datacentre="chuo-hall")
    await wait_until(lambda: all_know(fleet))
    store.faults.missed_events = 1.0
    revision = await put_profile(operator)
    await wait_until(lambda: fleet.revisions() == {revision})
    await fleet.kill("hub-0")
    await wait_until(lambda: all_know(fleet))


async def test_wrongly_judged_member_begins_a_new_life(fleet):
    # All other daemons remove an agent that is alive, as after a pause. The reply to
    # its next heartbeat says so, and it rejoins under a new incarnation.
    await start_fleet(fleet)
    agent = fleet.nodes["hub-0"]
    first = agent.hello.incarnation
    for node in fleet.nodes.values():
        if node is not agent:
            node.members.remove("hub-0", first)
    await wait_until(lambda: all_know(fleet))
    incarnations = {n.members.known["hub-0"].incarnation for n in fleet.nodes.values()}
    assert incarnations == {agent.hello.incarnation}
    assert agent.hello.incarnation > first


async def test_roster_is_written_only_on_change(fleet, store):
    await start_fleet(fleet)
    await asyncio.sleep(0.8)
    before = store.calls["put"]
    await asyncio.sleep(1.0)
    assert store.calls["put"] == before


async def test_second_meeting_does_not_silence_the_first_stream(fleet, operator):
    # A daemon that contacts its relay as a seed has two streams there. If the end of
    # the second removed the subscription of the first, the daemon would get no more
    # changes and consider the relay silent half a minute later.
    await start_fleet(fleet)
    agent = fleet.nodes["hub-0"]
    for _ in range(3):
        await agent.control.relay_links.contact_one_seed()
    revision = await put_profile(operator)
    await wait_until(lambda: fleet.revisions() == {revision})
    await asyncio.sleep(3 * SHORT_TIMES.relay_silent_seconds)
    relays = agent.control.plane.relays()
    assert agent.control.plane.silent_relays == {}
    for name in relays:
        assert fleet.nodes[name].control.plane.is_connected("hub-0")


@pytest.mark.soak
async def test_store_down_for_a_minute(fleet, store, operator):
    # A minute of store outage, with the daemons' times divided by fifty. Members join
    # and crash, no revision reverts, and the daemons don't overload the store with
    # retries.
    await start_fleet(fleet, balancers=4, agents=8)
    revision = await put_profile(operator, priority=1)
    await wait_until(lambda: fleet.revisions() == {revision})
    store.faults.down = True
    before = sum(store.calls.values())
    deadline = time.monotonic() + 60
    round_number = 0
    while time.monotonic() < deadline:
        round_number += 1
        await fleet.kill(f"hub-{round_number % 8}")
        await wait_until(lambda: all_know(fleet))
        await fleet.start(f"hub-{round_number % 8}", service="order-hub")
        await wait_until(lambda: all_know(fleet) and fleet.revisions() == {revision})
        await asyncio.sleep(2.0)
    calls = (sum(store.calls.values()) - before) / 60
    assert calls < 4 * len(fleet.nodes)
    store.faults.down = False
    revision = await put_profile(operator, priority=2)
    await wait_until(lambda: fleet.revisions() == {revision}, seconds=30)
