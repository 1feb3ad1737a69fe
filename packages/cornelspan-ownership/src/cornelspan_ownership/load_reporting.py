"""What an agent tells its peers of its load, and when."""

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
    """The load as the peers were told of it last."""

    def __init__(self, sent: Load) -> None:
        self.last_sent = sent
        self.sent_at = 0.0

    def is_due(self, load: OwnLoad, now: float) -> bool:
        """Whether the peers have to be told of a load now."""
        if must_send_now(self.last_sent, load):
            return True
        sent = (self.last_sent.slots, self.last_sent.running, self.last_sent.waiting)
        changed = sent != (load.slots, load.running, load.waiting)
        changed = changed or mean_has_changed(self.last_sent, load)
        return changed and now - self.sent_at >= LOAD_INTERVAL_SECONDS

    def mark_sent(self, sent: Load, now: float) -> None:
        """Note what the peers are told."""
        self.last_sent = sent
        self.sent_at = now


class FlowsWithoutData:
    """Flows opened a moment ago, whose first requests are still on the way.

    Left out of the load, all opens of one moment would find the same slot free.
    """

    def __init__(self) -> None:
        self.opened: deque[tuple[float, Channel]] = deque(maxlen=MAX_FLOWS_WITHOUT_DATA)

    def add(self, channel: Channel, now: float) -> None:
        """Note a new flow."""
        self.opened.append((now, channel))

    def count(self, now: float) -> int:
        """Return how many have sent nothing, of those of the last moment."""
        while self.opened and now - self.opened[0][0] > FIRST_DATA_SECONDS:
            self.opened.popleft()
        return sum(1 for _, channel in self.opened if channel.expected == 1)
