"""Messages of service-level counts between agents and relay balancers (tags 86-89)."""

from cornelspan_common.packets import Message

MINUTE_SECONDS = 60
KEPT_MINUTES = 180


class Minute(Message, frozen=True):
    """Counts of good and bad requests in one minute.

    ``number`` is the minute since the Unix epoch.
    """

    number: int
    good: int
    bad: int


class ServiceCounts(Message, frozen=True, tag=86):
    """Counts of one agent since the last sealed minute.

    ``incarnation`` is that of the agent's counter. The counts of a minute are totals,
    not increments, so the message is idempotent. Minutes up to ``complete`` are final.
    ``latencies`` is a compressed histogram of the last hour in microseconds.
    """

    agent: str
    incarnation: int
    service: str
    complete: int
    minutes: tuple[Minute, ...]
    latencies: bytes


class SealedMinute(Message, frozen=True, tag=87):
    """The receiver's minutes up to this one are sealed: saved in the store, final."""

    minute: int
