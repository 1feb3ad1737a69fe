"""When an agent sends its load to its peers, and which new flows count as load."""

from collections import deque

from cornelspan_common.channel import Channel
from cornelspan_common.ownership import Load
from cornelspan_ownership.placement import (
    LOAD_INTERVAL_SECONDS,
    OwnLoad,
    mean_has_changed,
    must_send_now,
)

FIRST_DATA_SECONDS = 0.25
MAX_FLOWS_WITHOUT_DATA = 1024


class LoadReporter:
    """Decides when to send the load, by the load that was sent last."""

    def __init__(self, sent: Load) -> None:
        self.last_sent = sent
        self.sent_at = 0.0

    def is_due(self, load: OwnLoad, now: float) -> bool:
        """Whether a load has to be sent to the peers now."""
        if must_send_now(self.last_sent, load):
            return True
        sent = (self.last_sent.slots, self.last_sent.running, self.last_sent.waiting)
        changed = sent != (load.slots, load.running, load.waiting)
        changed = changed or mean_has_changed(self.last_sent, load)
        return changed and now - self.sent_at >= LOAD_INTERVAL_SECONDS

    def mark_sent(self, sent: Load, now: float) -> None:
        """Record a load that was sent."""
        self.last_sent = sent
        self.sent_at = now


class FlowsWithoutData:
    """Flows opened in the last ``FIRST_DATA_SECONDS`` that have received no data yet.

    Their first requests are still on the way. If the load left these flows out,
    several OPENs that arrive together would all be placed on the same free slot.
    """

    def __init__(self) -> None:
        self.opened: deque[tuple[float, Channel]] = deque(maxlen=MAX_FLOWS_WITHOUT_DATA)

    def add(self, channel: Channel, now: float) -> None:
        """Add a new flow."""
        self.opened.append((now, channel))

    def count(self, now: float) -> int:
        """Return the number of recently opened flows without data."""
        while self.opened and now - self.opened[0][0] > FIRST_DATA_SECONDS:
            self.opened.popleft()
        return sum(1 for _, channel in self.opened if channel.expected == 1)
