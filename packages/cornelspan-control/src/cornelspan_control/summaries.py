"""Service-level counts of a data centre: collected by relays, kept in the store.

    collector = Collector("chuo-hall")
    collector.take(counts)                      # whenever an agent reports
    await collector.seal(client, now=minute)    # every seal_seconds

The store holds one object a data centre, ``service-levels/NAME``. A relay adds what its
agents have counted by a conditional update. The same update notes, for each agent,
up to which minute it is counted. So two relays at once, a relay that dies, an update
whose answer is lost and an agent that was cut off for an hour all lead to the same
sums.

The cost is one read and one write of the object for each relay and ``seal_seconds``: a
minute, or longer where the object is big, so that it stays within ``MAX_BYTES_PER_SECOND``.
"""

from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result

from cornelspan_common.service_levels import KEPT_MINUTES, Minute, ServiceCounts
from cornelspan_common.store_errors import (
    ObjectMissing,
    StoreError,
    StoreUnavailable,
)
from cornelspan_control.burn import Series, add_minute
from cornelspan_control.store import (
    NO_VERSION,
    StoreClient,
)

SUMMARY_PREFIX = "service-levels/"
AGENT_RETENTION_MINUTES = KEPT_MINUTES + 60
MAX_VALUE_BYTES = 900_000
SEAL_SECONDS = 60.0
MAX_BYTES_PER_SECOND = 4096
MAX_LATENCY_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 2
SILENT_MINUTES = 5


class ServiceSummary(msgspec.Struct, frozen=True):
    """One service's counts in one data centre, and its latencies of the last hour."""

    series: Series = Series()
    latencies: bytes = b""


class SealedAgent(msgspec.Struct, frozen=True):
    """Up to which minute one life of an agent is counted."""

    agent: str
    incarnation: int
    service: str
    minute: int


class Summary(msgspec.Struct, frozen=True):
    """All counts of one data centre, as they lie in the store."""

    datacentre: str
    minute: int = 0
    services: dict[str, ServiceSummary] = {}
    agents: tuple[SealedAgent, ...] = ()

    def silent_agents(self) -> list[SealedAgent]:
        """Return agents whose newest life has not reported for some minutes."""
        newest = {each.agent: each for each in self.agents}
        limit = self.minute - SILENT_MINUTES
        return [each for each in newest.values() if each.minute < limit]


@dataclass
class PendingCounts:
    """What one life of an agent has counted that is not in the store yet."""

    service: str
    complete: int = 0
    minutes: dict[int, Minute] = field(default_factory=dict)
    latencies: bytes = b""
    reported: bool = True


AgentIncarnation = tuple[str, int]


