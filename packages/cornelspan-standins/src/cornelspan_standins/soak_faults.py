"""What each fault of a soak does, from outside of the processes."""

import asyncio
import random
import signal
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from cornelspan_standins.soak_checks import LONG_PAUSE_SECONDS
from cornelspan_standins.soak_fleet import Vm
from cornelspan_standins.soak_plan import SoakFault

if TYPE_CHECKING:
    from cornelspan_standins.soak import Soak

LOST_SHARE = 0.1
LINK_DELAY_SECONDS = 0.05
STORE_DELAY_SECONDS = 0.3
STORE_REFUSALS = (429, 503)
# Until its trouble ends the store counts as in trouble.
STORE_AHEAD_SECONDS = 3600.0


def begin(soak: "Soak", fault: SoakFault) -> None:
    """Begin a fault; what it takes time for goes on as a task."""
    pick = random.Random(fault.pick)
    balancer = pick.choice(soak.fleet.of_role("balancer"))
    agent = pick.choice(soak.fleet.of_role("agent"))
    match fault.kind:
        case "term balancer" | "kill balancer":
            _restart(soak, balancer, fault)
        case "term agent" | "kill agent":
            _restart(soak, agent, fault)
        case "kill all":
            for vm in soak.fleet.vms.values():
                _restart(soak, vm, fault)
        case "pause balancer":
            _later(soak, _pause(soak, balancer, fault.lasts))
        case "pause agent":
            _later(soak, _pause(soak, agent, fault.lasts))
        case "crash endpoint":
            _later(soak, _crash(soak, agent, fault.lasts))
        case "drain endpoint":
            _later(soak, _drain(soak, agent, fault.lasts))
        case "change configuration":
            _change_configuration(soak, pick)
        case "change settings":
            soak.fleet.write_settings(balancer, learned_flows=pick.randrange(9999))
            if pick.random() < 0.5:
                soak.fleet.send_signal(balancer, signal.SIGHUP)
        case "links lose":
            _later(soak, _set(soak, "lost_share", LOST_SHARE, fault.lasts))
        case "links delay":
            delay = _set(soak, "link_delay", LINK_DELAY_SECONDS, fault.lasts)
            _later(soak, delay)
        case _:
            _trouble_store(soak, fault, pick)


def _trouble_store(soak: "Soak", fault: SoakFault, pick: random.Random) -> None:
    match fault.kind:
        case "store refuses":
            refusal = pick.choice(STORE_REFUSALS)
            change = _set(soak.objects, "refusal", refusal, fault.lasts)
        case "store garbled":
            change = _set(soak.objects, "garbled", True, fault.lasts)
        case "store delayed":
            change = _set(soak.store, "delay", STORE_DELAY_SECONDS, fault.lasts)
        case "store silent":
            change = _set(soak.store, "silent", True, fault.lasts)
        case "store cut one way":
            change = _set(soak.store, "one_way", True, fault.lasts)
        case "store reset":
            soak.store.reset_all()
            return
        case _:
            soak.objects.drop_history()
            return
    _later(soak, _with_trouble(soak, change))


async def _with_trouble(soak: "Soak", change: Coroutine[Any, Any, None]) -> None:
    """Have the store count as in trouble until a change of it has ended."""
    soak.promises.store_troubled = soak.loop.time() + STORE_AHEAD_SECONDS
    await change
    soak.promises.store_troubled = soak.loop.time()


async def _set(owner: object, name: str, value: object, lasts: float) -> None:
    """Set an attribute for a while."""
    usual = type(getattr(owner, name))()
    setattr(owner, name, value)
    await asyncio.sleep(lasts)
    setattr(owner, name, usual)


def _later(soak: "Soak", work: Coroutine[Any, Any, None]) -> None:
    soak.tasks.start(work, name="fault")


def _restart(soak: "Soak", vm: Vm, fault: SoakFault) -> None:
    """Stop a daemon, in order or not, and have it started again."""
    is_kill = fault.kind.startswith("kill")
    soak.fleet.send_signal(vm, signal.SIGKILL if is_kill else signal.SIGTERM)
    if is_kill:
        soak.promises.disturbed[vm.address] = soak.loop.time()
    _later(soak, _start_again(soak, vm))


async def _start_again(soak: "Soak", vm: Vm) -> None:
    soak.fleet.send_signal(vm, signal.SIGCONT)
    await soak.fleet.ended(vm)
    await soak.fleet.start_daemon(vm)


async def _pause(soak: "Soak", vm: Vm, seconds: float) -> None:
    soak.fleet.send_signal(vm, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    soak.fleet.send_signal(vm, signal.SIGCONT)
    if seconds >= LONG_PAUSE_SECONDS:
        soak.promises.disturbed[vm.address] = soak.loop.time()


async def _crash(soak: "Soak", vm: Vm, seconds: float) -> None:
    soak.fleet.crash_endpoint(vm)
    await asyncio.sleep(seconds)
    soak.promises.leaving.pop(vm.address, None)
    await soak.fleet.start_endpoint(vm)


async def _drain(soak: "Soak", vm: Vm, seconds: float) -> None:
    """Have an endpoint leave in order, and a new life come at its address."""
    vm.draining = True
    await asyncio.sleep(seconds)
    soak.fleet.crash_endpoint(vm)
    await soak.fleet.say_leave(vm)
    await _crash(soak, vm, 0.5)


def _change_configuration(soak: "Soak", pick: random.Random) -> None:
    """Send feeds to the other service, or write the same routes anew."""
    if pick.random() < 0.6:
        other = {"orders": "receipts", "receipts": "orders"}
        soak.services["feed"] = other[soak.services["feed"]]
    soak.configure()
