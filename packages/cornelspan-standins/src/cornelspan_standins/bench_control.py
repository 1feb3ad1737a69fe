"""Bench of the control plane: its cost and its speed against the size of the fleet.

Each fleet is one data centre of the letter's kind: balancers, two of which are relays,
and agents in services of four, under a configuration of the letter's size. The largest
has as many daemons as one of its twelve data centres, and the relays of the others.
"""

import asyncio
import resource
import time
from dataclasses import dataclass

import msgspec
import numpy

from cornelspan_common.settings import Address, StoreSettings
from cornelspan_control.changes import accept, new_change
from cornelspan_control.configuration_reader import read_current
from cornelspan_control.profiles import Profile, Service
from cornelspan_control.records import (
    HEAD_NAME,
    INDEX_PREFIX,
    Head,
    Index,
    ProfileEntry,
    ServiceEntry,
    Version,
    version_name,
)
from cornelspan_control.store import StoreClient
from cornelspan_standins._control_fleet import ControlFleet
from cornelspan_standins._control_state import state_at_letter_size
from cornelspan_standins.bench import BenchResult, BenchSettings, Bound, bench
from cornelspan_standins.objects import ObjectStore, object_store

SIZES = (10, 40, 160, 374)
SHORT_SIZES = (10, 40)
BASE_PORT = 19_200
STORE_PORT = 19_199
SERVICES = 910
PROFILES = 90
STILL_SECONDS = 2.0
QUIET_SECONDS = 4.0
CHANGES = 2
READY_SECONDS = 25.0
SETTLE_SECONDS = 4.0
CHANGES_A_DAY = 1_300
DAY_SECONDS = 86_400.0
DATACENTRES = 12
PAGE_BYTES = resource.getpagesize()
MEGABYTE = 1e6
KILOBYTE = 1e3

COLUMNS = (
    "daemons",
    "store reads/s",
    "store writes/s",
    "relay B/s",
    "other B/s",
    "relay core %",
    "other core %",
    "KB a daemon",
    "p50 in force s",
    "p99 in force s",
)


@dataclass(frozen=True, slots=True)
class Usage:
    """Totals at one moment; two of them give rates."""

    at: float
    reads: int
    writes: int
    relay_bytes: float
    other_bytes: float
    relay_seconds: float
    other_seconds: float


@dataclass(frozen=True, slots=True)
class Rates:
    """What one fleet uses a second; bytes and core of one relay or other daemon."""

    reads: float
    writes: float
    relay_bytes: float
    other_bytes: float
    relay_core: float
    other_core: float


@dataclass(frozen=True, slots=True)
class Measured:
    """The figures of one fleet: at rest, with a change each second, and by the day."""

    size: int
    quiet: Rates
    busy: Rates
    daemon_bytes: float
    delays: tuple[float, ...]
    state: dict[str, float]

    @property
    def day(self) -> Rates:
        """The rates under the letter's changes a day, between rest and busy."""
        share = CHANGES_A_DAY / DAY_SECONDS
        pairs = zip(_values(self.quiet), _values(self.busy), strict=True)
        return Rates(*(rest + (busy - rest) * share for rest, busy in pairs))

    def percentile(self, share: float) -> float:
        """Return a percentile of the time from acceptance to in force."""
        return float(numpy.percentile(self.delays, share))


@bench("control")
async def bench_control(settings: BenchSettings) -> BenchResult:
    """Measure fleets of growing size, and hold the letter's bounds."""
    resident = _resident_bytes()
    sizes = SHORT_SIZES if settings.short else SIZES
    found = [await _measure(size, settings.seed) for size in sizes]
    return BenchResult(
        title="Control by fleet size, real streams, 1,300 changes a day",
        columns=COLUMNS,
        rows=tuple(_row(each) for each in found),
        bounds=_bounds(found),
        summary={
            **_summary(found),
            **found[-1].state,
            "bench_resident_bytes": resident,
        },
    )


