"""Searches the owners of flows that a balancer doesn't know; see ``searches``.

A flow's homes are the agents that record its owner, chosen by rendezvous hashing.
"""

from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

from cornelspan_common.logs import get_log
from cornelspan_passthrough import messages
from cornelspan_passthrough.packet_headers import RST, SYN, PacketHeader, flow_text
from cornelspan_passthrough.searches import Search

if TYPE_CHECKING:
    from cornelspan_passthrough.balancer import Balancer

log = get_log(__name__)


def find_owner(
    balancer: "Balancer", header: PacketHeader, data: bytes, now: float
) -> None:
    """Start a search for the owner of a packet's flow.

    If one is running, the packet is held for it, and agents that have not answered its
    query are queried again within the rate limit. A client's reset starts no search.
    """
    search = balancer.searches.get(header.flow)
    if search is not None:
        search.hold(data)
        unanswered = search.queried - search.denied_by
        if unanswered and balancer.query_budget.take(len(unanswered), now):
            _send_queries(balancer, header.flow, unanswered)
        return
    if header.flags & RST:
        balancer.counts["strays"] += 1
        return
    homes = list(balancer.homes.of(header.flow))
    search = Search(data, header.acknowledged, now, homes)
    balancer.searches.start(header.flow, search)
    balancer.counts["searches"] += 1
    query_next_home(balancer, header.flow, search, now)


def query_next_home(
    balancer: "Balancer", flow: int, search: Search, now: float
) -> None:
    """Send the packet to the flow's next home that answers pings.

    After the last home all agents are queried.
    """
    search.queried_at = now
    while search.remaining_homes:
        home = search.remaining_homes.pop(0)
        if balancer.health.may_answer(home):
            balancer.send(home, messages.encode_packet(messages.FIND, search.packet))
            return
    search.is_queued = True
    query_all_agents(balancer, flow, search, now)


def query_all_agents(
    balancer: "Balancer", flow: int, search: Search, now: float
) -> None:
    """Query all agents whether they hold the flow, if the rate limit allows it now.

    Otherwise the search stays queued, and the next tick tries again.
    """
    agents = [member.address for member in balancer.members.agents()]
    if not agents or not balancer.query_budget.take(len(agents), now):
        return
    search.is_queued = False
    search.queried = frozenset(agents)
    log.info(
        "querying all agents for owner",
        extra={"flow": flow_text(flow), "agents": len(agents)},
    )
    _send_queries(balancer, flow, search.queried)


def _send_queries(balancer: "Balancer", flow: int, agents: Iterable[str]) -> None:
    """Ask agents whether their endpoint holds a flow."""
    for address in agents:
        balancer.send(address, messages.encode_flow_message(messages.ASK, flow))


def query_returned_agent(balancer: "Balancer", address: str) -> None:
    """Query an agent that answers again about the flows it was queried for in vain."""
    for flow, search in balancer.searches.by_flow.items():
        if address in search.queried and address not in search.denied_by:
            _send_queries(balancer, flow, [address])


def handle_owner_found(balancer: "Balancer", flow: int, owner: str, now: float) -> None:
    """Record a flow's owner and send it the packets that were held.

    The packet that started the search was passed on by the home that knew the owner. If
    no home did, it is sent from here, and the homes record the owner.
    """
    balancer.owners.learn(flow, owner)
    search = balancer.searches.end(flow)
    if search is None:
        return
    balancer.search_times.observe(now - search.started_at)
    if search.queried:
        _update_homes(balancer, flow, owner)
        balancer.send(owner, messages.encode_packet(messages.DELIVER, search.packet))
    for packet in search.held_packets:
        balancer.send(owner, messages.encode_packet(messages.DELIVER, packet))


def _update_homes(balancer: "Balancer", flow: int, owner: str) -> None:
    """Have the homes record an owner that they did not know."""
    agent = int(IPv4Address(owner))
    for home in balancer.homes.of(flow):
        balancer.send(
            home, messages.encode_flow_message(messages.RECORD, flow, agent=agent)
        )


def handle_owner_denied(
    balancer: "Balancer", flow: int, agent: str, packet: bytes, now: float
) -> None:
    """Record that an agent's endpoint doesn't hold a flow, and continue its search."""
    search = balancer.searches.get(flow)
    if search is None:
        _restart_search(balancer, flow, agent, packet, now)
        return
    search.denied_by.add(agent)
    if not search.queried and not search.is_queued:
        # A home named this agent. The other homes would name it again: if two endpoints
        # answered a first packet, the homes record whichever answered last, and the
        # client may have accepted the other one.
        search.remaining_homes.clear()
        query_next_home(balancer, flow, search, now)
    reset_if_dead(balancer, flow, search, now)


def _restart_search(
    balancer: "Balancer", flow: int, agent: str, packet: bytes, now: float
) -> None:
    """Search again after the recorded owner of a flow has denied it."""
    if balancer.owners.owner(flow) != agent:
        return
    balancer.owners.learn(flow, "")
    header = balancer.codec.read_client(packet)
    if header is None or header.flags & SYN:
        return
    log.info(
        "flow denied by known owner", extra={"flow": flow_text(flow), "agent": agent}
    )
    search = Search(packet, header.acknowledged, now, [], denied_by={agent})
    balancer.searches.start(flow, search)
    query_next_home(balancer, flow, search, now)


def reset_if_dead(balancer: "Balancer", flow: int, search: Search, now: float) -> None:
    """Reset a flow that no endpoint holds.

    Its client would otherwise retransmit until its deadline. Each agent has denied the
    flow itself, or has been silent for so long that its VM serves nobody, so no flow
    that could be served is reset. A balancer that has started without the store may
    know a single agent, whose denial says nothing about the others.
    """
    if not balancer.members.is_complete:
        return
    if not search.is_exhausted(lambda address: balancer.health.is_lost(address, now)):
        return
    if not balancer.agents <= search.queried:
        # An agent that was not queried has become known since.
        search.is_queued = True
        return
    balancer.searches.end(flow)
    extra = {
        "flow": flow_text(flow),
        "agents": len(search.queried),
        "silent": len(search.queried - search.denied_by),
    }
    log.info("flow reset, no endpoint holds it", extra=extra)
    balancer.counts["dead_flows"] += 1
    balancer.reset(flow, search.acknowledged)
