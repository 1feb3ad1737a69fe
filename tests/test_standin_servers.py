"""The backend server and caller stand-ins, against each other without the product."""

import asyncio

import pytest

from cornelspan_common.settings import Address
from cornelspan_standins.callers import (
    Answer,
    LoadSettings,
    Outcome,
    Request,
    Target,
    judge,
    run_callers,
)
from cornelspan_standins.content import body_of
from cornelspan_standins.journal import Ended, Journal, Run
from cornelspan_standins.servers import ServerSettings, backend_server
from local import BASE_PORT

HERE = Address(host="127.0.0.1", port=BASE_PORT + 300)


def server_settings(**changes):
    return ServerSettings(
        name="order-hub-1",
        service="order-hub",
        listen=HERE,
        **({"mean_seconds": 0.002, "backlog": 100} | changes),
    )


def load(**changes):
    target = Target(service="order-hub", address=HERE)
    return LoadSettings(
        targets=(target,), **({"flows": 20, "pause_seconds": 0.001} | changes)
    )


async def test_all_answers_are_good_and_each_order_runs_once():
    journal = Journal()
    async with backend_server(server_settings(), journal):
        report = await run_callers(load())
    assert report.count(Outcome.GOOD) == len(report.requests) == len(journal.runs)
    assert (report.finished, report.broken) == (20, 0)
    assert journal.double_runs() == 0
    assert report.latency_ms(99) >= report.latency_ms(50) > 0


async def test_open_loop_and_same_seed_sends_the_same_requests():
    async with backend_server(server_settings(), Journal()):
        first = await run_callers(load(rate=500.0))
        second = await run_callers(load(rate=500.0))
    ids = [sorted(r.request_id for r in report.requests) for report in (first, second)]
    assert ids[0] == ids[1]


async def test_full_server_sheds_and_what_it_shed_did_not_run():
    journal = Journal()
    slow = server_settings(backlog=0, mean_seconds=0.02)
    async with backend_server(slow, journal):
        report = await run_callers(load(long_share=0.0))
    refused = [r for r in report.requests if r.outcome is Outcome.NOT_RUN]
    assert refused
    assert not any(journal.ran(request.request_id) for request in refused)


async def test_drained_server_takes_nothing_new():
    journal = Journal()
    async with backend_server(server_settings(), journal) as server:
        server.drain()
        report = await run_callers(load(flows=3, long_share=0.0))
    assert report.count(Outcome.NOT_RUN) == len(report.requests)
    assert journal.runs == []


async def test_lost_answer_is_a_run_without_an_answer():
    journal = Journal()
    async with backend_server(server_settings(lose_answers=1.0), journal):
        report = await run_callers(load(flows=3))
    assert report.broken == report.count(Outcome.BROKEN) == 3
    assert {run.ended for run in journal.runs} == {Ended.ANSWER_LOST}


async def test_caller_that_goes_away_cancels_its_run():
    journal = Journal()
    async with backend_server(server_settings(mean_seconds=5.0), journal):
        await run_callers(load(flows=1, answer_seconds=0.1))
        await asyncio.sleep(0.1)
        assert [run.ended for run in journal.runs] == [Ended.CANCELLED]


async def test_deadline_ends_a_run():
    journal = Journal()
    # The deadline must not pass before the run begins, or the server rightly says that
    # it has not run: 50 ms were not enough on a machine that was busy.
    async with backend_server(server_settings(mean_seconds=60.0), journal):
        report = await run_callers(load(flows=1, deadline_seconds=1.0))
    assert report.count(Outcome.FAILED) == len(report.requests)
    assert {run.ended for run in journal.runs} == {Ended.TIMED_OUT}


async def test_health_lags_and_lies():
    late = server_settings(report_lag_seconds=60.0)
    async with backend_server(late, Journal()) as server:
        server.drain()
        assert server.report().healthy
    async with backend_server(server_settings(lying=True), Journal()) as server:
        server.drain()
        assert server.report().healthy
    async with backend_server(
        server_settings(report_lag_seconds=0.0), Journal()
    ) as server:
        server.drain()
        assert not server.report().healthy


async def test_cold_server_is_slower():
    async with backend_server(server_settings(sigma=0.0), Journal()) as warm:
        usual = warm.service_seconds()
    cold_settings = server_settings(sigma=0.0, cold_seconds=60.0, cold_factor=4.0)
    async with backend_server(cold_settings, Journal()) as cold:
        assert cold.service_seconds() == pytest.approx(4 * usual)


@pytest.mark.parametrize(
    ("change", "outcome"),
    [
        ({}, Outcome.GOOD),
        ({"status": 0}, Outcome.BROKEN),
        ({"whole": False}, Outcome.INCOMPLETE),
        ({"body": body_of("r-1", 9)}, Outcome.INCOMPLETE),
        ({"body": body_of("r-2", 10)}, Outcome.FOREIGN),
        ({"service": "receipt-render"}, Outcome.WRONG_SERVICE),
        ({"request_id": "r-2"}, Outcome.FOREIGN),
        ({"status": 500}, Outcome.FAILED),
    ],
)
def test_judge(change, outcome):
    request = Request("r-1", "GET", "/bytes/10?seed=r-1", b"", 10)
    answer = Answer(
        change.get("status", 200),
        body=bytearray(change.get("body", body_of("r-1", 10))),
        whole=change.get("whole", True),
    )
    answer.headers["X-Service"] = change.get("service", "order-hub")
    answer.headers["X-Request-Id"] = change.get("request_id", "r-1")
    assert judge(request, "order-hub", answer) is outcome


def test_double_run_is_told_by_its_key():
    journal = Journal()
    for request_id, key in (("a", "k"), ("b", "k"), ("c", ""), ("d", "")):
        journal.start(Run(request_id, key, "POST", "order-hub", "order-hub-1", 0.0))
    assert journal.double_runs() == 1
