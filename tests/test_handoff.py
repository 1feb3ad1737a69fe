"""Handoff of requests between the agents of a service, and draining of agents."""

import asyncio

import pytest
from msgspec.structs import replace
from tornado.iostream import StreamClosedError

from cornelspan_common.ejection import EjectionPolicy
from cornelspan_control.profiles import RequestPolicy
from http_fakes import WARM, Caller, fake_server, running_group

SERVICE_SECONDS = 0.02


async def test_request_moves_from_a_full_endpoint_to_a_free_one(ports):
    async with (
        fake_server(ports[0], seconds=0.1) as first,
        fake_server(ports[1], seconds=0.1) as second,
        running_group(ports[:2]) as group,
    ):
        gateway = group.gateways["hub-1"]
        callers = [Caller(gateway, f"10.0.0.{n}") for n in range(4)]
        asks = []
        for number, caller in enumerate(callers):
            asks.append(asyncio.create_task(caller.ask(body=b"%d" % number)))
            await asyncio.sleep(0.015)
        answers = await asyncio.gather(*asks)
        assert [body for _, _, body in answers] == [
            f"done /order {n}".encode() for n in range(4)
        ]
        for caller in callers:
            await caller.close()
    assert (len(first.runs), len(second.runs)) == (2, 2)


async def test_refused_connection_moves_to_the_next_endpoint(ports):
    async with fake_server(ports[1]) as second, running_group(ports[:2]) as group:
        caller = Caller(group.gateways["hub-1"])
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (200, "ran")
        await caller.close()
    assert second.runs == ["x"]


async def test_order_whose_server_broke_is_not_run_elsewhere(ports):
    # The server reads an order and dies. It may have run the order, so running it again
    # at the next endpoint could run it twice.
    async def die(handler):
        handler.request.connection.stream.close()
        return True

    async with (
        fake_server(ports[0], behave=die),
        fake_server(ports[1]) as second,
        running_group(ports[:2]) as group,
    ):
        caller = Caller(group.gateways["hub-1"])
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (502, "unknown")
        status, _, body = await caller.ask("GET", "/menu")
        assert (status, body) == (200, b"done /menu ")
        await caller.close()
    assert second.runs == ["/menu"]


async def test_large_bodies_pass_between_agents_whole(ports):
    big = b"b" * 900_000

    async def echo(handler):
        handler.write(handler.request.body)
        return True

    async with fake_server(ports[1], behave=echo), running_group(ports[:2]) as group:
        caller = Caller(group.gateways["hub-1"])
        status, _, body = await caller.ask(body=big)
        assert (status, body) == (200, big)
        await caller.close()


async def test_caller_gone_cancels_at_the_other_agents_server(ports):
    async with (
        fake_server(ports[1], seconds=5) as second,
        running_group(ports[:2]) as group,
    ):
        caller = Caller(group.gateways["hub-1"])
        await caller.send("GET", "/menu")
        while not second.running:
            await asyncio.sleep(0.01)
        await caller.close()
        while not second.cancelled:
            await asyncio.sleep(0.01)
    assert second.runs == []


async def test_agent_killed_with_a_handed_over_order_leaves_it_unknown(ports):
    # hub-1 has handed an order off to hub-2, which dies while the server runs it. The
    # server may have finished it, so the outcome is "unknown".
    async with (
        fake_server(ports[1], seconds=0.5) as second,
        running_group(ports[:2]) as group,
    ):
        caller = Caller(group.gateways["hub-1"])
        await caller.send(body=b"x")
        while not second.running:
            await asyncio.sleep(0.01)
        await group.kill("hub-2")
        status, headers, _ = await caller.receive()
        assert (status, headers["cornelspan-outcome"]) == (502, "unknown")
        await caller.close()


