"""The sending half of a channel: what is under way, and when to repeat it."""

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
    """One packet under way."""

    kind: int
    body: bytes
    sent_at: float
    attempts: int = 1


class Sending:
    """Packets not yet acknowledged, the peer's window and the time-out."""

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
        """Whether this side has closed and the peer has everything."""
        return self.closed and not self.unacknowledged

    def can_send(self, size: int) -> bool:
        """Whether a packet of a size may go out now.

        With nothing under way one may always go, even at a closed window: its answer
        tells when the window opens, and no lost update can stall the flow.
        """
        if not self.unacknowledged:
            return True
        if len(self.unacknowledged) >= self.congestion_window:
            return False
        return self.bytes_in_flight + size <= self.peer_window

    def add(self, kind: int, body: bytes, now: float) -> int:
        """Note a new packet as sent and return its sequence."""
        sequence = self.next_sequence
        self.next_sequence += 1
        self.unacknowledged[sequence] = Segment(kind, body, now)
        self.bytes_in_flight += len(body)
        return sequence

    def mark_retransmitted(self, sequence: int, now: float) -> Segment:
        """Note a packet as sent again and return it."""
        segment = self.unacknowledged[sequence]
        segment.sent_at = now
        segment.attempts += 1
        return segment

    def acknowledge(
        self, upto: int, selective: tuple[int, ...], window: int, now: float
    ) -> list[int]:
        """Take in an acknowledgement.

        Args:
            upto: Highest sequence up to which the peer has all.
            selective: Sequences beyond it that the peer has too.
            window: Bytes that the peer can take.
            now: Time of the loop, in seconds.

        Returns:
            Sequences that are lost: another sent clearly later has arrived.
        """
        if upto >= self.highest_acknowledged:
            # An answer that was overtaken tells of a window that has been used since;
            # believed, it would let more be sent than the peer can hold.
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
        """Back off after a time-out.

        Returns:
            The oldest sequence, to be sent again; None if the peer is lost.
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
            # A repeated packet's answer may be to either copy, so it says nothing of
            # the round trip (Karn's rule).
            self._update_timeout(now - segment.sent_at)

    def _update_timeout(self, round_trip: float) -> None:
        """RFC 6298, with a floor that fits data centres."""
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
        """Packets sent so long before one that arrived that they can't be on the way.

        The fabric sprays packets over balancers, so some overtake others. Counting
        three later arrivals, as older TCP does, would repeat much that is not lost.
        """
        reorder_window = max(REORDER_SECONDS, self.smoothed_rtt / 4)
        limit = self.newest_sent_at - reorder_window
        return [s for s, seg in self.unacknowledged.items() if seg.sent_at < limit]
