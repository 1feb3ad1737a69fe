"""Outlier ejection: an endpoint is judged by what its own agent sees of it.

Health endpoints of backend servers lag or mislead, so only answers, refusals and times
count. An ejected endpoint gets no new work for a while, then one request at a time
until one succeeds.
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
    """When an endpoint gets no new work for a while, and how many may be out at once.

    ``slow_ratio`` compares an endpoint's latency with its group's median.
    """

    failures: Annotated[int, Meta(ge=1, le=1000)] = 5
    slow_ratio: Annotated[float, Meta(ge=1, le=100)] = 4.0
    seconds: Duration = 10.0
    share_limit: Share = 0.34


class Standing(Enum):
    """How an endpoint stands."""

    IN = "in"
    OUT = "out"
    PROBING = "probing"


@dataclass
class EjectionState:
    """What one agent thinks of its endpoint; times in seconds of the owner's clock."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    ejected: bool = False
    probes_running: int = 0

    def standing(self, now: float) -> Standing:
        """Return how the endpoint stands now."""
        if not self.ejected:
            return Standing.IN
        return Standing.OUT if now < self.ejected_until else Standing.PROBING

    def record_success(self, now: float) -> bool:
        """Note a good answer; after a long good time earlier ejections don't count.

        Returns:
            Whether it ends an ejection, so that slow start begins again.
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
        """Note a failure.

        Args:
            policy: How many in a row eject.
            now: The clock.
            room: Whether the cap lets one more endpoint be out.

        Returns:
            Whether the endpoint has been ejected by it.
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
        own: float,
        others: Sequence[float],
        policy: EjectionPolicy,
        now: float,
        *,
        may_eject: bool,
    ) -> bool:
        """Eject an endpoint that is much slower than the median of its peers."""
        # Only the HTTP side compares endpoints. Imported above, it would cost every
        # pass-through daemon 0.4 MB for fractions and decimal numbers.
        from statistics import median

        if self.ejected or not may_eject or not others:
            return False
        if own <= policy.slow_ratio * median(others):
            return False
        self._eject(policy, now)
        return True

    def readmit(self) -> None:
        """Take the endpoint back because too many are out."""
        self.ejected = False
        self.failures = 0

    def _eject(self, policy: EjectionPolicy, now: float) -> None:
        self.ejected = True
        doubling = min(self.ejections, MAX_DOUBLINGS)
        self.ejected_until = now + policy.seconds * 2**doubling
        self.ejections += 1
        self.failures = 0


def can_eject(out: int, group: int, policy: EjectionPolicy) -> bool:
    """Whether one more endpoint of a group may be out.

    Args:
        out: Endpoints that take no new work already, for whatever reason.
        group: All endpoints of the service.
        policy: The largest share that may be out.
    """
    return out + 1 <= int(group * policy.share_limit)


def must_readmit(name: str, out: Sequence[str], group: int, share: float) -> bool:
    """Whether an ejected endpoint goes back because the cap is overshot.

    Agents decide alone and hear of one another late, so two may leave at once. Then the
    last by name returns, which all work out alike.

    Args:
        name: The endpoint.
        out: All that are out, this one too.
        group: All endpoints of the service.
        share: The largest share that may be out.
    """
    allowed = int(group * share)
    return name in sorted(out)[allowed:]
