"""The state of an agent's endpoint, as derived from the endpoint's reports."""

from dataclasses import dataclass, field
from enum import Enum, auto

from cornelspan_passthrough.health import DOWN, DRAINING, READY

# A report may be late by part of its interval. After 1.8 intervals one has been lost or
# was never sent.
MISSING_REPORT_INTERVALS = 1.8
# An ended incarnation is accepted again after this many reports, provided that its
# successor's report is overdue or a leave call has put the successor in doubt. The
# count alone does not prove that the incarnation is running, because the network may
# have delayed several of its reports.
RESUME_REPORTS = 2
# An agent that has just started checks the endpoint's port if no report arrives within
# this part of an interval. Without the check, an agent whose endpoint is gone would
# never learn that the endpoint holds no flows.
FIRST_REPORT_INTERVALS = 0.3
# Consecutive connection checks without a result, one report interval apart.
SILENT_CHECKS = 2
MAX_ENDED_INCARNATIONS = 64


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of an endpoint's process, from a start to the next.

    ``name`` may be the same after a restart. ``started_milliseconds`` is the Unix time
    of the start by the endpoint's own clock, None if the endpoint does not report it.
    """

    name: str
    started_milliseconds: int | None = None

    def __str__(self) -> str:
        if self.started_milliseconds is None:
            return self.name
        return f"{self.name}@{self.started_milliseconds}"

    def is_before(self, other: "Incarnation") -> bool:
        """Whether this incarnation is known to have started before another."""
        own, others = self.started_milliseconds, other.started_milliseconds
        return own is not None and others is not None and own < others


@dataclass(frozen=True, slots=True)
class Report:
    """One report of an endpoint.

    ``sequence`` grows with each report of an incarnation. ``capacity`` is the number of
    requests that the endpoint runs concurrently. ``cold_milliseconds`` is how much
    longer it is slow after its start.
    """

    incarnation: Incarnation
    service: str
    sequence: int
    capacity: int
    draining: bool
    cold_milliseconds: int


class ReportOutcome(Enum):
    """How a report was classified.

    ``ACCEPTED`` reports, repeats included, come from the current incarnation, or are
    the first after a time without one. ``REPLACED_INCARNATION`` is the first report of
    an incarnation that replaces a current one. ``STALE`` reports seem to come from an
    incarnation that has ended, or name another service than earlier reports of the
    current one. ``WRONG_SERVICE`` reports come from an endpoint of another service.
    """

    ACCEPTED = auto()
    REPLACED_INCARNATION = auto()
    STALE = auto()
    WRONG_SERVICE = auto()


@dataclass
class Endpoint:
    """The endpoint's state; times are of the event loop's clock, in seconds.

    The endpoint counts as ready until its first report, because it may have kept
    running while its agent restarted. ``agent_started_at`` is when the agent started.

    ``has_no_earlier_flows`` is set if the endpoint can't hold flows that opened before
    the agent started: the incarnation replaced one that was current until then, or was
    still in its cold start, a second or two old, at its first report.

    ``incarnation`` is None before the first report and after an incarnation has ended.
    ``newest_incarnation`` is the one that was accepted last. ``ended`` maps each ended
    incarnation to the number of reports received from it since.

    ``unanswered_checks`` counts connection checks without a result since the last
    report or accepted connection. ``has_wrong_service`` is set while an endpoint of
    another service reports at this address. ``is_leave_unconfirmed`` is set by a leave
    call that may be of an earlier incarnation.
    """

    service: str
    report_seconds: float
    agent_started_at: float = 0.0
    unanswered_checks: int = 0
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
        """The state for new flows that balancers are told.

        An endpoint of another service may have taken over this address, so no new flow
        is sent there. The report may also have come from elsewhere while the endpoint
        is healthy, so open flows are kept. The next report of the right service ends
        this state.
        """
        if self.has_wrong_service and self.state == READY:
            return DRAINING
        return self.state

    def receive_report(self, report: Report, now: float) -> ReportOutcome:
        """Process a report.

        A delayed report of an ended incarnation may arrive after its successor's first
        report. It must not replace the successor, or the successor's open flows would
        be reset. Start times decide where they are known, because an agent that
        restarted between the two reports has not seen the earlier incarnation end. An
        incarnation that seemed to have ended is accepted again if it keeps reporting
        while its successor's report is overdue or a leave call has put the successor in
        doubt.
        """
        seems_ended = report.incarnation != self.incarnation and self._has_ended(
            report.incarnation
        )
        if seems_ended and not self._check_resumed(report.incarnation, now):
            return ReportOutcome.STALE
        if report.service != self.service:
            return self._reject_wrong_service(report)
        if report.incarnation == self.incarnation:
            self._update(report, now)
            return ReportOutcome.ACCEPTED
        return self._start_incarnation(report, now)

    def leave(self, incarnation: Incarnation) -> bool:
        """Process a leave call; return whether it ended the current incarnation.

        A call that has the current name but no start time may be a delayed call of an
        earlier incarnation. Obeying it would reset the flows of a running endpoint. It
        only causes a connection check, which shows whether the endpoint is gone.
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
        """Record that nothing listens at the endpoint's address."""
        self._end_incarnation()
        self.state = DOWN

    def is_overdue(self, now: float) -> bool:
        """Whether a report is missing or a leave call needs a connection check."""
        if self.is_leave_unconfirmed:
            return True
        if self.reported_at is None:
            first = FIRST_REPORT_INTERVALS * self.report_seconds
            return now - self.agent_started_at > first
        return now - self.reported_at > MISSING_REPORT_INTERVALS * self.report_seconds

    @property
    def is_silent(self) -> bool:
        """Whether the endpoint neither reports nor accepts connections."""
        return self.unanswered_checks >= SILENT_CHECKS

    def _reject_wrong_service(self, report: Report) -> ReportOutcome:
        """Process a report of another service.

        An incarnation never changes its service, so such a report of the current
        incarnation is stale.
        """
        if report.incarnation == self.incarnation:
            return ReportOutcome.STALE
        self.has_wrong_service = True
        return ReportOutcome.WRONG_SERVICE

    def _update(self, report: Report, now: float) -> None:
        """Process a report of the current incarnation.

        An incarnation that drains never becomes ready again, so ``draining`` counts
        even in a report that arrives after later ones. Ignored though acknowledged, it
        would leave the endpoint with new flows after its time to drain.
        """
        if report.draining:
            self.state = DRAINING
        if report.sequence > self.sequence:
            self._apply_report(report, now)

    def _start_incarnation(self, report: Report, now: float) -> ReportOutcome:
        """Make the report's incarnation the current one.

        The outcome says whether it replaced another one.
        """
        had_incarnation = self.incarnation is not None
        self._end_incarnation()
        self.has_no_earlier_flows = had_incarnation or report.cold_milliseconds > 0
        self.incarnation = report.incarnation
        self.newest_incarnation = report.incarnation
        self.state = DRAINING if report.draining else READY
        self._apply_report(report, now)
        return (
            ReportOutcome.REPLACED_INCARNATION
            if had_incarnation
            else ReportOutcome.ACCEPTED
        )

    def _apply_report(self, report: Report, now: float) -> None:
        """Store what the latest report says."""
        self.sequence = report.sequence
        self.capacity = report.capacity
        self.reported_at = now
        self.unanswered_checks = 0
        self.has_wrong_service = False
        self.is_leave_unconfirmed = False

    def _end_incarnation(self) -> None:
        """Add the current incarnation, if any, to the ended ones."""
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
        """Whether an incarnation seems to have ended, as a later one has started.

        An incarnation without a start time can't be told from one that has the same
        name and a start time, and counts as ended too.
        """
        if incarnation in self.ended:
            return True
        if self.newest_incarnation is None:
            return False
        return incarnation.is_before(
            self.newest_incarnation
        ) or incarnation == Incarnation(self.newest_incarnation.name)

    def _check_resumed(self, incarnation: Incarnation, now: float) -> bool:
        """Count a report of an incarnation that seems to have ended.

        Returns:
            Whether the incarnation is running after all. If a VM's clock was set back
                before the endpoint's start, the new incarnation seems older than its
                predecessor, which no longer reports.
        """
        self.ended[incarnation] = self.ended.get(incarnation, 0) + 1
        self._trim_ended()
        if self.ended[incarnation] < RESUME_REPORTS:
            return False
        if self.incarnation is not None and not self.is_overdue(now):
            return False
        del self.ended[incarnation]
        return True
