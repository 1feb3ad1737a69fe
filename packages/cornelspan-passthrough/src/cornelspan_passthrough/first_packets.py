"""Places first packets: which agent gets them, and when they wait or are refused."""

from ipaddress import IPv4Address
from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough import hops
from cornelspan_passthrough.configuration import Route, services_in_order
from cornelspan_passthrough.heads import Head, flow_text
from cornelspan_passthrough.health import AgentHealth
from cornelspan_passthrough.members import service_tag
from cornelspan_passthrough.openings import CLIENT_SECONDS, HELD_SECONDS, Opening
from cornelspan_passthrough.placing import REFUSED_SECONDS, Candidate
from cornelspan_passthrough.urgency import MILLISECONDS, Urgency

if TYPE_CHECKING:
    from cornelspan_passthrough.balancer import Balancer

# A first packet that this many endpoints have turned away is answered by a reset: the
# client then tries again with a new flow, while a further endpoint would be asked after
# the client's own repeat.
OPEN_TRIES = 4
NEVER_OPEN = 0
# How late the news of a member may be: the pause between two watches of the listing,
# a round trip to a slow store, and the first answer to a ping.
COMING_MEMBERS_SECONDS = 0.6
# Agents that lost power together come up within some 300 ms; most are there this long
# after the first.
GATHER_SECONDS = 0.2

log = get_log(__name__)


def open_flow(balancer: "Balancer", head: Head, data: bytes, now: float) -> None:
    """Take a first packet of a client, or a repeat of one."""
    if balancer.routes.configuration is None:
        _hold_unrouted(balancer, head, data, now)
        return
    route = balancer.routes.route(head.flow)
    if route is None:
        _refuse(balancer, head.flow, "no route")
        return
    opening = balancer.openings.get(head.flow, head.sequence, now)
    if opening is None:
        opening = _start(balancer, head, now)
    elif opening.held:
        return
    elif opening.confirmed:
        _offer(balancer, opening, route, head.flow, data, now)
        return
    # A repeat of a first packet that nobody has answered yet: the endpoint it went
    # to may be gone. At another one it opens at once, and only the endpoint whose
    # answer the client takes up has the flow.
    _place(balancer, opening, route, head.flow, data, now)


def _start(balancer: "Balancer", head: Head, now: float) -> Opening:
    began_at = now - balancer.codec.waited_seconds(head)
    return balancer.openings.start(head.flow, head.sequence, now, began_at)


def _hold_unrouted(balancer: "Balancer", head: Head, data: bytes, now: float) -> None:
    """Keep a first packet until there is a configuration to place it by."""
    balancer.counts["opens_without_configuration"] += 1
    opening = balancer.openings.get(head.flow, head.sequence, now)
    if opening is None:
        opening = _start(balancer, head, now)
    opening.held = data


def _place(
    balancer: "Balancer",
    opening: Opening,
    route: Route,
    flow: int,
    data: bytes,
    now: float,
) -> None:
    """Offer a first packet to the endpoint that would serve it soonest.

    While no agent of the route has answered this balancer yet, it waits: sent to a
    VM whose agent is about to come up it would be lost, and the client's repeat
    comes 200 ms later at the earliest.
    """
    if not _knows_agents(balancer, route, now):
        opening.held = data
        return
    opening.held = b""
    service, owner = _choose(balancer, route, flow, opening.passed_over, now)
    opening.is_final = not owner or opening.tries >= OPEN_TRIES - 1
    if not owner:
        # Whoever is merely busy, or has not answered, is better than nobody.
        service, owner = _choose(balancer, route, flow, opening.refused, now)
    if not owner:
        refusals = len(opening.refused)
        reason = "all endpoints turned it away" if refusals else "no endpoint"
        _refuse(balancer, flow, reason, route=route.name, refusals=refusals)
        return
    opening.owner = owner
    opening.service = service
    balancer.owners.learn(flow, owner)
    health = balancer.health.of(owner)
    log.info(
        "flow placed",
        extra={
            "flow": flow_text(flow),
            "service": service,
            "agent": owner,
            "refusals": len(opening.refused),
            "version": balancer.routes.version,
            "running": health.pong.running if health.pong else None,
            "placed": health.placed_flows,
            "age_ms": round((now - health.last_pong_at) * 1000) if health.pong else -1,
        },
    )
    health.placed_flows += 1
    balancer.counts["flows_placed"] += 1
    _offer(balancer, opening, route, flow, data, now)


def _knows_agents(balancer: "Balancer", route: Route, now: float) -> bool:
    """Whether enough agents of the route have answered, or there are none.

    Right after the first answer this balancer ever got, others are about to come
    up. A crowd's first packets, sent out at once, would all fall on the first. So no
    more are sent than those that have answered have slots for: all held until most are
    there, slots stood empty meanwhile (``cornelspan experiment``, loss of power, eight
    seeds: goal 0.846, 0.842 with all held).
    """
    addresses = [
        address
        for share in route.shares
        for address in balancer.by_service.get(share.service, [])
    ]
    if not addresses:
        return bool(balancer.members.revision) and not _members_come(balancer, now)
    health_of_route = [balancer.health.of(address) for address in addresses]
    answered = [health for health in health_of_route if health.pong is not None]
    has_gathered = (
        balancer.first_pong_at is None
        or now - balancer.first_pong_at > GATHER_SECONDS
        or len(answered) == len(health_of_route)
    )
    return any(has_gathered or _has_room(health) for health in answered)


