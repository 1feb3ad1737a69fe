"""The pass-through balancer: forwards clients' packets to the agents of their flows.

It keeps no flow state that it could not lose. First packets go to an endpoint that it
chooses, later ones to the owner that it has learned. For flows without a known owner it
queries the agents that record the owner, then all agents.
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
from cornelspan_passthrough.first_packets import (
    handle_first_packet,
    place_held_packets,
    retry_placement,
)
from cornelspan_passthrough.health import AgentHealthTable, Hello, Ping, Pong
from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.homes import Homes
from cornelspan_passthrough.members import AGENT, BALANCER, Member, Members
from cornelspan_passthrough.openings import Openings
from cornelspan_passthrough.owner_search import (
    find_owner,
    handle_owner_denied,
    handle_owner_found,
    query_all_agents,
    query_next_home,
    query_returned_agent,
    reset_if_dead,
)
from cornelspan_passthrough.packet_headers import (
    SYN,
    PacketCodec,
    address_text,
    client_address,
    is_address,
)
from cornelspan_passthrough.placing import ChooseEndpoint, choose_endpoint, takes_flows
from cornelspan_passthrough.pruning import FailureDetector, is_responsible
from cornelspan_passthrough.searches import QUERIES_PER_SECOND, Searches
from cornelspan_passthrough.settings import PassthroughBalancerSettings, socket_address

FLOW_MESSAGE_KINDS = (
    messages.REJECTED,
    messages.NOT_HERE,
    messages.OWNED,
    messages.UNKNOWN,
    messages.MAYBE,
)
# Balancers ping each other once per round over the fleet, at most some seconds apart.
BALANCER_TIMEOUT_SECONDS = 10.0

log = get_log(__name__)


@dataclass
class Balancer:
    """State and decisions of one balancer.

    ``owners`` caches the owners of flows, ``openings`` first packets that were placed
    recently or are held, ``searches`` the running searches for owners.
    ``newest_version`` is the newest configuration version that a balancer's ping has
    named, ``newest_version_peer`` that balancer. ``last_ping_from`` is the time of each
    balancer's last ping.
    """

    settings: PassthroughBalancerSettings
    codec: PacketCodec
    client_socket: DatagramSocket
    daemon_socket: DatagramSocket
    rng: random.Random
    choose_endpoint: ChooseEndpoint = choose_endpoint
    routes: RouteTable = field(default_factory=RouteTable)
    members: Members = field(default_factory=Members)
    homes: Homes = field(default_factory=Homes)
    openings: Openings = field(default_factory=Openings)
    searches: Searches = field(default_factory=Searches)
    counts: Counter[str] = field(default_factory=Counter)
    by_service: dict[str, list[str]] = field(default_factory=dict)
    agents: frozenset[str] = frozenset()
    last_ping_from: dict[str, float] = field(default_factory=dict)
    newest_version: int = 0
    newest_version_peer: str = ""
    first_pong_at: float | None = None
    members_changed_at: float | None = None
    stopping: bool = False
    client_packets: int = 0
    pings: int = 0

    def __post_init__(self) -> None:
        self.owners = OwnerCache(self.settings.learned_flows)
        self.search_times = Histogram()
        self.failure_detector = FailureDetector()
        self.log_rate_limit = invalid_record_bucket()
        self.query_budget = TokenBucket(QUERIES_PER_SECOND, QUERIES_PER_SECOND)
        self.health = AgentHealthTable(self.settings.pulse.missed_pings)
        self.client_port = socket_address(self.settings.packets)[1]

    @property
    def sockets(self) -> tuple[DatagramSocket, ...]:
        """The sockets that the balancer reads."""
        return self.client_socket, self.daemon_socket

    def apply_settings(self, settings: PassthroughBalancerSettings) -> None:
        """Apply settings that have changed."""
        self.settings = settings
        self.health.missed_pings = settings.pulse.missed_pings
        self.owners.limit = settings.learned_flows
        set_level(settings.log)

    # Packets of clients

    def receive_from_client(self, data: bytes, now: float) -> None:
        """Handle a client's packet that a router has forwarded to this balancer."""
        self.client_packets += 1
        header = self.codec.read_client(data)
        if header is None:
            self.counts["broken_packets"] += 1
            return
        if header.flags & SYN:
            handle_first_packet(self, header, data, now)
            return
        owner = self.owners.owner(header.flow)
        if owner:
            self.send(owner, messages.encode_packet(messages.DELIVER, data))
            return
        find_owner(self, header, data, now)

    def reset(self, flow: int, sequence: int) -> None:
        """Send a client the packet that resets its flow."""
        packet = self.codec.reset(flow, sequence)
        self.client_socket.send(packet, (client_address(flow), self.client_port))

    # Datagrams of daemons

    def receive_from_daemon(self, data: bytes, sender: str, now: float) -> None:
        """Handle a datagram of another daemon."""
        kind = data[0] if data else 0
        if kind == messages.PONG:
            self._receive_pong(data, now)
        elif kind == messages.PING:
            self._receive_ping(data, now)
        elif kind in FLOW_MESSAGE_KINDS:
            message = messages.decode_flow_message(data)
            if message is None:
                self.counts["broken_datagrams"] += 1
                return
            self._receive_flow_message(message, sender, now)
        elif kind == messages.HELLO:
            self._receive_hello(data, sender, now)
        elif kind == messages.GONE:
            self._receive_gone(sender)
        else:
            self.counts["broken_datagrams"] += 1

    def _receive_flow_message(
        self, message: messages.FlowMessage, sender: str, now: float
    ) -> None:
        """Handle a message about one flow."""
        if message.kind == messages.OWNED:
            owner = address_text(message.agent)
            self.openings.confirm(message.flow, owner)
            handle_owner_found(self, message.flow, owner, now)
        elif message.kind == messages.UNKNOWN:
            search = self.searches.get(message.flow)
            if search is not None and not search.queried:
                query_next_home(self, message.flow, search, now)
        elif message.kind == messages.NOT_HERE:
            handle_owner_denied(self, message.flow, sender, message.packet, now)
        elif message.kind == messages.MAYBE:
            search = self.searches.get(message.flow)
            if search is not None:
                self.send(sender, messages.encode_packet(messages.TRY, search.packet))
        else:
            retry_placement(self, message, sender, now)

    def _receive_pong(self, data: bytes, now: float) -> None:
        """Record an agent's pong.

        If the agent answers for the first time, or again after a silence, it is sent
        the queries that it missed, and held first packets are tried again on any agent.
        """
        try:
            pong = msgspec.msgpack.decode(data[1:], type=Pong)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        if self.members.get(pong.address) is None:
            # A late pong of an agent whose entry was removed. Recording it would add
            # the agent again, and only the one balancer that is responsible for
            # pruning it would remove it again.
            return
        previous_pong = self.health.of(pong.address).pong
        was_silent = self.health.record_pong(pong, now)
        if was_silent:
            log.info("agent answers again", extra={"agent": pong.address})
        if self.first_pong_at is None:
            self.first_pong_at = now
        if was_silent or previous_pong is None:
            place_held_packets(self, now)
            query_returned_agent(self, pong.address)
        if previous_pong is None or previous_pong.state != pong.state:
            extra = {"agent": pong.address, "state": pong.state}
            log.info("agent reported endpoint state", extra=extra)
        member = Member(pong.address, AGENT, pong.datacentre, pong.service)
        if self.members.add_announced(member):
            self.recompute_from_members(now)

    def _receive_ping(self, data: bytes, now: float) -> None:
        """Handle another balancer's ping, which carries the version in force there."""
        try:
            ping = msgspec.msgpack.decode(data[1:], type=Ping)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        self.last_ping_from[ping.address] = now
        if ping.version > self.newest_version:
            self.newest_version = ping.version
            self.newest_version_peer = ping.address
        if self.members.get(ping.address) is None:
            member = Member(ping.address, BALANCER, "", "")
            self.members.add_announced(member)

    def _receive_hello(self, data: bytes, sender: str, now: float) -> None:
        """Record a daemon that announced itself, and ping it if it is an agent.

        A new announcement that comes from the daemon itself is forwarded to the other
        balancers.
        """
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
        if not self.members.add_announced(member):
            return
        log.info("daemon announced itself", extra={"address": hello.address})
        self.recompute_from_members(now)
        if sender != hello.address:
            return
        for balancer in self.members.balancers():
            if balancer.address not in (self.settings.address, sender):
                self.send(balancer.address, data)

    def _receive_gone(self, sender: str) -> None:
        """Stop placing flows on an agent that announced its shutdown."""
        health = self.health.of(sender)
        health.unanswered_pings = self.settings.pulse.missed_pings + 1
        log.info("agent stopping", extra={"agent": sender})

    # Membership and state

    def recompute_from_members(self, now: float) -> None:
        """Recompute the sets of agents and the homes after the members have changed."""
        self.members_changed_at = now
        agents = self.members.agents()
        self.agents = frozenset(member.address for member in agents)
        self.homes.replace(list(self.agents))
        self.by_service = {}
        for member in agents:
            self.by_service.setdefault(member.service, []).append(member.address)

    def ping_agent(self, address: str, now: float) -> None:
        """Ping an agent, and log it as silent once too many pings are unanswered."""
        health = self.health.of(address)
        if health.pong and health.unanswered_pings == self.settings.pulse.missed_pings:
            log.info("agent silent", extra={"agent": address})
        self.health.record_ping(address, now)
        self.ping(address)

    def ping(self, address: str) -> None:
        """Send another daemon a ping with the version of the configuration in force.

        The ping also says whether the receiver is registered in the store, so that a
        daemon whose entry is missing registers again. Before this balancer has read the
        entries, it says yes.
        """
        self.pings += 1
        ping = Ping(
            self.settings.address,
            self.routes.version,
            address in self.members.registered or not self.members.revision,
        )
        self.send(address, bytes((messages.PING,)) + msgspec.msgpack.encode(ping))

    def is_ready(self) -> bool:
        """Whether routers may send packets here.

        A balancer that is stopping is not ready. Without a configuration it could only
        hold first packets and then drop them, while another balancer could place them.
        It also needs an agent that isn't known to be silent and whose endpoint isn't
        draining or down; without one it would reject new flows.
        """
        if self.stopping or self.routes.configuration is None:
            return False
        return any(
            self.health.may_answer(member.address)
            and takes_flows(self.health.of(member.address))
            for member in self.members.agents()
        )

    def update_failure_detector(self, now: float) -> None:
        """Tell the failure detector which members respond now and which are silent.

        Agents respond by pongs, balancers by their own pings.
        """
        responsive: set[str] = {self.settings.address}
        for member in self.members.agents():
            if self.health.may_answer(member.address):
                responsive.add(member.address)
        for address, pinged_at in self.last_ping_from.items():
            if now - pinged_at < BALANCER_TIMEOUT_SECONDS:
                responsive.add(address)
        silent = {member.address for member in self.members.all()} - responsive
        self.failure_detector.update(responsive, silent, now)

    def dead_members_to_prune(self, now: float) -> list[str]:
        """Return the addresses of dead members whose entries this balancer removes.

        If half of the members or more are silent, none counts as dead: then this
        process is more likely to be cut off from them.
        """
        if 2 * len(self.failure_detector.silent_since) >= len(self.members.all()):
            return []
        peers = [
            member.address
            for member in self.members.balancers()
            if member.address not in self.failure_detector.silent_since
        ]
        own_address = self.settings.address
        dead = self.failure_detector.dead(now)
        return [
            address for address in dead if is_responsible(own_address, peers, address)
        ]

    def forget_member(self, address: str, now: float) -> None:
        """Drop all state of a member whose entry was removed.

        A member that only announced itself has no entry whose removal could be watched.
        It would be pinged, and waited for in searches, forever.
        """
        self.members.remove_announced(address)
        self.members.remove(address, self.members.revision)
        self.health.forget(address)
        self.last_ping_from.pop(address, None)
        self.recompute_from_members(now)

    def tick(self, now: float) -> None:
        """Do the periodic work of searches and held first packets.

        Searches whose home did not answer go on, queued queries are sent, flows that
        proved dead are reset, and what has expired is removed.
        """
        for flow in self.searches.overdue(now):
            search = self.searches.get(flow)
            if search is not None:
                query_next_home(self, flow, search, now)
        for flow, search in list(self.searches.by_flow.items()):
            if search.is_queued:
                query_all_agents(self, flow, search, now)
            reset_if_dead(self, flow, search, now)
        self.searches.remove_expired(now)
        place_held_packets(self, now)
        self.openings.sweep(now)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to another daemon."""
        self.daemon_socket.send(data, (address, self.settings.internal_port))