async def _measure(size: int, seed: int) -> Measured:
    address = Address(host="127.0.0.1", port=STORE_PORT)
    async with object_store(address, seed=seed) as store:
        fill(store)
        before = _resident_bytes()
        fleet = ControlFleet(size, address, BASE_PORT)
        await fleet.start()
        try:
            await _until_ready(fleet)
            return await _run(fleet, store, address, before)
        finally:
            await fleet.stop()


async def _until_ready(fleet: ControlFleet) -> None:
    async with asyncio.timeout(READY_SECONDS):
        while not fleet.ready(1):
            await asyncio.sleep(0.1)
    await asyncio.sleep(STILL_SECONDS)


async def _run(
    fleet: ControlFleet, store: ObjectStore, address: Address, before: int
) -> Measured:
    grown = (_resident_bytes() - before) / len(fleet.daemons)
    started = _usage(fleet, store)
    await asyncio.sleep(QUIET_SECONDS)
    quiet = _usage(fleet, store)
    delays = await _change(fleet, address)
    busy = _usage(fleet, store)
    return Measured(
        size=len(fleet.daemons),
        quiet=_rates(fleet, started, quiet),
        busy=_rates(fleet, quiet, busy),
        daemon_bytes=grown,
        delays=tuple(delays),
        state=state_at_letter_size(store, fleet.daemons[0].configuration),
    )


async def _change(fleet: ControlFleet, address: Address) -> list[float]:
    """Have a change accepted each second, and return how long each took to hold."""
    settings = StoreSettings(address=address, calls_per_second=200)
    client = StoreClient(settings)
    accepted: list[tuple[int, float]] = []
    for number in range(CHANGES):
        begun = time.monotonic()
        accepted.append(await _accept_one(client, number))
        await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - begun)))
    client.close()
    async with asyncio.timeout(SETTLE_SECONDS):
        while not fleet.ready(accepted[-1][0]):
            await asyncio.sleep(0.05)
    return [
        max(0.0, _in_force(each.in_force, revision) - at)
        for each in fleet.daemons
        for revision, at in accepted
    ]


async def _accept_one(client: StoreClient, number: int) -> tuple[int, float]:
    name = f"profile-{number}"
    seen = (await read_current(client, "profiles", name)).unwrap()
    value = msgspec.structs.replace(seen.version.profile, priority=number % 9 + 1)
    change = new_change("profiles", name, value, author="bench", base=seen.base)
    accepted = (await accept(client, change)).unwrap()
    return accepted.revision, time.monotonic()


def _in_force(noted: dict[int, float], revision: int) -> float:
    """Return when a revision, or one after it, came in force."""
    return min(at for held, at in noted.items() if held >= revision)


def fill(store: ObjectStore) -> None:
    """Put a configuration of the letter's size into an empty store."""
    profiles: dict[str, ProfileEntry] = {}
    services: dict[str, ServiceEntry] = {}
    for number in range(PROFILES):
        profile = Profile(name=f"profile-{number}")
        change = f"p{number:015x}"
        version = Version(change=change, author="bench", at=0.0, profile=profile)
        _put(store, version_name("profiles", profile.name, change), version)
        profiles[profile.name] = ProfileEntry(version=change, profile=profile)
    for number in range(SERVICES):
        service = Service(
            name=f"service-{number}",
            address=f"10.{number // 250}.{number % 250}.1:443",
            profile=f"profile-{number % PROFILES}",
        )
        change = f"s{number:015x}"
        services[service.name] = ServiceEntry(version=change, service=service)
    _put(store, INDEX_PREFIX + "first", Index(profiles=profiles, services=services))
    _put(store, HEAD_NAME, Head(revision=1, index="first"))


def _put(store: ObjectStore, name: str, value: msgspec.Struct) -> None:
    store.write(name, msgspec.json.encode(value))


