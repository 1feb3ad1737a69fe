"""The sending half of a channel: packets in flight, and when to retransmit them."""

from dataclasses import dataclass
from itertools import takewhile

MIN_TIMEOUT_SECONDS = 0.03
MAX_TIMEOUT_SECONDS = 2.0
INITIAL_TIMEOUT_SECONDS = 0.2
MAX_TIMEOUTS = 16
INITIAL_WINDOW_PACKETS = 10
MIN_WINDOW_PACKETS = 4
MAX_WINDOW_PACKETS = 128
REORDER_SECONDS = 0.004


@dataclass(slots=True)
class Segment:
    """One packet in flight."""

    kind: int
    body: bytes
    sent_at: float
    attempts: int = 1


class Sending:
    """Unacknowledged packets, the windows and the retransmission timeout.

    ``congestion_window`` counts packets, ``peer_window`` bytes; times are in seconds.
    """

    def __init__(self) -> None:
        self.next_sequence = 1
        self.unacknowledged: dict[int, Segment] = {}
        self.bytes_in_flight = 0
        self.peer_window = INITIAL_WINDOW_PACKETS * 16384
        self.congestion_window = float(INITIAL_WINDOW_PACKETS)
        self.smoothed_rtt = 0.0
        self.rtt_variation = 0.0
        self.timeout = INITIAL_TIMEOUT_SECONDS
        self.newest_sent_at = 0.0
        self.timeouts = 0
        self.highest_acknowledged = 0
        self.closed = False

    @property
    def finished(self) -> bool:
        """Whether this side is closed and the peer has acknowledged everything."""
        return self.closed and not self.unacknowledged

    def can_send(self, size: int) -> bool:
        """Whether a packet of ``size`` bytes may be sent now.

        With nothing in flight one packet may always be sent, even at a closed window.
        Its acknowledgement carries the window, so a lost update can't stall the flow.
        """
        if not self.unacknowledged:
            return True
        if len(self.unacknowledged) >= self.congestion_window:
            return False
        return self.bytes_in_flight + size <= self.peer_window

    def add(self, kind: int, body: bytes, now: float) -> int:
        """Record a new packet as sent and return its sequence number."""
        sequence = self.next_sequence
        self.next_sequence += 1
        self.unacknowledged[sequence] = Segment(kind, body, now)
        self.bytes_in_flight += len(body)
        return sequence

    def mark_retransmitted(self, sequence: int, now: float) -> Segment:
        """Record a packet as retransmitted and return it."""
        segment = self.unacknowledged[sequence]
        segment.sent_at = now
        segment.attempts += 1
        return segment

    def acknowledge(
        self, upto: int, selective: tuple[int, ...], window: int, now: float
    ) -> list[int]:
        """Process an acknowledgement.

        Args:
            upto: Cumulative acknowledgement: the peer has all packets up to this one.
            selective: Sequence numbers beyond it that the peer has too.
            window: Bytes that the peer can receive.
            now: Time of the event loop in seconds.

        Returns:
            Sequence numbers of lost packets, to be retransmitted.
        """
        if upto >= self.highest_acknowledged:
            # An acknowledgement that arrives late has an outdated window, part of
            # which is used by now. Applied, it would overrun the peer's buffer.
            self.highest_acknowledged = upto
            self.peer_window = window
        newly_acknowledged = list(
            takewhile(lambda sequence: sequence <= upto, self.unacknowledged)
        )
        newly_acknowledged += [
            s for s in selective if s in self.unacknowledged and s > upto
        ]
        if not newly_acknowledged:
            return []
        self.timeouts = 0
        for sequence in newly_acknowledged:
            self._record_acknowledged(self.unacknowledged.pop(sequence), now)
        return self._lost_sequences()

    def time_out(self) -> int | None:
        """Back off after a timeout.

        Returns:
            The oldest sequence number, to be retransmitted; None after more than
            ``MAX_TIMEOUTS`` in a row, when the peer counts as lost.
        """
        self.timeouts += 1
        if self.timeouts > MAX_TIMEOUTS:
            return None
        self.timeout = min(MAX_TIMEOUT_SECONDS, self.timeout * 2)
        self.congestion_window = max(MIN_WINDOW_PACKETS, self.congestion_window / 2)
        return min(self.unacknowledged)

    def _record_acknowledged(self, segment: Segment, now: float) -> None:
        self.bytes_in_flight -= len(segment.body)
        self.congestion_window = min(
            MAX_WINDOW_PACKETS, self.congestion_window + 1 / self.congestion_window
        )
        self.newest_sent_at = max(self.newest_sent_at, segment.sent_at)
        if segment.attempts == 1:
            # The acknowledgement of a retransmitted packet may be for either copy, so
            # it can't be used to measure the round trip (Karn's algorithm).
            self._update_timeout(now - segment.sent_at)

    def _update_timeout(self, round_trip: float) -> None:
        """Update the timeout by RFC 6298, with a minimum that fits data centres."""
        if self.smoothed_rtt == 0.0:
            self.smoothed_rtt = round_trip
            self.rtt_variation = round_trip / 2
        else:
            self.rtt_variation += (
                abs(self.smoothed_rtt - round_trip) - self.rtt_variation
            ) / 4
            self.smoothed_rtt += (round_trip - self.smoothed_rtt) / 8
        timeout_seconds = self.smoothed_rtt + 4 * self.rtt_variation
        self.timeout = min(
            MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, timeout_seconds)
        )

    def _lost_sequences(self) -> list[int]:
        """Return packets sent so long before an acknowledged one that they are lost.

        The fabric sprays packets over balancers, which reorders them. The rule of three
        duplicate acknowledgements of older TCP would retransmit many that aren't lost.
        """
        reorder_window = max(REORDER_SECONDS, self.smoothed_rtt / 4)
        limit = self.newest_sent_at - reorder_window
        return [s for s, seg in self.unacknowledged.items() if seg.sent_at < limit]
