"""Judges an agent's endpoint by what came of its requests.

The load pattern it answers: an endpoint whose health check is good while it resets or
swallows what it is sent. Idle by its own failures, it looks like the least loaded and
draws new flows from all that are sound.

Only heads are read, so a failure is a flow that the endpoint ends without an answer, or
a request that it has had for much longer than usual.
"""

from typing import TYPE_CHECKING

from cornelspan_common.ejection import Standing
from cornelspan_common.logs import get_log
from cornelspan_passthrough import messages
from cornelspan_passthrough.flows import NO_REQUEST, OwnedFlow
from cornelspan_passthrough.packet_headers import FIN, RST, PacketHeader

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent

# A probe's first request follows its first packet after a round trip to the client.
FIRST_REQUEST_SECONDS = 0.05

log = get_log(__name__)


def record_packet(
    agent: "Agent", owned: OwnedFlow, header: PacketHeader, now: float
) -> None:
    """Take in a packet of the endpoint, before the flow's request is ended by it.

    Flows that opened before this process started are left out: what they run is not
    known, and their clients may have gone.
    """
    if owned.request_started_at == NO_REQUEST or owned.is_learned:
        return
    if header.length:
        record_outcomes(agent, 1, now, succeeded=True)
    elif header.flags & (FIN | RST):
        record_outcomes(agent, 1, now, succeeded=False)


def record_lost_requests(agent: "Agent", now: float) -> None:
    """Forget requests that seem to be lost, and hold them against the endpoint."""
    lost = agent.flows.drop_lost_requests(now)
    if lost:
        record_outcomes(agent, lost, now, succeeded=False)


def record_outcomes(agent: "Agent", count: int, now: float, *, succeeded: bool) -> None:
    """Count outcomes of requests, and tell all balancers when they change the standing.

    Balancers pass over an endpoint that is out, but not when too many are: the limit is
    theirs, as an agent doesn't know the others.
    """
    detector = agent.outlier_detector
    before = detector.standing(now)
    for _ in range(count):
        if succeeded:
            detector.succeed(now)
        else:
            detector.fail(agent.settings.ejection, now, room=True)
    after = detector.standing(now)
    if after is before:
        return
    extra = {
        "life": str(agent.endpoint.incarnation),
        "was": before.value,
        "stands": after.value,
        "for_ms": max(0, round((detector.ejected_until - now) * 1000)),
        "ejections": detector.ejections,
    }
    log.info("endpoint's standing changed", extra=extra)
    agent.counts["standing_changes"] += 1
    agent.send_pongs(now)


def is_ejected(agent: "Agent", now: float) -> bool:
    """Whether new flows should go elsewhere."""
    return agent.outlier_detector.standing(now) is Standing.OUT


def probe_rejection_reason(agent: "Agent", now: float) -> int:
    """Return why an endpoint that is tried again takes no further flow; 0 if it does.

    One request at a time shows whether it has recovered. More would be lost with it:
    it is idle, so every balancer sends it what has just come.
    """
    if agent.outlier_detector.standing(now) is not Standing.PROBING:
        return 0
    probes = agent.flows.running + agent.flows.started_since(
        now - FIRST_REQUEST_SECONDS
    )
    return messages.ENDPOINT_PROBED if probes else 0
