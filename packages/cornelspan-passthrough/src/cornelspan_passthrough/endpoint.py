"""What an agent knows of its endpoint from the endpoint's own reports."""

from dataclasses import dataclass, field

from cornelspan_passthrough.pulses import DOWN, DRAINING, READY

# A report may be late by part of its interval; after 1.8 of them one is surely missing.
MISSING_REPORTS = 1.8
# An ended life that reports again is taken back if it goes on reporting while the one
# in its place does not. Reports that were held up on the way may be several.
RETURNING_REPORTS = 2
# After this part of an interval without a first report an agent that has just started
# looks whether there is an endpoint at all. Beside one that is gone it would wait for
# ever to be told whether a flow lives there.
FIRST_REPORT = 0.3
# Two connections that hang, a report's interval apart, and no report meanwhile.
SILENT_PROBES = 2
KEPT_LIVES = 64


@dataclass(frozen=True, slots=True)
class Report:
    """One report of an endpoint.

    ``life`` is new at each start of the endpoint, ``sequence`` grows with each report
    of one life. ``capacity`` counts requests that it works on at once, and
    ``cold_milliseconds`` tells how much longer it is slow after its start.
    """

    life: str
    service: str
    sequence: int
    capacity: int
    draining: bool
    cold_milliseconds: int


@dataclass
class Endpoint:
    """The endpoint's state; times are of the loop's clock, in seconds.

    Until its first report the endpoint is taken for ready: it may have lived on while
    its agent was restarted. ``watched_since`` is when that agent started.
    ``has_started_fresh`` says that this life began under the eyes of the agent, or was
    in its cold start when it first reported here, a second or two old.
    """

    service: str
    report_seconds: float
    watched_since: float = 0.0
    unanswered_probes: int = 0
    has_started_fresh: bool = False
    life: str = ""
    sequence: int = -1
    state: int = READY
    capacity: int = 1
    cold_until: float = 0.0
    reported_at: float | None = None
    ended: dict[str, int] = field(default_factory=dict)

    def report(self, report: Report, now: float) -> bool:
        """Take in a report.

        A report that was held up on the way may come from a life that has ended, after
        its successor's first. It must not bring the old life back, or open flows of
        the new one would be given up.

        Returns:
            Whether it begins a new life of the endpoint.
        """
        if report.life in self.ended and not self._returns(report.life, now):
            return False
        begins = report.life != self.life
        if not begins and report.sequence <= self.sequence:
            return False
        known = bool(self.life)
        if begins:
            self._end_life()
            self.has_started_fresh = known or report.cold_milliseconds > 0
        self.life = report.life
        self.sequence = report.sequence
        self.capacity = report.capacity
        self.cold_until = now + report.cold_milliseconds / 1000
        self.reported_at = now
        self.unanswered_probes = 0
        self._become(report)
        return begins and known

    def leave(self, life: str) -> bool:
        """Take in that a life is over; return whether it was the present one."""
        if life != self.life:
            return False
        self.down()
        return True

    def down(self) -> None:
        """Note that nothing listens at the endpoint's address."""
        self._end_life()
        self.state = DOWN

    def is_overdue(self, now: float) -> bool:
        """Whether a report is missing."""
        if self.reported_at is None:
            first = FIRST_REPORT * self.report_seconds
            return now - self.watched_since > first
        return now - self.reported_at > MISSING_REPORTS * self.report_seconds

    @property
    def is_silent(self) -> bool:
        """Whether it neither reports nor takes connections."""
        return self.unanswered_probes >= SILENT_PROBES

    def cold_milliseconds(self, now: float) -> int:
        """How much longer the endpoint is slow after its start."""
        return max(0, int((self.cold_until - now) * 1000))

    def _become(self, report: Report) -> None:
        """Set the state. Leaving is for good within one life."""
        if report.service != self.service:
            self.state = DOWN
        elif report.draining or self.state == DRAINING:
            self.state = DRAINING
        else:
            self.state = READY

    def _end_life(self) -> None:
        if self.life:
            self.ended[self.life] = 0
        if len(self.ended) > KEPT_LIVES:
            del self.ended[next(iter(self.ended))]
        self.life = ""
        self.sequence = -1
        self.state = READY

    def _returns(self, life: str, now: float) -> bool:
        """Whether a life that was taken to have ended is the present one after all."""
        self.ended[life] += 1
        if self.ended[life] < RETURNING_REPORTS:
            return False
        if self.life and not self.is_overdue(now):
            return False
        del self.ended[life]
        return True