def _has_room(health: AgentHealth) -> bool:
    """Whether an endpoint has a slot for a flow that is placed now."""
    pong = health.pong
    return pong is not None and pong.running + health.placed_flows < pong.capacity


def _is_over(opening: Opening, now: float) -> bool:
    """Whether a client has opened its flow over another balancer, or given it up.

    A copy of its first packet may have gone another way while this balancer held the
    first one, above all if it stood still meanwhile or is not in the rotation. Told
    that nobody takes the flow, the client would lose one that is open.
    """
    return now - opening.began_at > CLIENT_SECONDS


def _members_come(balancer: "Balancer", now: float) -> bool:
    """Whether members have come or gone just now.

    Then more may follow that are listed already and not told yet, and a service
    without agents may have its first one among them.
    """
    changed_at = balancer.members_changed_at
    return changed_at is not None and now - changed_at < COMING_MEMBERS_SECONDS


def place_held(balancer: "Balancer", now: float) -> None:
    """Place first packets that wait for an agent or a route, or give them up."""
    for flow, opening in balancer.openings.held():
        waited = now - opening.started_at
        if balancer.routes.configuration is None and waited <= HELD_SECONDS:
            continue
        route = balancer.routes.route(flow)
        if route is None or waited > HELD_SECONDS:
            opening.held = b""
            if balancer.routes.configuration is None or _is_over(opening, now):
                continue
            reason = "no agent answers" if route else "no route"
            _refuse(balancer, flow, reason, waited_ms=round(waited * 1000))
            continue
        _place(balancer, opening, route, flow, opening.held, now)


def _choose(
    balancer: "Balancer", route: Route, flow: int, tried: set[str], now: float
) -> tuple[str, str]:
    """Return service and agent for a flow, "" for none.

    Agents that don't answer come last, not never: with all of them silent it may be
    this balancer that heard nothing.
    """
    for is_wanted in (balancer.health.is_answering, lambda address: True):
        for service in services_in_order(route, flow):
            addresses = balancer.by_service.get(service, [])
            candidates = [
                Candidate(address, balancer.health.of(address))
                for address in addresses
                if address not in tried and is_wanted(address)
            ]
            owner = balancer.choose(candidates, balancer.chance, now)
            if owner:
                return service, owner
    return "", ""


def _offer(
    balancer: "Balancer",
    opening: Opening,
    route: Route,
    flow: int,
    data: bytes,
    now: float,
) -> None:
    """Send a first packet to the agent that was chosen for it."""
    tag = service_tag(opening.service)
    homes = [int(IPv4Address(home)) for home in balancer.homes.of(flow)]
    first, second = (*homes, hops.NOBODY, hops.NOBODY)[:2]
    waited = round((now - opening.began_at) * MILLISECONDS)
    urgency = Urgency(
        route.priority,
        route.target_milliseconds,
        route.timeout_milliseconds,
        waited,
    )
    hop = hops.Open(urgency, tag, (first, second), opening.is_final, data)
    balancer.send(opening.owner, hops.encode_open(hop))


def _refuse(balancer: "Balancer", flow: int, reason: str, **inputs: str | int) -> None:
    """Reset a flow that surely is not open."""
    extra = {"flow": flow_text(flow), "reason": reason, **inputs}
    log.info("flow refused", extra={**extra, "version": balancer.routes.version})
    balancer.counts["flows_refused"] += 1
    balancer.reset(flow, NEVER_OPEN)


def place_anew(
    balancer: "Balancer", note: hops.FlowNote, sender: str, now: float
) -> None:
    """Place a first packet anew that an endpoint has turned away."""
    head = balancer.codec.read_client(note.packet)
    if head is None:
        return
    log.info(
        "flow turned away",
        extra={
            "flow": flow_text(note.flow),
            "agent": sender,
            "reason": hops.REASONS.get(note.detail, "unknown"),
        },
    )
    balancer.counts["flows_turned_away"] += 1
    opening = balancer.openings.get(note.flow, head.sequence, now)
    route = balancer.routes.route(note.flow)
    if opening is None or route is None or opening.owner != sender:
        return
    if note.detail in (hops.ENDPOINT_BUSY, hops.ENDPOINT_PROBED):
        opening.busy.add(sender)
    else:
        opening.refused.add(sender)
    balancer.health.of(sender).refused_until = now + REFUSED_SECONDS
    if opening.tries >= OPEN_TRIES:
        _refuse(balancer, note.flow, "turned away", refusals=opening.tries)
        return
    _place(balancer, opening, route, note.flow, note.packet, now)
