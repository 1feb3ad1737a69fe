"""What an agent knows of its endpoint from the endpoint's own reports."""

from dataclasses import dataclass, field
from enum import Enum, auto

from cornelspan_passthrough.pulses import DOWN, DRAINING, READY

# A report may be late by part of its interval; after 1.8 of them one is surely missing.
MISSING_REPORT_INTERVALS = 1.8
# An ended life that reports again is taken back if it goes on reporting while the one
# in its place does not. Reports that were held up on the way may be several.
RESUME_REPORTS = 2
# After this part of an interval without a first report an agent that has just started
# looks whether there is an endpoint at all. Beside one that is gone it would wait for
# ever to be told whether a flow lives there.
FIRST_REPORT_INTERVALS = 0.3
# Two connections that hang, a report's interval apart, and no report meanwhile.
SILENT_PROBES = 2
MAX_ENDED_INCARNATIONS = 64


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of an endpoint's process, from a start to the next.

    ``name`` may be the same after a restart. ``started_milliseconds`` is the Unix time
    of the start by the endpoint's own clock, None if it doesn't say.
    """

    name: str
    started_milliseconds: int | None = None

    def __str__(self) -> str:
        if self.started_milliseconds is None:
            return self.name
        return f"{self.name}@{self.started_milliseconds}"

    def is_before(self, other: "Incarnation") -> bool:
        """Whether this life surely began before another."""
        own, others = self.started_milliseconds, other.started_milliseconds
        return own is not None and others is not None and own < others


@dataclass(frozen=True, slots=True)
class Report:
    """One report of an endpoint.

    ``sequence`` grows with each report of one life. ``capacity`` counts requests that
    it works on at once, and ``cold_milliseconds`` tells how much longer it is slow
    after its start.
    """

    incarnation: Incarnation
    service: str
    sequence: int
    capacity: int
    draining: bool
    cold_milliseconds: int


class ReportOutcome(Enum):
    """What a report was taken for.

    ``ACCEPTED`` is one of the present life, also a repeat. ``NEW_INCARNATION`` is the first of a
    new life after another one. ``STALE`` seems to come from a life that has ended,
    ``WRONG_SERVICE`` from an endpoint of another service.
    """

    ACCEPTED = auto()
    NEW_INCARNATION = auto()
    STALE = auto()
    WRONG_SERVICE = auto()


@dataclass
class Endpoint:
    """The endpoint's state; times are of the loop's clock, in seconds.

    Until its first report the endpoint is taken for ready: it may have lived on while
    its agent was restarted. ``agent_started_at`` is when that agent started.
    ``has_no_earlier_flows`` says that this life began under the eyes of the agent, or was
    in its cold start when it first reported here, a second or two old. ``incarnation`` is None
    before the first report and after the end of a life, ``newest_incarnation`` the one that began
    last. ``ended`` counts the reports that came from each life after its end.
    ``has_wrong_service`` says that an endpoint of another service reports here, and
    ``is_leave_unconfirmed`` that somebody said that this one goes.
    """

    service: str
    report_seconds: float
    agent_started_at: float = 0.0
    unanswered_probes: int = 0
    has_no_earlier_flows: bool = False
    incarnation: Incarnation | None = None
    newest_incarnation: Incarnation | None = None
    sequence: int = -1
    state: int = READY
    has_wrong_service: bool = False
    is_leave_unconfirmed: bool = False
    capacity: int = 1
    reported_at: float | None = None
    ended: dict[Incarnation, int] = field(default_factory=dict)

    @property
    def announced_state(self) -> int:
        """The state for new flows, as balancers are told it.

        Another service's endpoint at this address may have taken it over, so no new
        flow goes there. It may also be a stray report beside a sound endpoint, so its
        flows are left alone; the next report of the sound one ends the doubt.
        """
        if self.has_wrong_service and self.state == READY:
            return DRAINING
        return self.state

    def receive_report(self, report: Report, now: float) -> ReportOutcome:
        """Take in a report.

        A report that was held up on the way may come from a life that has ended, after
        its successor's first. It must not bring the old life back, or open flows of
        the new one would be given up. When a life began decides, not when its report
        arrives: an agent that was restarted between the two has not seen the old life
        end.
        """
        seems_ended = report.incarnation != self.incarnation and self._has_ended(
            report.incarnation
        )
        if seems_ended and not self._has_resumed(report.incarnation, now):
            return ReportOutcome.STALE
        if report.service != self.service:
            return self._reject_wrong_service(report)
        if report.incarnation == self.incarnation:
            self._update(report, now)
            return ReportOutcome.ACCEPTED
        return self._start_incarnation(report, now)

    def leave(self, incarnation: Incarnation) -> bool:
        """Take in that a life is over; return whether it was the present one.

        Word of the present name that doesn't say which of its lives it ends may be of
        an earlier one, held up on the way. Believed, it would end the flows of a life
        that goes on. So it only raises a doubt, and the endpoint's port tells.
        """
        if self.incarnation is None:
            return False
        if incarnation == self.incarnation:
            self.mark_down()
            return True
        if incarnation == Incarnation(self.incarnation.name):
            self.is_leave_unconfirmed = True
        return False

    def mark_down(self) -> None:
        """Note that nothing listens at the endpoint's address."""
        self._end_incarnation()
        self.state = DOWN

    def is_overdue(self, now: float) -> bool:
        """Whether a report is missing, or the endpoint is said to have gone."""
        if self.is_leave_unconfirmed:
            return True
        if self.reported_at is None:
            first = FIRST_REPORT_INTERVALS * self.report_seconds
            return now - self.agent_started_at > first
        return now - self.reported_at > MISSING_REPORT_INTERVALS * self.report_seconds

    @property
    def is_silent(self) -> bool:
        """Whether it neither reports nor takes connections."""
        return self.unanswered_probes >= SILENT_PROBES

    def _reject_wrong_service(self, report: Report) -> ReportOutcome:
        """Take in a report of another service; one life is of one service."""
        if report.incarnation == self.incarnation:
            return ReportOutcome.STALE
        self.has_wrong_service = True
        return ReportOutcome.WRONG_SERVICE

    def _update(self, report: Report, now: float) -> None:
        """Take in a report of the present life.

        Leaving is for good within one life, so it counts also when later reports have
        overtaken its word: acknowledged and not obeyed, the endpoint would get new
        flows after its time to drain.
        """
        if report.draining:
            self.state = DRAINING
        if report.sequence > self.sequence:
            self._apply_report(report, now)

    def _start_incarnation(self, report: Report, now: float) -> ReportOutcome:
        had_incarnation = self.incarnation is not None
        self._end_incarnation()
        self.has_no_earlier_flows = had_incarnation or report.cold_milliseconds > 0
        self.incarnation = report.incarnation
        self.newest_incarnation = report.incarnation
        self.state = DRAINING if report.draining else READY
        self._apply_report(report, now)
        return (
            ReportOutcome.NEW_INCARNATION if had_incarnation else ReportOutcome.ACCEPTED
        )

    def _apply_report(self, report: Report, now: float) -> None:
        self.sequence = report.sequence
        self.capacity = report.capacity
        self.reported_at = now
        self.unanswered_probes = 0
        self.has_wrong_service = False
        self.is_leave_unconfirmed = False

    def _end_incarnation(self) -> None:
        if self.incarnation is not None:
            self.ended[self.incarnation] = 0
            self._trim_ended()
        self.incarnation = None
        self.sequence = -1
        self.state = READY
        self.is_leave_unconfirmed = False

    def _trim_ended(self) -> None:
        while len(self.ended) > MAX_ENDED_INCARNATIONS:
            del self.ended[next(iter(self.ended))]

    def _has_ended(self, incarnation: Incarnation) -> bool:
        """Whether a life seems to have ended, as a later one has begun.

        One that doesn't say when it began, under the name of one that does, can't be
        told from it and is doubted as well.
        """
        if incarnation in self.ended:
            return True
        if self.newest_incarnation is None:
            return False
        return incarnation.is_before(
            self.newest_incarnation
        ) or incarnation == Incarnation(self.newest_incarnation.name)

    def _has_resumed(self, incarnation: Incarnation, now: float) -> bool:
        """Whether a life that was taken to have ended is the present one after all.

        An endpoint whose clock was set back before its start seems to be older than the
        one before it; that one reports no more.
        """
        self.ended[incarnation] = self.ended.get(incarnation, 0) + 1
        self._trim_ended()
        if self.ended[incarnation] < RESUME_REPORTS:
            return False
        if self.incarnation is not None and not self.is_overdue(now):
            return False
        del self.ended[incarnation]
        return True
