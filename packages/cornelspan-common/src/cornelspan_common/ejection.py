"""Outlier ejection of an endpoint, from the requests that its own agent sends to it.

Health endpoints of backend servers can be out of date or wrong, so only the answers to
requests, refused connections and latencies count. An ejected endpoint gets no new work
for a while, then one request at a time as a probe until one succeeds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

from cornelspan_common.settings import Checked, Duration, Share

MAX_DOUBLINGS = 5
EJECTIONS_FORGOTTEN_SECONDS = 300.0


class EjectionPolicy(Checked, frozen=True, kw_only=True):
    """When an endpoint is ejected, for how long, and how many may be ejected at once.

    ``failures`` in a row eject an endpoint. In an HTTP service it is also ejected if
    its mean latency exceeds ``slow_ratio`` times the median of the other endpoints. The
    first ejection lasts ``seconds``, and each further one twice as long, at most 32
    times ``seconds``.
    ``share_limit`` is the largest share of the service's endpoints that may be
    unavailable.
    """

    failures: Annotated[int, Meta(ge=1, le=1000)] = 5
    slow_ratio: Annotated[float, Meta(ge=1, le=100)] = 4.0
    seconds: Duration = 10.0
    share_limit: Share = 0.34


class Standing(Enum):
    """Whether an endpoint gets new work.

    ``IN`` gets it as usual. ``OUT`` is ejected and gets none. ``PROBING`` gets one
    request at a time, because its ejection has lasted its time but no request has
    succeeded since. The values appear in logs.
    """

    IN = "in"
    OUT = "out"
    PROBING = "probing"


@dataclass
class EjectionState:
    """Failures and ejections of an agent's endpoint; times in seconds of its clock.

    Attributes:
        failures: Failures in a row.
        ejections: Ejections that count for the length of the next one.
        ejected_until: When the last ejection ends or ended, and probing begins.
        ejected: Whether the endpoint is ejected or being probed.
        probes_running: Requests that run as probes, counted by the caller.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    ejected: bool = False
    probes_running: int = 0

    def standing(self, now: float) -> Standing:
        """Return whether the endpoint is in service, ejected or being probed."""
        if not self.ejected:
            return Standing.IN
        return Standing.OUT if now < self.ejected_until else Standing.PROBING

    def record_success(self, now: float) -> bool:
        """Record a success.

        Earlier ejections no longer count, so that the next one is short again, if the
        last one ended more than ``EJECTIONS_FORGOTTEN_SECONDS`` ago.

        Returns:
            Whether the success ends an ejection, so that slow start begins again.
        """
        self.failures = 0
        if not self.ejected and now - self.ejected_until > EJECTIONS_FORGOTTEN_SECONDS:
            self.ejections = 0
        if self.standing(now) is not Standing.PROBING:
            return False
        self.ejected = False
        return True

    def record_failure(
        self, policy: EjectionPolicy, now: float, *, may_eject: bool
    ) -> bool:
        """Record a failure.

        A failed probe ejects the endpoint again, for longer.

        Args:
            policy: How many failures in a row eject, and for how long.
            now: The time in seconds.
            may_eject: Whether the limit lets one more endpoint be ejected.

        Returns:
            Whether the failure has ejected an endpoint that was in service.
        """
        self.failures += 1
        if self.ejected:
            if self.standing(now) is Standing.PROBING:
                self._eject(policy, now)
            return False
        if self.failures < policy.failures or not may_eject:
            return False
        self._eject(policy, now)
        return True

    def eject_if_slow(
        self,
        own_latency: float,
        other_latencies: Sequence[float],
        policy: EjectionPolicy,
        now: float,
        *,
        may_eject: bool,
    ) -> bool:
        """Eject an endpoint that is much slower than the median of its peers.

        Args:
            own_latency: Mean latency of the endpoint in seconds.
            other_latencies: Mean latencies of the service's other endpoints.
            policy: How much slower it must be, and how long it is ejected.
            now: The time in seconds.
            may_eject: Whether the limit lets one more endpoint be ejected.

        Returns:
            Whether the endpoint has been ejected.
        """
        # Imported here because only HTTP services compare latencies. At the top of the
        # module it would cost every pass-through daemon 0.4 MB for the modules of
        # fractions and decimal numbers.
        from statistics import median

        if self.ejected or not may_eject or not other_latencies:
            return False
        if own_latency <= policy.slow_ratio * median(other_latencies):
            return False
        self._eject(policy, now)
        return True

    def readmit(self) -> None:
        """End the ejection without a probe, because too many endpoints are ejected."""
        self.ejected = False
        self.failures = 0

    def _eject(self, policy: EjectionPolicy, now: float) -> None:
        self.ejected = True
        doublings = min(self.ejections, MAX_DOUBLINGS)
        self.ejected_until = now + policy.seconds * 2**doublings
        self.ejections += 1
        self.failures = 0


def can_eject(unavailable: int, group_size: int, policy: EjectionPolicy) -> bool:
    """Whether one more endpoint of a service may be ejected.

    Args:
        unavailable: Number of endpoints that already take no new work, for any reason.
        group_size: Number of all endpoints of the service.
        policy: Has the largest share of endpoints that may be unavailable.
    """
    return unavailable + 1 <= int(group_size * policy.share_limit)


def must_readmit(
    name: str, unavailable: Sequence[str], group_size: int, share: float
) -> bool:
    """Whether an ejected endpoint must be readmitted because too many are unavailable.

    Agents eject their endpoints without coordination and learn of other ejections with
    a delay, so together they can exceed the limit. All agents then apply the same rule:
    the last endpoints in the order of names are readmitted.

    Args:
        name: The endpoint.
        unavailable: Names of all unavailable endpoints, this one included.
        group_size: Number of all endpoints of the service.
        share: The largest share of endpoints that may be unavailable.
    """
    allowed = int(group_size * share)
    return name in sorted(unavailable)[allowed:]
