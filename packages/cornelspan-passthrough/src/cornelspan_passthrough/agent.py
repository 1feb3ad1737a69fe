"""The pass-through agent: forwards packets between its endpoint and clients.

The agent only decides whether its endpoint accepts a new flow, and tells balancers when
the endpoint does not hold a flow. In addition it records the owners of those flows for
which it is a home, see ``homes``.
"""

import socket
from collections import Counter
from dataclasses import dataclass, field
from ipaddress import IPv4Address

import msgspec

from cornelspan_common.bounded_logs import invalid_record_bucket
from cornelspan_common.ejection import EjectionState
from cornelspan_common.expiring import ExpiringMap
from cornelspan_common.logs import get_log, set_level
from cornelspan_passthrough import messages
from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.dead_flows import log_endpoint, reset_dead_flow, reset_flows
from cornelspan_passthrough.delivery import (
    answer_ask,
    forward_packet,
    forward_to_owner,
    release_requests,
    send_not_here,
)
from cornelspan_passthrough.endpoint import Endpoint, Incarnation, Report, ReportOutcome
from cornelspan_passthrough.flows import (
    NO_UNCONFIRMED_PACKET,
    FlowTable,
    TrackedFlow,
    UnconfirmedPacket,
)
from cornelspan_passthrough.health import DOWN, DRAINING, Ping, Pong
from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.members import service_tag
from cornelspan_passthrough.outlier_detection import (
    is_ejected,
    probe_rejection_reason,
    record_packet,
)
from cornelspan_passthrough.packet_headers import (
    BOUNCED,
    FIN,
    RST,
    SYN,
    PacketCodec,
    PacketHeader,
    address_text,
    client_address,
    flow_text,
)
from cornelspan_passthrough.request_queue import RequestQueue
from cornelspan_passthrough.settings import PassthroughAgentSettings, socket_address
from cornelspan_passthrough.urgency import MILLISECONDS

NO_HOMES = (messages.NO_ADDRESS, messages.NO_ADDRESS)
# How long the agent waits for the endpoint's reaction to a packet of an unknown flow.
# The reaction takes a round trip.
UNCONFIRMED_SECONDS = 2.0
# Flows are kept a quarter longer than they may be open, so that no record expires
# before its flow ends.
RETENTION_FACTOR = 1.25
# How many more requests than the endpoint has slots may be at the endpoint. With one, a
# slot that becomes free is filled at once. Any more would wait in the endpoint's queue,
# which ignores priorities.
DEFAULT_REQUESTS_BEYOND_SLOTS = 1
# The agent rejects new flows once the work reaches this many times the endpoint's
# slots, plus ``requests_beyond_slots``: one round of requests running and another
# waiting.
BUSY_FACTOR = 2
# A flow's first request follows its first packet after a round trip to the client.
# Flows that started within this time count as requests that are about to arrive. If
# the request has arrived already, the flow counts twice.
FIRST_REQUEST_SECONDS = 0.02

log = get_log(__name__)


