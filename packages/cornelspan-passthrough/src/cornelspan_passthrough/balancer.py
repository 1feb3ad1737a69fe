"""The pass-through balancer: sends clients' packets to the agents of their flows.

It keeps no flow that it could not lose. First packets go to an endpoint that it
chooses, later ones to the owner it has learned, and packets of flows it doesn't know to
whoever records or holds the flow.
"""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from ipaddress import IPv4Address

import msgspec

from cornelspan_common.learned import Learned
from cornelspan_common.logs import get_log
from cornelspan_common.tokens import TokenBucket
from cornelspan_passthrough import hops
from cornelspan_passthrough.configuration import (
    Route,
    RouteTable,
    services_in_order,
)
from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.finding import QUESTIONS_PER_SECOND, Search, Searches
from cornelspan_passthrough.heads import (
    RST,
    SYN,
    Head,
    PacketCodec,
    address_text,
    client_address,
    flow_text,
)
from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.homes import Homes
from cornelspan_passthrough.members import AGENT, BALANCER, Member, Members, service_tag
from cornelspan_passthrough.openings import HELD_SECONDS, Opening, Openings
from cornelspan_passthrough.placing import (
    REFUSED_SECONDS,
    Candidate,
    choose,
    takes_flows,
)
from cornelspan_passthrough.pruning import Silences, is_pruner
from cornelspan_passthrough.pulses import Hello, Ping, Pong, Pulses
from cornelspan_passthrough.settings import PassthroughBalancerSettings, socket_address

# A first packet that this many endpoints have turned away is answered by a reset: the
# client then tries again with a new flow, while a further endpoint would be asked after
# the client's own repeat.
OPEN_TRIES = 4
NEVER_OPEN = 0
NOTES = (hops.REFUSED, hops.NOT_HERE, hops.OWNED, hops.UNKNOWN, hops.MAYBE)
# Agents that lost power together come up within some 300 ms; most are there this long
# after the first.
GATHER_SECONDS = 0.2
# Balancers ping each other at the pace of their fleet, some seconds apart at the most.
BALANCER_SILENT_SECONDS = 10.0

log = get_log(__name__)


