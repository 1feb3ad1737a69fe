"""Forwards packets to the endpoint, or reports that it does not hold their flow."""

from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough import messages
from cornelspan_passthrough.flows import (
    NO_REQUEST,
    TrackedFlow,
    UnconfirmedPacket,
    is_retransmission,
)
from cornelspan_passthrough.health import DOWN
from cornelspan_passthrough.outlier_detection import record_lost_requests
from cornelspan_passthrough.packet_headers import (
    RST,
    PacketHeader,
    address_text,
    flow_text,
)
from cornelspan_passthrough.request_queue import QueuedRequest
from cornelspan_passthrough.urgency import request_deadlines

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent

# Packets of unknown flows that await the endpoint's reaction. The endpoint reacts
# within a round trip.
MAX_UNCONFIRMED_PACKETS = 4096
log = get_log(__name__)


def forward_packet(
    agent: "Agent", packet: bytes, kind: int, balancer: str, now: float
) -> None:
    """Forward a packet to the endpoint if it holds the flow, or may hold it.

    Args:
        agent: The agent.
        packet: The client's packet.
        kind: ``DELIVER``, or ``TRY`` if the balancer is searching for the owner.
        balancer: Address of the balancer that sent the packet.
        now: Time of the event loop's clock.
    """
    header = agent.codec.read_client(packet)
    if header is None:
        agent.counts["broken_packets"] += 1
        return
    tracked = agent.flows.get(header.flow)
    if tracked is not None:
        tracked.balancer = balancer
        _forward_or_queue(agent, header, tracked, packet, now)
        return
    if not _may_hold_unknown_flow(agent, now):
        send_not_here(agent, header.flow, balancer, packet)
        return
    _record_unconfirmed(
        agent, header.flow, UnconfirmedPacket(balancer, kind == messages.TRY, now)
    )
    agent.send_to_endpoint(packet, kind)


def _forward_or_queue(
    agent: "Agent",
    header: PacketHeader,
    tracked: TrackedFlow,
    packet: bytes,
    now: float,
) -> None:
    """Forward a packet, or queue its request if the request limit is reached."""
    if _needs_slot(tracked, header):
        if agent.request_queue.contains(header.flow):
            agent.request_queue.add_packet(header.flow, packet, header.sequence)
            return
        record_lost_requests(agent, now)
        if agent.flows.running >= request_limit(agent):
            is_first = tracked.sent_up_to is None
            deadlines = request_deadlines(tracked.urgency, now, is_first=is_first)
            request = QueuedRequest(tracked.urgency.priority, deadlines, now)
            agent.request_queue.push(header.flow, request, packet, header.sequence)
            agent.counts["requests_held"] += 1
            log.info(
                "request queued",
                extra={
                    "flow": flow_text(header.flow),
                    "priority": tracked.urgency.priority,
                    "running": agent.flows.running,
                    "room": request_limit(agent),
                    "waiting": len(agent.request_queue),
                },
            )
            return
    elif header.flags & RST:
        agent.flows.end_request(header.flow, tracked)
        agent.request_queue.remove(header.flow)
    agent.flows.record_sent(header.flow, tracked, header, now)
    agent.send_to_endpoint(packet, messages.DELIVER)


def _needs_slot(tracked: TrackedFlow, header: PacketHeader) -> bool:
    """Whether a packet carries data of a request that is not at the endpoint yet."""
    if not header.length or tracked.request_started_at != NO_REQUEST:
        return False
    return not is_retransmission(tracked, header.sequence, header.length)


def request_limit(agent: "Agent") -> int:
    """Return how many requests may be at the endpoint at once."""
    return agent.endpoint.capacity + agent.requests_beyond_slots


