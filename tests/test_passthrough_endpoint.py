"""How an agent tracks its endpoint's state from reports and leave calls."""

import pytest

from cornelspan_passthrough.endpoint import Endpoint, Incarnation, Report, ReportOutcome
from cornelspan_passthrough.health import DOWN, DRAINING, READY


def report(
    name="i-1", sequence=1, *, draining=False, service="orders", cold=0, started=None
):
    return Report(Incarnation(name, started), service, sequence, 2, draining, cold)


@pytest.fixture
def endpoint():
    return Endpoint("orders", report_seconds=1.0)


def test_a_late_report_of_an_ended_life_is_left_out(endpoint):
    """A delayed report of an ended incarnation does not end its successor.

    A partition delays the report until after the successor's first one. If it were
    accepted, the successor's flows would be reset.
    """
    endpoint.receive_report(report("i-1", 7), 0.0)
    assert (
        endpoint.receive_report(report("i-2", 1), 1.0)
        is ReportOutcome.REPLACED_INCARNATION
    )
    assert endpoint.receive_report(report("i-1", 8), 1.1) is ReportOutcome.STALE
    assert endpoint.incarnation == Incarnation("i-2")


def test_several_late_reports_do_not_bring_an_ended_life_back(endpoint):
    """Several delayed reports of an ended incarnation do not end its successor.

    A partition delays more than one report. They arrive one after the other while the
    successor reports on time, so the ended incarnation can't be running.
    """
    endpoint.receive_report(report("i-1", 7), 0.0)
    endpoint.receive_report(report("i-2", 1), 1.0)
    for sequence in (8, 9, 10):
        assert (
            endpoint.receive_report(report("i-1", sequence), 1.1) is ReportOutcome.STALE
        )
    assert endpoint.incarnation == Incarnation("i-2")


def test_a_life_that_goes_on_reporting_was_not_over(endpoint):
    endpoint.receive_report(report("i-2", 1), 0.0)
    endpoint.receive_report(report("i-1", 7), 0.1)
    assert endpoint.receive_report(report("i-2", 2), 1.0) is ReportOutcome.STALE
    assert (
        endpoint.receive_report(report("i-2", 3), 2.0)
        is ReportOutcome.REPLACED_INCARNATION
    )
    assert endpoint.incarnation == Incarnation("i-2")


def test_a_repeated_report_changes_nothing(endpoint):
    endpoint.receive_report(report(sequence=5, draining=True), 0.0)
    endpoint.receive_report(report(sequence=4), 0.1)
    assert endpoint.state == DRAINING


def test_leaving_is_for_good_within_a_life(endpoint):
    endpoint.receive_report(report(sequence=1, draining=True), 0.0)
    endpoint.receive_report(report(sequence=2), 1.0)
    assert endpoint.state == DRAINING
    endpoint.receive_report(report("i-2"), 2.0)
    assert endpoint.state == READY


def test_an_endpoint_of_another_service_takes_nothing(endpoint):
    assert (
        endpoint.receive_report(report(service="receipts"), 0.0)
        is ReportOutcome.WRONG_SERVICE
    )
    assert endpoint.announced_state == DRAINING


def test_a_stray_report_of_another_service_ends_no_flow(endpoint):
    """A report of another service ends no flow and stops new ones only briefly.

    If the report counted as a new incarnation, the healthy endpoint's flows would be
    reset. New flows resume with the next report of the right service.
    """
    endpoint.receive_report(report(), 0.0)
    assert (
        endpoint.receive_report(report("x-9", service="odd"), 0.5)
        is ReportOutcome.WRONG_SERVICE
    )
    assert (endpoint.state, endpoint.announced_state) == (READY, DRAINING)
    assert endpoint.receive_report(report(sequence=2), 1.0) is ReportOutcome.ACCEPTED
    assert endpoint.announced_state == READY


def test_a_late_report_of_the_address_s_service_of_before_is_left_out(endpoint):
    """A delayed report of the address's previous service is ignored.

    The previous endpoint had the same name and started earlier. Its report arrives
    after the address has moved to another service, which must still get new flows.
    """
    endpoint.receive_report(report(started=5000), 0.0)
    late = report(sequence=9, service="receipts", started=1000)
    assert endpoint.receive_report(late, 0.1) is ReportOutcome.STALE
    assert endpoint.announced_state == READY


def test_a_restart_under_the_same_name_is_a_new_life(endpoint):
    """An endpoint that restarts under the same name is a new incarnation.

    Its sequence numbers start from 1 again. If its reports counted as repeats, they
    would be acknowledged without effect: old flows would not be reset, and a draining
    state would be ignored.
    """
    endpoint.receive_report(report(sequence=40, started=1000), 0.0)
    assert (
        endpoint.receive_report(report(sequence=1, started=2000), 1.0)
        is ReportOutcome.REPLACED_INCARNATION
    )
    endpoint.receive_report(report(sequence=2, draining=True, started=2000), 2.0)
    assert endpoint.state == DRAINING


