"""What an agent believes of its endpoint."""

import pytest

from cornelspan_passthrough.endpoint import Endpoint, Hearing, Life, Report
from cornelspan_passthrough.health import DOWN, DRAINING, READY


def report(
    life="i-1", sequence=1, *, draining=False, service="orders", cold=0, born=None
):
    return Report(Life(life, born), service, sequence, 2, draining, cold)


@pytest.fixture
def endpoint():
    return Endpoint("orders", report_seconds=1.0)


def test_a_late_report_of_an_ended_life_is_left_out(endpoint):
    """Flows of the endpoint's new life are not given up.

    The old life's report was held up by a partition and arrives after the new life's
    first. Taken in, it would end the new life.
    """
    endpoint.report(report("i-1", 7), 0.0)
    assert endpoint.report(report("i-2", 1), 1.0) is Hearing.BEGINS
    assert endpoint.report(report("i-1", 8), 1.1) is Hearing.DOUBTED
    assert endpoint.life == Life("i-2")


def test_several_late_reports_do_not_bring_an_ended_life_back(endpoint):
    """Flows of the endpoint's new life are not given up.

    A partition held up more than one report of the old life. They arrive one after the
    other while the new life reports in time, so the old one can't be alive.
    """
    endpoint.report(report("i-1", 7), 0.0)
    endpoint.report(report("i-2", 1), 1.0)
    for sequence in (8, 9, 10):
        assert endpoint.report(report("i-1", sequence), 1.1) is Hearing.DOUBTED
    assert endpoint.life == Life("i-2")


def test_a_life_that_goes_on_reporting_was_not_over(endpoint):
    endpoint.report(report("i-2", 1), 0.0)
    endpoint.report(report("i-1", 7), 0.1)
    assert endpoint.report(report("i-2", 2), 1.0) is Hearing.DOUBTED
    assert endpoint.report(report("i-2", 3), 2.0) is Hearing.BEGINS
    assert endpoint.life == Life("i-2")


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
    assert endpoint.report(report(service="receipts"), 0.0) is Hearing.FOREIGN
    assert endpoint.announced_state == DRAINING


def test_a_stray_report_of_another_service_ends_no_flow(endpoint):
    """Open flows go on, and new ones come again after the endpoint's next report.

    Somebody else's report arrives at the agent. Taken for a new life, it would end the
    sound endpoint's flows; the sound one reports again and is believed.
    """
    endpoint.report(report(), 0.0)
    assert endpoint.report(report("x-9", service="odd"), 0.5) is Hearing.FOREIGN
    assert (endpoint.state, endpoint.announced_state) == (READY, DRAINING)
    assert endpoint.report(report(sequence=2), 1.0) is Hearing.TAKEN
    assert endpoint.announced_state == READY


def test_a_late_report_of_the_address_s_service_of_before_is_left_out(endpoint):
    """New flows come to an address that another service has taken over.

    The endpoint of before had the same name and began earlier; its report was held up
    on the way. The present endpoint is not doubted for it.
    """
    endpoint.report(report(born=5000), 0.0)
    late = report(sequence=9, service="receipts", born=1000)
    assert endpoint.report(late, 0.1) is Hearing.DOUBTED
    assert endpoint.announced_state == READY


def test_a_restart_under_the_same_name_is_a_new_life(endpoint):
    """Flows of before are told dead, and the new life's word to leave is obeyed.

    The endpoint crashes and is back under its name, its reports numbered from 1 anew.
    Taken for repeats, they would be acknowledged and change nothing.
    """
    endpoint.report(report(sequence=40, born=1000), 0.0)
    assert endpoint.report(report(sequence=1, born=2000), 1.0) is Hearing.BEGINS
    endpoint.report(report(sequence=2, draining=True, born=2000), 2.0)
    assert endpoint.state == DRAINING


def test_a_restart_while_it_drains_takes_flows_again(endpoint):
    endpoint.report(report(sequence=40, draining=True, born=1000), 0.0)
    assert endpoint.report(report(sequence=1, born=2000), 1.0) is Hearing.BEGINS
    assert endpoint.state == READY


@pytest.mark.parametrize("late_name", ["i-1", "i-0"])
def test_an_earlier_life_s_late_report_changes_nothing(endpoint, late_name):
    """Flows of the endpoint's present life go on.

    The agent was restarted, so it knows of no earlier life. A report of one arrives
    after the present life's: it began before, whatever its name and number.
    """
    endpoint.report(report("i-1", 3, born=2000), 0.0)
    late = report(late_name, 60, draining=True, born=1000)
    assert endpoint.report(late, 0.1) is Hearing.DOUBTED
    assert endpoint.life == Life("i-1", 2000)
    assert endpoint.state == READY


def test_a_life_whose_clock_was_set_back_is_believed_in_the_end(endpoint):
    """An endpoint gets flows though it says that it began before its predecessor.

    Its VM's clock was set back between the two. The one before reports no more, so the
    second report of the new one is taken.
    """
    endpoint.report(report("i-1", 3, born=9000), 0.0)
    assert endpoint.report(report("i-2", 1, born=5000), 1.0) is Hearing.DOUBTED
    assert endpoint.report(report("i-2", 2, born=5000), 2.0) is Hearing.BEGINS
    assert endpoint.life == Life("i-2", 5000)


def test_a_report_without_a_start_is_no_report_of_a_life_that_tells_it(endpoint):
    endpoint.report(report(sequence=3, born=1000), 0.0)
    assert endpoint.report(report(sequence=9), 0.1) is Hearing.DOUBTED
    assert endpoint.sequence == 3


def test_an_earlier_life_s_word_that_it_goes_ends_no_other(endpoint):
    """Flows go on though an earlier life of the same name says that it goes.

    Its last call was held up on the way. One that doesn't say which life it ends only
    has the port looked at.
    """
    endpoint.report(report(born=2000), 0.0)
    assert not endpoint.leave(Life("i-1", 1000))
    assert not endpoint.is_overdue(0.1)
    assert not endpoint.leave(Life("i-1"))
    assert endpoint.state == READY
    assert endpoint.is_overdue(0.1)
    endpoint.report(report(sequence=2, born=2000), 0.2)
    assert not endpoint.is_overdue(0.3)


def test_word_to_leave_that_was_overtaken_is_obeyed(endpoint):
    endpoint.report(report(sequence=5), 0.0)
    assert endpoint.report(report(sequence=4, draining=True), 0.1) is Hearing.TAKEN
    assert endpoint.state == DRAINING


def test_reports_of_strangers_take_no_memory(endpoint):
    endpoint.report(report(born=10_000), 0.0)
    for number in range(1000):
        endpoint.report(report(f"x-{number}", born=1), 0.1)
    assert len(endpoint.ended) <= 64


def test_an_endpoint_that_left_is_down(endpoint):
    endpoint.report(report(), 0.0)
    assert not endpoint.leave(Life("i-0"))
    assert endpoint.leave(Life("i-1"))
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
