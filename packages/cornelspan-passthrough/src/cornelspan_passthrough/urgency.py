"""How urgent the requests of a flow are, and until when each is worth running."""

from typing import NamedTuple

MILLISECONDS = 1000


class Urgency(NamedTuple):
    """What a flow's route says of its requests, and how long its client waits already.

    ``priority`` is 0 for the highest. ``target_milliseconds`` is how soon a request
    should be answered, ``budget_milliseconds`` how long it may take at most.
    ``waited_milliseconds`` were spent before the flow opened; they count against its
    first request.
    """

    priority: int
    target_milliseconds: int
    budget_milliseconds: int
    waited_milliseconds: int = 0


class Deadlines(NamedTuple):
    """Until when an answer is on time, and when its caller gives up, in seconds."""

    target: float
    deadline: float


# A flow that opened before its agent was restarted: taken for one of the middle, so
# that it neither pushes in nor starves.
DEFAULT_URGENCY = Urgency(1, 200, 2000)


def request_deadlines(urgency: Urgency, now: float, *, is_first: bool) -> Deadlines:
    """Return the times of a request that has come now.

    Args:
        urgency: Of its flow.
        now: The loop's time.
        is_first: Whether it is the first of its flow.
    """
    waited = urgency.waited_milliseconds if is_first else 0
    target = now + (urgency.target_milliseconds - waited) / MILLISECONDS
    deadline = now + (urgency.budget_milliseconds - waited) / MILLISECONDS
    return Deadlines(target, deadline)
