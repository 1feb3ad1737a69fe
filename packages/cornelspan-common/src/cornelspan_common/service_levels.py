"""Messages of service-level counts between agents and relay balancers (tags 86-89)."""

from cornelspan_common.packets import Message

MINUTE_SECONDS = 60
KEPT_MINUTES = 180


class Minute(Message, frozen=True):
    """Requests of one minute, numbered from the epoch, by whether they were good."""

    number: int
    good: int
    bad: int


class ServiceCounts(Message, frozen=True, tag=86):
    """What one agent has counted since the last sealed minute.

    ``incarnation`` tells the life of the counting process. The counts of a minute are
    absolute, not added to: said twice, they are counted once. Nothing more will be
    counted in minutes up to ``complete``. ``latencies`` is a compressed histogram of
    the last hour in microseconds.
    """

    agent: str
    incarnation: int
    service: str
    complete: int
    minutes: tuple[Minute, ...]
    latencies: bytes


class SealedMinute(Message, frozen=True, tag=87):
    """The receiver's minutes up to this one are in the store."""

    minute: int
