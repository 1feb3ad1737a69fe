"""Service-level counts of a data centre: collected by relays, kept in the store.

    collector = Collector("chuo-hall")
    collector.record(counts)                      # whenever an agent reports
    await collector.seal(client, now=minute)    # every seal_seconds

The store holds one object per data centre, ``service-levels/NAME``. A relay adds the
counts of its agents by a conditional update. The same update stores, for each agent, up
to which minute its counts are included; these minutes are called sealed. So each minute
is counted once, even if two relays write, a relay dies, the response to an update is
lost, or an agent was disconnected for an hour.

Each relay reads and writes the object once per ``seal_seconds``. That is a minute, or
longer for a large object, so that the traffic stays within ``MAX_BYTES_PER_SECOND``.
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
    """Counts of one service in one data centre, and latencies of the last hour.

    ``latencies`` is an encoded HDR histogram in microseconds.
    """

    series: Series = Series()
    latencies: bytes = b""


class SealedAgent(msgspec.Struct, frozen=True):
    """The last minute whose counts are included, for one incarnation of an agent."""

    agent: str
    incarnation: int
    service: str
    minute: int


class Summary(msgspec.Struct, frozen=True):
    """All counts of one data centre, as stored. ``minute`` is when it was written."""

    datacentre: str
    minute: int = 0
    services: dict[str, ServiceSummary] = {}
    agents: tuple[SealedAgent, ...] = ()

    def silent_agents(self) -> list[SealedAgent]:
        """Return agents whose newest incarnation has stopped reporting."""
        newest = {each.agent: each for each in self.agents}
        limit = self.minute - SILENT_MINUTES
        return [each for each in newest.values() if each.minute < limit]


@dataclass
class PendingCounts:
    """Counts of one agent incarnation that are not in the store yet.

    Attributes:
        complete: Last minute that the agent has finished counting.
        reported: Whether the agent has reported since the last update of the store.
    """

    service: str
    complete: int = 0
    minutes: dict[int, Minute] = field(default_factory=dict)
    latencies: bytes = b""
    reported: bool = True


AgentIncarnation = tuple[str, int]


class Collector:
    """Counts that a relay has received from the agents of a data centre.

    Attributes:
        pending: Counts that are not in the store yet.
        sealed: Last minute in the store for each agent incarnation.
        summary: The object as last written.
        failures: Failed updates of the object.
        value_bytes: Size of the object as last written.
    """

    def __init__(self, datacentre: str) -> None:
        self.datacentre = datacentre
        self.pending: dict[AgentIncarnation, PendingCounts] = {}
        self.sealed: dict[AgentIncarnation, int] = {}
        self.summary = Summary(datacentre)
        self.failures = 0
        self.value_bytes = 0

    @property
    def seal_seconds(self) -> float:
        """Interval between two updates of the object."""
        return max(SEAL_SECONDS, 2 * self.value_bytes / MAX_BYTES_PER_SECOND)

    def series(self) -> dict[str, Series]:
        """Return each service's counts, including those not in the store yet."""
        current = {name: each.series for name, each in self.summary.services.items()}
        for pending in self.pending.values():
            before = current.get(pending.service, Series())
            newest = max(pending.minutes, default=0)
            current[pending.service] = _with_minutes(before, pending.minutes, newest)
        return current

    def record(self, counts: ServiceCounts) -> None:
        """Record an agent's counts; a minute that is sent again is replaced."""
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
        """Return the last minute that an agent need not report again."""
        return self.sealed.get((agent, incarnation), 0)

    async def seal(self, client: StoreClient, *, now: int) -> Result[int, StoreError]:
        """Add all complete minutes to the data centre's object in the store.

        Args:
            client: The store.
            now: The current minute.

        Returns:
            The object's new version. After an error all counts are kept for the next
            call, whether or not the update took effect.
        """
        name = SUMMARY_PREFIX + self.datacentre
        match await read_summary(client, self.datacentre):
            case Ok((summary, version)):
                pass
            case Err(error):
                self.failures += 1
                return Err(error)
        # These minutes may be in the store already: written by another relay, or by our
        # last update if its response was lost. They must not be counted again.
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
        """Drop pending counts that the store already has."""
        for each in summary.agents:
            self.sealed[each.agent, each.incarnation] = each.minute
        for key, pending in self.pending.items():
            sealed = self.sealed.get(key, 0)
            kept = {n: m for n, m in pending.minutes.items() if n > sealed}
            pending.minutes = kept
        self._drop_expired(summary.minute)

    def _drop_expired(self, minute: int) -> None:
        """Drop agent incarnations that ended long ago and have no counts left."""
        oldest = minute - AGENT_RETENTION_MINUTES
        for key in [key for key, m in self.sealed.items() if m < oldest]:
            del self.sealed[key]
        for key, pending in list(self.pending.items()):
            if not pending.minutes and not pending.reported:
                del self.pending[key]

    def _with_pending(self, summary: Summary, now: int) -> Summary:
        """Return the summary with all complete pending minutes added.

        A minute in which its agent still counts is left pending. If it was sealed now,
        later requests in that minute would be lost.
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
    """Return the sum of encoded histograms, without those that can't be decoded."""
    merged = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for each in encoded:
        try:
            merged.decode_and_add(each)
        except Exception:
            # The library raises errors of zlib and base64 as well as its own.
            continue
    return merged.encode()


def encode_summary(summary: Summary) -> bytes:
    """Encode a summary, without its latencies if it would be too large.

    The store would refuse every update with an object over its limit, and no further
    requests would be counted. The histograms are the least important part.
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
        return Err(StoreUnavailable(f"{found.name} is not a valid summary: {error}"))


async def read_summaries(client: StoreClient) -> Result[list[Summary], StoreError]:
    """Return the summaries of all data centres, empty for those that can't be read."""
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
