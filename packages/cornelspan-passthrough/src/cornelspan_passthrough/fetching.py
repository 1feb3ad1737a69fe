"""Fetches a peer's snapshot, for a balancer whose configuration is out of date.

Separate from ``snapshots``, which needs no HTTP client.
"""

import asyncio

from result import Err, Ok

from cornelspan_common.calls import CallBudget, HttpCaller
from cornelspan_common.logs import get_log
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.snapshots import SNAPSHOT_PATH, apply_snapshot

# ``HttpCaller`` needs a rate. It has no effect, as each caller makes a single call.
PEER_CALLS_PER_SECOND = 10.0
PEER_CALL_SECONDS = 1.0

log = get_log(__name__)


async def fetch_and_apply_snapshot(balancer: Balancer, peer: str) -> None:
    """Fetch a peer's snapshot and apply what is newer there or missing here."""
    port = balancer.settings.internal_port
    now = asyncio.get_running_loop().time()
    budget = CallBudget(PEER_CALLS_PER_SECOND)
    caller = HttpCaller(f"http://{peer}:{port}", budget, call_seconds=PEER_CALL_SECONDS)
    try:
        match await caller.send("GET", SNAPSHOT_PATH):
            case Ok(response) if response.code == 200:
                apply_snapshot(balancer, response.body, peer, now)
            case Ok(response):
                log.info(
                    "snapshot fetch failed",
                    extra={"peer": peer, "code": response.code},
                )
            case Err(error):
                log.info(
                    "snapshot fetch failed",
                    extra={"peer": peer, "reason": str(error)},
                )
    finally:
        caller.close()
