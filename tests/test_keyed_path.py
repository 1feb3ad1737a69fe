"""Keyed orders over the whole path, with repeated orders and failing agents."""

import asyncio
import dataclasses
import random

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from cornelspan_standins.deployment import SHIRAKABA, caller_address, deployment

ORDERS = 60
TRIES = 4


async def order(address, number, outcomes):
    """Repeat one order, each time on a new flow, until its outcome is "ran"."""
    request_id = f"order-{number}"
    body = msgspec.json.encode({"request_id": request_id})
    client = AsyncHTTPClient(force_instance=True, max_clients=1)
    for _ in range(TRIES):
        try:
            answer = await client.fetch(
                f"http://{address}/orders",
                method="POST",
                body=body,
                headers={"Idempotency-Key": request_id, "Connection": "close"},
                raise_error=False,
                request_timeout=6,
            )
        except (OSError, HTTPError):
            continue
        outcomes[request_id] = answer.headers.get("Cornelspan-Outcome", "cut")
        if outcomes[request_id] == "ran":
            break
    client.close()


async def test_repeated_orders_run_once_while_agents_die(base_port):
    # Servers lose a fifth of their answers. Two agents are killed, and one of them
    # restarts without its records. Callers repeat unanswered orders, which may reach
    # another balancer and agent. No order may run twice.
    plan = dataclasses.replace(
        SHIRAKABA,
        base_port=base_port,
        mean_seconds=0.05,
        servers={"order-hub": {"lose_answers": 0.2}},
    )
    outcomes = {}
    async with deployment(plan) as state:
        address = caller_address(plan, "order-hub")
        numbers = random.Random(1)

        async def later(number):
            await asyncio.sleep(numbers.uniform(0, 3))
            await order(address, number, outcomes)

        async def break_agents():
            await asyncio.sleep(0.8)
            await state.kill_agent("order-hub", 1)
            await asyncio.sleep(0.7)
            await state.kill_agent("order-hub", 2)
            await asyncio.sleep(0.3)
            await state.start_agent("order-hub", 1)

        async with asyncio.timeout(60):
            await asyncio.gather(break_agents(), *(later(n) for n in range(ORDERS)))
        ran = {run.idempotency_key for run in state.journal.runs}
        assert state.journal.double_runs() == 0
        assert not [
            key
            for key, outcome in outcomes.items()
            if outcome == "not-run" and key in ran
        ]
        assert len(ran) >= 0.8 * ORDERS
