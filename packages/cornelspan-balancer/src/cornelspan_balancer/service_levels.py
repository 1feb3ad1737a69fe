"""A relay balancer's part in service levels: collect, seal, and alert.

levels = ServiceLevels(configuration)
peer.send(levels.take(counts, peer.hello.datacentre))
tasks.start(levels.run(plane), name="service levels")
"""

import asyncio
import time
from dataclasses import dataclass

from result import Err, Ok

from cornelspan_common.logs import get_log
from cornelspan_common.metrics import Labelled
from cornelspan_common.service_levels import MINUTE_SECONDS, Sealed, ServiceCounts
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
    """An alert of a service that began or ended."""

    service: str
    alert: str
    firing: bool


class ServiceLevels:
    """What a relay knows of service levels, by the data centre of the agents.

    Alerts come from the relay's own counts, so they need neither the store nor another
    data centre: an operator hears within a check of the first complete minute.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.collectors: dict[str, Collector] = {}
        self.sealed_at: dict[str, float] = {}
        self.burns: dict[str, Burn] = {}
        self.firing: set[tuple[str, str]] = set()

    def take(self, counts: ServiceCounts, datacentre: str) -> Sealed:
        """Take in an agent's counts and return what it need not send again.

        Counts go by the agent's data centre, not the relay's: one without balancers
        reports to relays elsewhere, and each must add to the same object.
        """
        collector = self.collectors.setdefault(datacentre, Collector(datacentre))
        collector.record(counts)
        return Sealed(collector.sealed_minute(counts.agent, counts.incarnation))

    def check(self, now: int) -> list[AlertChange]:
        """Work out all burns anew.

        Args:
            now: The current minute.

        Returns:
            The alerts that began or ended since the last check.
        """
        series: dict[str, Series] = {}
        for collector in self.collectors.values():
            for service, counts in collector.series().items():
                known = series.get(service, Series())
                series[service] = merge_series(known, counts)
        self.burns = {
            service: burn_of(service, counts, self._objective(service), now=now)
            for service, counts in series.items()
        }
        firing = {(s, a) for s, burn in self.burns.items() for a in burn.alerts}
        changes = [AlertChange(*each, True) for each in sorted(firing - self.firing)]
        changes += [AlertChange(*each, False) for each in sorted(self.firing - firing)]
        self.firing = firing
        return changes

    def rates(self) -> list[Labelled]:
        """Return the burn rates for a metric, by service and window."""
        return [
            Labelled({"service": service, "window": window}, rate)
            for service, burn in self.burns.items()
            for window, rate in burn.rates.items()
        ]

    def alerts(self) -> list[Labelled]:
        """Return the alerts that fire for a metric, by service and name."""
        return [
            Labelled({"service": service, "alert": alert}, 1)
            for service, alert in sorted(self.firing)
        ]

    async def run(self, plane: Plane) -> None:
        """Check and seal in turn until cancelled, while this balancer is a relay."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not plane.is_relay and not plane.primary_datacentres():
                # The agents report to other relays now, with all that is not sealed.
                self.collectors.clear()
                continue
            changes = self.check(int(time.time()) // MINUTE_SECONDS)
            if plane.primary_datacentres():
                # Both relays of a data centre find the same; the primary says so.
                log_changes(changes, self.burns)
            for collector in list(self.collectors.values()):
                await self._seal(collector, plane.store)

    async def _seal(self, collector: Collector, client: StoreClient) -> None:
        """Seal if it is time; without the store alerts go on and counts wait."""
        now = time.monotonic()
        sealed_at = self.sealed_at.get(collector.datacentre, 0.0)
        if now - sealed_at < collector.seal_seconds:
            return
        self.sealed_at[collector.datacentre] = now
        match await collector.seal(client, now=int(time.time()) // MINUTE_SECONDS):
            case Ok(_):
                return
            case Err(error):
                log.info("service levels not stored", extra={"why": str(error)})

    def _objective(self, service: str) -> Objective:
        profile = self.configuration.profile_of(service)
        return profile.objective if profile else Objective()


def log_changes(changes: list[AlertChange], burns: dict[str, Burn]) -> None:
    """Log each alert that began or ended as one JSON line."""
    for change in changes:
        burn = burns.get(change.service)
        log.warning(
            "burn alert" if change.firing else "burn alert over",
            extra={
                "service": change.service,
                "alert": change.alert,
                "rates": burn.rates if burn else {},
                "budget_left": burn.budget_left if burn else 1.0,
            },
        )
