"""Resets dead flows, those that the agent's endpoint no longer holds."""

from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough.flows import TrackedFlow
from cornelspan_passthrough.health import DOWN, DRAINING, READY
from cornelspan_passthrough.packet_headers import client_address, flow_text

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent

STATE_NAMES = {READY: "ready", DRAINING: "draining", DOWN: "down"}

log = get_log(__name__)


def reset_flows(agent: "Agent", reason: str, *, before: float | None = None) -> None:
    """Reset the flows of an incarnation of the endpoint that has ended.

    Flows that have ended, or that may be open at another endpoint, are only removed. A
    first packet that this endpoint did not answer, or answered late, is offered to
    another one. A reset from here would break the flow that the other endpoint has
    accepted, because it has the same addresses and ports. If no endpoint holds such a
    flow, a balancer resets it when it finds no owner for the flow's next packet.

    Args:
        agent: The agent.
        reason: Reason for the log.
        before: Reset only flows that started before this time. A new incarnation may
            accept flows before its first report, and a reset would break them. Flows
            that started after the last report of the old incarnation may belong to
            either; for these, the endpoint sends back the next packet if it doesn't
            hold the flow.
    """
    for flow, tracked in agent.flows.all():
        if before is not None and tracked.started_at >= before:
            continue
        if tracked.established and not tracked.ended:
            reset_dead_flow(agent, flow, tracked, reason)
        else:
            agent.flows.remove(flow)
            agent.request_queue.remove(flow)


def reset_dead_flow(
    agent: "Agent", flow: int, tracked: TrackedFlow, reason: str
) -> None:
    """Reset a flow that its endpoint no longer holds.

    Without the reset, the client would retransmit until its time budget ends. With it,
    the client can retry while there is time.
    """
    agent.flows.remove(flow)
    agent.request_queue.remove(flow)
    agent.counts["dead_flows"] += 1
    log.info(
        "flow reset, no endpoint holds it",
        extra={"flow": flow_text(flow), "reason": reason},
    )
    packet = agent.codec.reset(flow, tracked.acknowledged)
    agent.packet_socket.send(packet, (client_address(flow), agent.client_port))


def log_endpoint(agent: "Agent", event: str) -> None:
    """Log the current state of the agent's endpoint."""
    endpoint = agent.endpoint
    extra = {
        "life": str(endpoint.incarnation),
        "state": STATE_NAMES[endpoint.state],
        "is_foreign": endpoint.has_wrong_service,
        "sequence": endpoint.sequence,
        "capacity": endpoint.capacity,
        "flows": len(agent.flows),
    }
    log.info(event, extra=extra)
