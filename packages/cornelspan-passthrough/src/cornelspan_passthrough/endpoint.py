"""What an agent knows of its endpoint from the endpoint's own reports."""

from dataclasses import dataclass, field
from enum import Enum, auto

from cornelspan_passthrough.health import DOWN, DRAINING, READY

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
class Life:
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

    def is_before(self, other: "Life") -> bool:
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

    life: Life
    service: str
    sequence: int
    capacity: int
    draining: bool
    cold_milliseconds: int


class Hearing(Enum):
    """What a report was taken for.

    ``TAKEN`` is one of the present life, also a repeat. ``BEGINS`` is the first of a
    new life after another one. ``DOUBTED`` seems to come from a life that has ended,
    ``FOREIGN`` from an endpoint of another service.
    """

    TAKEN = auto()
    BEGINS = auto()
    DOUBTED = auto()
    FOREIGN = auto()


@dataclass
class Endpoint:
    """The endpoint's state; times are of the loop's clock, in seconds.

    Until its first report the endpoint is taken for ready: it may have lived on while
    its agent was restarted. ``watched_since`` is when that agent started.
    ``has_started_fresh`` says that this life began under the eyes of the agent, or was
    in its cold start when it first reported here, a second or two old. ``life`` is None
    before the first report and after the end of a life, ``newest`` the one that began
    last. ``ended`` counts the reports that came from each life after its end.
    ``is_foreign`` says that an endpoint of another service reports here, and
    ``is_doubted`` that somebody said that this one goes.
    """

    service: str
    report_seconds: float
    watched_since: float = 0.0
    unanswered_probes: int = 0
    has_started_fresh: bool = False
    life: Life | None = None
    newest: Life | None = None
    sequence: int = -1
    state: int = READY
    is_foreign: bool = False
    is_doubted: bool = False
    capacity: int = 1
    reported_at: float | None = None
    ended: dict[Life, int] = field(default_factory=dict)

    @property
    def announced_state(self) -> int:
        """The state for new flows, as balancers are told it.

        Another service's endpoint at this address may have taken it over, so no new
        flow goes there. It may also be a stray report beside a sound endpoint, so its
        flows are left alone; the next report of the sound one ends the doubt.
        """
        if self.is_foreign and self.state == READY:
            return DRAINING
        return self.state

    def report(self, report: Report, now: float) -> Hearing:
        """Take in a report.

        A report that was held up on the way may come from a life that has ended, after
        its successor's first. It must not bring the old life back, or open flows of
        the new one would be given up. When a life began decides, not when its report
        arrives: an agent that was restarted between the two has not seen the old life
        end.
        """
        seems_past = report.life != self.life and self._is_past(report.life)
        if seems_past and not self._returns(report.life, now):
            return Hearing.DOUBTED
        if report.service != self.service:
            return self._hear_foreign(report)
        if report.life == self.life:
            self._go_on(report, now)
            return Hearing.TAKEN
        return self._begin(report, now)

    def leave(self, life: Life) -> bool:
        """Take in that a life is over; return whether it was the present one.

        Word of the present name that doesn't say which of its lives it ends may be of
        an earlier one, held up on the way. Believed, it would end the flows of a life
        that goes on. So it only raises a doubt, and the endpoint's port tells.
        """
        if self.life is None:
            return False
        if life == self.life:
            self.down()
            return True
        if life == Life(self.life.name):
            self.is_doubted = True
        return False

    def down(self) -> None:
        """Note that nothing listens at the endpoint's address."""
        self._end_life()
        self.state = DOWN

    def is_overdue(self, now: float) -> bool:
        """Whether a report is missing, or the endpoint is said to have gone."""
        if self.is_doubted:
            return True
        if self.reported_at is None:
            first = FIRST_REPORT * self.report_seconds
            return now - self.watched_since > first
        return now - self.reported_at > MISSING_REPORTS * self.report_seconds

    @property
    def is_silent(self) -> bool:
        """Whether it neither reports nor takes connections."""
        return self.unanswered_probes >= SILENT_PROBES

    def _hear_foreign(self, report: Report) -> Hearing:
        """Take in a report of another service; one life is of one service."""
        if report.life == self.life:
            return Hearing.DOUBTED
        self.is_foreign = True
        return Hearing.FOREIGN

    def _go_on(self, report: Report, now: float) -> None:
        """Take in a report of the present life.

        Leaving is for good within one life, so it counts also when later reports have
        overtaken its word: acknowledged and not obeyed, the endpoint would get new
        flows after its time to drain.
        """
        if report.draining:
            self.state = DRAINING
        if report.sequence > self.sequence:
            self._take_figures(report, now)

    def _begin(self, report: Report, now: float) -> Hearing:
        known = self.life is not None
        self._end_life()
        self.has_started_fresh = known or report.cold_milliseconds > 0
        self.life = report.life
        self.newest = report.life
        self.state = DRAINING if report.draining else READY
        self._take_figures(report, now)
        return Hearing.BEGINS if known else Hearing.TAKEN

    def _take_figures(self, report: Report, now: float) -> None:
        self.sequence = report.sequence
        self.capacity = report.capacity
        self.reported_at = now
        self.unanswered_probes = 0
        self.is_foreign = False
        self.is_doubted = False

    def _end_life(self) -> None:
        if self.life is not None:
            self.ended[self.life] = 0
            self._bound_ended()
        self.life = None
        self.sequence = -1
        self.state = READY
        self.is_doubted = False

    def _bound_ended(self) -> None:
        while len(self.ended) > KEPT_LIVES:
            del self.ended[next(iter(self.ended))]

    def _is_past(self, life: Life) -> bool:
        """Whether a life seems to have ended, as a later one has begun.

        One that doesn't say when it began, under the name of one that does, can't be
        told from it and is doubted as well.
        """
        if life in self.ended:
            return True
        if self.newest is None:
            return False
        return life.is_before(self.newest) or life == Life(self.newest.name)

    def _returns(self, life: Life, now: float) -> bool:
        """Whether a life that was taken to have ended is the present one after all.

        An endpoint whose clock was set back before its start seems to be older than the
        one before it; that one reports no more.
        """
        self.ended[life] = self.ended.get(life, 0) + 1
        self._bound_ended()
        if self.ended[life] < RETURNING_REPORTS:
            return False
        if self.life is not None and not self.is_overdue(now):
            return False
        del self.ended[life]
        return True
