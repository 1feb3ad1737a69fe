"""Seeks the owners of flows that a balancer doesn't know; state: ``searches``."""

from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough import hops
from cornelspan_passthrough.heads import RST, SYN, Head, flow_text
from cornelspan_passthrough.searches import HEAD_BYTES, Search

if TYPE_CHECKING:
    from cornelspan_passthrough.balancer import Balancer

log = get_log(__name__)


def find_owner(balancer: "Balancer", head: Head, data: bytes, now: float) -> None:
    """Begin a search for a packet's flow, or keep the packet for the one under way."""
    search = balancer.searches.get(head.flow)
    if search is not None:
        search.keep(data)
        missing = search.asked - search.without - search.untried.keys()
        if missing and _may_ask(balancer, 1, len(missing), now):
            _ask(balancer, (head.flow,), missing, now)
        return
    if head.flags & RST:
        balancer.counts["strays"] += 1
        return
    homes = list(balancer.homes.of(head.flow))
    search = Search(data, head.acknowledged, now, homes)
    balancer.searches.start(head.flow, search)
    balancer.counts["searches"] += 1
    ask_next(balancer, head.flow, search, now)


def ask_next(balancer: "Balancer", flow: int, search: Search, now: float) -> None:
    """Ask the flow's next home that answers, or all agents after the last."""
    search.asked_at = now
    while search.homes:
        home = search.homes.pop(0)
        if balancer.pulses.is_answering(home):
            balancer.send(home, hops.encode_packet(hops.FIND, search.packet))
            return
    search.is_queued = True
    if 2 * balancer.questions.available(now) > balancer.questions.burst:
        ask_queued(balancer, now)


def ask_queued(balancer: "Balancer", now: float) -> None:
    """Ask all agents for the flows that are queued, many at once, within the rate.

    After a common loss of power or of all processes each client's flow is sought.
    Asked for one by one, 300 agents could be asked for ten flows a second, and clients
    waited 3.5 s; in one datagram a further flow costs 12 bytes instead of 60.
    """
    agents = [member.address for member in balancer.members.agents()]
    if not agents:
        return
    queued = balancer.searches.queued()
    while queued:
        room = _affordable_flows(balancer, len(queued), len(agents), now)
        flows, queued = tuple(queued[:room]), queued[room:]
        if not flows or not _may_ask(balancer, len(flows), len(agents), now):
            return
        for flow in flows:
            search = balancer.searches.by_flow[flow]
            search.is_queued = False
            search.asked = frozenset(agents)
            extra = {"flow": flow_text(flow), "agents": len(agents)}
            log.info("owner asked of all", extra=extra)
        _ask(balancer, flows, agents, now)


