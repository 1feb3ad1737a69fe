"""A relay process that is paused by SIGSTOP and resumes."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

import msgspec

from control_fleet import Fleet
from cornelspan_common.hashing import name_seed, rank
from cornelspan_common.settings import Address, StoreSettings
from cornelspan_control.store import StoreClient
from cornelspan_standins.objects import Rates, object_store
from test_control_plane import put_profile, wait_until

PAUSE_SECONDS = 2.5
NODE_SCRIPT = """
import asyncio, sys
sys.path.insert(0, sys.argv[1])
from control_fleet import run_node
from cornelspan_common.settings import Address

async def main():
    store = Address(host="127.0.0.1", port=int(sys.argv[4]))
    async with run_node(sys.argv[2], int(sys.argv[3]), store, [int(sys.argv[5])]):
        print("running", flush=True)
        await asyncio.Event().wait()

asyncio.run(main())
"""


@contextlib.contextmanager
def other_process(name, port, store_port, seed):
    arguments = [name, str(port), str(store_port), str(seed)]
    command = [sys.executable, "-c", NODE_SCRIPT, os.path.dirname(__file__), *arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout.readline().strip() == b"running"
            yield process
        finally:
            process.send_signal(signal.SIGCONT)
            process.kill()


def primary_of(names):
    """Return the name that relay selection ranks first."""
    return rank(name_seed("chuo-hall"), [(n, name_seed(n), 1.0) for n in names])[0]


async def test_paused_primary_relay_wakes_and_does_no_harm(base_port):
    # The primary relay is paused and removed, while configuration and members change.
    # It resumes with an old revision and an old epoch, and all members look silent to
    # it. It must remove no member that is alive and revert no revision, and must catch
    # up and rejoin under a new incarnation.
    store_address = Address(host="127.0.0.1", port=base_port)
    names = [f"entry-{number}" for number in range(4)]
    primary = primary_of(names)
    async with object_store(store_address, rates=Rates(1e5, 1e5)) as store:
        operator = StoreClient(
            StoreSettings(address=store_address, calls_per_second=1000)
        )
        fleet = Fleet(store_address, base_port + 10)
        try:
            for name in names:
                if name != primary:
                    await fleet.start(name)
            for number in range(4):
                await fleet.start(f"hub-{number}", service="order-hub")
            with other_process(
                primary, base_port + 50, base_port, base_port + 10
            ) as process:
                await wait_until(lambda: primaries(fleet) == {primary})
                first = await put_profile(operator, priority=1)
                await wait_until(lambda: fleet.revisions() == {first})
                process.send_signal(signal.SIGSTOP)
                await wait_until(lambda: primary not in known_names(fleet), seconds=20)
                second = await put_profile(operator, priority=2)
                await wait_until(lambda: fleet.revisions() == {second})
                await fleet.kill("hub-3")
                await wait_until(lambda: "hub-3" not in known_names(fleet))
                incarnations = incarnations_by_name(fleet)
                await asyncio.sleep(PAUSE_SECONDS)
                process.send_signal(signal.SIGCONT)
                await wait_until(lambda: primaries(fleet) == {primary}, seconds=20)
                await asyncio.sleep(1.0)
                assert incarnations_by_name(fleet) == incarnations
                assert "hub-3" not in known_names(fleet)
                assert fleet.revisions() == {second}
                third = await put_profile(operator, priority=3)
                await wait_until(lambda: fleet.revisions() == {third})
                roster = msgspec.json.decode(store.read("members/chuo-hall")[1])
                assert roster["epoch"] >= 2
        finally:
            await fleet.stop()


class UndeletableEpochs(dict):
    """Epochs held by a relay whose loop hasn't noticed that it is no longer primary."""

    def __delitem__(self, datacentre):
        pass


async def test_a_primary_that_was_one_unseen_leaves_no_epoch_behind(base_port):
    # Two relays start together and both use the first epoch. The primary crashes within
    # one iteration of the other's loop. If it was only paused, its removals would be
    # accepted when it resumes, so the other relay must continue under a later epoch.
    store_address = Address(host="127.0.0.1", port=base_port)
    names = ["entry-0", "entry-1"]
    primary = primary_of(names)
    (other,) = set(names) - {primary}
    async with object_store(store_address, rates=Rates(1e5, 1e5)):
        fleet = Fleet(store_address, base_port + 10)
        try:
            for name in names:
                await fleet.start(name)
            await fleet.start("hub-0", service="order-hub")
            await wait_until(lambda: primaries(fleet) == {primary})
            await wait_until(lambda: fleet.nodes[primary].control.detector.held_epochs)
            control = fleet.nodes[other].control
            epoch = control.plane.epoch
            control.detector.held_epochs = UndeletableEpochs({"chuo-hall": epoch})
            await fleet.kill(primary)
            await wait_until(lambda: primary not in known_names(fleet), seconds=20)
            await wait_until(lambda: control.plane.epoch > epoch)
            hub = fleet.nodes["hub-0"].control.plane
            await wait_until(lambda: hub.epoch == control.plane.epoch)
        finally:
            await fleet.stop()


def primaries(fleet):
    return {"".join(node.control.plane.relays()[:1]) for node in fleet.nodes.values()}


def known_names(fleet):
    return {name for node in fleet.nodes.values() for name in node.members.known}


def incarnations_by_name(fleet):
    return {name: node.hello.incarnation for name, node in fleet.nodes.items()}
