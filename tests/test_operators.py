"""The operator commands, run against a store and a small fleet."""

import asyncio
import json

import cappa
import pytest

from control_fleet import Fleet
from cornelspan_cli._output import ExitCode
from cornelspan_cli.main import CornelspanCommand
from cornelspan_common.settings import Address
from cornelspan_standins.objects import Rates, object_store


@pytest.fixture
async def store(base_port):
    address = Address(host="127.0.0.1", port=base_port)
    async with object_store(address, rates=Rates(100_000, 100_000)) as running:
        yield running


@pytest.fixture
async def fleet(store, base_port):
    address = Address(host="127.0.0.1", port=base_port)
    running = Fleet(address, base_port + 10)
    for number in range(2):
        await running.start(f"entry-{number}")
    await running.start("hub-0", service="order-hub")
    yield running
    await running.stop()


@pytest.fixture
def operate(base_port, tmp_path, capsys, monkeypatch):
    """Return a function that runs one command and returns exit code and output."""
    settings = tmp_path / "cornelspan.json"
    address = {"host": "127.0.0.1", "port": base_port}
    settings.write_text(json.dumps({"store": {"address": address}}))
    monkeypatch.setenv("CORNELSPAN_SETTINGS", str(settings))
    monkeypatch.setenv("COLUMNS", "160")

    async def run(*arguments):
        def invoke():
            return cappa.invoke(CornelspanCommand, argv=list(arguments))

        code = await asyncio.to_thread(invoke)
        printed = capsys.readouterr()
        return code, printed.out + printed.err

    return run


async def create_orders(operate, tmp_path):
    file = tmp_path / "orders.json"
    file.write_text(json.dumps({"name": "orders", "priority": 0}))
    code, _ = await operate("profile", "edit", "orders", "--file", str(file))
    assert code == ExitCode.SUCCESS


async def test_profile_is_created_changed_compared_and_reverted(
    store, operate, tmp_path
):
    await create_orders(operate, tmp_path)
    code, _ = await operate(
        "profile", "set", "orders", "priority=3", "requests.queue=128"
    )
    assert code == ExitCode.SUCCESS
    _, shown = await operate("profile", "show", "orders", "--json")
    assert json.loads(shown)["profile"]["requests"]["queue"] == 128
    _, changed = await operate("profile", "diff", "orders", "--json")
    assert json.loads(changed)["changed"] == {
        "priority": [0, 3],
        "requests.queue": [64, 128],
    }
    _, listed = await operate("profile", "history", "orders", "--json")
    first = json.loads(listed)[-1]["change"]
    assert (await operate("profile", "revert", "orders", first))[0] == ExitCode.SUCCESS
    _, table = await operate("profile", "show", "orders")
    assert "requests.queue" in table and "64" in table


@pytest.mark.parametrize(
    ("arguments", "code", "reason"),
    [
        (("profile", "set", "orders", "priority=12"), ExitCode.REJECTED, "$.priority"),
        (("profile", "set", "orders", "colour=red"), ExitCode.REJECTED, "colour=red"),
        (("profile", "delete", "orders"), ExitCode.REJECTED, "in use by order-hub"),
        (("profile", "show", "none"), ExitCode.REJECTED, "no profile named none"),
        (
            ("service", "use", "order-hub", "none"),
            ExitCode.REJECTED,
            "no profile named",
        ),
        (
            ("service", "create", "twin", "10.0.0.1:80", "orders"),
            ExitCode.REJECTED,
            "belongs to service order-hub",
        ),
        (
            ("service", "create", "x", "nowhere", "orders"),
            ExitCode.REJECTED,
            "$.address",
        ),
    ],
)
async def test_refusals_name_the_reason(
    store, operate, tmp_path, arguments, code, reason
):
    await create_orders(operate, tmp_path)
    await operate("service", "create", "order-hub", "10.0.0.1:80", "orders")
    before = store.version
    got, printed = await operate(*arguments)
    assert got == code
    assert reason in printed
    assert store.version == before


async def test_stale_base_is_a_conflict_that_shows_what_is_in_force(
    store, operate, tmp_path
):
    await create_orders(operate, tmp_path)
    _, shown = await operate("profile", "show", "orders", "--json")
    base = json.loads(shown)["version"]
    await operate("profile", "set", "orders", "priority=7", "--author", "janis")
    file = str(tmp_path / "orders.json")
    code, printed = await operate(
        "profile", "edit", "orders", "--file", file, "--base", base
    )
    assert code == ExitCode.CONFLICT
    assert "janis" in printed and '"priority":7' in printed


async def test_wait_and_status_see_every_daemon(fleet, operate, tmp_path):
    await create_orders(operate, tmp_path)
    code, printed = await operate("profile", "set", "orders", "priority=1", "--wait")
    assert code == ExitCode.SUCCESS, printed
    assert "in force on 3 daemons" in printed
    code, printed = await operate("status", "--json")
    status = json.loads(printed)
    assert {each["name"] for each in status["daemons"]} == set(fleet.nodes)
    assert {each["behind"] for each in status["daemons"]} == {0}
    assert "hub-0" in (await operate("status"))[1]


async def test_unreachable_store_has_its_own_code(operate):
    code, printed = await operate("profile", "list")
    assert code == ExitCode.STORE_ERROR
    assert "store" in printed


async def test_check_reads_a_file_and_nothing_else(operate, tmp_path):
    file = tmp_path / "p.json"
    file.write_text('{"name": "orders", "idle_seconds": -1}')
    code, printed = await operate("check", str(file))
    assert (code, "$.idle_seconds" in printed) == (ExitCode.REJECTED, True)
    file.write_text('{"name": "orders"}')
    assert (await operate("check", str(file)))[0] == ExitCode.SUCCESS