def _affordable_flows(
    balancer: "Balancer", queued: int, agents: int, now: float
) -> int:
    """Return how many flows the rate lets all agents be asked for at once.

    Unless that is all of them, a quarter of the burst is waited for: asked for as they
    become affordable, each flow would cost a datagram again. A fleet so large that even
    one flow costs more than the burst is asked for one at a time, whenever the burst is
    whole.
    """
    available = balancer.questions.available(now)
    flows = int((available / agents - HEAD_BYTES) // hops.FLOW_BYTES)
    burst = balancer.questions.burst
    if flows < 1:
        return int(available >= burst)
    if flows < min(queued, hops.ASKED_FLOWS) and available < burst / 4:
        return 0
    return min(flows, hops.ASKED_FLOWS)


def _may_ask(balancer: "Balancer", flows: int, agents: int, now: float) -> bool:
    """Take what a question costs from the rate; return whether there was enough."""
    size = HEAD_BYTES + flows * hops.FLOW_BYTES
    return balancer.questions.take(size * agents, now)


def _ask(
    balancer: "Balancer", flows: tuple[int, ...], agents: Iterable[str], now: float
) -> None:
    question = hops.encode_question(balancer.searches.question(flows, now))
    for address in agents:
        balancer.send(address, question)


def ask_newcomer(balancer: "Balancer", address: str, now: float) -> None:
    """Ask an agent that has just come up what it was asked in vain before."""
    flows = [
        flow
        for flow, search in balancer.searches.by_flow.items()
        if address in search.asked and address not in search.without
    ]
    for start in range(0, len(flows), hops.ASKED_FLOWS):
        batch = tuple(flows[start : start + hops.ASKED_FLOWS])
        _ask(balancer, batch, [address], now)


def take_answer(
    balancer: "Balancer", answer: hops.FlowAnswer, agent: str, now: float
) -> None:
    """Take in which flows of a question an agent holds."""
    asked = balancer.searches.questions.get(answer.number)
    if asked is None:
        return
    owned, maybe = set(answer.owned), set(answer.maybe)
    for flow in asked.flows:
        search = balancer.searches.get(flow)
        if search is None:
            continue
        if flow in owned:
            owner_found(balancer, flow, agent, now)
        elif flow in maybe:
            search.untried[agent] = None
        else:
            owner_denied(balancer, flow, agent, b"", now)
    try_agents(balancer, now)


def try_agents(balancer: "Balancer", now: float) -> None:
    """Send sought flows' packets to agents that may hold them, within the rate.

    The oldest search goes first. Once the owner is found the rest isn't tried.
    """
    for search in balancer.searches.by_flow.values():
        packet = hops.encode_packet(hops.TRY, search.packet)
        while search.untried:
            if not balancer.tries.take(1, now):
                return
            agent, _ = search.untried.popitem()
            balancer.send(agent, packet)


def owner_found(balancer: "Balancer", flow: int, owner: str, now: float) -> None:
    """Send what has waited to the owner; a home has passed the first packet on."""
    balancer.owners.learn(flow, owner)
    search = balancer.searches.end(flow)
    if search is None:
        return
    balancer.search_times.observe(now - search.started_at)
    if search.asked:
        _correct_homes(balancer, flow, owner)
        balancer.send(owner, hops.encode_packet(hops.DELIVER, search.packet))
    for packet in search.waiting:
        balancer.send(owner, hops.encode_packet(hops.DELIVER, packet))


def _correct_homes(balancer: "Balancer", flow: int, owner: str) -> None:
    """Have the homes record the owner that they did not know."""
    agent = int(IPv4Address(owner))
    for home in balancer.homes.of(flow):
        balancer.send(home, hops.encode_note(hops.RECORD, flow, agent=agent))


def owner_denied(
    balancer: "Balancer", flow: int, agent: str, packet: bytes, now: float
) -> None:
    """Take in that an agent's endpoint doesn't hold a flow."""
    search = balancer.searches.get(flow)
    if search is None:
        _lost_owner(balancer, flow, agent, packet, now)
        return
    search.without.add(agent)
    if not search.asked and not search.is_queued:
        # A home named this agent. Asked again, homes would name it again: a first
        # packet that two endpoints answered leaves the record of whichever spoke
        # last, and the client takes up either.
        search.homes.clear()
        ask_next(balancer, flow, search, now)
    end_if_dead(balancer, flow, search, now)


def _lost_owner(
    balancer: "Balancer", flow: int, agent: str, packet: bytes, now: float
) -> None:
    """Search anew for the owner of a flow that is not where it was thought."""
    if balancer.owners.owner(flow) != agent:
        return
    balancer.owners.learn(flow, "")
    head = balancer.codec.read_client(packet)
    if head is None or head.flags & SYN:
        return
    log.info("owner lost", extra={"flow": flow_text(flow), "agent": agent})
    search = Search(packet, head.acknowledged, now, [], without={agent})
    balancer.searches.start(flow, search)
    ask_next(balancer, flow, search, now)


def end_if_dead(balancer: "Balancer", flow: int, search: Search, now: float) -> None:
    """Reset a flow that no endpoint holds.

    Its client would repeat packets until its time budget ends. Each agent has said
    so itself, or has been silent for so long that its VM serves nobody, so no flow
    that could be served is met. A balancer that has started without the store may know
    a single agent, whose no says nothing of the others.
    """
    if not balancer.members.is_whole:
        return
    if not search.is_exhausted(lambda address: balancer.pulses.is_lost(address, now)):
        return
    if not balancer.agents <= search.asked:
        # An agent has come to be known since; it has not been asked.
        search.is_queued = True
        return
    balancer.searches.end(flow)
    extra = {
        "flow": flow_text(flow),
        "agents": len(search.asked),
        "silent": len(search.asked - search.without),
    }
    log.info("flow dead, reset", extra=extra)
    balancer.counts["dead_flows"] += 1
    balancer.reset(flow, search.acknowledged)
