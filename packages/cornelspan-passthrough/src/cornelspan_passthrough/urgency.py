"""Priority and deadlines of a flow's requests."""

from typing import NamedTuple

MILLISECONDS = 1000


class Urgency(NamedTuple):
    """Priority and time limits of the requests of a flow, and the client's wait so far.

    ``priority`` is 0 for the highest. ``target_milliseconds`` is the time within which
    a request should be answered, ``budget_milliseconds`` the time after which its
    caller gives up. ``waited_milliseconds`` is how long the client waited for the flow
    to open. It counts against the first request.
    """

    priority: int
    target_milliseconds: int
    budget_milliseconds: int
    waited_milliseconds: int = 0


class Deadlines(NamedTuple):
    """When an answer is no longer on time, and when the caller gives up.

    Both are times of the event loop's clock, in seconds.
    """

    target: float
    deadline: float


# Used for flows that opened before their agent restarted. The middle priority neither
# delays other requests nor starves these.
DEFAULT_URGENCY = Urgency(1, 200, 2000)


def request_deadlines(urgency: Urgency, now: float, *, is_first: bool) -> Deadlines:
    """Return the deadlines of a request that has arrived now.

    Args:
        urgency: Urgency of the request's flow.
        now: Time of the event loop's clock.
        is_first: Whether the request is the first of its flow.
    """
    waited = urgency.waited_milliseconds if is_first else 0
    target = now + (urgency.target_milliseconds - waited) / MILLISECONDS
    deadline = now + (urgency.budget_milliseconds - waited) / MILLISECONDS
    return Deadlines(target, deadline)
