"""The pass-through agent: hands packets to its endpoint and the endpoint's to clients.

It decides only whether its endpoint takes a new flow, and says so when it doesn't hold
a flow. Beside that it records the owners of the flows that it is home of.
"""

import socket
from collections import Counter
from dataclasses import dataclass, field
from ipaddress import IPv4Address

import msgspec

from cornelspan_common.bounded_logs import complaint_bucket
from cornelspan_common.ejection import Judgement
from cornelspan_common.expiring import Expiring
from cornelspan_common.logs import get_log, set_level
from cornelspan_passthrough import hops
from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.delivering import (
    answer_ask,
    deliver,
    find,
    release,
    say_not_here,
)
from cornelspan_passthrough.endpoint import Endpoint, Hearing, Life, Report
from cornelspan_passthrough.flows import NO_DOUBT, Doubt, FlowTable, OwnedFlow
from cornelspan_passthrough.heads import (
    BOUNCED,
    FIN,
    RST,
    SYN,
    Head,
    PacketCodec,
    address_text,
    client_address,
    flow_text,
)
from cornelspan_passthrough.health import DOWN, DRAINING, Ping, Pong
from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.judging import is_ejected, judge_packet, probe_refusal
from cornelspan_passthrough.lives import end_dead_flow, end_flows, log_endpoint
from cornelspan_passthrough.members import service_tag
from cornelspan_passthrough.settings import PassthroughAgentSettings, socket_address
from cornelspan_passthrough.urgency import MILLISECONDS
from cornelspan_passthrough.waiting import WaitingLine

NO_HOMES = (hops.NOBODY, hops.NOBODY)
# A question waits this long for the endpoint's word, which comes within a round trip.
ASKED_SECONDS = 2.0
# Flows are recorded a quarter longer than they may be open, so that no record ends
# before its flow does.
RECORD_MARGIN = 1.25
# Requests at the endpoint beyond those it works on. With one, a slot that becomes free
# is filled at once; each further one would wait where no priority counts.
QUEUED_REQUESTS = 1
# Work for this many times its slots is what an endpoint may have before new flows are
# sent on: a second round beside the one that runs.
BUSY_FACTOR = 2
# A flow's first request follows its first packet after a round trip to the client.
COMING_SECONDS = 0.02

log = get_log(__name__)


