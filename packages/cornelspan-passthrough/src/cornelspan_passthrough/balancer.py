"""The pass-through balancer: sends clients' packets to the agents of their flows.

It keeps no flow that it could not lose. First packets go to an endpoint that it
chooses, later ones to the owner it has learned, and packets of flows it doesn't know to
whoever records or holds the flow.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from cornelspan_common.bounded_logs import invalid_record_bucket
from cornelspan_common.learned import OwnerCache
from cornelspan_common.logs import get_log, set_level
from cornelspan_common.tokens import TokenBucket
from cornelspan_passthrough import messages
from cornelspan_passthrough.configuration import RouteTable
from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.first_packets import open_flow, place_anew, place_held
from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.homes import Homes
from cornelspan_passthrough.members import AGENT, BALANCER, Member, Members
from cornelspan_passthrough.openings import Openings
from cornelspan_passthrough.packet_headers import (
    SYN,
    PacketCodec,
    address_text,
    client_address,
    is_address,
)
from cornelspan_passthrough.placing import Choose, choose, takes_flows
from cornelspan_passthrough.pruning import Silences, is_pruner
from cornelspan_passthrough.pulses import Hello, Ping, Pong, Pulses
from cornelspan_passthrough.searches import QUESTIONS_PER_SECOND, Searches
from cornelspan_passthrough.searching import (
    ask_all,
    ask_newcomer,
    ask_next,
    end_if_dead,
    find_owner,
    owner_denied,
    owner_found,
)
from cornelspan_passthrough.settings import PassthroughBalancerSettings, socket_address

NOTES = (
    messages.REJECTED,
    messages.NOT_HERE,
    messages.OWNED,
    messages.UNKNOWN,
    messages.MAYBE,
)
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
    choose: Choose = choose
    routes: RouteTable = field(default_factory=RouteTable)
    members: Members = field(default_factory=Members)
    homes: Homes = field(default_factory=Homes)
    openings: Openings = field(default_factory=Openings)
    searches: Searches = field(default_factory=Searches)
    counts: Counter[str] = field(default_factory=Counter)
    by_service: dict[str, list[str]] = field(default_factory=dict)
    agents: frozenset[str] = frozenset()
    heard_balancers: dict[str, float] = field(default_factory=dict)
    newest_version: int = 0
    newest_peer: str = ""
    first_pong_at: float | None = None
    members_changed_at: float | None = None
    stopping: bool = False
    client_packets: int = 0
    pings: int = 0

    def __post_init__(self) -> None:
        self.owners = OwnerCache(self.settings.learned_flows)
        self.search_times = Histogram()
        self.silences = Silences()
        self.complaints = invalid_record_bucket()
        self.questions = TokenBucket(QUESTIONS_PER_SECOND, QUESTIONS_PER_SECOND)
        self.pulses = Pulses(self.settings.pulse.missed_pings)
        self.client_port = socket_address(self.settings.packets)[1]

    @property
    def sockets(self) -> tuple[DatagramSocket, ...]:
        """The sockets that it reads."""
        return self.clients, self.daemons

    def take_settings(self, settings: PassthroughBalancerSettings) -> None:
        """Take in settings that have changed."""
        self.settings = settings
        self.pulses.missed_pings = settings.pulse.missed_pings
        self.owners.limit = settings.learned_flows
        set_level(settings.log)

    # Packets of clients

    def from_client(self, data: bytes, now: float) -> None:
        """Take a packet that a router has handed to this balancer."""
        self.client_packets += 1
        head = self.codec.read_client(data)
        if head is None:
            self.counts["broken_packets"] += 1
            return
        if head.flags & SYN:
            open_flow(self, head, data, now)
            return
        owner = self.owners.owner(head.flow)
        if owner:
            self.send(owner, messages.encode_packet(messages.DELIVER, data))
            return
        find_owner(self, head, data, now)

    def reset(self, flow: int, sequence: int) -> None:
        """Send a client the packet that ends its flow."""
        packet = self.codec.reset(flow, sequence)
        self.clients.send(packet, (client_address(flow), self.client_port))

    # Datagrams of daemons

    def from_daemon(self, data: bytes, sender: str, now: float) -> None:
        """Take a datagram of another daemon."""
        kind = data[0] if data else 0
        if kind == messages.PONG:
            self._pong(data, now)
        elif kind == messages.PING:
            self._ping(data, now)
        elif kind in NOTES:
            note = messages.decode_flow_message(data)
            if note is None:
                self.counts["broken_datagrams"] += 1
                return
            self._note(note, sender, now)
        elif kind == messages.HELLO:
            self._hello(data, sender, now)
        elif kind == messages.GONE:
            self._gone(sender)
        else:
            self.counts["broken_datagrams"] += 1

    def _note(self, note: messages.FlowMessage, sender: str, now: float) -> None:
        if note.kind == messages.OWNED:
            owner = address_text(note.agent)
            self.openings.confirm(note.flow, owner)
            owner_found(self, note.flow, owner, now)
        elif note.kind == messages.UNKNOWN:
            search = self.searches.get(note.flow)
            if search is not None and not search.asked:
                ask_next(self, note.flow, search, now)
        elif note.kind == messages.NOT_HERE:
            owner_denied(self, note.flow, sender, note.packet, now)
        elif note.kind == messages.MAYBE:
            search = self.searches.get(note.flow)
            if search is not None:
                self.send(sender, messages.encode_packet(messages.TRY, search.packet))
        else:
            place_anew(self, note, sender, now)

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
            place_held(self, now)
            ask_newcomer(self, pong.address)
        if was is None or was.state != pong.state:
            extra = {"agent": pong.address, "state": pong.state}
            log.info("agent's endpoint changed", extra=extra)
        member = Member(pong.address, AGENT, pong.datacentre, pong.service)
        if self.members.tell(member):
            self.members_changed(now)

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
        if not is_address(hello.address):
            self.counts["broken_datagrams"] += 1
            return
        member = Member(hello.address, hello.role, hello.datacentre, hello.service)
        if member.role == AGENT:
            self.ping_agent(member.address, now)
        if not self.members.tell(member):
            return
        log.info("daemon spoke up", extra={"address": hello.address})
        self.members_changed(now)
        if sender != hello.address:
            return
        for balancer in self.members.balancers():
            if balancer.address not in (self.settings.address, sender):
                self.send(balancer.address, data)

    def _gone(self, sender: str) -> None:
        """An agent stops in order: nothing new goes to it from now on."""
        pulse = self.pulses.of(sender)
        pulse.unanswered = self.settings.pulse.missed_pings + 1
        log.info("agent stops", extra={"agent": sender})

    # Membership and state

    def members_changed(self, now: float) -> None:
        """Work out anew what follows from the members."""
        self.members_changed_at = now
        agents = self.members.agents()
        self.agents = frozenset(member.address for member in agents)
        self.homes.replace(list(self.agents))
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
            self.settings.address,
            self.routes.version,
            address in self.members.listed or not self.members.revision,
        )
        self.send(address, bytes((messages.PING,)) + msgspec.msgpack.encode(ping))

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

    def forget_member(self, address: str, now: float) -> None:
        """Forget a member that is gone.

        One that only ever spoke for itself has no entry whose removal would be heard
        of; it would be pinged, and waited for in searches, for ever.
        """
        self.members.forget(address)
        self.members.remove(address, self.members.revision)
        self.pulses.forget(address)
        self.heard_balancers.pop(address, None)
        self.members_changed(now)

    def tick(self, now: float) -> None:
        """Go on with searches that wait for a home, and forget what is too old."""
        for flow in self.searches.overdue(now):
            search = self.searches.get(flow)
            if search is not None:
                ask_next(self, flow, search, now)
        for flow, search in list(self.searches.by_flow.items()):
            if search.is_queued:
                ask_all(self, flow, search, now)
            end_if_dead(self, flow, search, now)
        self.searches.sweep(now)
        place_held(self, now)
        self.openings.sweep(now)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to another daemon."""
        self.daemons.send(data, (address, self.settings.internal_port))