class Collector:
    """What a relay balancer has heard from the agents of its data centre."""

    def __init__(self, datacentre: str) -> None:
        self.datacentre = datacentre
        self.pending: dict[AgentIncarnation, PendingCounts] = {}
        self.sealed: dict[AgentIncarnation, int] = {}
        self.summary = Summary(datacentre)
        self.failures = 0
        self.value_bytes = 0

    @property
    def seal_seconds(self) -> float:
        """How long to wait between two updates of the object."""
        return max(SEAL_SECONDS, 2 * self.value_bytes / MAX_BYTES_PER_SECOND)

    def series(self) -> dict[str, Series]:
        """Return each service's counts, sealed and not, as this relay knows them."""
        current = {name: each.series for name, each in self.summary.services.items()}
        for pending in self.pending.values():
            before = current.get(pending.service, Series())
            newest = max(pending.minutes, default=0)
            current[pending.service] = _with_minutes(before, pending.minutes, newest)
        return current

    def take(self, counts: ServiceCounts) -> None:
        """Take in an agent's counts; what is said again replaces itself."""
        key = (counts.agent, counts.incarnation)
        pending = self.pending.setdefault(key, PendingCounts(counts.service))
        pending.complete = max(pending.complete, counts.complete)
        pending.latencies = counts.latencies
        pending.reported = True
        sealed = self.sealed.get(key, 0)
        for minute in counts.minutes:
            if minute.number > sealed:
                pending.minutes[minute.number] = minute

    def sealed_minute(self, agent: str, incarnation: int) -> int:
        """Return up to which minute an agent need not report again."""
        return self.sealed.get((agent, incarnation), 0)

    async def seal(self, client: StoreClient, *, now: int) -> Result[int, StoreError]:
        """Add the minutes that are over to the data centre's object.

        Args:
            client: The store.
            now: The current minute.

        Returns:
            The object's new version. After an error everything is kept for the next
            time, whether or not the update took effect.
        """
        name = SUMMARY_PREFIX + self.datacentre
        match await read_summary(client, self.datacentre):
            case Ok((summary, version)):
                pass
            case Err(error):
                self.failures += 1
                return Err(error)
        # Another relay may have counted our agents' minutes, or our last update took
        # effect though its answer was lost; then they must not be counted again.
        self._drop_sealed(summary)
        summary = self._with_pending(summary, now)
        value = encode_summary(summary)
        match await client.put(name, value, expected=version):
            case Ok(written):
                self.value_bytes = len(value)
                self.summary = summary
                self._drop_sealed(summary)
                return Ok(written)
            case Err(error):
                self.failures += 1
                return Err(error)

    def _drop_sealed(self, summary: Summary) -> None:
        """Drop what the store has already."""
        for each in summary.agents:
            self.sealed[each.agent, each.incarnation] = each.minute
        for key, pending in self.pending.items():
            sealed = self.sealed.get(key, 0)
            kept = {n: m for n, m in pending.minutes.items() if n > sealed}
            pending.minutes = kept
        self._drop_expired(summary.minute)

    def _drop_expired(self, minute: int) -> None:
        """Drop lives that are long over and have nothing left to count."""
        oldest = minute - AGENT_RETENTION_MINUTES
        for key in [key for key, m in self.sealed.items() if m < oldest]:
            del self.sealed[key]
        for key, pending in list(self.pending.items()):
            if not pending.minutes and not pending.reported:
                del self.pending[key]

    def _with_pending(self, summary: Summary, now: int) -> Summary:
        """Return the summary with all complete pending minutes added.

        A minute that its agent may still be counting in waits: sealed too early, what
        came after would be lost.
        """
        services = dict(summary.services)
        agents = {(a.agent, a.incarnation): a for a in summary.agents}
        latencies: dict[str, list[bytes]] = {}
        for key, pending in self.pending.items():
            current = services.get(pending.service, ServiceSummary())
            series = _with_minutes(current.series, pending.minutes, pending.complete)
            services[pending.service] = ServiceSummary(series, current.latencies)
            if pending.reported:
                sealed = max(pending.complete, self.sealed.get(key, 0))
                agents[key] = SealedAgent(*key, pending.service, sealed)
                latencies.setdefault(pending.service, []).append(pending.latencies)
                pending.reported = False
        for service, encoded in latencies.items():
            merged = merge_latencies(encoded)
            services[service] = ServiceSummary(services[service].series, merged)
        oldest = now - AGENT_RETENTION_MINUTES
        kept = [each for each in agents.values() if each.minute >= oldest]
        kept.sort(key=lambda each: (each.agent, each.incarnation))
        return Summary(self.datacentre, now, services, tuple(kept))


def merge_latencies(encoded: list[bytes]) -> bytes:
    """Return the sum of compressed histograms; a broken one is left out."""
    merged = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for each in encoded:
        try:
            merged.decode_and_add(each)
        except Exception:
            # The library raises what its decoder meets: zlib, base64 and its own.
            continue
    return merged.encode()


def encode_summary(summary: Summary) -> bytes:
    """Return a summary's bytes, without latencies where it would grow too big.

    An object over the store's limit would be refused for good, and nothing would be
    counted any more. Histograms are what can be missed best.
    """
    value = msgspec.msgpack.encode(summary)
    if len(value) <= MAX_VALUE_BYTES:
        return value
    services = {n: ServiceSummary(s.series) for n, s in summary.services.items()}
    return msgspec.msgpack.encode(msgspec.structs.replace(summary, services=services))


async def read_summary(
    client: StoreClient, datacentre: str
) -> Result[tuple[Summary, int], StoreError]:
    """Return a data centre's summary and its version; an empty one if there is none."""
    match await client.get(SUMMARY_PREFIX + datacentre):
        case Err(ObjectMissing()):
            return Ok((Summary(datacentre), NO_VERSION))
        case Err(error):
            return Err(error)
        case Ok(found):
            pass
    try:
        return Ok((msgspec.msgpack.decode(found.value, type=Summary), found.version))
    except msgspec.DecodeError as error:
        return Err(StoreUnavailable(f"{found.name} is none of ours: {error}"))


async def read_summaries(client: StoreClient) -> Result[list[Summary], StoreError]:
    """Return the summaries of all data centres that can be read."""
    match await client.list_objects(SUMMARY_PREFIX):
        case Err(error):
            return Err(error)
        case Ok(listing):
            names = [name.removeprefix(SUMMARY_PREFIX) for name, _ in listing.objects]
    summaries = []
    for name in names:
        match await read_summary(client, name):
            case Ok((summary, _)):
                summaries.append(summary)
            case Err(_):
                summaries.append(Summary(name))
    return Ok(summaries)


def _with_minutes(
    series: Series, minutes: dict[int, Minute], last_minute: int
) -> Series:
    for number in sorted(minutes):
        if number <= last_minute:
            counted = minutes[number]
            series = add_minute(series, number, counted.good, counted.bad)
    return series
