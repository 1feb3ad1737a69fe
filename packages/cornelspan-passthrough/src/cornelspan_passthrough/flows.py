"""The flows of an agent's endpoint, tracked from the packets that pass the agent."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.packet_headers import PacketHeader
from cornelspan_passthrough.urgency import DEFAULT_URGENCY, Urgency

NO_REQUEST = 0.0
# A request that has run this many times the mean response time no longer counts against
# the endpoint's slots: its client has gone, or the endpoint fails without closing
# connections and will never answer. If such requests kept counting, a few of them would
# use all slots of a one-slot endpoint, and requests queued there would expire five
# seconds later. If a request does still run, the endpoint's own queue has room for one
# more.
LOST_REQUEST_FACTOR = 8.0
LOST_REQUEST_SECONDS = 0.4
# Sequence numbers have 32 bits, start anywhere and wrap around. A number is ahead of
# another if it is less than half the range further on.
SEQUENCE_MASK = 0xFFFFFFFF
AHEAD_RANGE = range(1, 1 << 31)
# Weight of a new sample in the moving average of response times.
RESPONSE_TIME_WEIGHT = 0.1
# With log-normal response times of standard deviation 0.5, a healthy endpoint takes
# this many times the mean for one request in 140.
OVERDUE_FACTOR = 3.0
# After this time without a sample, the response time is unknown and the endpoint is
# placed like an average one.
RESPONSE_TIME_VALID_SECONDS = 2.0
NEVER = float("-inf")
# Late packets of an ended flow are still sent to the endpoint, which answers them.
ENDED_FLOW_SECONDS = 10.0
MAX_FLOWS = 200_000
# Start times kept to count recently started flows.
MAX_RECENT_STARTS = 32


class UnconfirmedPacket(NamedTuple):
    """A packet of an unknown flow, sent on in case the endpoint holds the flow.

    ``balancer`` is the address of the balancer that sent the packet. ``is_try`` is set
    if that balancer is searching for the owner and has kept the packet.
    ``forwarded_at`` is when the packet went to the endpoint.
    """

    balancer: str
    is_try: bool
    forwarded_at: float


NO_UNCONFIRMED_PACKET = UnconfirmedPacket("", False, 0.0)


@dataclass(slots=True)
class TrackedFlow:
    """A flow that the endpoint holds or has been offered.

    ``balancer`` is the balancer that sent its latest packet, and ``homes`` are the
    agents that record its owner. ``urgency`` is that of its route when the flow opened.
    ``accepted`` is set once the endpoint has answered the first packet. ``established``
    is set once the endpoint has sent anything after that answer, so that it certainly
    holds the flow. ``ended`` is set once the endpoint has closed the flow, or the flow
    is removed. ``acknowledged`` is the client's latest acknowledgement number.

    ``request_started_at`` is when the current request was sent, ``NO_REQUEST`` for
    none. ``sent_up_to`` is the sequence number after the last byte sent to the
    endpoint, None before any data. ``is_learned`` is set if the flow was added
    because the endpoint sent a packet of it, usually after a restart of the agent. It
    is cleared by the first answer to a request that this process has sent.
    Times are of the event loop's clock, in seconds.
    """

    balancer: str
    homes: tuple[int, int]
    started_at: float
    last_used_at: float
    urgency: Urgency = DEFAULT_URGENCY
    accepted: bool = False
    established: bool = False
    ended: bool = False
    acknowledged: int = 0
    request_started_at: float = NO_REQUEST
    is_learned: bool = False
    sent_up_to: int | None = None


def is_retransmission(tracked: TrackedFlow, sequence: int, length: int) -> bool:
    """Whether the endpoint has already been sent all data of a packet.

    A client that lost an answer retransmits its request. The endpoint only sends its
    answer again, so the retransmission needs no slot and is not queued.
    """
    if tracked.sent_up_to is None:
        return False
    return (sequence + length - tracked.sent_up_to) & SEQUENCE_MASK not in AHEAD_RANGE


@dataclass
class FlowTable:
    """Flows by flow number.

    ``requests`` maps each flow with a running request to when the request was sent, in
    that order. ``open_flows`` counts flows that are established and have not ended.
    ``response_seconds`` is a moving average over requests.
    """

    flow_seconds: float
    by_flow: dict[int, TrackedFlow] = field(default_factory=dict)
    requests: dict[int, float] = field(default_factory=dict)
    open_flows: int = 0
    response_seconds: float = 0.0
    response_time_updated_at: float = NEVER
    recent_starts: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_STARTS)
    )
    response_times: Histogram = field(default_factory=Histogram)

    def __len__(self) -> int:
        return len(self.by_flow)

    @property
    def running(self) -> int:
        """How many requests are running at the endpoint."""
        return len(self.requests)

    def response_seconds_now(self, now: float) -> float:
        """Return the endpoint's current response time in seconds, 0.0 if unknown.

        A request that runs much longer than the average raises the value before its
        answer arrives. The average is discarded after some time without requests and
        answers, because the endpoint may have become faster or slower meanwhile.
        """
        started_at = next(iter(self.requests.values()), None)
        if started_at is not None:
            overdue = (now - started_at) / OVERDUE_FACTOR
            return max(self.response_seconds, overdue)
        return (
            self.response_seconds
            if now - self.response_time_updated_at <= RESPONSE_TIME_VALID_SECONDS
            else 0.0
        )

    def get(self, flow: int) -> TrackedFlow | None:
        """Return a flow, None if it is unknown."""
        return self.by_flow.get(flow)

    def start(
        self, flow: int, balancer: str, homes: tuple[int, int], now: float
    ) -> TrackedFlow:
        """Add a flow, replacing any earlier one with the same number.

        If there are ``MAX_FLOWS`` already, the flow that was added first is removed.
        """
        self.remove(flow)
        if len(self.by_flow) >= MAX_FLOWS:
            self.remove(next(iter(self.by_flow)))
        tracked = TrackedFlow(balancer, homes, now, now)
        self.by_flow[flow] = tracked
        self.recent_starts.append(now)
        return tracked

    def started_since(self, earliest: float) -> int:
        """Return how many of the latest flows started after a time."""
        return sum(1 for at in self.recent_starts if at > earliest)

    def record_sent(
        self, flow: int, tracked: TrackedFlow, header: PacketHeader, now: float
    ) -> None:
        """Record a packet that goes to the endpoint; new data starts a request."""
        tracked.last_used_at = now
        tracked.acknowledged = header.acknowledged
        if not header.length or is_retransmission(
            tracked, header.sequence, header.length
        ):
            return
        tracked.sent_up_to = (header.sequence + header.length) & SEQUENCE_MASK
        if tracked.request_started_at == NO_REQUEST:
            tracked.request_started_at = now
            self.requests[flow] = now

    def record_response(
        self, flow: int, tracked: TrackedFlow, length: int, now: float
    ) -> None:
        """Record a packet of the endpoint after its first; data ends the request."""
        tracked.last_used_at = now
        if not tracked.established:
            tracked.established = True
            self.open_flows += 1
        if length:
            self._complete_request(flow, tracked, now)
        elif tracked.is_learned:
            # An acknowledgement without data on a flow that opened before this process
            # started: the endpoint had received the request earlier, and its answer was
            # lost with the previous process. The endpoint retransmits that answer on
            # its own timer, up to 1.6 s later. Nothing runs meanwhile, so the request
            # uses no slot.
            self.end_request(flow, tracked)

    def _complete_request(self, flow: int, tracked: TrackedFlow, now: float) -> None:
        """End an answered request, and add its duration to the response times."""
        if tracked.request_started_at == NO_REQUEST:
            return
        duration = now - tracked.request_started_at
        tracked.is_learned = False
        self.end_request(flow, tracked)
        self.response_times.observe(duration)
        self.response_seconds += RESPONSE_TIME_WEIGHT * (
            duration - self.response_seconds
        )
        self.response_time_updated_at = now

    def end(self, flow: int, tracked: TrackedFlow) -> None:
        """Record that the endpoint has closed a flow, or that the flow is removed."""
        self.end_request(flow, tracked)
        if tracked.established and not tracked.ended:
            self.open_flows -= 1
        tracked.ended = True

    def end_request(self, flow: int, tracked: TrackedFlow) -> None:
        """Record that a flow's request is no longer running."""
        tracked.request_started_at = NO_REQUEST
        self.requests.pop(flow, None)

    def drop_lost_requests(self, now: float) -> int:
        """Stop counting requests that have run so long that no answer is expected.

        Returns:
            How many of them are failures of the endpoint. Requests on learned flows are
                left out, because they may have run before this process started.
        """
        multiple_of_mean = LOST_REQUEST_FACTOR * self.response_seconds
        limit = max(LOST_REQUEST_SECONDS, multiple_of_mean)
        lost = 0
        while self.requests:
            flow, started_at = next(iter(self.requests.items()))
            if now - started_at <= limit:
                break
            tracked = self.by_flow[flow]
            lost += not tracked.is_learned
            self.end_request(flow, tracked)
        return lost

    def remove(self, flow: int) -> TrackedFlow | None:
        """Remove a flow and return it, None if it is unknown."""
        tracked = self.by_flow.pop(flow, None)
        if tracked is not None:
            self.end(flow, tracked)
        return tracked

    def all(self) -> list[tuple[int, TrackedFlow]]:
        """Return all flows."""
        return list(self.by_flow.items())

    def sweep(self, now: float) -> None:
        """Remove flows that have ended or have been idle for too long."""
        for flow, tracked in list(self.by_flow.items()):
            retention_seconds = (
                ENDED_FLOW_SECONDS if tracked.ended else self.flow_seconds
            )
            if now - tracked.last_used_at > retention_seconds:
                self.remove(flow)
