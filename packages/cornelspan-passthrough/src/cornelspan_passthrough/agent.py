"""The pass-through agent: hands packets to its endpoint and the endpoint's to clients.

It decides only whether its endpoint takes a new flow, and says so when it doesn't hold
a flow. Beside that it records the owners of the flows that it is home of.
"""

from collections import Counter
from dataclasses import dataclass, field
from ipaddress import IPv4Address

import msgspec

from cornelspan_common.logs import get_log
from cornelspan_passthrough import hops
from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.endpoint import Endpoint, Report
from cornelspan_passthrough.flows import (
    NO_REQUEST,
    Directory,
    FlowTable,
    OwnedFlow,
)
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
from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.members import service_tag
from cornelspan_passthrough.pulses import DOWN, DRAINING, READY, Ping, Pong
from cornelspan_passthrough.settings import PassthroughAgentSettings, socket_address
from cornelspan_passthrough.waiting import Held, WaitingLine

NO_HOMES = (hops.NOBODY, hops.NOBODY)
# Questions that wait for the endpoint's word; it answers within its own round trip.
ASKED_LIMIT = 4096
ASKED_SECONDS = 2.0
# Flows are recorded a quarter longer than they may be open, so that no record ends
# before its flow does.
RECORD_MARGIN = 1.25
# Number of a pong that answers no ping.
UNASKED = 0
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
    unknown here while the endpoint may hold them. ``asked`` holds, for each flow in
    doubt, the balancer that asked and when. ``balancers`` are those that have pinged.
    """

    settings: PassthroughAgentSettings
    codec: PacketCodec
    local: DatagramSocket
    daemons: DatagramSocket
    started_at: float
    counts: Counter[str] = field(default_factory=Counter)
    asked: dict[int, tuple[str, float]] = field(default_factory=dict)
    balancers: set[str] = field(default_factory=set)
    pinged_at: float = 0.0
    unlisted_at: float | None = None
    stopping: bool = False

    def __post_init__(self) -> None:
        settings = self.settings
        kept = settings.flow_seconds * RECORD_MARGIN
        self.flows = FlowTable(kept)
        self.directory = Directory(kept)
        self.waiting = WaitingLine()
        self.waiting_times = Histogram()
        self.endpoint = Endpoint(
            settings.service, settings.report_milliseconds / 1000, self.started_at
        )
        self.tag = service_tag(settings.service)
        self.own_address = int(IPv4Address(settings.address))
        self.endpoint_address = socket_address(settings.endpoint)
        self.client_port = socket_address(settings.packets)[1]

    # Datagrams of daemons

    def from_daemon(self, data: bytes, sender: str, now: float) -> None:
        """Take a datagram of another daemon."""
        kind = data[0] if data else 0
        if kind in (hops.DELIVER, hops.TRY):
            self._deliver(data[1:], kind, sender, now)
        elif kind == hops.OPEN:
            hop = hops.decode_open(data)
            if hop is None:
                self.counts["broken_datagrams"] += 1
                return
            self._open(hop, sender, now)
        elif kind == hops.ASK:
            note = hops.decode_note(data)
            if note is not None:
                self._send(sender, self._answer_ask(note.flow, now))
        elif kind == hops.FIND:
            self._find(data[1:], sender, now)
        elif kind == hops.PASSED and len(data) > hops.PASSED_HEAD:
            origin, packet = hops.decode_passed(data)
            self._deliver(packet, hops.DELIVER, origin, now)
        elif kind == hops.RECORD:
            note = hops.decode_note(data)
            if note is not None:
                self.directory.record(note.flow, note.agent, now)
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
            self._to_endpoint(hop.packet, hops.OPEN)
            return
        refusal = self._refusal(hop, now)
        if refusal:
            self._refuse(head.flow, refusal, hop.packet, origin)
            return
        owned = self.flows.start(head.flow, origin, hop.homes, now)
        owned.priority = hop.priority
        owned.budget_seconds = hop.budget_milliseconds / 1000
        self.counts["flows_offered"] += 1
        self._to_endpoint(hop.packet, hops.OPEN)

    def _refusal(self, hop: hops.Open, now: float) -> int:
        """Return why the endpoint takes no new flow now; 0 if it does."""
        if hop.service_tag != self.tag:
            return hops.FOREIGN_SERVICE
        if self.endpoint.state == DRAINING:
            return hops.ENDPOINT_LEAVES
        if self.endpoint.state == DOWN or self.stopping:
            return hops.ENDPOINT_DOWN
        if not hop.is_final and self._is_busy(now):
            return hops.ENDPOINT_BUSY
        return 0

    def _is_busy(self, now: float) -> bool:
        """Whether new flows should rather go elsewhere.

        Balancers know the load of some hundred milliseconds ago. In a crowd each of
        them sends its share to the same idle endpoint before any hears of the others.
        """
        coming = self.flows.opened_since(now - COMING_SECONDS)
        busy = self.flows.running + len(self.waiting) + coming
        return busy >= BUSY_FACTOR * self.endpoint.capacity + QUEUED_REQUESTS

    def _refuse(self, flow: int, reason: int, packet: bytes, origin: str) -> None:
        log.info(
            "flow handed back",
            extra={
                "flow": flow_text(flow),
                "reason": hops.REASONS[reason],
                "balancer": origin,
                "life": self.endpoint.life,
            },
        )
        self.counts["flows_handed_back"] += 1
        note = hops.encode_note(hops.REFUSED, flow, detail=reason, packet=packet)
        self._send(origin, note)

    def _deliver(self, packet: bytes, kind: int, origin: str, now: float) -> None:
        """Hand a packet to the endpoint if it holds the flow, or may do so."""
        head = self.codec.read_client(packet)
        if head is None:
            self.counts["broken_packets"] += 1
            return
        owned = self.flows.get(head.flow)
        if owned is not None:
            owned.origin = origin
            self._forward(head, owned, packet, now)
            return
        if not self._may_hold_unknown(now):
            self._say_not_here(head.flow, origin, packet)
            return
        self._note_question(head.flow, origin, now)
        self._to_endpoint(packet, kind)

    def _forward(self, head: Head, owned: OwnedFlow, packet: bytes, now: float) -> None:
        """Hand a packet of a flow to the endpoint, or hold its request for room."""
        if head.length and owned.request_at == NO_REQUEST:
            if self.waiting.holds(head.flow):
                self.waiting.add(head.flow, packet, head.sequence)
                return
            if self.flows.running >= self._room():
                deadline = now + owned.budget_seconds
                held = Held(owned.priority, deadline, now)
                self.waiting.hold(head.flow, held, packet, head.sequence)
                self.counts["requests_held"] += 1
                log.info(
                    "request held",
                    extra={
                        "flow": flow_text(head.flow),
                        "priority": owned.priority,
                        "running": self.flows.running,
                        "room": self._room(),
                        "waiting": len(self.waiting),
                    },
                )
                return
        elif head.flags & (FIN | RST):
            self.waiting.remove(head.flow)
        self.flows.sent(owned, head.acknowledged, head.length, now)
        self._to_endpoint(packet, hops.DELIVER)

    def _room(self) -> int:
        """How many requests may be at the endpoint at once."""
        return self.endpoint.capacity + QUEUED_REQUESTS

    def _release(self, now: float) -> None:
        """Hand over requests that wait, as far as there is room."""
        while self.flows.running < self._room():
            for expired in self.waiting.forget_expired(now):
                extra = {"flow": flow_text(expired), "reason": "time budget spent"}
                log.info("request dropped unrun", extra=extra)
            taken = self.waiting.take(now, self.flows.pace_seconds)
            if taken is None:
                return
            flow, held = taken
            owned = self.flows.get(flow)
            if owned is None:
                continue
            waited = now - held.since
            self.waiting_times.observe(waited)
            extra = {"flow": flow_text(flow), "waited_ms": round(waited * 1000)}
            log.info("request released", extra=extra)
            for packet in held.packets.values():
                head = self.codec.read_client(packet)
                if head is not None:
                    self.flows.sent(owned, head.acknowledged, head.length, now)
                    self._to_endpoint(packet, hops.DELIVER)

    def _answer_ask(self, flow: int, now: float) -> bytes:
        """Return the answer to a balancer that seeks the owner of a flow."""
        if self.flows.get(flow) is not None:
            return hops.encode_note(hops.OWNED, flow, agent=self.own_address)
        if self._may_hold_unknown(now):
            return hops.encode_note(hops.MAYBE, flow)
        return hops.encode_note(hops.NOT_HERE, flow)

    def _may_hold_unknown(self, now: float) -> bool:
        """Whether the endpoint may hold a flow that opened before this process did.

        An agent that is restarted beside a living endpoint has forgotten its flows. The
        endpoint itself tells: it sends back what it doesn't hold. One that was still
        cold at its first report began about when this process did, after a common loss
        of power; it has no flows of an earlier time, and saying so at once saves a
        packet to each endpoint for each dead flow.
        """
        if self.endpoint.has_started_fresh:
            return False
        if self.endpoint.state == DOWN or self.endpoint.is_silent:
            return False
        return now - self.started_at < self.flows.flow_seconds

    def _note_question(self, flow: int, origin: str, now: float) -> None:
        self.asked.pop(flow, None)
        self.asked[flow] = (origin, now)
        if len(self.asked) > ASKED_LIMIT:
            del self.asked[next(iter(self.asked))]

    def _say_not_here(self, flow: int, origin: str, packet: bytes) -> None:
        self.counts["flows_not_here"] += 1
        self._send(origin, hops.encode_note(hops.NOT_HERE, flow, packet=packet))

    def _find(self, packet: bytes, origin: str, now: float) -> None:
        """Pass a packet on to the owner that is recorded here, and name it."""
        head = self.codec.read_client(packet)
        if head is None:
            self.counts["broken_packets"] += 1
            return
        if self.flows.get(head.flow) is not None:
            self._tell_owner(head.flow, origin)
            self._deliver(packet, hops.DELIVER, origin, now)
            return
        owner = self.directory.owner(head.flow)
        if owner is None or owner == self.own_address:
            self._send(origin, hops.encode_note(hops.UNKNOWN, head.flow))
            return
        self._send(origin, hops.encode_note(hops.OWNED, head.flow, agent=owner))
        # The balancer sends what follows to the owner; this packet goes with the name,
        # as coming from it, so that the owner's word goes to the balancer too.
        self._send(address_text(owner), hops.encode_passed(packet, origin))

    def _tell_owner(self, flow: int, origin: str) -> None:
        note = hops.encode_note(hops.OWNED, flow, agent=self.own_address)
        self._send(origin, note)

    def _ping(self, data: bytes, sender: str, now: float) -> None:
        try:
            ping = msgspec.msgpack.decode(data[1:], type=Ping)
        except msgspec.DecodeError:
            self.counts["broken_datagrams"] += 1
            return
        self.pinged_at = now
        self.balancers.add(sender)
        if ping.listed:
            self.unlisted_at = None
        elif self.unlisted_at is None:
            self.unlisted_at = now
        self._send(sender, self._pong(ping.number, now))

    def _pong(self, number: int, now: float) -> bytes:
        endpoint = self.endpoint
        pong = Pong(
            number,
            self.settings.address,
            self.settings.datacentre,
            self.settings.service,
            DOWN if self.stopping else endpoint.state,
            endpoint.capacity,
            self.flows.running + len(self.waiting),
            len(self.flows),
            endpoint.cold_milliseconds(now),
            round(self.flows.pace_seconds * 1000),
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
            return
        self.local.send(data, (client_address(head.flow), self.client_port))
        owned = self.flows.get(head.flow)
        if owned is None:
            owned = self._learn(head, now)
        if head.flags & SYN:
            self._taken(head.flow, owned)
            return
        self.flows.answered(owned, head.length, now)
        if head.flags & (FIN | RST):
            owned.ended = True
            self.flows.end_request(owned)
            self.waiting.remove(head.flow)
        self._release(now)

    def _learn(self, head: Head, now: float) -> OwnedFlow:
        """Take in a flow that opened before this process started."""
        origin, _ = self.asked.pop(head.flow, ("", 0.0))
        owned = self.flows.start(head.flow, origin, NO_HOMES, now)
        owned.answered = True
        if origin:
            self._tell_owner(head.flow, origin)
        return owned

    def _taken(self, flow: int, owned: OwnedFlow) -> None:
        """Tell the balancer and the homes that the endpoint has taken a flow."""
        if owned.answered:
            return
        owned.answered = True
        self.counts["flows_taken"] += 1
        if owned.origin:
            self._tell_owner(flow, owned.origin)
        for home in owned.homes:
            if home not in (hops.NOBODY, self.own_address):
                note = hops.encode_note(hops.RECORD, flow, agent=self.own_address)
                self._send(address_text(home), note)

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
            self._end_dead_flow(head.flow, owned, "endpoint forgot it")
            return
        origin, _ = self.asked.pop(head.flow, ("", 0.0))
        if owned is not None:
            # The endpoint had answered a first packet whose client took up another's
            # answer.
            origin = owned.origin
            self.flows.remove(head.flow)
        if origin:
            self._say_not_here(head.flow, origin, packet)

    def _end_dead_flow(self, flow: int, owned: OwnedFlow, reason: str) -> None:
        """Reset a flow that its endpoint no longer holds.

        Its client would repeat packets until its time budget ends; told at once, it
        tries again while there is time.
        """
        self.flows.remove(flow)
        self.waiting.remove(flow)
        self.counts["dead_flows"] += 1
        log.info("flow dead, reset", extra={"flow": flow_text(flow), "reason": reason})
        packet = self.codec.reset(flow, owned.acknowledged)
        self.local.send(packet, (client_address(flow), self.client_port))

    # The endpoint's reports

    def report(self, report: Report, now: float) -> None:
        """Take in a report of the endpoint."""
        was = (self.endpoint.life, self.endpoint.state)
        begins = self.endpoint.report(report, now)
        if (self.endpoint.life, self.endpoint.state) != was:
            self._log_endpoint("endpoint reported")
            self._tell_balancers(now)
        if begins:
            self._end_flows("endpoint restarted")

    def _tell_balancers(self, now: float) -> None:
        """Tell the balancers of a change without being asked.

        Their next ping may be a few hundred milliseconds away: so long would a new
        endpoint get no flow, and one that leaves get some that it hands back.
        """
        for balancer in self.balancers:
            self._send(balancer, self._pong(UNASKED, now))

    def leave(self, life: str) -> None:
        """Take in that the endpoint has gone."""
        if self.endpoint.leave(life):
            self._log_endpoint("endpoint left")
            self._end_flows("endpoint left")

    def endpoint_refuses(self) -> None:
        """Take in that nothing listens at the endpoint's address any more."""
        self.endpoint.down()
        self._log_endpoint("endpoint down")
        self._end_flows("endpoint down")

    def _end_flows(self, reason: str) -> None:
        """Reset the flows of an endpoint's life that has ended."""
        for flow, owned in self.flows.clear():
            if not owned.ended:
                self._end_dead_flow(flow, owned, reason)

    def _log_endpoint(self, event: str) -> None:
        endpoint = self.endpoint
        names = {READY: "ready", DRAINING: "draining", DOWN: "down"}
        extra = {
            "life": endpoint.life,
            "state": names[endpoint.state],
            "sequence": endpoint.sequence,
            "capacity": endpoint.capacity,
            "flows": len(self.flows),
        }
        log.info(event, extra=extra)

    def sweep(self, now: float) -> None:
        """Forget what is too old."""
        self.flows.sweep(now)
        self._release(now)
        self.directory.sweep(now)
        for flow in list(self.asked):
            if now - self.asked[flow][1] <= ASKED_SECONDS:
                return
            del self.asked[flow]

    def _to_endpoint(self, packet: bytes, mark: int) -> None:
        self.local.send(self.codec.marked(packet, mark), self.endpoint_address)

    def _send(self, address: str, data: bytes) -> None:
        self.daemons.send(data, (address, self.settings.internal_port))
