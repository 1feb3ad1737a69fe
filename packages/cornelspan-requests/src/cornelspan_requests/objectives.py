"""Good and bad requests of an agent's service, counted against its objective.

counts = ObjectiveCounts()
counts.record(succeeded=True, seconds=0.02, objective=profile.objective)
peer.send(counts.message(name, service))
"""

import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from cornelspan_common.service_levels import (
    KEPT_MINUTES,
    MINUTE_SECONDS,
    Minute,
    ServiceCounts,
)
from cornelspan_control.profiles import Objective

HISTOGRAM_SECONDS = 3600
MAX_MICROSECONDS = 120_000_000
HISTOGRAM_DIGITS = 2


class ObjectiveCounts:
    """Counts by minute, kept until the platform's store has them.

    The relay balancer that collects the counts may die before it has written them to
    the store. So each report repeats all minutes after the last sealed one, for up to
    ``KEPT_MINUTES``. A longer outage of the store loses the oldest minutes, which are
    counted in ``lost_minutes``. ``counter_epoch`` identifies this set of counters. It
    stays the same when the agent announces itself under a new incarnation; otherwise
    minutes that were sealed under the old one would count twice.
    """

    def __init__(self, *, clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.counter_epoch = int(clock() * 1000)
        self.minutes: dict[int, list[int]] = {}
        self.sealed = 0
        self.good = 0
        self.bad = 0
        self.lost_minutes = 0
        self.latencies = _new_histogram()
        self.histogram_started = clock()

    def record(self, *, succeeded: bool, seconds: float, objective: Objective) -> None:
        """Count one request.

        Args:
            succeeded: Whether the caller got an answer without a server error.
            seconds: From the request's arrival to the end of its answer.
            objective: The objective in force, with the latency that still is good.
        """
        good = succeeded and seconds <= objective.latency_seconds
        counts = self.minutes.setdefault(self._minute(), [0, 0])
        counts[0 if good else 1] += 1
        self.good += good
        self.bad += not good
        self._record_latency(seconds)
        self._drop_old_minutes()

    def delete_stored(self, minute: int) -> None:
        """Delete the counts up to a minute that the store has.

        Args:
            minute: The last sealed minute, in minutes since the epoch.
        """
        self.sealed = max(self.sealed, minute)
        self.minutes = {n: c for n, c in self.minutes.items() if n > self.sealed}

    def message(self, agent: str, service: str, *, last: bool = False) -> ServiceCounts:
        """Return the report of all minutes that are not sealed yet.

        Args:
            agent: The agent's name.
            service: Its service.
            last: Whether nothing more will be counted, not even in this minute.
        """
        minutes = tuple(
            Minute(number, good, bad)
            for number, (good, bad) in sorted(self.minutes.items())
            if number > self.sealed
        )
        latencies = self.latencies.encode()
        complete = self._minute() if last else self._minute() - 1
        return ServiceCounts(
            agent, self.counter_epoch, service, complete, minutes, latencies
        )

    def _drop_old_minutes(self) -> None:
        """Delete minutes that are too old to be sent again."""
        oldest = self._minute() - KEPT_MINUTES
        for number in [number for number in self.minutes if number <= oldest]:
            del self.minutes[number]
            self.lost_minutes += 1

    def _minute(self) -> int:
        """Return the current minute, counted since the epoch."""
        return int(self.clock()) // MINUTE_SECONDS

    def _record_latency(self, seconds: float) -> None:
        """Add a latency to the histogram; begin a new one every hour."""
        if self.clock() - self.histogram_started > HISTOGRAM_SECONDS:
            self.latencies = _new_histogram()
            self.histogram_started = self.clock()
        microseconds = max(1, int(seconds * 1_000_000))
        self.latencies.record_value(min(microseconds, MAX_MICROSECONDS))


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, HISTOGRAM_DIGITS)