def test_a_restart_while_it_drains_takes_flows_again(endpoint):
    endpoint.receive_report(report(sequence=40, draining=True, started=1000), 0.0)
    assert (
        endpoint.receive_report(report(sequence=1, started=2000), 1.0)
        is ReportOutcome.REPLACED_INCARNATION
    )
    assert endpoint.state == READY


@pytest.mark.parametrize("late_name", ["i-1", "i-0"])
def test_an_earlier_life_s_late_report_changes_nothing(endpoint, late_name):
    """A delayed report of an earlier incarnation does not affect the current one.

    The agent has restarted, so it has not seen the earlier incarnation. The start time
    shows that the report is older, whatever its name and sequence number.
    """
    endpoint.receive_report(report("i-1", 3, started=2000), 0.0)
    late = report(late_name, 60, draining=True, started=1000)
    assert endpoint.receive_report(late, 0.1) is ReportOutcome.STALE
    assert endpoint.incarnation == Incarnation("i-1", 2000)
    assert endpoint.state == READY


def test_a_life_whose_clock_was_set_back_is_believed_in_the_end(endpoint):
    """An endpoint gets flows although it seems to have started before its predecessor.

    Its VM's clock was set back between the two starts. The predecessor no longer
    reports, so the second report of the new incarnation is accepted.
    """
    endpoint.receive_report(report("i-1", 3, started=9000), 0.0)
    assert (
        endpoint.receive_report(report("i-2", 1, started=5000), 1.0)
        is ReportOutcome.STALE
    )
    assert (
        endpoint.receive_report(report("i-2", 2, started=5000), 2.0)
        is ReportOutcome.REPLACED_INCARNATION
    )
    assert endpoint.incarnation == Incarnation("i-2", 5000)


def test_a_report_without_a_start_is_no_report_of_a_life_that_tells_it(endpoint):
    endpoint.receive_report(report(sequence=3, started=1000), 0.0)
    assert endpoint.receive_report(report(sequence=9), 0.1) is ReportOutcome.STALE
    assert endpoint.sequence == 3


def test_an_earlier_life_s_word_that_it_goes_ends_no_other(endpoint):
    """A delayed leave call of an earlier incarnation ends no flow.

    The earlier incarnation had the same name. A call without a start time could be of
    either, and only causes a connection check of the endpoint's port.
    """
    endpoint.receive_report(report(started=2000), 0.0)
    assert not endpoint.leave(Incarnation("i-1", 1000))
    assert not endpoint.is_overdue(0.1)
    assert not endpoint.leave(Incarnation("i-1"))
    assert endpoint.state == READY
    assert endpoint.is_overdue(0.1)
    endpoint.receive_report(report(sequence=2, started=2000), 0.2)
    assert not endpoint.is_overdue(0.3)


def test_word_to_leave_that_was_overtaken_is_obeyed(endpoint):
    endpoint.receive_report(report(sequence=5), 0.0)
    assert (
        endpoint.receive_report(report(sequence=4, draining=True), 0.1)
        is ReportOutcome.ACCEPTED
    )
    assert endpoint.state == DRAINING


def test_reports_of_strangers_take_no_memory(endpoint):
    endpoint.receive_report(report(started=10_000), 0.0)
    for number in range(1000):
        endpoint.receive_report(report(f"x-{number}", started=1), 0.1)
    assert len(endpoint.ended) <= 64


def test_an_endpoint_that_left_is_down(endpoint):
    endpoint.receive_report(report(), 0.0)
    assert not endpoint.leave(Incarnation("i-0"))
    assert endpoint.leave(Incarnation("i-1"))
    assert endpoint.state == DOWN


def test_a_first_report_is_missed_soon(endpoint):
    """An agent that starts without an endpoint notices that soon.

    It checks the endpoint's port after part of a report interval and finds it closed.
    Until then, a search for a flow would wait for this endpoint.
    """
    assert not endpoint.is_overdue(0.2)
    assert endpoint.is_overdue(0.4)
    endpoint.receive_report(report(), 0.5)
    assert not endpoint.is_overdue(2.0)
    assert endpoint.is_overdue(2.4)


def test_an_endpoint_that_neither_reports_nor_answers_is_silent(endpoint):
    endpoint.unanswered_checks = 2
    assert endpoint.is_silent
    endpoint.receive_report(report(), 0.0)
    assert not endpoint.is_silent
