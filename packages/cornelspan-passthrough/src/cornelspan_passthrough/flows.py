"""The flows that an agent's endpoint holds, as the agent sees them go by."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelspan_passthrough.histograms import Histogram
from cornelspan_passthrough.packet_headers import PacketHeader
from cornelspan_passthrough.urgency import DEFAULT_URGENCY, Urgency

NO_REQUEST = 0.0
# A request that has run this many times the usual is no longer taken to fill a slot:
# its client has gone, or the endpoint is grey and will never answer. Counted on, a few
# of them took up all the room of a one-slot endpoint, and what waited there was dropped
# unrun five seconds later. Should it still run, the endpoint's own queue has room.
LOST_REQUEST_FACTOR = 8.0
LOST_REQUEST_SECONDS = 0.4
# Sequence numbers have 32 bits and begin anywhere; what is less than half of them ahead
# is ahead.
SEQUENCE_MASK = 0xFFFFFFFF
AHEAD_RANGE = range(1, 1 << 31)
# The share of a new measure in the endpoint's pace.
RESPONSE_TIME_WEIGHT = 0.1
# With log-normal times of a deviation of 0.5 one request in 140 runs for so much longer
# than the mean of a sound endpoint.
OVERDUE_FACTOR = 3.0
# An endpoint that gets nothing is tried again after this, as one of usual pace.
RESPONSE_TIME_VALID_SECONDS = 2.0
NEVER = float("-inf")
# Late packets of a flow that has ended still go to the endpoint, which answers them.
ENDED_FLOW_SECONDS = 10.0
MAX_FLOWS = 200_000
# Starts of flows that are kept to tell how many began of late.
MAX_RECENT_STARTS = 32


class UnconfirmedPacket(NamedTuple):
    """A packet of an unknown flow that the endpoint has been handed.

    ``balancer`` is the balancer it came from, ``at`` when. ``is_try`` says that the
    balancer seeks the owner and keeps the packet.
    """

    balancer: str
    is_try: bool
    forwarded_at: float


NO_UNCONFIRMED_PACKET = UnconfirmedPacket("", False, 0.0)


@dataclass(slots=True)
class OwnedFlow:
    """One flow.

    ``balancer`` is the balancer that its first packet came over and ``homes`` the agents
    that record the owner. ``urgency`` is what the route said when the flow
    opened. ``established`` says that the endpoint surely holds it, as it has sent more
    than its answer to the first packet. ``acknowledged`` is what the client has
    acknowledged last. ``request_started_at`` is when a request began, ``NO_REQUEST`` for none.
    ``is_learned`` says that the flow opened before this process started, and that no
    request that this process saw has been answered yet. ``sent_up_to`` is the sequence
    number up to which the endpoint got data, None before the first. Times are of the
    loop's clock, in seconds.
    """

    balancer: str
    homes: tuple[int, int]
    started_at: float
    used_at: float
    urgency: Urgency = DEFAULT_URGENCY
    accepted: bool = False
    established: bool = False
    ended: bool = False
    acknowledged: int = 0
    request_started_at: float = NO_REQUEST
    is_learned: bool = False
    sent_up_to: int | None = None


def is_retransmission(owned: OwnedFlow, sequence: int, length: int) -> bool:
    """Whether the endpoint has been handed all data of a packet before.

    A client that lost an answer repeats its request. The endpoint only sends its answer
    again, so the repeat is no work and need not wait.
    """
    if owned.sent_up_to is None:
        return False
    return (sequence + length - owned.sent_up_to) & SEQUENCE_MASK not in AHEAD_RANGE


@dataclass
class FlowTable:
    """Flows by number.

    ``requests`` holds when each flow's request went to the endpoint, in that order.
    ``open_flows`` counts flows that are open and have not ended: what will send again.
    """

    flow_seconds: float
    by_flow: dict[int, OwnedFlow] = field(default_factory=dict)
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
        """How many requests are at the endpoint."""
        return len(self.requests)

    def response_seconds_now(self, now: float) -> float:
        """Return how long the endpoint takes for a request now, 0.0 if not known.

        A request that has run for much longer than usual says so before its answer
        does. Without a request and an answer for some time the endpoint may have
        become quick or slow unseen.
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

    def get(self, flow: int) -> OwnedFlow | None:
        """Return a flow, None if it isn't known here."""
        return self.by_flow.get(flow)

    def start(
        self, flow: int, balancer: str, homes: tuple[int, int], now: float
    ) -> OwnedFlow:
        """Begin a flow in place of any older one of its number."""
        self.remove(flow)
        if len(self.by_flow) >= MAX_FLOWS:
            self.remove(next(iter(self.by_flow)))
        owned = OwnedFlow(balancer, homes, now, now)
        self.by_flow[flow] = owned
        self.recent_starts.append(now)
        return owned

    def started_since(self, earliest: float) -> int:
        """Return how many flows began after a time, as far as kept."""
        return sum(1 for at in self.recent_starts if at > earliest)

    def record_sent(
        self, flow: int, owned: OwnedFlow, header: PacketHeader, now: float
    ) -> None:
        """Note a packet on its way to the endpoint; new data begins a request."""
        owned.used_at = now
        owned.acknowledged = header.acknowledged
        if not header.length or is_retransmission(
            owned, header.sequence, header.length
        ):
            return
        owned.sent_up_to = (header.sequence + header.length) & SEQUENCE_MASK
        if owned.request_started_at == NO_REQUEST:
            owned.request_started_at = now
            self.requests[flow] = now

    def record_response(
        self, flow: int, owned: OwnedFlow, length: int, now: float
    ) -> None:
        """Note a packet of the endpoint after its first; data answers the request."""
        owned.used_at = now
        if not owned.established:
            owned.established = True
            self.open_flows += 1
        if length:
            self._complete_request(flow, owned, now)
        elif owned.is_learned:
            # An acknowledgement without data, on a flow that opened before this process
            # started: the endpoint has had the request before. Its answer was lost with
            # that process, and it sends that again by its own clock, up to 1.6 s later.
            # Nothing runs, so no slot is filled.
            self.end_request(flow, owned)

    def _complete_request(self, flow: int, owned: OwnedFlow, now: float) -> None:
        if owned.request_started_at == NO_REQUEST:
            return
        duration = now - owned.request_started_at
        owned.is_learned = False
        self.end_request(flow, owned)
        self.response_times.observe(duration)
        self.response_seconds += RESPONSE_TIME_WEIGHT * (
            duration - self.response_seconds
        )
        self.response_time_updated_at = now

    def end(self, flow: int, owned: OwnedFlow) -> None:
        """Note that one of its ends has closed a flow."""
        self.end_request(flow, owned)
        if owned.established and not owned.ended:
            self.open_flows -= 1
        owned.ended = True

    def end_request(self, flow: int, owned: OwnedFlow) -> None:
        """Note that a flow's request no longer runs."""
        owned.request_started_at = NO_REQUEST
        self.requests.pop(flow, None)

    def drop_lost_requests(self, now: float) -> int:
        """Forget requests that have run for so long that they are taken for lost.

        Returns:
            How many of them this process has seen begin.
        """
        multiple_of_mean = LOST_REQUEST_FACTOR * self.response_seconds
        limit = max(LOST_REQUEST_SECONDS, multiple_of_mean)
        lost = 0
        while self.requests:
            flow, started_at = next(iter(self.requests.items()))
            if now - started_at <= limit:
                break
            owned = self.by_flow[flow]
            lost += not owned.is_learned
            self.end_request(flow, owned)
        return lost

    def remove(self, flow: int) -> OwnedFlow | None:
        """Forget a flow and return it."""
        owned = self.by_flow.pop(flow, None)
        if owned is not None:
            self.end(flow, owned)
        return owned

    def all(self) -> list[tuple[int, OwnedFlow]]:
        """Return all flows."""
        return list(self.by_flow.items())

    def sweep(self, now: float) -> None:
        """Forget flows that have ended, or are too old to be spoken of."""
        for flow, owned in list(self.by_flow.items()):
            retention_seconds = ENDED_FLOW_SECONDS if owned.ended else self.flow_seconds
            if now - owned.used_at > retention_seconds:
                self.remove(flow)
