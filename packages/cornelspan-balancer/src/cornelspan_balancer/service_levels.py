"""Service levels on a relay: collects counts, stores them, and raises alerts.

A relay is a balancer that agents report their counts to. To *seal* counts is to write
those of complete minutes to the store.

levels = ServiceLevels(configuration)
peer.send(levels.add_counts(counts, peer.hello.datacentre))
tasks.start(levels.run(plane), name="service levels")
"""

import asyncio
import time
from dataclasses import dataclass

from result import Err, Ok

from cornelspan_common.logs import get_log
from cornelspan_common.metrics import LabelledValue
from cornelspan_common.service_levels import MINUTE_SECONDS, SealedMinute, ServiceCounts
from cornelspan_control.burn import Burn, Series, burn_of, merge_series
from cornelspan_control.configuration import Configuration
from cornelspan_control.plane import Plane
from cornelspan_control.profiles import Objective
from cornelspan_control.store import StoreClient
from cornelspan_control.summaries import Collector

CHECK_SECONDS = 15.0

log = get_log(__name__)


@dataclass(frozen=True, slots=True)
class AlertChange:
    """A service's alert that has started or stopped firing."""

    service: str
    alert: str
    firing: bool


class ServiceLevels:
    """The counts that agents reported to this relay, by data centre, and its alerts.

    Alerts depend only on what this relay has in memory: the counts reported to it, and
    the summaries as it last wrote them to the store. So they work while the store and
    other data centres can't be reached, within ``CHECK_SECONDS`` of the first complete
    minute. ``burns`` has the burn rates, budget and alerts of each service.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.collectors: dict[str, Collector] = {}
        self.sealed_at: dict[str, float] = {}
        self.burns: dict[str, Burn] = {}
        self.firing: set[tuple[str, str]] = set()

    def add_counts(self, counts: ServiceCounts, datacentre: str) -> SealedMinute:
        """Add an agent's counts and return which minutes it need not send again.

        Counts are grouped by the agent's data centre, not the relay's. A data centre
        without balancers reports to relays elsewhere, which must all add to the same
        object in the store.
        """
        collector = self.collectors.setdefault(datacentre, Collector(datacentre))
        collector.record(counts)
        return SealedMinute(collector.sealed_minute(counts.agent, counts.incarnation))

    def update_alerts(self, now: int) -> list[AlertChange]:
        """Recompute the burn rates of services with counts, and which alerts fire.

        Args:
            now: The current time, in minutes since the epoch.

        Returns:
            The alerts that have started or stopped firing since the last call.
        """
        series: dict[str, Series] = {}
        for collector in self.collectors.values():
            for service, counts in collector.series().items():
                sum_so_far = series.get(service, Series())
                series[service] = merge_series(sum_so_far, counts)
        self.burns = {
            service: burn_of(service, counts, self._objective(service), now=now)
            for service, counts in series.items()
        }
        firing = {(s, a) for s, burn in self.burns.items() for a in burn.alerts}
        changes = [AlertChange(*each, True) for each in sorted(firing - self.firing)]
        changes += [AlertChange(*each, False) for each in sorted(self.firing - firing)]
        self.firing = firing
        return changes

    def rates(self) -> list[LabelledValue]:
        """Return the burn rates by service and window, as metric values."""
        return [
            LabelledValue({"service": service, "window": window}, rate)
            for service, burn in self.burns.items()
            for window, rate in burn.rates.items()
        ]

    def alerts(self) -> list[LabelledValue]:
        """Return the firing alerts by service and name, as metric values."""
        return [
            LabelledValue({"service": service, "alert": alert}, 1)
            for service, alert in sorted(self.firing)
        ]

    async def run(self, plane: Plane) -> None:
        """Check for alerts and store counts periodically until cancelled.

        While this balancer is no relay, it drops the counts instead.
        """
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not plane.is_relay and not plane.datacentres_as_primary():
                # The agents now report to other relays, and send them everything that
                # is not sealed yet.
                self.collectors.clear()
                continue
            changes = self.update_alerts(int(time.time()) // MINUTE_SECONDS)
            if plane.datacentres_as_primary():
                # Both relays of a data centre find the same; only the primary logs it.
                log_changes(changes, self.burns)
            for collector in list(self.collectors.values()):
                await self._seal(collector, plane.store)

    async def _seal(self, collector: Collector, client: StoreClient) -> None:
        """Write a data centre's complete minutes to the store if due.

        If that fails, the counts are kept for the next attempt, and alerts still work.
        """
        now = time.monotonic()
        sealed_at = self.sealed_at.get(collector.datacentre, 0.0)
        if now - sealed_at < collector.seal_seconds:
            return
        self.sealed_at[collector.datacentre] = now
        match await collector.seal(client, now=int(time.time()) // MINUTE_SECONDS):
            case Ok(_):
                return
            case Err(error):
                log.info("could not store request counts", extra={"why": str(error)})

    def _objective(self, service: str) -> Objective:
        profile = self.configuration.profile_of(service)
        return profile.objective if profile else Objective()


def log_changes(changes: list[AlertChange], burns: dict[str, Burn]) -> None:
    """Log one line for each alert that has started or stopped firing."""
    for change in changes:
        burn = burns.get(change.service)
        log.warning(
            "burn alert" if change.firing else "burn alert ended",
            extra={
                "service": change.service,
                "alert": change.alert,
                "rates": burn.rates if burn else {},
                "budget_left": burn.budget_left if burn else 1.0,
            },
        )