async def test_killed_agent_cuts_a_begun_answer(ports):
    # An agent dies when half of its answer has reached the caller. A retry would append
    # a second answer to the first half, and ending the answer normally would make it
    # look complete. So the flow must be closed.
    async def slow(handler):
        handler.write(b"x" * 1000)
        await handler.flush()
        await asyncio.sleep(0.5)
        return True

    async with fake_server(ports[1], behave=slow), running_group(ports[:2]) as group:
        caller = Caller(group.gateways["hub-1"])
        await caller.send("GET", "/menu")
        await caller.stream.read_until(b"\r\n\r\n")
        await group.kill("hub-2")
        with pytest.raises(StreamClosedError):
            await asyncio.wait_for(caller.stream.read_until_regex(b"\n0\r\n\r\n"), 5)
        await caller.close()


async def test_leaving_agent_finishes_what_runs_and_starts_nothing(ports):
    # An agent drains while an order runs and another one arrives. The running order
    # must be answered, the new one must run at the other endpoint, and no flow may
    # break.
    async with (
        fake_server(ports[0], seconds=0.2) as first,
        fake_server(ports[1]) as second,
        running_group(ports[:2]) as group,
    ):
        gateway = group.gateways["hub-1"]
        running, other = Caller(gateway), Caller(gateway, "10.0.0.8")
        await running.send(body=b"running")
        while not first.running:
            await asyncio.sleep(0.01)
        draining = asyncio.create_task(gateway.drain(5))
        await asyncio.sleep(0.02)
        assert (await other.ask(body=b"new"))[0] == 200
        status, _, body = await running.receive()
        assert (status, body) == (200, b"done /order running")
        await draining
        assert gateway.idle
        await running.close()
        await other.close()
    assert (first.runs, second.runs) == (["running"], ["new"])


async def test_leaving_agent_without_peers_says_not_run(ports):
    async with fake_server(ports[0]) as first, running_group(ports[:1]) as group:
        gateway = group.gateways["hub-1"]
        gateway.leave()
        caller = Caller(gateway)
        status, headers, _ = await caller.ask(body=b"x")
        assert (status, headers["cornelspan-outcome"]) == (503, "not-run")
        assert int(headers["retry-after"]) >= 1
        await caller.close()
    assert first.runs == []


async def test_failing_endpoint_is_left_alone_and_tried_again(ports):
    # One server of three answers 500 to every request. After two failures it is ejected
    # and the requests run elsewhere. When the ejection time is over, one request probes
    # it, and a good answer readmits it. All servers have the same service time: if it
    # were zero, one of them could be ejected as slow by chance.
    ejection = EjectionPolicy(failures=2, seconds=0.3)
    profile = replace(WARM, ejection=ejection)

    async def fail(handler):
        handler.send_error(500)
        return True

    async with (
        fake_server(ports[0], behave=fail, seconds=SERVICE_SECONDS) as first,
        fake_server(ports[1], seconds=SERVICE_SECONDS),
        fake_server(ports[2], seconds=SERVICE_SECONDS),
        running_group(ports, profile=profile) as group,
    ):
        caller = Caller(group.gateways["hub-1"])
        statuses = [(await caller.ask("GET", f"/{n}"))[0] for n in range(8)]
        assert statuses == [500, 500] + [200] * 6
        first.behave = None
        await asyncio.sleep(0.4)
        for number in range(5):
            assert (await caller.ask("GET", f"/again/{number}"))[0] == 200
        assert len(first.runs) >= 4
        await caller.close()


async def test_flood_of_one_caller_leaves_room_for_another(ports):
    profile = replace(WARM, requests=RequestPolicy(queue=8, caller_share=0.5))
    async with (
        fake_server(ports[0], seconds=0.05),
        running_group(ports[:1], profile=profile, slots=1) as group,
    ):
        gateway = group.gateways["hub-1"]
        flood = [Caller(gateway, "10.0.0.1") for _ in range(12)]
        asks = [asyncio.create_task(c.ask("GET", "/a")) for c in flood]
        await asyncio.sleep(0.02)
        other = Caller(gateway, "10.0.0.2")
        assert (await other.ask("GET", "/b"))[0] == 200
        assert sum(ask.done() and ask.result()[0] == 200 for ask in asks) <= 3
        # One runs and eight wait. The last waiting one is shed for the other caller's.
        statuses = [status for status, _, _ in await asyncio.gather(*asks)]
        assert (statuses.count(200), statuses.count(503)) == (8, 4)
        for caller in (*flood, other):
            await caller.close()
