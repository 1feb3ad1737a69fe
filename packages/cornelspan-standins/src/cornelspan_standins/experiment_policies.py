"""The policies that an experiment compares: the product's, and plainer ones."""

import random
from collections.abc import Iterable

from cornelspan_passthrough.placing import (
    Candidate,
    ChooseEndpoint,
    choose_endpoint,
    takes_flows,
)
from cornelspan_passthrough.request_queue import (
    QueuedRequest,
    RequestOrder,
    on_time_first,
)

# More than any endpoint's slots and queue: nothing waits at the agent then.
NO_LINE = 1_000_000


def by_due(held: QueuedRequest, soonest: float) -> tuple[float, ...]:
    """Order by priority, then by the target, or by the deadline when that is over."""
    target, deadline = held.deadlines
    due = target if target >= soonest else deadline
    return deadline < soonest, held.priority, due, deadline


def by_deadline(held: QueuedRequest, soonest: float) -> tuple[float, ...]:
    """Order by priority, then by when the caller gives up."""
    deadline = held.deadlines.deadline
    return deadline < soonest, held.priority, deadline


def by_age(held: QueuedRequest, soonest: float) -> tuple[float, ...]:
    """Order by arrival, whatever the request is."""
    return (held.queued_at,)


def choose_by_chance(
    candidates: Iterable[Candidate], chance: random.Random, now: float
) -> str:
    """Choose any endpoint that takes flows."""
    addresses = [each.address for each in candidates if takes_flows(each.health)]
    return chance.choice(addresses) if addresses else ""


def choose_fewest_flows(
    candidates: Iterable[Candidate], chance: random.Random, now: float
) -> str:
    """Choose the endpoint with the fewest open flows, busy or not."""
    best = min(
        (
            (each.health.pong.flows if each.health.pong else 0, chance.random(), each)
            for each in candidates
            if takes_flows(each.health)
        ),
        default=None,
        key=lambda found: found[:2],
    )
    return best[2].address if best else ""


ORDERS: dict[str, RequestOrder] = {
    "on-time": on_time_first,
    "due": by_due,
    "deadline": by_deadline,
    "age": by_age,
    "none": on_time_first,
}
PLACINGS: dict[str, ChooseEndpoint] = {
    "product": choose_endpoint,
    "random": choose_by_chance,
    "fewest-flows": choose_fewest_flows,
}
