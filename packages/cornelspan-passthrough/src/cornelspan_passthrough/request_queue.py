"""Requests that wait at an agent until its endpoint has a free slot.

Under a burst of load, such as after an outage, an endpoint gets more requests than it
can run. It would queue some and shed the rest, whatever their priority, and the callers
would retry at once. Queued at the agent instead, requests are released as slots become
free: the highest priority first, and within a priority those that can still be answered
on time.

    queue = RequestQueue()
    deadlines = Deadlines(11.2, 12.5)
    queue.push(flow, QueuedRequest(1, deadlines, queued_at=11.0), packet, sequence)
    queue.pop(now=11.0, response_seconds=0.04)
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelspan_passthrough.urgency import Deadlines

# A client has at most this many packets of a flow in flight.
MAX_FLOW_PACKETS = 16
# Maximum number of queued requests. With two slots and 40 ms a request, this is more
# than can be answered within a time budget of some seconds. Beyond it, the request that
# was queued first is dropped.
MAX_REQUESTS = 512


@dataclass(slots=True)
class QueuedRequest:
    """A flow's request that waits.

    ``priority`` is that of the route, 0 the highest. ``deadlines`` are when an answer
    is no longer on time and when the caller gives up, ``queued_at`` is when the request
    began to wait, in seconds of the event loop's clock. ``packets`` are by sequence
    number, so that a retransmission takes no space.
    """

    priority: int
    deadlines: Deadlines
    queued_at: float
    packets: dict[int, bytes] = field(default_factory=dict)


RequestOrder = Callable[[QueuedRequest, float], tuple[float, ...]]


def on_time_first(
    request: QueuedRequest, earliest_response: float
) -> tuple[float, ...]:
    """Return a request's sort key; the request with the lowest key is released first.

    Requests that can't be answered before their caller gives up come last. Otherwise
    the oldest requests of a burst would each run just too late.

    Within a priority, requests that can still be answered on time come before those
    that are already late. Ordered by age or deadline alone, a backlog would delay every
    later request past its target until the backlog is gone. At a load of 1.1 times the
    endpoints' capacity, 82 % of requests are answered on time, compared with 36 % in
    the order of deadlines and 22 % in the order of age (``cornelspan experiment
    experiments/crowd.json``, ten seconds, mean of three seeds).

    Args:
        request: The request.
        earliest_response: When the request would be answered if it ran now.
    """
    target, deadline = request.deadlines
    return (
        deadline < earliest_response,
        request.priority,
        target < earliest_response,
        deadline,
    )


@dataclass
class RequestQueue:
    """The waiting requests by flow.

    ``order`` gives the sort key by which requests are released. ``dropped`` counts
    requests that expired or were removed from a full queue, ``dropped_packets`` those
    that ``add_packet`` dropped.
    """

    order: RequestOrder = on_time_first

    by_flow: dict[int, QueuedRequest] = field(default_factory=dict)
    dropped_packets: int = 0
    dropped: int = 0

    def __len__(self) -> int:
        return len(self.by_flow)

    def contains(self, flow: int) -> bool:
        """Whether a request of a flow is queued."""
        return flow in self.by_flow

    def push(
        self, flow: int, request: QueuedRequest, packet: bytes, sequence: int
    ) -> None:
        """Queue a request with the packet that starts it.

        If the queue is full, the request that was queued first is dropped.
        """
        if len(self.by_flow) >= MAX_REQUESTS:
            del self.by_flow[next(iter(self.by_flow))]
            self.dropped += 1
        request.packets[sequence] = packet
        self.by_flow[flow] = request

    def add_packet(self, flow: int, packet: bytes, sequence: int) -> None:
        """Add a packet to a queued request.

        Retransmissions and packets beyond ``MAX_FLOW_PACKETS`` are dropped.
        """
        packets = self.by_flow[flow].packets
        if sequence in packets or len(packets) >= MAX_FLOW_PACKETS:
            self.dropped_packets += 1
            return
        packets[sequence] = packet

    def remove(self, flow: int) -> None:
        """Remove the request of a flow that has ended."""
        self.by_flow.pop(flow, None)

    def pop(
        self, now: float, response_seconds: float
    ) -> tuple[int, QueuedRequest] | None:
        """Remove and return the request to release next, None if none is queued."""
        if not self.by_flow:
            return None
        earliest_response = now + response_seconds
        flow = min(
            self.by_flow,
            key=lambda flow: self.order(self.by_flow[flow], earliest_response),
        )
        return flow, self.by_flow.pop(flow)

    def drop_expired(self, now: float) -> list[int]:
        """Drop requests whose callers have given up, and return their flows.

        If they ran, they would use slots for answers that nobody receives.
        """
        flows = [
            flow
            for flow, request in self.by_flow.items()
            if request.deadlines.deadline <= now
        ]
        for flow in flows:
            del self.by_flow[flow]
        self.dropped += len(flows)
        return flows
