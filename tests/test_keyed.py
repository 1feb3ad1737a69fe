"""Requests with an idempotency key run at most once, also when agents fail."""

import asyncio

import pytest
from tornado.iostream import StreamClosedError

from cornelspan_requests import claims, voters
from http_fakes import Caller, fake_server, running_group


@pytest.fixture(autouse=True)
def quick_start(monkeypatch):
    monkeypatch.setattr(voters, "MIN_JOIN_SECONDS", 0.1)
    monkeypatch.setattr(claims, "SYNC_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(claims, "QUORUM_TIMEOUT_SECONDS", 0.3)


async def ask(group, name, body=b"x", key="k-1"):
    caller = Caller(group.gateways[name], f"10.0.0.{len(name)}")
    answer = await caller.ask(body=body, Idempotency_Key=key)
    await caller.close()
    return answer


async def test_repeated_order_gets_the_first_answer_anywhere(ports):
    async with fake_server(ports[0]) as server, running_group([ports[0]] * 3) as group:
        await group.ready()
        first = await ask(group, "hub-1")
        for name in ("hub-1", "hub-2", "hub-3"):
            status, headers, body = await ask(group, name)
            assert (status, body) == (200, first[2])
            assert headers["idempotency-replayed"] == "true"
    assert server.runs == ["x"]


async def test_order_repeated_while_it_runs_waits_for_the_one_answer(ports):
    async with (
        fake_server(ports[0], seconds=0.3) as server,
        running_group([ports[0]] * 3) as group,
    ):
        await group.ready()
        names = ("hub-1", "hub-2", "hub-3", "hub-1")
        answers = await asyncio.gather(*(ask(group, name) for name in names))
        assert {(status, body) for status, _, body in answers} == {
            (200, b"done /order x")
        }
    assert server.runs == ["x"]


async def test_key_with_another_body_is_refused(ports):
    async with fake_server(ports[0]) as server, running_group([ports[0]] * 3) as group:
        await group.ready()
        await ask(group, "hub-1")
        status, headers, _ = await ask(group, "hub-2", body=b"other")
        assert (status, headers["cornelspan-outcome"]) == (422, "not-run")
    assert server.runs == ["x"]


async def test_order_that_did_not_run_may_be_repeated(ports):
    async with running_group(ports) as group:
        await group.ready()
        status, headers, _ = await ask(group, "hub-1")
        assert (status, headers["cornelspan-outcome"]) == (503, "not-run")
        async with fake_server(ports[1]) as server:
            assert (await ask(group, "hub-2"))[0] == 200
    assert server.runs == ["x"]


async def test_claimant_killed_while_the_order_runs(ports):
    # hub-1 claims the key and dies while the server runs the order. The caller repeats
    # the order at hub-2. Two of three agents know the claim and that its holder has
    # died, so the order must not run again, and its outcome is unknown.
    async with (
        fake_server(ports[0], seconds=0.3) as server,
        fake_server(ports[1]) as second,
        running_group(ports) as group,
    ):
        await group.ready()
        caller = Caller(group.gateways["hub-1"])
        await caller.send(body=b"x", Idempotency_Key="k-1")
        while not server.running:
            await asyncio.sleep(0.01)
        await group.kill("hub-1")
        group.members.remove("hub-1", 1)
        status, headers, _ = await ask(group, "hub-2")
        assert (status, headers["cornelspan-outcome"]) == (409, "unknown")
        with pytest.raises(StreamClosedError):
            await caller.receive()
    assert second.runs == []


async def test_answer_survives_its_holder(ports):
    async with fake_server(ports[0]) as server, running_group([ports[0]] * 3) as group:
        await group.ready()
        await ask(group, "hub-1")
        await group.kill("hub-1")
        status, headers, _ = await ask(group, "hub-3")
        assert (status, headers["idempotency-replayed"]) == (200, "true")
    assert server.runs == ["x"]


async def test_restarted_agents_learn_the_claims_before_they_vote(ports):
    # All three agents restart one after another and lose their records. If they voted
    # at once, two without records could grant a claim that was granted before.
    async with fake_server(ports[0]) as server, running_group([ports[0]] * 3) as group:
        await group.ready()
        await ask(group, "hub-1")
        for name in ("hub-1", "hub-2", "hub-3"):
            await group.kill(name)
            await group.start(name, ports[0], incarnation=2)
            await group.ready()
        assert (await ask(group, "hub-2"))[0] == 200
    assert server.runs == ["x"]


async def test_majority_that_restarts_at_once_fails_closed(ports):
    # Two of three agents restart together and may lose a claim that only they had
    # recorded. Until the window is over, no keyed order may run.
    async with fake_server(ports[0]) as server, running_group([ports[0]] * 3) as group:
        await group.ready()
        await ask(group, "hub-1")
        for name in ("hub-1", "hub-2"):
            await group.kill(name)
        for name in ("hub-1", "hub-2"):
            await group.start(name, ports[0], incarnation=2)
        caller = Caller(group.gateways["hub-1"])
        status, headers, _ = await caller.ask(
            body=b"y", Idempotency_Key="k-2", X_Request_Deadline=1500
        )
        assert (status, headers["cornelspan-outcome"]) == (502, "unknown")
        await caller.close()
    assert server.runs == ["x"]


async def test_cut_off_minority_runs_no_keyed_order(ports):
    # hub-3 is cut off from the other agents, but not from callers and its server. It
    # can't know what the others have run, so it must not run a keyed order.
    async with fake_server(ports[0]) as server, running_group([ports[0]] * 3) as group:
        await group.ready()
        group.cut.add("hub-3")
        started = asyncio.get_running_loop().time()
        assert (await ask(group, "hub-1"))[0] == 200
        caller = Caller(group.gateways["hub-3"])
        status, headers, _ = await caller.ask(
            body=b"x", Idempotency_Key="k-1", X_Request_Deadline=8000
        )
        assert (status, headers["cornelspan-outcome"]) == (502, "unknown")
        # The failure must be reported well before the deadline, with Retry-After.
        assert asyncio.get_running_loop().time() - started < 0.5 * 8
        assert int(headers["retry-after"]) >= 1
        await caller.close()
    assert server.runs == ["x"]


async def test_caller_gone_lets_a_keyed_order_finish(ports):
    # A caller loses its connection while its order runs. If the order were cancelled,
    # it could be half done and the repeated order would get "unknown". So it must run
    # to its end, and the repeated order gets the answer.
    async with (
        fake_server(ports[0], seconds=0.2) as server,
        running_group([ports[0]] * 3) as group,
    ):
        await group.ready()
        caller = Caller(group.gateways["hub-1"])
        await caller.send(body=b"x", Idempotency_Key="k-1")
        while not server.running:
            await asyncio.sleep(0.01)
        await caller.close()
        assert (await ask(group, "hub-2"))[0] == 200
    assert (server.runs, server.cancelled) == (["x"], 0)
