"""Fetches what a peer knows, for a balancer that can't reach the store.

Apart from ``snapshots``, as it is all that needs an HTTP client: it is imported after
packets are served.
"""

import asyncio

from result import Err, Ok

from cornelspan_common.calls import CallBudget, HttpCaller
from cornelspan_common.logs import get_log
from cornelspan_passthrough.balancer import Balancer
from cornelspan_passthrough.snapshots import SNAPSHOT_PATH, take_snapshot

PEER_CALLS_PER_SECOND = 10.0
PEER_CALL_SECONDS = 1.0

log = get_log(__name__)


async def fetch_from_peer(balancer: Balancer, peer: str) -> None:
    """Take configuration and members from a peer."""
    port = balancer.settings.internal_port
    now = asyncio.get_running_loop().time()
    budget = CallBudget(PEER_CALLS_PER_SECOND)
    caller = HttpCaller(f"http://{peer}:{port}", budget, call_seconds=PEER_CALL_SECONDS)
    try:
        match await caller.send("GET", SNAPSHOT_PATH):
            case Ok(response) if response.code == 200:
                take_snapshot(balancer, response.body, peer, now)
            case Ok(response):
                log.info("peer can't help", extra={"peer": peer, "code": response.code})
            case Err(error):
                log.info("peer can't help", extra={"peer": peer, "reason": str(error)})
    finally:
        caller.close()