@dataclass
class Agent:
    """State and decisions of one agent; its sockets are set when it runs.

    ``started_at`` is the loop's time of the start: flows that opened earlier are
    unknown here while the endpoint may hold them. ``asked`` holds each flow in doubt,
    ``balancers`` those that have pinged. ``queued_requests`` may be at the endpoint
    beyond those it works on. ``report_listener`` takes the endpoint's calls;
    it listens from the start, though they are answered later.
    """

    settings: PassthroughAgentSettings
    codec: PacketCodec
    local: DatagramSocket
    daemons: DatagramSocket
    started_at: float
    report_listener: socket.socket | None = None
    counts: Counter[str] = field(default_factory=Counter)
    asked: dict[int, Doubt] = field(default_factory=dict)
    balancers: set[str] = field(default_factory=set)
    pinged_at: float = 0.0
    unlisted_at: float | None = None
    stopping: bool = False
    queued_requests: int = QUEUED_REQUESTS

    def __post_init__(self) -> None:
        settings = self.settings
        kept = settings.flow_seconds * RECORD_MARGIN
        self.flows = FlowTable(kept)
        self.directory: Expiring[int] = Expiring(idle_seconds=kept)
        self.waiting = WaitingLine()
        self.judgement = Judgement()
        self.complaints = complaint_bucket()
        self.waiting_times = Histogram()
        self.endpoint = Endpoint(
            settings.service, settings.report_milliseconds / 1000, self.started_at
        )
        self.tag = service_tag(settings.service)
        self.own_address = int(IPv4Address(settings.address))
        self.endpoint_address = socket_address(settings.endpoint)
        self.client_port = socket_address(settings.packets)[1]

    @property
    def sockets(self) -> tuple[DatagramSocket, ...]:
        """The sockets that it reads."""
        return self.local, self.daemons

    def take_settings(self, settings: PassthroughAgentSettings) -> None:
        """Take in settings that have changed."""
        self.settings = settings
        kept = settings.flow_seconds * RECORD_MARGIN
        self.flows.flow_seconds = kept
        self.directory.idle_seconds = kept
        self.endpoint.report_seconds = settings.report_milliseconds / 1000
        set_level(settings.log)

    # Datagrams of daemons

    def from_daemon(self, data: bytes, sender: str, now: float) -> None:
        """Take a datagram of another daemon."""
        kind = data[0] if data else 0
        if kind in (hops.DELIVER, hops.TRY):
            deliver(self, data[1:], kind, sender, now)
        elif kind == hops.OPEN:
            hop = hops.decode_open(data)
            if hop is None:
                self.counts["broken_datagrams"] += 1
                return
            self._open(hop, sender, now)
        elif kind == hops.ASK:
            note = hops.decode_note(data)
            if note is not None:
                self.send(sender, answer_ask(self, note.flow, now))
        elif kind == hops.FIND:
            find(self, data[1:], sender, now)
        elif kind == hops.PASSED and len(data) > hops.PASSED_HEAD:
            origin, packet = hops.decode_passed(data)
            deliver(self, packet, hops.DELIVER, origin, now)
        elif kind == hops.RECORD:
            note = hops.decode_note(data)
            if note is not None:
                self.directory.put(note.flow, note.agent, now)
        elif kind == hops.PING:
            self._ping(data, sender, now)
        else:
            self.counts["broken_datagrams"] += 1

    def _open(self, hop: hops.Open, origin: str, now: float) -> None:
        """Offer a first packet to the endpoint, or hand it back at once."""
        head = self.codec.read_client(hop.packet)
        if head is None:
            self.counts["broken_packets"] += 1
            return
        known = self.flows.get(head.flow)
        if known is not None and not known.ended:
            # A repeat: the endpoint has the flow and answers as it did before.
            known.origin = origin
            self.to_endpoint(hop.packet, hops.OPEN)
            return
        refusal = self._refusal(hop, now)
        if refusal:
            self._refuse(head.flow, refusal, hop.packet, origin)
            return
        owned = self.flows.start(head.flow, origin, hop.homes, now)
        owned.urgency = hop.urgency
        self.counts["flows_offered"] += 1
        self.to_endpoint(hop.packet, hops.OPEN)

    def _refusal(self, hop: hops.Open, now: float) -> int:
        """Return why the endpoint takes no new flow now; 0 if it does."""
        if hop.service_tag != self.tag:
            return hops.FOREIGN_SERVICE
        if self.endpoint.state == DRAINING:
            return hops.ENDPOINT_LEAVES
        if self.endpoint.state == DOWN or self.stopping:
            return hops.ENDPOINT_DOWN
        if self.endpoint.is_foreign:
            return hops.ENDPOINT_FOREIGN
        if hop.is_final:
            return 0
        return hops.ENDPOINT_BUSY if self._is_busy(now) else probe_refusal(self, now)

    def _is_busy(self, now: float) -> bool:
        """Whether new flows should rather go elsewhere.

        Balancers know the load of some hundred milliseconds ago. In a crowd each of
        them sends its share to the same idle endpoint before any hears of the others.
        """
        coming = self.flows.opened_since(now - COMING_SECONDS)
        busy = self.flows.running + len(self.waiting) + coming
        return busy >= BUSY_FACTOR * self.endpoint.capacity + self.queued_requests

    def _refuse(self, flow: int, reason: int, packet: bytes, origin: str) -> None:
        log.info(
            "flow handed back",
            extra={
                "flow": flow_text(flow),
                "reason": hops.REASONS[reason],
                "balancer": origin,
                "life": str(self.endpoint.life),
            },
        )
        self.counts["flows_handed_back"] += 1
        note = hops.encode_note(hops.REFUSED, flow, detail=reason, packet=packet)
        self.send(origin, note)

    def tell_owner(self, flow: int, origin: str) -> None:
        """Tell a balancer that this agent owns a flow."""
        note = hops.encode_note(hops.OWNED, flow, agent=self.own_address)
        self.send(origin, note)

    def _ping(self, data: bytes, sender: str, now: float) -> None:
        try:
            ping = msgspec.msgpack.decode(data[1:], type=Ping)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        self.pinged_at = now
        self.balancers.add(sender)
        if ping.is_registered:
            self.unlisted_at = None
        elif self.unlisted_at is None:
            self.unlisted_at = now
        self.send(sender, self._pong(now))

    def _pong(self, now: float) -> bytes:
        endpoint = self.endpoint
        pong = Pong(
            self.settings.address,
            self.settings.datacentre,
            self.settings.service,
            DOWN if self.stopping else endpoint.announced_state,
            endpoint.capacity,
            self.flows.running + len(self.waiting),
            self.flows.open_flows,
            is_ejected(self, now),
            round(self.flows.pace_now(now) * MILLISECONDS),
        )
        return bytes((hops.PONG,)) + msgspec.msgpack.encode(pong)

    # Packets of the endpoint

    def from_endpoint(self, data: bytes, now: float) -> None:
        """Take a packet that the endpoint has sent."""
        head = self.codec.read_endpoint(data)
        if head is None:
            self.counts["broken_packets"] += 1
            return
        if head.flags & BOUNCED:
            self._bounced(head, data, now)
            release(self, now)
            return
        self.local.send(data, (client_address(head.flow), self.client_port))
        owned = self.flows.get(head.flow)
        if owned is None:
            owned = self._learn(head, now)
        if head.flags & SYN:
            self._taken(head.flow, owned)
            return
        judge_packet(self, owned, head, now)
        self.flows.answered(head.flow, owned, head.length, now)
        if head.flags & (FIN | RST):
            self.flows.end(head.flow, owned)
            self.waiting.remove(head.flow)
        release(self, now)

    def _learn(self, head: Head, now: float) -> OwnedFlow:
        """Take in a flow that opened before this process started."""
        origin = self.asked.pop(head.flow, NO_DOUBT).origin
        owned = self.flows.start(head.flow, origin, NO_HOMES, now)
        owned.answered = True
        owned.is_learned = True
        if origin:
            self.tell_owner(head.flow, origin)
        return owned

    def _taken(self, flow: int, owned: OwnedFlow) -> None:
        """Tell the balancer and the homes that the endpoint has taken a flow."""
        if owned.answered:
            return
        owned.answered = True
        self.counts["flows_taken"] += 1
        if owned.origin:
            self.tell_owner(flow, owned.origin)
        for home in owned.homes:
            if home not in (hops.NOBODY, self.own_address):
                note = hops.encode_note(hops.RECORD, flow, agent=self.own_address)
                self.send(address_text(home), note)

    def _bounced(self, head: Head, data: bytes, now: float) -> None:
        """Take back a packet that the endpoint can't take."""
        packet = self.codec.marked(data, 0)
        if head.flags & SYN:
            owned = self.flows.remove(head.flow)
            if owned is not None:
                self._refuse(head.flow, hops.ENDPOINT_FULL, packet, owned.origin)
            return
        owned = self.flows.get(head.flow)
        if owned is not None and owned.opened:
            # It opened here and nowhere else, and the endpoint no longer holds it.
            end_dead_flow(self, head.flow, owned, "endpoint forgot it")
            return
        origin, is_try, _ = self.asked.pop(head.flow, NO_DOUBT)
        if owned is not None:
            # The endpoint had answered a first packet whose client took up another's
            # answer.
            origin = owned.origin
            self.flows.remove(head.flow)
        if origin:
            say_not_here(self, head.flow, origin, b"" if is_try else packet)

    # The endpoint's reports

    def report(self, report: Report, now: float) -> Hearing:
        """Take in a report of the endpoint; return what it was taken for."""
        was = (self.endpoint.life, self.endpoint.announced_state)
        heard_at = self.endpoint.reported_at
        hearing = self.endpoint.report(report, now)
        if (self.endpoint.life, self.endpoint.announced_state) != was:
            log_endpoint(self, "endpoint reported")
            self.tell_balancers(now)
        if hearing is Hearing.BEGINS:
            self.judgement = Judgement()
            end_flows(self, "endpoint restarted", before=heard_at)
        return hearing

    def tell_balancers(self, now: float) -> None:
        """Tell the balancers of a change without being asked.

        Their next ping may be a few hundred milliseconds away: so long would a new
        endpoint get no flow, and one that leaves get some that it hands back.
        """
        for balancer in self.balancers:
            self.send(balancer, self._pong(now))

    def leave(self, life: Life) -> None:
        """Take in that the endpoint has gone."""
        if self.endpoint.leave(life):
            log_endpoint(self, "endpoint left")
            end_flows(self, "endpoint left")

    def endpoint_refuses(self) -> None:
        """Take in that nothing listens at the endpoint's address any more."""
        self.endpoint.down()
        log_endpoint(self, "endpoint down")
        end_flows(self, "endpoint down")

    def sweep(self, now: float) -> None:
        """Forget what is too old."""
        self.flows.sweep(now)
        self.directory.expire(now)
        for flow in list(self.asked):
            if now - self.asked[flow].at <= ASKED_SECONDS:
                return
            del self.asked[flow]

    def to_endpoint(self, packet: bytes, mark: int) -> None:
        """Hand a packet to the endpoint, under a mark."""
        self.local.send(self.codec.marked(packet, mark), self.endpoint_address)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to another daemon."""
        self.daemons.send(data, (address, self.settings.internal_port))
