"""Chooses the endpoint for a new flow.

The policy is made for this load: long flows carry requests with pauses in between,
beside flows of a single request, in front of endpoints with few slots that shed load
when their short queue is full.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cornelspan_passthrough.health import DOWN, DRAINING, AgentHealth, Pong

# An open flow that is idle will send again. In load terms it counts as a fifth of a
# running request.
IDLE_FLOW_WEIGHT = 0.2
# A flow placed since the endpoint's last pong sends its first request at once.
PLACED_WEIGHT = 1.0
DEFAULT_CAPACITY = 1
# An endpoint counts as slow from this multiple of the median response time on. The mean
# of ten response times varies by less than half of itself. In ``cornelspan experiment``
# (mean of six seeds, a third of the endpoints eight times as slow for 6 of 16 s) 99.6 %
# of the highest-priority requests are on time, 97.1 % without this.
SLOW_RATIO = 1.5
# An endpoint that rejected a first packet gets no new flow for this long unless no
# other is left. Otherwise an empty endpoint that is still starting, being the least
# loaded, would be tried first for every new flow, at a cost of a few milliseconds each.
REJECTION_COOLDOWN_SECONDS = 0.25
# If a larger share of a service's endpoints is ejected, they probably fail for a common
# cause that placement can't avoid, and the rest could not carry their load. Ejections
# are then ignored.
MAX_EJECTED_SHARE = 0.34


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a flow: its agent's address and health."""

    address: str
    health: AgentHealth


ChooseEndpoint = Callable[[Iterable[Candidate], random.Random, float], str]


def choose_endpoint(
    candidates: Iterable[Candidate], rng: random.Random, now: float
) -> str:
    """Return the address of the endpoint with the lowest cost, "" if none takes flows.

    An endpoint that is ejected or has just rejected a first packet is chosen only if no
    other is left. Ejections count only up to ``MAX_EJECTED_SHARE``. Ties are broken at
    random. With a fixed order, balancers that share an outdated view would send all
    flows of a moment to the same endpoint.
    """
    best = ""
    best_rank = (False, 0.0, 0.0)
    candidates = [each for each in candidates if takes_flows(each.health)]
    ejected = sum(1 for each in candidates if is_ejected(each.health))
    skips_ejected = ejected <= MAX_EJECTED_SHARE * len(candidates)
    median = median_response_time(candidates)
    for candidate in candidates:
        health = candidate.health
        is_last_resort = health.cooldown_until > now or (
            skips_ejected and is_ejected(health)
        )
        rank = (is_last_resort, cost(health, median), rng.random())
        if not best or rank < best_rank:
            best = candidate.address
            best_rank = rank
    return best


def takes_flows(health: AgentHealth) -> bool:
    """Whether an endpoint may take a flow, according to its last pong.

    An endpoint without a pong may. After a power loss the first flows would otherwise
    wait for the first pongs, and an agent whose endpoint is not up yet rejects the
    first packet.
    """
    return health.pong is None or health.pong.state not in (DRAINING, DOWN)


def is_ejected(health: AgentHealth) -> bool:
    """Whether outlier detection has ejected an endpoint, according to its last pong."""
    return health.pong is not None and health.pong.is_ejected


def median_response_time(candidates: list[Candidate]) -> float:
    """Return the median response time in milliseconds, 0 if none is known."""
    known = sorted(
        each.health.pong.response_milliseconds
        for each in candidates
        if each.health.pong is not None and each.health.pong.response_milliseconds > 0
    )
    return known[(len(known) - 1) // 2] if known else 0


def cost(health: AgentHealth, median: float = 0) -> float:
    """Return the expected delay of a new request at an endpoint.

    It grows with the endpoint's load per slot and its slowdown. The unit is the median
    response time; an idle endpoint that is not slow costs 0.

    Args:
        health: The endpoint's health.
        median: Median response time of the candidates in milliseconds; 0 if unknown.
    """
    pong = health.pong
    if pong is None:
        return PLACED_WEIGHT * health.placed_flows / DEFAULT_CAPACITY
    idle = max(0, pong.flows - pong.running)
    load = pong.running + IDLE_FLOW_WEIGHT * idle + PLACED_WEIGHT * health.placed_flows
    per_slot = load / max(1, pong.capacity)
    return (per_slot + 1) * slowdown(pong, median) - 1


def slowdown(pong: Pong, median: float) -> float:
    """Return an endpoint's response time as a multiple of the median, 1 if not slow.

    Response times vary with the requests an endpoint happened to get, so only one far
    above the median counts as slow; following every difference would place flows by
    noise. An endpoint in its cold start is weighed by its response time as well.
    Weighing it by the warm-up time that it reports sent flows to busier endpoints and
    improved nothing for callers.
    """
    if not median or pong.response_milliseconds < SLOW_RATIO * median:
        return 1.0
    return pong.response_milliseconds / median
