"""Hands packets of flows to the endpoint, or says that it doesn't hold them."""

from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough import hops
from cornelspan_passthrough.flows import NO_REQUEST, Doubt, OwnedFlow, is_repeat
from cornelspan_passthrough.heads import RST, Head, address_text, flow_text
from cornelspan_passthrough.health import DOWN
from cornelspan_passthrough.judging import judge_lost_requests
from cornelspan_passthrough.urgency import times
from cornelspan_passthrough.waiting import Held

if TYPE_CHECKING:
    from cornelspan_passthrough.agent import Agent

# Questions that wait for the endpoint's word; it answers within its own round trip.
ASKED_LIMIT = 4096
log = get_log(__name__)


def deliver(agent: "Agent", packet: bytes, kind: int, origin: str, now: float) -> None:
    """Hand a packet to the endpoint if it holds the flow, or may do so."""
    head = agent.codec.read_client(packet)
    if head is None:
        agent.counts["broken_packets"] += 1
        return
    owned = agent.flows.get(head.flow)
    if owned is not None:
        owned.origin = origin
        _forward(agent, head, owned, packet, now)
        return
    if not _may_hold_unknown(agent, now):
        say_not_here(agent, head.flow, origin, packet)
        return
    _note_question(agent, head.flow, Doubt(origin, kind == hops.TRY, now))
    agent.to_endpoint(packet, kind)


def _forward(
    agent: "Agent", head: Head, owned: OwnedFlow, packet: bytes, now: float
) -> None:
    """Hand a packet of a flow to the endpoint, or hold its request for room."""
    if _begins_request(owned, head):
        if agent.waiting.holds(head.flow):
            agent.waiting.add(head.flow, packet, head.sequence)
            return
        judge_lost_requests(agent, now)
        if agent.flows.running >= room(agent):
            is_first = owned.sent_up_to is None
            until = times(owned.urgency, now, is_first=is_first)
            held = Held(owned.urgency.priority, until, now)
            agent.waiting.hold(head.flow, held, packet, head.sequence)
            agent.counts["requests_held"] += 1
            log.info(
                "request held",
                extra={
                    "flow": flow_text(head.flow),
                    "priority": owned.urgency.priority,
                    "running": agent.flows.running,
                    "room": room(agent),
                    "waiting": len(agent.waiting),
                },
            )
            return
    elif head.flags & RST:
        agent.flows.end_request(head.flow, owned)
        agent.waiting.remove(head.flow)
    agent.flows.sent(head.flow, owned, head, now)
    agent.to_endpoint(packet, hops.DELIVER)


def _begins_request(owned: OwnedFlow, head: Head) -> bool:
    """Whether a packet is the first of a request."""
    if not head.length or owned.request_at != NO_REQUEST:
        return False
    return not is_repeat(owned, head.sequence, head.length)


def room(agent: "Agent") -> int:
    """How many requests may be at the endpoint at once."""
    return agent.endpoint.capacity + agent.queued_requests


def release(agent: "Agent", now: float) -> None:
    """Hand over requests that wait, as far as there is room."""
    judge_lost_requests(agent, now)
    if not agent.waiting:
        return
    while agent.flows.running < room(agent):
        for expired in agent.waiting.forget_expired(now):
            extra = {"flow": flow_text(expired), "reason": "time budget spent"}
            log.info("request dropped unrun", extra=extra)
        taken = agent.waiting.take(now, agent.flows.pace_seconds)
        if taken is None:
            return
        flow, held = taken
        owned = agent.flows.get(flow)
        if owned is None:
            continue
        waited = now - held.since
        agent.waiting_times.observe(waited)
        extra = {"flow": flow_text(flow), "waited_ms": round(waited * 1000)}
        log.info("request released", extra=extra)
        for packet in held.packets.values():
            head = agent.codec.read_client(packet)
            if head is not None:
                agent.flows.sent(head.flow, owned, head, now)
                agent.to_endpoint(packet, hops.DELIVER)


def find(agent: "Agent", packet: bytes, origin: str, now: float) -> None:
    """Pass a packet on to the owner that is recorded here, and name it."""
    head = agent.codec.read_client(packet)
    if head is None:
        agent.counts["broken_packets"] += 1
        return
    if agent.flows.get(head.flow) is not None:
        agent.tell_owner(head.flow, origin)
        deliver(agent, packet, hops.DELIVER, origin, now)
        return
    owner = agent.directory.get(head.flow, now)
    if owner is None or owner == agent.own_address:
        agent.send(origin, hops.encode_note(hops.UNKNOWN, head.flow))
        return
    agent.send(origin, hops.encode_note(hops.OWNED, head.flow, agent=owner))
    # The balancer sends what follows to the owner; this packet goes with the name,
    # as coming from it, so that the owner's word goes to the balancer too.
    agent.send(address_text(owner), hops.encode_passed(packet, origin))


def answer_ask(agent: "Agent", flow: int, now: float) -> bytes:
    """Return the answer to a balancer that seeks the owner of a flow."""
    if agent.flows.get(flow) is not None:
        return hops.encode_note(hops.OWNED, flow, agent=agent.own_address)
    if _may_hold_unknown(agent, now):
        return hops.encode_note(hops.MAYBE, flow)
    return hops.encode_note(hops.NOT_HERE, flow)


def _may_hold_unknown(agent: "Agent", now: float) -> bool:
    """Whether the endpoint may hold a flow that opened before this process did.

    An agent that is restarted beside a living endpoint has forgotten its flows. The
    endpoint itself tells: it sends back what it doesn't hold. One that was still
    cold at its first report began about when this process did, after a common loss
    of power; it has no flows of an earlier time, and saying so at once saves a
    packet to each endpoint for each dead flow.
    """
    if agent.endpoint.has_started_fresh:
        return False
    if agent.endpoint.state == DOWN or agent.endpoint.is_silent:
        return False
    return now - agent.started_at < agent.flows.flow_seconds


def _note_question(agent: "Agent", flow: int, doubt: Doubt) -> None:
    agent.asked.pop(flow, None)
    agent.asked[flow] = doubt
    if len(agent.asked) > ASKED_LIMIT:
        del agent.asked[next(iter(agent.asked))]


def say_not_here(agent: "Agent", flow: int, origin: str, packet: bytes = b"") -> None:
    """Tell a balancer that the endpoint does not hold a flow.

    The packet goes back with it, unless the balancer has kept it for its search: sent
    back by each of many agents that were tried, it filled the links of small VMs.
    """
    agent.counts["flows_not_here"] += 1
    agent.send(origin, hops.encode_note(hops.NOT_HERE, flow, packet=packet))
