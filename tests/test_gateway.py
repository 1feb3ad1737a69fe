"""Requests from a flow through the agent to a backend server and back."""

import asyncio

import pytest
from tornado.iostream import StreamClosedError

from cornelspan_control.profiles import Profile, RequestPolicy
from cornelspan_ownership.placement import UNMEASURED
from http_fakes import Caller, fake_server, running_gateway


async def test_requests_on_one_flow_are_answered_in_turn(port):
    async with fake_server(port) as server, running_gateway(port) as gateway:
        caller = Caller(gateway)
        for number in range(5):
            status, headers, body = await caller.ask(body=str(number).encode())
            assert (status, body) == (200, f"done /order {number}".encode())
            assert headers["cornelspan-outcome"] == "ran"
        await caller.close()
    assert server.runs == ["0", "1", "2", "3", "4"]
    assert gateway.streams == set()


async def test_one_slow_request_does_not_keep_an_endpoint_without_work(port):
    # The first request after an endpoint's start may be slow because the VM is busy. If
    # the mean of this one sample were reported, peers would send the endpoint nothing
    # that could correct it until it expires ten seconds later.
    async with fake_server(port, seconds=0.05), running_gateway(port) as gateway:
        caller = Caller(gateway)
        await caller.ask(body=b"slow")
        assert gateway.own_load().mean_seconds == UNMEASURED
        for number in range(2):
            await caller.ask(body=str(number).encode())
        assert gateway.own_load().mean_seconds > UNMEASURED
        await caller.close()


async def test_nobody_listening_is_not_run(port):
    async with running_gateway(port) as gateway:
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (503, "not-run")
        await caller.close()


async def test_server_that_sheds_is_not_run(port):
    async def shed(handler):
        handler.set_status(503)
        handler.set_header("X-Request-Not-Run", "1")
        return True

    async with fake_server(port, behave=shed), running_gateway(port) as gateway:
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (503, "not-run")
        await caller.close()


async def test_server_that_breaks_after_the_request_is_unknown(port):
    # The server reads a request and dies before it answers. It may have run it, so the
    # outcome must not be "not-run".
    async def die(handler):
        handler.request.connection.stream.close()
        return True

    async with fake_server(port, behave=die), running_gateway(port) as gateway:
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (502, "unknown")
        await caller.close()


async def test_answer_broken_half_way_is_cut(port):
    # The server announces 100 bytes, sends 10 and dies. If the answer were ended
    # normally after them, a partial answer would look complete.
    async def half(handler):
        stream = handler.request.connection.stream
        await stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"x" * 10
        )
        stream.close()
        return True

    async with fake_server(port, behave=half), running_gateway(port) as gateway:
        caller = Caller(gateway)
        with pytest.raises(StreamClosedError):
            await caller.ask(body=b"x")
        await caller.close()


async def test_answer_without_an_end_mark_is_not_passed_on(port):
    async def unframed(handler):
        stream = handler.request.connection.stream
        await stream.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an ans")
        stream.close()
        return True

    async with (
        fake_server(port, behave=unframed),
        running_gateway(port) as gateway,
    ):
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (502, "unknown")
        await caller.close()


async def test_caller_gone_cancels_at_the_server(port):
    async with (
        fake_server(port, seconds=5) as server,
        running_gateway(port) as gateway,
    ):
        caller = Caller(gateway)
        await caller.send(body=b"x")
        while not server.running:
            await asyncio.sleep(0.01)
        await caller.close()
        while not server.cancelled:
            await asyncio.sleep(0.01)
    assert server.runs == []


async def test_deadline_is_passed_on_and_kept(port):
    async with (
        fake_server(port, seconds=5) as server,
        running_gateway(port) as gateway,
    ):
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x", X_Request_Deadline=200)
        assert (status, headers["cornelspan-outcome"]) == (504, "unknown")
        assert 0 < int(server.headers[0]["X-Request-Deadline"]) <= 200
        await caller.close()


async def test_body_over_the_limit_is_refused(port):
    profile = Profile(name="orders", requests=RequestPolicy(body_bytes=100))
    async with (
        fake_server(port),
        running_gateway(port, profile=profile) as gateway,
    ):
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x" * 150)
        assert (status, headers["cornelspan-outcome"]) == (413, "not-run")
        assert gateway.objective_counts.bad == 0
        await caller.close()


async def test_no_more_run_than_slots(port):
    async with (
        fake_server(port, seconds=0.03) as server,
        running_gateway(port) as gateway,
    ):
        callers = [Caller(gateway, f"10.0.0.{n}") for n in range(8)]
        answers = await asyncio.gather(*(caller.ask(body=b"x") for caller in callers))
        assert {status for status, _, _ in answers} == {200}
        for caller in callers:
            await caller.close()
    assert server.max_running == 2
