"""The fault soak: a short run in CI, seeds that failed once, and its parts."""

import asyncio
import json
import signal
import sys
from pathlib import Path

import pytest

from cornelspan_standins.packet_ends import PacketClient
from cornelspan_standins.soak import run_soak
from cornelspan_standins.soak_checks import DRAIN_SECONDS, TOUCH_SECONDS, Promises
from cornelspan_standins.soak_fleet import call
from cornelspan_standins.soak_plan import WEIGHTS, SoakPlan, draw_faults
from cornelspan_standins.soak_proxy import proxy
from local import BASE_PORT

# Seeds that have broken a promise once; docs/design/soak.md has their causes.
REGRESSIONS = (1, 4, 7, 9, 13, 19, 29, 36, 38, 42, 46, 49, 204, 304, 402, 405, 502)


def plan_of(seed, **changes):
    return SoakPlan(seed=seed, first_port=BASE_PORT, **changes)


async def test_promises_hold_in_a_short_run(tmp_path):
    """Clients see no promise broken while processes are killed and the store fails.

    Seed 1 broke flows once: an endpoint restarted between two reports.
    """
    result = await run_soak(plan_of(1, seconds=6.0, quiet_seconds=4.0), tmp_path)
    assert result.broken == ()
    assert len(result.asked) > 100
    lines = (tmp_path / "history.jsonl").read_text().splitlines()
    kinds = [next(iter(json.loads(line))) for line in lines]
    assert kinds.count("request") == len(result.asked)
    assert kinds.count("fault") == len(result.faults) > 0


@pytest.mark.soak
@pytest.mark.parametrize("seconds", [12.0, 15.0])
@pytest.mark.parametrize("seed", REGRESSIONS)
async def test_seeds_that_failed_once(tmp_path, seed, seconds):
    result = await run_soak(plan_of(seed, seconds=seconds), tmp_path)
    assert result.broken == ()


def test_faults_follow_from_the_seed():
    plan = SoakPlan(seed=5, seconds=600.0)
    faults = draw_faults(plan)
    assert faults == draw_faults(plan)
    assert {fault.kind for fault in faults} == set(WEIGHTS)
    assert all(0 < fault.at < 600 for fault in faults)


def broken(promises):
    return [each.promise for each in promises.broken]


def test_an_old_route_is_allowed_for_as_long_as_the_bound_says():
    promises = Promises()
    promises.route("feed", "orders", 0.0)
    promises.route("feed", "receipts", 100.0)
    promises.opened("feed", "orders", "vm", 102.0, 102.0)
    assert broken(promises) == []
    promises.opened("feed", "orders", "vm", 104.0, 104.0)
    assert broken(promises) == ["configuration"]
    promises.store_troubled = 104.0
    promises.opened("feed", "orders", "vm", 105.0, 105.0)
    assert broken(promises) == ["configuration"]


def test_a_leaving_endpoint_may_take_flows_for_a_while_only():
    promises = Promises(leaving={"vm": 10.0})
    promises.route("feed", "orders", 0.0)
    promises.opened("feed", "orders", "vm", 10.0 + DRAIN_SECONDS, 13.5)
    assert broken(promises) == []
    promises.opened("feed", "orders", "vm", 10.1 + DRAIN_SECONDS, 13.5)
    assert broken(promises) == ["drain"]


def test_a_reset_counts_unless_its_vm_was_disturbed():
    promises = Promises(disturbed={"vm": 10.0})
    promises.reset("1>443", "vm", 10.0 + TOUCH_SECONDS)
    assert broken(promises) == []
    promises.reset("1>443", "vm", 10.1 + TOUCH_SECONDS)
    promises.reset("1>443", "other", 10.0)
    assert broken(promises) == ["flow", "flow"]


def test_foreign_answers_routes_and_second_runs_are_seen():
    promises = Promises()
    promises.route("order", "orders", 0.0)
    client = PacketClient(1, 2, 443, None, None, None)
    client.last_asked, client.last_answer = b"order:1", b"ran order:2"
    promises.answered(client, 1.0)
    promises.ran("order", "1", "receipts", 1.0)
    promises.ran("order", "1", "orders", 1.0)
    promises.finish([], {"order"}, 2.0)
    assert broken(promises) == ["own answer", "route", "at most once", "recovery"]


async def test_the_proxy_delays_silences_cuts_and_resets(ports):
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    listen, target = ("127.0.0.1", ports[0]), ("127.0.0.1", ports[1])
    server = await asyncio.start_server(echo, *target)
    async with server, proxy(listen, target) as between:
        reader, writer = await asyncio.open_connection(*listen)
        writer.write(b"a")
        assert await reader.read(100) == b"a"
        for trouble in ("silent", "one_way"):
            setattr(between, trouble, True)
            writer.write(b"b")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(100), 0.1)
            setattr(between, trouble, False)
            assert await reader.read(100) == b"b"
        between.reset_all()
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        writer.close()


async def test_a_soak_that_is_told_to_stop_leaves_no_process(tmp_path):
    """Nobody meets the daemons of a run that was stopped half way.

    The command gets SIGTERM while its fleet is under faults.
    """
    command = Path(sys.executable).with_name("cornelspan")
    process = await asyncio.create_subprocess_exec(
        command,
        "soak",
        "--history",
        str(tmp_path),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    async with asyncio.timeout(30):
        while len(started_with(tmp_path)) < 9:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    process.send_signal(signal.SIGTERM)
    assert await process.wait() != 0
    assert started_with(tmp_path) == []


def started_with(folder):
    """Return the processes whose settings lie in a folder."""
    found = []
    for file in Path("/proc").glob("[0-9]*/environ"):
        try:
            if f"CORNELSPAN_BOOT={folder}" in file.read_text():
                found.append(file.parent.name)
        except OSError:
            continue
    return found


async def test_a_call_that_nobody_answers_in_time_is_no_answer(port):
    """The routers of a soak go on probing on a machine that is busy.

    A probe that timed out ended the task that probes, and no balancer ever came into
    the rotation.
    """
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", port)
    async with server:
        assert await call(f"http://127.0.0.1:{port}/") == 0
    assert await call(f"http://127.0.0.1:{port}/") == 0
