"""Chooses the endpoint that takes a new flow.

The load pattern it answers: long flows that carry requests with pauses between them,
beside flows of one request each, in front of endpoints of few slots that shed when
their short queue is full.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cornelspan_passthrough.health import DOWN, DRAINING, AgentHealth, Pong

# A flow that is open but idle now will send again; in these terms it weighs a fifth of
# a request that runs.
IDLE_FLOW_WEIGHT = 0.2
# A flow placed since the endpoint's last word will bring its first request at once.
PLACED_WEIGHT = 1.0
DEFAULT_CAPACITY = 1
# From this many times the usual pace on an endpoint is taken to be slow: the pace of
# ten answers strays by less than half of itself. With a third of the endpoints eight
# times as slow for 6 of 16 s, 99.6 % of the requests of the highest priority are on
# time, 97.1 % without (``cornelspan experiment``, mean of six seeds).
SLOW_RATIO = 1.5
# An endpoint that turned a first packet away is passed over this long, unless no other
# is left. An empty one that is about to start is the least loaded of all and would be
# tried for each new flow, a few milliseconds each.
REFUSED_SECONDS = 0.25
# If more endpoints of a service than this are said to fail, they share a cause that
# placing can't avoid, and the rest could not carry their load.
EJECTED_SHARE = 0.34


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a flow: its agent's address and pulse."""

    address: str
    health: AgentHealth


Choose = Callable[[Iterable[Candidate], random.Random, float], str]


def choose(candidates: Iterable[Candidate], chance: random.Random, now: float) -> str:
    """Return the address of the endpoint to place a flow on, "" if none may take it.

    Equals are told apart by chance: by rank, balancers that share a late view would
    send all flows of a moment to the same endpoint.
    """
    best = ""
    best_cost = (False, 0.0, 0.0)
    candidates = [each for each in candidates if takes_flows(each.health)]
    ejected = sum(1 for each in candidates if is_ejected(each.health))
    passes_over = ejected <= EJECTED_SHARE * len(candidates)
    median = median_service_time(candidates)
    for candidate in candidates:
        health = candidate.health
        is_last = health.refused_until > now or (passes_over and is_ejected(health))
        found = (is_last, cost(health, median), chance.random())
        if not best or found < best_cost:
            best = candidate.address
            best_cost = found
    return best


def takes_flows(health: AgentHealth) -> bool:
    """Whether an endpoint may take a flow, as far as its last word goes.

    One that has not spoken yet may: after a loss of power the first flows would
    otherwise wait for the first reports, and an agent whose endpoint is not there yet
    hands a first packet back.
    """
    return health.pong is None or health.pong.state not in (DRAINING, DOWN)


def is_ejected(health: AgentHealth) -> bool:
    """Whether an endpoint fails what it is sent, as its agent has last said."""
    return health.pong is not None and health.pong.is_ejected


def median_service_time(candidates: list[Candidate]) -> float:
    """Return the middle of the endpoints' paces in milliseconds, 0 if none is known."""
    known = sorted(
        each.health.pong.service_time_milliseconds
        for each in candidates
        if each.health.pong is not None
        and each.health.pong.service_time_milliseconds > 0
    )
    return known[(len(known) - 1) // 2] if known else 0


def cost(health: AgentHealth, median: float = 0) -> float:
    """Return how long a new request would take at an endpoint beyond its own run.

    Args:
        pulse: The endpoint's.
        usual: The pace of its like in milliseconds, which is the unit; 0 if not known.
    """
    pong = health.pong
    if pong is None:
        return PLACED_WEIGHT * health.placed_flows / DEFAULT_CAPACITY
    idle = max(0, pong.flows - pong.running)
    load = pong.running + IDLE_FLOW_WEIGHT * idle + PLACED_WEIGHT * health.placed_flows
    per_slot = load / max(1, pong.capacity)
    return (per_slot + 1) * slowdown(pong, median) - 1


def slowdown(pong: Pong, median: float) -> float:
    """Return how many times the usual an endpoint takes for a request.

    Paces differ by what an endpoint happened to get of late. Only one that is far from
    its like is slow; with every difference heeded, flows would follow chance. An
    endpoint in its cold start counts by its pace, too: weighed by what it reports of
    its start, flows went to its busier peers and no caller was better off.
    """
    if not median or pong.service_time_milliseconds < SLOW_RATIO * median:
        return 1.0
    return pong.service_time_milliseconds / median
