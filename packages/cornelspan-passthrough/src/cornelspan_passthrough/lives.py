"""What an agent does with flows when a life of its endpoint ends."""

from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough.flows import OwnedFlow
from cornelspan_passthrough.heads import client_address, flow_text
from cornelspan_passthrough.health import DOWN, DRAINING, READY

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent

STATE_NAMES = {READY: "ready", DRAINING: "draining", DOWN: "down"}

log = get_log(__name__)


def end_flows(agent: "Agent", reason: str, *, before: float | None = None) -> None:
    """Reset the flows of an endpoint's life that has ended.

    Flows that may have opened at another endpoint are forgotten only: a first
    packet that this one never answered, or not in time, is offered elsewhere, and
    reset from here that flow would break. Clients of the others are told when their
    next packet finds no owner.

    Args:
        reason: For the log.
        before: Only flows that began before this time. A new life may take flows
            before its first report; reset with those of the old one, they would
            break while their endpoint lives. What began after the old life's last
            report may be of either. The endpoint itself tells: it sends back the
            next packet of a flow that it doesn't hold.
    """
    for flow, owned in agent.flows.all():
        if before is not None and owned.started_at >= before:
            continue
        if owned.opened and not owned.ended:
            end_dead_flow(agent, flow, owned, reason)
        else:
            agent.flows.remove(flow)
            agent.waiting.remove(flow)


def end_dead_flow(agent: "Agent", flow: int, owned: OwnedFlow, reason: str) -> None:
    """Reset a flow that its endpoint no longer holds.

    Its client would repeat packets until its time budget ends; told at once, it
    tries again while there is time.
    """
    agent.flows.remove(flow)
    agent.waiting.remove(flow)
    agent.counts["dead_flows"] += 1
    log.info("flow dead, reset", extra={"flow": flow_text(flow), "reason": reason})
    packet = agent.codec.reset(flow, owned.acknowledged)
    agent.local.send(packet, (client_address(flow), agent.client_port))


def log_endpoint(agent: "Agent", event: str) -> None:
    """Log what an agent knows of its endpoint now."""
    endpoint = agent.endpoint
    extra = {
        "life": str(endpoint.life),
        "state": STATE_NAMES[endpoint.state],
        "is_foreign": endpoint.is_foreign,
        "sequence": endpoint.sequence,
        "capacity": endpoint.capacity,
        "flows": len(agent.flows),
    }
    log.info(event, extra=extra)