@dataclass
class Balancer:
    """State and decisions of one balancer; its sockets are set when it runs."""

    settings: PassthroughBalancerSettings
    codec: PacketCodec
    clients: DatagramSocket
    daemons: DatagramSocket
    chance: random.Random
    routes: RouteTable = field(default_factory=RouteTable)
    members: Members = field(default_factory=Members)
    homes: Homes = field(default_factory=Homes)
    openings: Openings = field(default_factory=Openings)
    searches: Searches = field(default_factory=Searches)
    counts: Counter[str] = field(default_factory=Counter)
    by_service: dict[str, list[str]] = field(default_factory=dict)
    heard_balancers: dict[str, float] = field(default_factory=dict)
    newest_version: int = 0
    newest_peer: str = ""
    first_pong_at: float | None = None
    stopping: bool = False
    client_packets: int = 0
    pings: int = 0

    def __post_init__(self) -> None:
        self.owners = Learned(self.settings.learned_flows)
        self.search_times = Histogram()
        self.silences = Silences()
        self.questions = TokenBucket(QUESTIONS_PER_SECOND, QUESTIONS_PER_SECOND)
        self.pulses = Pulses(self.settings.pulse.missed_pings)
        self.client_port = socket_address(self.settings.packets)[1]

    # Packets of clients

    def from_client(self, data: bytes, now: float) -> None:
        """Take a packet that a router has handed to this balancer."""
        self.client_packets += 1
        head = self.codec.read_client(data)
        if head is None:
            self.counts["broken_packets"] += 1
            return
        if head.flags & SYN:
            self._open(head, data, now)
            return
        owner = self.owners.owner(head.flow)
        if owner:
            self._send(owner, hops.encode_packet(hops.DELIVER, data))
            return
        self._find(head, data, now)

    def _open(self, head: Head, data: bytes, now: float) -> None:
        if self.routes.configuration is None:
            self.counts["opens_without_configuration"] += 1
            return
        route = self.routes.route(head.flow)
        if route is None:
            self._refuse(head.flow, "no route")
            return
        opening = self.openings.get(head.flow, head.sequence, now)
        if opening is None:
            opening = self.openings.start(head.flow, head.sequence, now)
        elif opening.held:
            return
        elif opening.confirmed:
            self._offer(opening, route, head.flow, data)
            return
        # A repeat of a first packet that nobody has answered yet: the endpoint it went
        # to may be gone. At another one it opens at once, and only the endpoint whose
        # answer the client takes up has the flow.
        self._place(opening, route, head.flow, data, now)

    def _place(
        self, opening: Opening, route: Route, flow: int, data: bytes, now: float
    ) -> None:
        """Offer a first packet to the endpoint that would serve it soonest.

        While no agent of the route has answered this balancer yet, it waits: sent to a
        VM whose agent is about to come up it would be lost, and the client's repeat
        comes 200 ms later at the earliest.
        """
        if not self._knows_agents(route, now):
            opening.held = data
            return
        opening.held = b""
        service, owner = self._choose(route, flow, opening.passed_over, now)
        opening.is_final = not owner or opening.tries >= OPEN_TRIES - 1
        if not owner:
            # Whoever is merely busy, or has not answered, is better than nobody.
            service, owner = self._choose(route, flow, opening.refused, now)
        if not owner:
            refusals = len(opening.refused)
            reason = "all endpoints turned it away" if refusals else "no endpoint"
            self._refuse(flow, reason, route=route.name, refusals=refusals)
            return
        opening.owner = owner
        opening.service = service
        self.owners.learn(flow, owner)
        pulse = self.pulses.of(owner)
        log.info(
            "flow placed",
            extra={
                "flow": flow_text(flow),
                "service": service,
                "agent": owner,
                "refusals": len(opening.refused),
                "version": self.routes.version,
                "running": pulse.pong.running if pulse.pong else None,
                "placed": pulse.placed,
                "age_ms": round((now - pulse.answered_at) * 1000) if pulse.pong else -1,
            },
        )
        pulse.placed += 1
        self.counts["flows_placed"] += 1
        self._offer(opening, route, flow, data)

    def _knows_agents(self, route: Route, now: float) -> bool:
        """Whether enough agents of the route have answered, or there are none.

        Right after the first answer this balancer ever got, others are about to come
        up. A crowd's first packets, sent out at once, would all fall on the first.
        """
        addresses = [
            address
            for share in route.shares
            for address in self.by_service.get(share.service, [])
        ]
        if not addresses:
            return bool(self.members.revision)
        answered = [self.pulses.of(address).pong is not None for address in addresses]
        if self.first_pong_at is None or now - self.first_pong_at > GATHER_SECONDS:
            return any(answered)
        return all(answered)

    def _place_held(self, now: float) -> None:
        """Place first packets that have waited for an agent, or give them up."""
        for flow, opening in self.openings.held():
            route = self.routes.route(flow)
            waited = now - opening.started_at
            if route is None or waited > HELD_SECONDS:
                opening.held = b""
                self._refuse(flow, "no agent answers", waited_ms=round(waited * 1000))
                continue
            self._place(opening, route, flow, opening.held, now)

    def _choose(
        self, route: Route, flow: int, tried: set[str], now: float
    ) -> tuple[str, str]:
        """Return service and agent for a flow, "" for none.

        Agents that don't answer come last, not never: with all of them silent it may be
        this balancer that heard nothing.
        """
        for is_wanted in (self.pulses.is_answering, lambda address: True):
            for service in services_in_order(route, flow):
                addresses = self.by_service.get(service, [])
                candidates = [
                    Candidate(address, self.pulses.of(address))
                    for address in addresses
                    if address not in tried and is_wanted(address)
                ]
                owner = choose(candidates, self.chance, now)
                if owner:
                    return service, owner
        return "", ""

    def _offer(self, opening: Opening, route: Route, flow: int, data: bytes) -> None:
        """Send a first packet to the agent that was chosen for it."""
        tag = service_tag(opening.service)
        homes = [int(IPv4Address(home)) for home in self.homes.of(flow)]
        first, second = (*homes, hops.NOBODY, hops.NOBODY)[:2]
        priority = min(255, route.priority)
        budget = route.timeout_milliseconds
        hop = hops.Open(priority, budget, tag, (first, second), opening.is_final, data)
        self._send(opening.owner, hops.encode_open(hop))

    def _refuse(self, flow: int, reason: str, **inputs: str | int) -> None:
        """Reset a flow that surely is not open."""
        extra = {"flow": flow_text(flow), "reason": reason, **inputs}
        log.info("flow refused", extra={**extra, "version": self.routes.version})
        self.counts["flows_refused"] += 1
        self.reset(flow, NEVER_OPEN)

    def reset(self, flow: int, sequence: int) -> None:
        """Send a client the packet that ends its flow."""
        packet = self.codec.reset(flow, sequence)
        self.clients.send(packet, (client_address(flow), self.client_port))

    # Owners that this balancer doesn't know

    def _find(self, head: Head, data: bytes, now: float) -> None:
        search = self.searches.get(head.flow)
        if search is not None:
            search.keep(data)
            missing = search.asked - search.without
            if missing and self.questions.take(len(missing), now):
                self._ask(head.flow, missing)
            return
        if head.flags & RST:
            self.counts["strays"] += 1
            return
        homes = list(self.homes.of(head.flow))
        search = Search(data, head.acknowledged, now, homes)
        self.searches.start(head.flow, search)
        self.counts["searches"] += 1
        self._ask_next(head.flow, search, now)

    def _ask_next(self, flow: int, search: Search, now: float) -> None:
        """Ask the flow's next home that answers, or all agents after the last."""
        search.asked_at = now
        while search.homes:
            home = search.homes.pop(0)
            if self.pulses.is_answering(home):
                self._send(home, hops.encode_packet(hops.FIND, search.packet))
                return
        search.is_queued = True
        self._ask_all(flow, search, now)

    def _ask_all(self, flow: int, search: Search, now: float) -> None:
        """Ask all agents, as soon as the rate of questions allows."""
        agents = [member.address for member in self.members.agents()]
        if not agents or not self.questions.take(len(agents), now):
            return
        search.is_queued = False
        search.asked = frozenset(agents)
        log.info(
            "owner asked of all",
            extra={"flow": flow_text(flow), "agents": len(agents)},
        )
        self._ask(flow, search.asked)

    def _ask(self, flow: int, agents: Iterable[str]) -> None:
        for address in agents:
            self._send(address, hops.encode_note(hops.ASK, flow))

    def _ask_newcomer(self, address: str) -> None:
        """Ask an agent that has just come up what it was asked in vain before."""
        for flow, search in self.searches.by_flow.items():
            if address in search.asked and address not in search.without:
                self._ask(flow, [address])

    def _found(self, flow: int, owner: str, now: float) -> None:
        """Send what has waited to the owner; a home has passed the first packet on."""
        self.owners.learn(flow, owner)
        search = self.searches.end(flow)
        if search is None:
            return
        self.search_times.observe(now - search.started_at)
        if search.asked:
            self._correct_homes(flow, owner)
            self._send(owner, hops.encode_packet(hops.DELIVER, search.packet))
        for packet in search.waiting:
            self._send(owner, hops.encode_packet(hops.DELIVER, packet))

    def _correct_homes(self, flow: int, owner: str) -> None:
        """Have the homes record the owner that they did not know."""
        agent = int(IPv4Address(owner))
        for home in self.homes.of(flow):
            self._send(home, hops.encode_note(hops.RECORD, flow, agent=agent))

    def _without(self, flow: int, agent: str, packet: bytes, now: float) -> None:
        """Take in that an agent's endpoint doesn't hold a flow."""
        search = self.searches.get(flow)
        if search is None:
            self._lost_owner(flow, agent, packet, now)
            return
        search.without.add(agent)
        if not search.asked and not search.is_queued:
            # A home named this agent. Asked again, homes would name it again: a first
            # packet that two endpoints answered leaves the record of whichever spoke
            # last, and the client takes up either.
            search.homes.clear()
            self._ask_next(flow, search, now)
        self._end_if_dead(flow, search, now)

    def _lost_owner(self, flow: int, agent: str, packet: bytes, now: float) -> None:
        """Search anew for the owner of a flow that is not where it was thought."""
        if self.owners.owner(flow) != agent:
            return
        self.owners.learn(flow, "")
        head = self.codec.read_client(packet)
        if head is None or head.flags & SYN:
            return
        log.info("owner lost", extra={"flow": flow_text(flow), "agent": agent})
        search = Search(packet, head.acknowledged, now, [], without={agent})
        self.searches.start(flow, search)
        self._ask_next(flow, search, now)

    def _end_if_dead(self, flow: int, search: Search, now: float) -> None:
        """Reset a flow that no endpoint holds.

        Its client would repeat packets until its time budget ends. Each agent has said
        so itself, or has been silent for so long that its VM serves nobody, so no flow
        that could be served is met.
        """
        if not search.is_exhausted(lambda address: self.pulses.is_lost(address, now)):
            return
        self.searches.end(flow)
        extra = {
            "flow": flow_text(flow),
            "agents": len(search.asked),
            "silent": len(search.asked - search.without),
        }
        log.info("flow dead, reset", extra=extra)
        self.counts["dead_flows"] += 1
        self.reset(flow, search.acknowledged)

    # Datagrams of daemons

    def from_daemon(self, data: bytes, sender: str, now: float) -> None:
        """Take a datagram of another daemon."""
        kind = data[0] if data else 0
        if kind == hops.PONG:
            self._pong(data, now)
        elif kind == hops.PING:
            self._ping(data, now)
        elif kind in NOTES:
            note = hops.decode_note(data)
            if note is None:
                self.counts["broken_datagrams"] += 1
                return
            self._note(note, sender, now)
        elif kind == hops.HELLO:
            self._hello(data, sender, now)
        elif kind == hops.GONE:
            self._gone(sender)
        else:
            self.counts["broken_datagrams"] += 1

    def _note(self, note: hops.FlowNote, sender: str, now: float) -> None:
        if note.kind == hops.OWNED:
            owner = address_text(note.agent)
            self.openings.confirm(note.flow, owner)
            self._found(note.flow, owner, now)
        elif note.kind == hops.UNKNOWN:
            search = self.searches.get(note.flow)
            if search is not None and not search.asked:
                self._ask_next(note.flow, search, now)
        elif note.kind == hops.NOT_HERE:
            self._without(note.flow, sender, note.packet, now)
        elif note.kind == hops.MAYBE:
            search = self.searches.get(note.flow)
            if search is not None:
                self._send(sender, hops.encode_packet(hops.TRY, search.packet))
        else:
            self._refused(note, sender, now)

    def _refused(self, note: hops.FlowNote, sender: str, now: float) -> None:
        """Place a first packet anew that an endpoint has turned away."""
        head = self.codec.read_client(note.packet)
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
        self.counts["flows_turned_away"] += 1
        opening = self.openings.get(note.flow, head.sequence, now)
        route = self.routes.route(note.flow)
        if opening is None or route is None or opening.owner != sender:
            return
        if note.detail == hops.ENDPOINT_BUSY:
            opening.busy.add(sender)
        else:
            opening.refused.add(sender)
        self.pulses.of(sender).refused_until = now + REFUSED_SECONDS
        if opening.tries >= OPEN_TRIES:
            self._refuse(note.flow, "turned away", refusals=opening.tries)
            return
        self._place(opening, route, note.flow, note.packet, now)

    def _pong(self, data: bytes, now: float) -> None:
        try:
            pong = msgspec.msgpack.decode(data[1:], type=Pong)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        if self.members.get(pong.address) is None:
            # The last answer of an agent that has left: taken in, it would be listed
            # again for good.
            return
        was = self.pulses.of(pong.address).pong
        is_regained = self.pulses.answered(pong, now)
        if is_regained:
            log.info("agent regained", extra={"agent": pong.address})
        if self.first_pong_at is None:
            self.first_pong_at = now
        if is_regained or was is None:
            self._place_held(now)
            self._ask_newcomer(pong.address)
        if was is None or was.state != pong.state:
            extra = {"agent": pong.address, "state": pong.state}
            log.info("agent's endpoint changed", extra=extra)
        member = Member(pong.address, AGENT, pong.datacentre, pong.service)
        if self.members.tell(member):
            self.members_changed()

    def _ping(self, data: bytes, now: float) -> None:
        """Take another balancer's ping: it tells the newest version it knows."""
        try:
            ping = msgspec.msgpack.decode(data[1:], type=Ping)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        self.heard_balancers[ping.address] = now
        if ping.version > self.newest_version:
            self.newest_version = ping.version
            self.newest_peer = ping.address
        if self.members.get(ping.address) is None:
            member = Member(ping.address, BALANCER, "", "")
            self.members.tell(member)

    def _hello(self, data: bytes, sender: str, now: float) -> None:
        try:
            hello = msgspec.msgpack.decode(data[1:], type=Hello)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        member = Member(hello.address, hello.role, hello.datacentre, hello.service)
        if member.role == AGENT:
            self.ping_agent(member.address, now)
        if not self.members.tell(member):
            return
        log.info("daemon spoke up", extra={"address": hello.address})
        self.members_changed()
        if sender != hello.address:
            return
        for balancer in self.members.balancers():
            if balancer.address not in (self.settings.address, sender):
                self._send(balancer.address, data)

    def _gone(self, sender: str) -> None:
        """An agent stops in order: nothing new goes to it from now on."""
        pulse = self.pulses.of(sender)
        pulse.unanswered = self.settings.pulse.missed_pings + 1
        log.info("agent stops", extra={"agent": sender})

    # Membership and state

    def members_changed(self) -> None:
        """Work out anew what follows from the members."""
        agents = self.members.agents()
        self.homes.replace([member.address for member in agents])
        self.by_service = {}
        for member in agents:
            self.by_service.setdefault(member.service, []).append(member.address)

    def ping_agent(self, address: str, now: float) -> None:
        """Ask an agent how it is."""
        pulse = self.pulses.of(address)
        if pulse.pong and pulse.unanswered == self.settings.pulse.missed_pings:
            log.info("agent lost", extra={"agent": address})
        self.pulses.asked(address, now)
        self.ping(address)

    def ping(self, address: str) -> None:
        """Tell a daemon that this one lives, and ask it to answer."""
        self.pings += 1
        ping = Ping(
            self.pings,
            self.settings.address,
            max(self.routes.version, 0),
            self.members.revision,
            address in self.members.listed or not self.members.revision,
        )
        self._send(address, bytes((hops.PING,)) + msgspec.msgpack.encode(ping))

    def is_ready(self) -> bool:
        """Whether routers may send packets here.

        Without a configuration or an endpoint that may take flows, every flow sent here
        would be refused while another balancer could serve it.
        """
        if self.stopping or self.routes.configuration is None:
            return False
        return any(
            self.pulses.is_answering(member.address)
            and takes_flows(self.pulses.of(member.address))
            for member in self.members.agents()
        )

    def update_silences(self, now: float) -> None:
        """Take in which members answer now and which don't."""
        present: set[str] = {self.settings.address}
        for member in self.members.agents():
            if self.pulses.is_answering(member.address):
                present.add(member.address)
        for address, heard_at in self.heard_balancers.items():
            if now - heard_at < BALANCER_SILENT_SECONDS:
                present.add(address)
        absent = {member.address for member in self.members.all()} - present
        self.silences.update(present, absent, now)

    def entries_to_remove(self, now: float) -> list[str]:
        """Return the entries of members that are gone and this balancer's to remove.

        While half of the members or more are silent nobody is taken for gone: then it
        is more likely that this process can't be heard.
        """
        if 2 * len(self.silences.since) >= len(self.members.all()):
            return []
        peers = [
            member.address
            for member in self.members.balancers()
            if member.address not in self.silences.since
        ]
        own = self.settings.address
        gone = self.silences.gone(now)
        return [address for address in gone if is_pruner(own, peers, address)]

    def tick(self, now: float) -> None:
        """Go on with searches that wait for a home, and forget what is too old."""
        for flow in self.searches.overdue(now):
            search = self.searches.get(flow)
            if search is not None:
                self._ask_next(flow, search, now)
        for flow, search in list(self.searches.by_flow.items()):
            if search.is_queued:
                self._ask_all(flow, search, now)
            self._end_if_dead(flow, search, now)
        self.searches.sweep(now)
        self._place_held(now)
        self.openings.sweep(now)

    def _send(self, address: str, data: bytes) -> None:
        self.daemons.send(data, (address, self.settings.internal_port))