def _usage(fleet: ControlFleet, store: ObjectStore) -> Usage:
    calls = store.calls
    relays = [each.stream_bytes() + each.store_bytes() for each in fleet.relays]
    others = [each.stream_bytes() + each.store_bytes() for each in fleet.others]
    seconds = [thread.processor_seconds() for thread in fleet.threads]
    return Usage(
        at=time.monotonic(),
        reads=calls["get"] + calls["list"] + calls["watch"],
        writes=calls["put"] + calls["delete"],
        relay_bytes=sum(relays) / len(relays),
        other_bytes=sum(others) / len(others),
        relay_seconds=sum(seconds[:2]) / 2,
        other_seconds=seconds[2] / len(others),
    )


def _rates(fleet: ControlFleet, start: Usage, end: Usage) -> Rates:
    seconds = end.at - start.at
    return Rates(
        reads=(end.reads - start.reads) / seconds,
        writes=(end.writes - start.writes) / seconds,
        relay_bytes=(end.relay_bytes - start.relay_bytes) / seconds,
        other_bytes=(end.other_bytes - start.other_bytes) / seconds,
        relay_core=(end.relay_seconds - start.relay_seconds) / seconds,
        other_core=(end.other_seconds - start.other_seconds) / seconds,
    )


def _values(rates: Rates) -> tuple[float, ...]:
    return (
        rates.reads,
        rates.writes,
        rates.relay_bytes,
        rates.other_bytes,
        rates.relay_core,
        rates.other_core,
    )


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _row(found: Measured) -> tuple[str, ...]:
    day = found.day
    return (
        str(found.size),
        f"{day.reads:.2f}",
        f"{day.writes:.2f}",
        f"{day.relay_bytes:.0f}",
        f"{day.other_bytes:.0f}",
        f"{100 * day.relay_core:.2f}",
        f"{100 * day.other_core:.3f}",
        f"{found.daemon_bytes / KILOBYTE:.0f}",
        f"{found.percentile(50):.3f}",
        f"{found.percentile(99):.3f}",
    )


def _bounds(found: list[Measured]) -> tuple[Bound, ...]:
    smallest, largest = found[0], found[-1]
    day = largest.day
    added = largest.size - smallest.size
    growth = (largest.day.reads - smallest.day.reads) / added
    worst = max(each.percentile(99) for each in found)
    return (
        Bound("store reads/s for each daemon more", growth, 0.05),
        Bound("store reads/s in all data centres", DATACENTRES * day.reads, 500),
        Bound("store writes/s in all data centres", DATACENTRES * day.writes, 150),
        Bound("relay KB/s", day.relay_bytes / KILOBYTE, 12),
        Bound("other daemon KB/s", day.other_bytes / KILOBYTE, 12),
        Bound("relay core %", 100 * day.relay_core, 3.4),
        Bound("other daemon core %", 100 * day.other_core, 3.4),
        Bound("p99 in force s", worst, 4.0),
    )


def _summary(found: list[Measured]) -> dict[str, float]:
    """Return the largest fleet's figures, and the slopes against its size."""
    sizes = [each.size for each in found]
    largest = found[-1]

    def slope(values: list[float]) -> float:
        return float(numpy.polyfit(sizes, values, 1)[0])

    busy = largest.busy
    summary = {
        "daemons": largest.size,
        "relay_bytes_slope": slope([each.day.relay_bytes for each in found]),
        "relay_core_percent_slope": slope([100 * e.day.relay_core for e in found]),
        "store_reads_slope": slope([each.day.reads for each in found]),
        "busy_store_reads": busy.reads,
        "busy_store_writes": busy.writes,
        "busy_relay_bytes": busy.relay_bytes,
        "busy_other_bytes": busy.other_bytes,
        "busy_relay_core_percent": 100 * busy.relay_core,
        "busy_other_core_percent": 100 * busy.other_core,
        "in_force_p50_seconds": largest.percentile(50),
        "in_force_p99_seconds": largest.percentile(99),
    }
    return {name: round(value, 6) for name, value in summary.items()}