@dataclass
class Agent:
    """State and decisions of one agent.

    ``started_at`` is when the agent started; flows that opened earlier are unknown
    here, though the endpoint may hold them. ``unconfirmed_packets`` has the latest
    packet of each unknown flow that was sent to the endpoint. ``balancers`` are those
    that have sent pings, the last one at ``last_ping_at``. ``unregistered_since`` is
    when pings began to say that the agent is not registered, None if it is.
    ``requests_beyond_slots`` is how many more requests than the endpoint has slots may
    be at the endpoint. ``report_listener`` queues the endpoint's connections from the
    start, though its calls are answered later. Times are of the event loop's clock, in
    seconds.
    """

    settings: PassthroughAgentSettings
    codec: PacketCodec
    packet_socket: DatagramSocket
    daemon_socket: DatagramSocket
    started_at: float
    report_listener: socket.socket | None = None
    counts: Counter[str] = field(default_factory=Counter)
    unconfirmed_packets: dict[int, UnconfirmedPacket] = field(default_factory=dict)
    balancers: set[str] = field(default_factory=set)
    last_ping_at: float = 0.0
    unregistered_since: float | None = None
    stopping: bool = False
    requests_beyond_slots: int = DEFAULT_REQUESTS_BEYOND_SLOTS

    def __post_init__(self) -> None:
        settings = self.settings
        retention_seconds = settings.flow_seconds * RETENTION_FACTOR
        self.flows = FlowTable(retention_seconds)
        self.owner_records: ExpiringMap[int] = ExpiringMap(
            idle_seconds=retention_seconds
        )
        self.request_queue = RequestQueue()
        self.outlier_detector = EjectionState()
        self.log_rate_limit = invalid_record_bucket()
        self.waiting_times = Histogram()
        self.endpoint = Endpoint(
            settings.service, settings.report_milliseconds / 1000, self.started_at
        )
        self.service_tag = service_tag(settings.service)
        self.own_address = int(IPv4Address(settings.address))
        self.endpoint_address = socket_address(settings.endpoint)
        self.client_port = socket_address(settings.packets)[1]

    @property
    def sockets(self) -> tuple[DatagramSocket, ...]:
        """The sockets that the agent reads."""
        return self.packet_socket, self.daemon_socket

    def take_settings(self, settings: PassthroughAgentSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        retention_seconds = settings.flow_seconds * RETENTION_FACTOR
        self.flows.flow_seconds = retention_seconds
        self.owner_records.idle_seconds = retention_seconds
        self.endpoint.report_seconds = settings.report_milliseconds / 1000
        set_level(settings.log)

    # Datagrams from other daemons

    def receive_from_daemon(self, data: bytes, sender: str, now: float) -> None:
        """Process a datagram of another daemon."""
        kind = data[0] if data else 0
        if kind in (messages.DELIVER, messages.TRY):
            forward_packet(self, data[1:], kind, sender, now)
        elif kind == messages.OPEN:
            open_message = messages.decode_open(data)
            if open_message is None:
                self.counts["broken_datagrams"] += 1
                return
            self._receive_open(open_message, sender, now)
        elif kind == messages.ASK:
            message = messages.decode_flow_message(data)
            if message is not None:
                self.send(sender, answer_ask(self, message.flow, now))
        elif kind == messages.FIND:
            forward_to_owner(self, data[1:], sender, now)
        elif kind == messages.FORWARDED and len(data) > messages.FORWARDED_HEADER_BYTES:
            balancer, packet = messages.decode_forwarded(data)
            forward_packet(self, packet, messages.DELIVER, balancer, now)
        elif kind == messages.RECORD:
            message = messages.decode_flow_message(data)
            if message is not None:
                self.owner_records.put(message.flow, message.agent, now)
        elif kind == messages.PING:
            self._receive_ping(data, sender, now)
        else:
            self.counts["broken_datagrams"] += 1

    def _receive_open(
        self, open_message: messages.OpenMessage, balancer: str, now: float
    ) -> None:
        """Offer a first packet to the endpoint, or reject it at once."""
        header = self.codec.read_client(open_message.packet)
        if header is None:
            self.counts["broken_packets"] += 1
            return
        existing = self.flows.get(header.flow)
        if existing is not None and not existing.ended:
            # A retransmission: the endpoint holds the flow and repeats its answer.
            existing.balancer = balancer
            self.send_to_endpoint(open_message.packet, messages.OPEN)
            return
        reason = self._rejection_reason(open_message, now)
        if reason:
            self._reject(header.flow, reason, open_message.packet, balancer)
            return
        tracked = self.flows.start(header.flow, balancer, open_message.homes, now)
        tracked.urgency = open_message.urgency
        self.counts["flows_offered"] += 1
        self.send_to_endpoint(open_message.packet, messages.OPEN)

    def _rejection_reason(self, open_message: messages.OpenMessage, now: float) -> int:
        """Return why the endpoint accepts no new flow now, 0 if it does accept."""
        if open_message.service_tag != self.service_tag:
            return messages.WRONG_SERVICE
        if self.endpoint.state == DRAINING:
            return messages.ENDPOINT_DRAINING
        if self.endpoint.state == DOWN or self.stopping:
            return messages.ENDPOINT_DOWN
        if self.endpoint.has_wrong_service:
            return messages.ENDPOINT_WRONG_SERVICE
        if open_message.is_final:
            return 0
        return (
            messages.ENDPOINT_BUSY
            if self._is_busy(now)
            else probe_rejection_reason(self, now)
        )

    def _is_busy(self, now: float) -> bool:
        """Whether new flows should be rejected so that they go to other endpoints.

        The load that balancers know is some hundred milliseconds old. In a burst, each
        balancer sends its share to the same idle endpoint before that balancer learns
        of the others' flows.
        """
        recently_started_flows = self.flows.started_since(now - FIRST_REQUEST_SECONDS)
        work = self.flows.running + len(self.request_queue) + recently_started_flows
        return work >= BUSY_FACTOR * self.endpoint.capacity + self.requests_beyond_slots

    def _reject(self, flow: int, reason: int, packet: bytes, balancer: str) -> None:
        """Return a first packet to its balancer, with the reason."""
        log.info(
            "new flow rejected",
            extra={
                "flow": flow_text(flow),
                "reason": messages.REJECTION_REASONS[reason],
                "balancer": balancer,
                "life": str(self.endpoint.incarnation),
            },
        )
        self.counts["flows_handed_back"] += 1
        message = messages.encode_flow_message(
            messages.REJECTED, flow, detail=reason, packet=packet
        )
        self.send(balancer, message)

    def send_owner(self, flow: int, balancer: str) -> None:
        """Tell a balancer that this agent owns a flow."""
        message = messages.encode_flow_message(
            messages.OWNED, flow, agent=self.own_address
        )
        self.send(balancer, message)

    def _receive_ping(self, data: bytes, sender: str, now: float) -> None:
        """Note a balancer's ping and reply with a pong."""
        try:
            ping = msgspec.msgpack.decode(data[1:], type=Ping)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        self.last_ping_at = now
        self.balancers.add(sender)
        if ping.is_registered:
            self.unregistered_since = None
        elif self.unregistered_since is None:
            self.unregistered_since = now
        self.send(sender, self._encode_pong(now))

    def _encode_pong(self, now: float) -> bytes:
        endpoint = self.endpoint
        pong = Pong(
            self.settings.address,
            self.settings.datacentre,
            self.settings.service,
            DOWN if self.stopping else endpoint.announced_state,
            endpoint.capacity,
            self.flows.running + len(self.request_queue),
            self.flows.open_flows,
            is_ejected(self, now),
            round(self.flows.response_seconds_now(now) * MILLISECONDS),
        )
        return bytes((messages.PONG,)) + msgspec.msgpack.encode(pong)

    # Packets from the endpoint

    def receive_from_endpoint(self, data: bytes, now: float) -> None:
        """Process a packet that the endpoint has sent."""
        header = self.codec.read_endpoint(data)
        if header is None:
            self.counts["broken_packets"] += 1
            return
        if header.flags & BOUNCED:
            self._receive_bounced(header, data, now)
            release_requests(self, now)
            return
        self.packet_socket.send(data, (client_address(header.flow), self.client_port))
        tracked = self.flows.get(header.flow)
        if tracked is None:
            tracked = self._learn_flow(header, now)
        if header.flags & SYN:
            self._announce_accepted(header.flow, tracked)
            return
        record_packet(self, tracked, header, now)
        self.flows.record_response(header.flow, tracked, header.length, now)
        if header.flags & (FIN | RST):
            self.flows.end(header.flow, tracked)
            self.request_queue.remove(header.flow)
        release_requests(self, now)

    def _learn_flow(self, header: PacketHeader, now: float) -> TrackedFlow:
        """Add an unknown flow of which the endpoint has sent a packet.

        Usually the flow opened before this process started. If a balancer's packet of
        it was forwarded to the endpoint, that balancer is told that this agent is the
        owner. The flow's homes are unknown here; a balancer that had to search for the
        owner tells them.
        """
        balancer = self.unconfirmed_packets.pop(
            header.flow, NO_UNCONFIRMED_PACKET
        ).balancer
        tracked = self.flows.start(header.flow, balancer, NO_HOMES, now)
        tracked.accepted = True
        tracked.is_learned = True
        if balancer:
            self.send_owner(header.flow, balancer)
        return tracked

    def _announce_accepted(self, flow: int, tracked: TrackedFlow) -> None:
        """Tell the balancer and the homes that the endpoint has accepted the flow."""
        if tracked.accepted:
            return
        tracked.accepted = True
        self.counts["flows_taken"] += 1
        if tracked.balancer:
            self.send_owner(flow, tracked.balancer)
        for home in tracked.homes:
            if home not in (messages.NO_ADDRESS, self.own_address):
                message = messages.encode_flow_message(
                    messages.RECORD, flow, agent=self.own_address
                )
                self.send(address_text(home), message)

    def _receive_bounced(self, header: PacketHeader, data: bytes, now: float) -> None:
        """Process a packet that the endpoint sent back because it can't accept it."""
        packet = self.codec.marked(data, 0)
        if header.flags & SYN:
            tracked = self.flows.remove(header.flow)
            if tracked is not None:
                self._reject(
                    header.flow, messages.ENDPOINT_FULL, packet, tracked.balancer
                )
            return
        tracked = self.flows.get(header.flow)
        if tracked is not None and tracked.established:
            # The flow is open at this endpoint only, and the endpoint no longer holds
            # it.
            reset_dead_flow(self, header.flow, tracked, "endpoint no longer holds it")
            return
        balancer, is_try, _ = self.unconfirmed_packets.pop(
            header.flow, NO_UNCONFIRMED_PACKET
        )
        if tracked is not None:
            # The endpoint had answered a first packet, but the client took up the
            # answer of another endpoint.
            balancer = tracked.balancer
            self.flows.remove(header.flow)
        if balancer:
            send_not_here(self, header.flow, balancer, b"" if is_try else packet)

    # Calls of the endpoint

    def receive_report(self, report: Report, now: float) -> ReportOutcome:
        """Process a report of the endpoint; return how it was classified."""
        before = (self.endpoint.incarnation, self.endpoint.announced_state)
        last_report_at = self.endpoint.reported_at
        outcome = self.endpoint.receive_report(report, now)
        if (self.endpoint.incarnation, self.endpoint.announced_state) != before:
            log_endpoint(self, "endpoint state changed")
            self.send_pongs(now)
        if outcome is ReportOutcome.REPLACED_INCARNATION:
            self.outlier_detector = EjectionState()
            reset_flows(self, "endpoint restarted", before=last_report_at)
        return outcome

    def send_pongs(self, now: float) -> None:
        """Send the agent's state to all balancers without waiting for their pings.

        The next ping may be a few hundred milliseconds away. Until then a new endpoint
        would get no flows, and a draining one would get flows that it rejects.
        """
        for balancer in self.balancers:
            self.send(balancer, self._encode_pong(now))

    def leave(self, incarnation: Incarnation) -> None:
        """Process the endpoint's call that an incarnation ends."""
        if self.endpoint.leave(incarnation):
            log_endpoint(self, "endpoint left")
            reset_flows(self, "endpoint left")

    def mark_endpoint_down(self) -> None:
        """Record that nothing listens at the endpoint's address any more."""
        self.endpoint.mark_down()
        log_endpoint(self, "endpoint down")
        reset_flows(self, "endpoint down")

    def sweep(self, now: float) -> None:
        """Remove expired flows, owner records and unconfirmed packets."""
        self.flows.sweep(now)
        self.owner_records.expire(now)
        for flow in list(self.unconfirmed_packets):
            if now - self.unconfirmed_packets[flow].forwarded_at <= UNCONFIRMED_SECONDS:
                return
            del self.unconfirmed_packets[flow]

    def send_to_endpoint(self, packet: bytes, mark: int) -> None:
        """Send a packet to the endpoint, with a mark in its header."""
        self.packet_socket.send(self.codec.marked(packet, mark), self.endpoint_address)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to another daemon."""
        self.daemon_socket.send(data, (address, self.settings.internal_port))
