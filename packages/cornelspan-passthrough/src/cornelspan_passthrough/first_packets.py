"""Places the first packets of flows: chooses an agent, holds or rejects them."""

from ipaddress import IPv4Address
from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough import messages
from cornelspan_passthrough.configuration import Route, services_in_order
from cornelspan_passthrough.health import AgentHealth
from cornelspan_passthrough.members import service_tag
from cornelspan_passthrough.openings import (
    CLIENT_TIMEOUT_SECONDS,
    HOLD_TIMEOUT_SECONDS,
    Opening,
)
from cornelspan_passthrough.packet_headers import PacketHeader, flow_text
from cornelspan_passthrough.placing import REJECTION_COOLDOWN_SECONDS, Candidate
from cornelspan_passthrough.urgency import MILLISECONDS, Urgency

if TYPE_CHECKING:
    from cornelspan_passthrough.balancer import Balancer

# After this many endpoints have rejected a first packet the flow is reset, so that the
# client retries with a new flow. A further endpoint would be asked only after the
# client's own retransmission.
MAX_PLACEMENT_ATTEMPTS = 4
# Sequence number in the reset of a flow that was never opened.
UNOPENED_SEQUENCE = 0
# How late this balancer may learn of a member: the pause between two watches of the
# member list, a round trip to a slow store, and the first pong.
MEMBER_UPDATE_SECONDS = 0.6
# Agents that lost power together start within some 300 ms of each other; most are up
# this long after the first one.
STARTUP_SETTLE_SECONDS = 0.2

log = get_log(__name__)


def handle_first_packet(
    balancer: "Balancer", header: PacketHeader, data: bytes, now: float
) -> None:
    """Place, hold or reject a client's first packet or a retransmission of it."""
    if balancer.routes.configuration is None:
        _hold_without_configuration(balancer, header, data, now)
        return
    route = balancer.routes.route(header.flow)
    if route is None:
        _reject(balancer, header.flow, "no route")
        return
    opening = balancer.openings.get(header.flow, header.sequence, now)
    if opening is None:
        opening = _start_opening(balancer, header, now)
    elif opening.held_packet:
        return
    elif opening.confirmed:
        _send_to_agent(balancer, opening, route, header.flow, data, now)
        return
    # A retransmission of a first packet that no endpoint has answered: the endpoint it
    # was sent to may be gone. Another endpoint can open the flow at once, and only the
    # endpoint whose answer the client accepts holds the flow.
    _place(balancer, opening, route, header.flow, data, now)


def _start_opening(balancer: "Balancer", header: PacketHeader, now: float) -> Opening:
    """Create the opening; it began when the client sent the first packet first."""
    first_sent_at = now - balancer.codec.waited_seconds(header)
    return balancer.openings.start(header.flow, header.sequence, now, first_sent_at)


def _hold_without_configuration(
    balancer: "Balancer", header: PacketHeader, data: bytes, now: float
) -> None:
    """Hold a first packet until there is a configuration to place it by."""
    balancer.counts["opens_without_configuration"] += 1
    opening = balancer.openings.get(header.flow, header.sequence, now)
    if opening is None:
        opening = _start_opening(balancer, header, now)
    opening.held_packet = data


def _place(
    balancer: "Balancer",
    opening: Opening,
    route: Route,
    flow: int,
    data: bytes,
    now: float,
) -> None:
    """Send a first packet to the best endpoint, or hold or reject it.

    It is held while ``_may_place_now`` is false, and rejected if no endpoint is left
    to try.
    """
    if not _may_place_now(balancer, route, now):
        opening.held_packet = data
        return
    opening.held_packet = b""
    service, agent = _choose_agent(balancer, route, flow, opening.excluded_agents, now)
    opening.is_final = not agent or opening.rejections >= MAX_PLACEMENT_ATTEMPTS - 1
    if not agent:
        # An agent that was only busy, or that got this packet before and has not
        # answered it, is better than none.
        service, agent = _choose_agent(balancer, route, flow, opening.rejected_by, now)
    if not agent:
        rejections = len(opening.rejected_by)
        reason = (
            "no endpoint left after rejections"
            if rejections
            else "no endpoint available"
        )
        _reject(balancer, flow, reason, route=route.name, refusals=rejections)
        return
    opening.owner = agent
    opening.service = service
    balancer.owners.learn(flow, agent)
    health = balancer.health.of(agent)
    log.info(
        "flow placed",
        extra={
            "flow": flow_text(flow),
            "service": service,
            "agent": agent,
            "refusals": len(opening.rejected_by),
            "version": balancer.routes.version,
            "running": health.pong.running if health.pong else None,
            "placed": health.placed_flows,
            "age_ms": round((now - health.last_pong_at) * 1000) if health.pong else -1,
        },
    )
    health.placed_flows += 1
    balancer.counts["flows_placed"] += 1
    _send_to_agent(balancer, opening, route, flow, data, now)


def _may_place_now(balancer: "Balancer", route: Route, now: float) -> bool:
    """Whether a first packet of the route may be placed now, rather than held.

    It is held until an agent of the route has answered. Sent to a VM whose agent is
    still starting it would be lost, and the client retransmits after 200 ms at the
    earliest.

    Right after the first pong of all, other agents are still starting. Many held first
    packets, sent at once, would all go to the first agent. So until the startup has
    settled only as many are sent as the agents that answered have free slots. Holding
    all of them left those slots idle (``cornelspan experiment``, power loss, eight
    seeds: goal 0.846, 0.842 with all held).

    If the route has no agents and the members have not changed recently, the packet is
    not held, so that the flow is rejected at once.
    """
    addresses = [
        address
        for share in route.shares
        for address in balancer.by_service.get(share.service, [])
    ]
    if not addresses:
        return bool(balancer.members.revision) and not _have_members_changed(
            balancer, now
        )
    health_of_route = [balancer.health.of(address) for address in addresses]
    answered = [health for health in health_of_route if health.pong is not None]
    has_settled = (
        balancer.first_pong_at is None
        or now - balancer.first_pong_at > STARTUP_SETTLE_SECONDS
        or len(answered) == len(health_of_route)
    )
    return any(has_settled or _has_free_slot(health) for health in answered)


