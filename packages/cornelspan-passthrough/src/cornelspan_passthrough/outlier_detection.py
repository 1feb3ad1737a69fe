"""Detects from the results of requests that the agent's endpoint fails.

This covers endpoints that pass their health check while they reset or never answer
requests. Such an endpoint is idle because it fails, looks like the least loaded one and
attracts new flows away from healthy endpoints.

The agent reads only packet headers. A failure is therefore a flow that the endpoint
closes without an answer, or a request that has run much longer than usual.
"""

from typing import TYPE_CHECKING

from cornelspan_common.ejection import Standing
from cornelspan_common.logs import get_log
from cornelspan_passthrough import messages
from cornelspan_passthrough.flows import NO_REQUEST, TrackedFlow
from cornelspan_passthrough.packet_headers import FIN, RST, PacketHeader

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent

# The first request of a flow that probes an ejected endpoint follows the first packet
# after a round trip to the client. Flows that started within this time count as probes.
PROBE_FIRST_REQUEST_SECONDS = 0.05

log = get_log(__name__)


def record_packet(
    agent: "Agent", tracked: TrackedFlow, header: PacketHeader, now: float
) -> None:
    """Record the result that a packet of the endpoint shows; call it before the update.

    The flow table must still have the request, which the packet may end. Learned
    flows are ignored: they usually opened before this process started, so the state of
    their requests is unknown, and their clients may be gone.
    """
    if tracked.request_started_at == NO_REQUEST or tracked.is_learned:
        return
    if header.length:
        record_outcomes(agent, 1, now, succeeded=True)
    elif header.flags & (FIN | RST):
        record_outcomes(agent, 1, now, succeeded=False)


def record_lost_requests(agent: "Agent", now: float) -> None:
    """Drop requests that count as lost, freeing slots, and record them as failures."""
    lost = agent.flows.drop_lost_requests(now)
    if lost:
        record_outcomes(agent, lost, now, succeeded=False)


def record_outcomes(agent: "Agent", count: int, now: float, *, succeeded: bool) -> None:
    """Record results of requests, and tell balancers if the ejection state changes.

    An ejection also ends by time, when probing begins. That change is not logged here.

    Balancers skip ejected endpoints unless too many of a service are ejected. They
    apply that limit, because an agent does not know the other endpoints.
    """
    detector = agent.outlier_detector
    before = detector.standing(now)
    for _ in range(count):
        if succeeded:
            detector.record_success(now)
        else:
            detector.record_failure(agent.settings.ejection, now, may_eject=True)
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
    log.info("ejection state changed", extra=extra)
    agent.counts["standing_changes"] += 1
    agent.send_pongs(now)


def is_ejected(agent: "Agent", now: float) -> bool:
    """Whether the endpoint is ejected, so that new flows should go elsewhere."""
    return agent.outlier_detector.standing(now) is Standing.OUT


def probe_rejection_reason(agent: "Agent", now: float) -> int:
    """Return why an endpoint that is being probed rejects a new flow, 0 if it doesn't.

    One request at a time is enough to show whether the endpoint has recovered. More
    would be lost if it hasn't: as the endpoint is idle, every balancer would send it
    new flows.
    """
    if agent.outlier_detector.standing(now) is not Standing.PROBING:
        return 0
    probes = agent.flows.running + agent.flows.started_since(
        now - PROBE_FIRST_REQUEST_SECONDS
    )
    return messages.ENDPOINT_PROBED if probes else 0
