"""What an agent believes of its endpoint."""

import pytest

from cornelspan_passthrough.endpoint import Endpoint, Report
from cornelspan_passthrough.pulses import DOWN, DRAINING, READY


def report(life="i-1", sequence=1, *, draining=False, service="orders", cold=0):
    return Report(life, service, sequence, 2, draining, cold)


@pytest.fixture
def endpoint():
    return Endpoint("orders", report_seconds=1.0)


def test_a_late_report_of_an_ended_life_is_left_out(endpoint):
    """Flows of the endpoint's new life are not given up.

    The old life's report was held up by a partition and arrives after the new life's
    first. Taken in, it would end the new life.
    """
    endpoint.report(report("i-1", 7), 0.0)
    assert endpoint.report(report("i-2", 1), 1.0)
    assert not endpoint.report(report("i-1", 8), 1.1)
    assert endpoint.life == "i-2"


def test_several_late_reports_do_not_bring_an_ended_life_back(endpoint):
    """Flows of the endpoint's new life are not given up.

    A partition held up more than one report of the old life. They arrive one after the
    other while the new life reports in time, so the old one can't be alive.
    """
    endpoint.report(report("i-1", 7), 0.0)
    endpoint.report(report("i-2", 1), 1.0)
    for sequence in (8, 9, 10):
        assert not endpoint.report(report("i-1", sequence), 1.1)
    assert endpoint.life == "i-2"


def test_a_life_that_goes_on_reporting_was_not_over(endpoint):
    endpoint.report(report("i-2", 1), 0.0)
    endpoint.report(report("i-1", 7), 0.1)
    assert not endpoint.report(report("i-2", 2), 1.0)
    assert endpoint.report(report("i-2", 3), 2.0)
    assert endpoint.life == "i-2"


def test_a_repeated_report_changes_nothing(endpoint):
    endpoint.report(report(sequence=5, draining=True), 0.0)
    endpoint.report(report(sequence=4), 0.1)
    assert endpoint.state == DRAINING


def test_leaving_is_for_good_within_a_life(endpoint):
    endpoint.report(report(sequence=1, draining=True), 0.0)
    endpoint.report(report(sequence=2), 1.0)
    assert endpoint.state == DRAINING
    endpoint.report(report("i-2"), 2.0)
    assert endpoint.state == READY


def test_an_endpoint_of_another_service_takes_nothing(endpoint):
    endpoint.report(report(service="receipts"), 0.0)
    assert endpoint.state == DOWN


def test_an_endpoint_that_left_is_down(endpoint):
    endpoint.report(report(), 0.0)
    assert not endpoint.leave("i-0")
    assert endpoint.leave("i-1")
    assert endpoint.state == DOWN


def test_a_first_report_is_missed_soon(endpoint):
    """A search for a flow does not wait for an endpoint that is gone.

    The agent was restarted beside no endpoint at all; it looks for one after part of an
    interval, and finds the port closed.
    """
    assert not endpoint.is_overdue(0.2)
    assert endpoint.is_overdue(0.4)
    endpoint.report(report(), 0.5)
    assert not endpoint.is_overdue(2.0)
    assert endpoint.is_overdue(2.4)


def test_an_endpoint_that_neither_reports_nor_answers_is_silent(endpoint):
    endpoint.unanswered_probes = 2
    assert endpoint.is_silent
    endpoint.report(report(), 0.0)
    assert not endpoint.is_silent