def _has_free_slot(health: AgentHealth) -> bool:
    """Whether an endpoint has a free slot for a flow that is placed now."""
    pong = health.pong
    return pong is not None and pong.running + health.placed_flows < pong.capacity


def _has_client_timed_out(opening: Opening, now: float) -> bool:
    """Whether a first packet is too old for its client to wait for an answer here.

    The client has given the flow up or opened it over another balancer, which may have
    received a retransmission while this one held the first packet, above all if this VM
    was suspended or is not in the routers' rotation. A reset would then break an open
    flow.
    """
    return now - opening.first_sent_at > CLIENT_TIMEOUT_SECONDS


def _have_members_changed(balancer: "Balancer", now: float) -> bool:
    """Whether members were added or removed within ``MEMBER_UPDATE_SECONDS``.

    More entries may then exist in the store that are not known here yet, among them the
    first agent of a service that seems to have none.
    """
    changed_at = balancer.members_changed_at
    return changed_at is not None and now - changed_at < MEMBER_UPDATE_SECONDS


def place_held_packets(balancer: "Balancer", now: float) -> None:
    """Place first packets that are held for an agent or a route, or reject them."""
    for flow, opening in balancer.openings.with_held_packet():
        waited = now - opening.received_at
        if balancer.routes.configuration is None and waited <= HOLD_TIMEOUT_SECONDS:
            continue
        route = balancer.routes.route(flow)
        if route is None or waited > HOLD_TIMEOUT_SECONDS:
            opening.held_packet = b""
            if balancer.routes.configuration is None or _has_client_timed_out(
                opening, now
            ):
                continue
            reason = "no agent answers" if route else "no route"
            _reject(balancer, flow, reason, waited_ms=round(waited * 1000))
            continue
        _place(balancer, opening, route, flow, opening.held_packet, now)


def _choose_agent(
    balancer: "Balancer", route: Route, flow: int, excluded: set[str], now: float
) -> tuple[str, str]:
    """Return service and agent for a flow, "" for none.

    Silent agents are tried last instead of never. If all are silent, it may be this
    balancer that receives nothing.
    """
    for is_eligible in (balancer.health.may_answer, lambda address: True):
        for service in services_in_order(route, flow):
            addresses = balancer.by_service.get(service, [])
            candidates = [
                Candidate(address, balancer.health.of(address))
                for address in addresses
                if address not in excluded and is_eligible(address)
            ]
            agent = balancer.choose_endpoint(candidates, balancer.rng, now)
            if agent:
                return service, agent
    return "", ""


def _send_to_agent(
    balancer: "Balancer",
    opening: Opening,
    route: Route,
    flow: int,
    data: bytes,
    now: float,
) -> None:
    """Send a first packet to the chosen agent, ``opening.owner``."""
    tag = service_tag(opening.service)
    homes = [int(IPv4Address(home)) for home in balancer.homes.of(flow)]
    first, second = (*homes, messages.NO_ADDRESS, messages.NO_ADDRESS)[:2]
    waited = round((now - opening.first_sent_at) * MILLISECONDS)
    urgency = Urgency(
        route.priority,
        route.target_milliseconds,
        route.timeout_milliseconds,
        waited,
    )
    message = messages.OpenMessage(
        urgency, tag, (first, second), opening.is_final, data
    )
    balancer.send(opening.owner, messages.encode_open(message))


def _reject(balancer: "Balancer", flow: int, reason: str, **fields: str | int) -> None:
    """Reset a flow that was never opened, and log the reason."""
    extra = {"flow": flow_text(flow), "reason": reason, **fields}
    log.info("flow rejected", extra={**extra, "version": balancer.routes.version})
    balancer.counts["flows_refused"] += 1
    balancer.reset(flow, UNOPENED_SEQUENCE)


def retry_placement(
    balancer: "Balancer", message: messages.FlowMessage, sender: str, now: float
) -> None:
    """Handle an agent's rejection of a first packet: place it on another agent.

    After ``MAX_PLACEMENT_ATTEMPTS`` rejections the flow is reset. A late rejection,
    from an agent to which the flow is no longer assigned, is only logged and counted.
    """
    header = balancer.codec.read_client(message.packet)
    if header is None:
        return
    log.info(
        "first packet rejected by agent",
        extra={
            "flow": flow_text(message.flow),
            "agent": sender,
            "reason": messages.REJECTION_REASONS.get(message.detail, "unknown"),
        },
    )
    balancer.counts["flows_turned_away"] += 1
    opening = balancer.openings.get(message.flow, header.sequence, now)
    route = balancer.routes.route(message.flow)
    if opening is None or route is None or opening.owner != sender:
        return
    if message.detail in (messages.ENDPOINT_BUSY, messages.ENDPOINT_PROBED):
        opening.busy_agents.add(sender)
    else:
        opening.rejected_by.add(sender)
    balancer.health.of(sender).cooldown_until = now + REJECTION_COOLDOWN_SECONDS
    if opening.rejections >= MAX_PLACEMENT_ATTEMPTS:
        _reject(
            balancer, message.flow, "too many rejections", refusals=opening.rejections
        )
        return
    _place(balancer, opening, route, message.flow, message.packet, now)