def release_requests(agent: "Agent", now: float) -> None:
    """Forward queued requests while the endpoint is below its request limit.

    Requests that count as lost are dropped first, which frees their slots.
    """
    record_lost_requests(agent, now)
    if not agent.request_queue:
        return
    while agent.flows.running < request_limit(agent):
        for expired in agent.request_queue.drop_expired(now):
            extra = {"flow": flow_text(expired), "reason": "time budget spent"}
            log.info("queued request dropped", extra=extra)
        popped = agent.request_queue.pop(now, agent.flows.response_seconds)
        if popped is None:
            return
        flow, request = popped
        tracked = agent.flows.get(flow)
        if tracked is None:
            continue
        waited = now - request.queued_at
        agent.waiting_times.observe(waited)
        extra = {"flow": flow_text(flow), "waited_ms": round(waited * 1000)}
        log.info("request released", extra=extra)
        for packet in request.packets.values():
            header = agent.codec.read_client(packet)
            if header is not None:
                agent.flows.record_sent(header.flow, tracked, header, now)
                agent.send_to_endpoint(packet, messages.DELIVER)


def forward_to_owner(agent: "Agent", packet: bytes, balancer: str, now: float) -> None:
    """Forward a packet to its flow's recorded owner, and tell the sender the owner."""
    header = agent.codec.read_client(packet)
    if header is None:
        agent.counts["broken_packets"] += 1
        return
    if agent.flows.get(header.flow) is not None:
        agent.send_owner(header.flow, balancer)
        forward_packet(agent, packet, messages.DELIVER, balancer, now)
        return
    owner = agent.owner_records.get(header.flow, now)
    if owner is None or owner == agent.own_address:
        agent.send(
            balancer, messages.encode_flow_message(messages.UNKNOWN, header.flow)
        )
        return
    agent.send(
        balancer, messages.encode_flow_message(messages.OWNED, header.flow, agent=owner)
    )
    # The balancer sends later packets to the owner itself. This one is forwarded with
    # the balancer's address, so that the owner replies to the balancer.
    agent.send(address_text(owner), messages.encode_forwarded(packet, balancer))


def answer_ask(agent: "Agent", flow: int, now: float) -> bytes:
    """Return the reply to a balancer that searches for the owner of a flow."""
    if agent.flows.get(flow) is not None:
        return messages.encode_flow_message(
            messages.OWNED, flow, agent=agent.own_address
        )
    if _may_hold_unknown_flow(agent, now):
        return messages.encode_flow_message(messages.MAYBE, flow)
    return messages.encode_flow_message(messages.NOT_HERE, flow)


def _may_hold_unknown_flow(agent: "Agent", now: float) -> bool:
    """Whether the endpoint may hold a flow that opened before this process started.

    An agent that restarts beside a running endpoint has lost its flow table. Packets of
    unknown flows then go to the endpoint, which sends back those that it doesn't hold.
    An endpoint that was still cold at its first report started at about the same time
    as this process, after a power loss that hit both. It holds no earlier flows, and
    knowing that saves one packet to each endpoint for each dead flow.
    """
    if agent.endpoint.has_no_earlier_flows:
        return False
    if agent.endpoint.state == DOWN or agent.endpoint.is_silent:
        return False
    return now - agent.started_at < agent.flows.flow_seconds


def _record_unconfirmed(
    agent: "Agent", flow: int, unconfirmed: UnconfirmedPacket
) -> None:
    """Record a packet of an unknown flow that goes to the endpoint."""
    agent.unconfirmed_packets.pop(flow, None)
    agent.unconfirmed_packets[flow] = unconfirmed
    if len(agent.unconfirmed_packets) > MAX_UNCONFIRMED_PACKETS:
        del agent.unconfirmed_packets[next(iter(agent.unconfirmed_packets))]


def send_not_here(
    agent: "Agent", flow: int, balancer: str, packet: bytes = b""
) -> None:
    """Tell a balancer that the endpoint does not hold a flow.

    The packet is returned, unless the balancer has kept it for its search. Returned by
    each of the many agents that a search asks, it would fill the links of small VMs.
    """
    agent.counts["flows_not_here"] += 1
    agent.send(
        balancer, messages.encode_flow_message(messages.NOT_HERE, flow, packet=packet)
    )
