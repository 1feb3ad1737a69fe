"""Mechanisms of the pass-through daemons that an experiment can play without.

Each is taken out by itself, by what it would be if it were not there: a weight of
nothing, a wait of no time, a step that does nothing.

    with without(["gathering"]):
        outcome = play(plan)
"""

import math
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any
from unittest.mock import patch

from cornelspan_passthrough import (
    agent,
    balancer,
    dead_flows,
    delivery,
    first_packets,
    flows,
    owner_search,
    placing,
)
from cornelspan_passthrough.homes import Homes
from cornelspan_passthrough.request_queue import RequestQueue


@dataclass(frozen=True, slots=True)
class Change:
    """What stands for a part of a module or a class while a mechanism is out."""

    owner: ModuleType | type
    name: str
    value: Any


def _forget(agent_: Any, flow: int, owned: Any, reason: str) -> None:
    """Forget a dead flow without a word to its client."""
    agent_.flows.remove(flow)
    agent_.request_queue.remove(flow)


def _nothing(*_: Any, **__: Any) -> None:
    """Do nothing."""


MECHANISMS: dict[str, tuple[Change, ...]] = {
    # Waiting for all agents when the first has answered.
    "gathering": (Change(first_packets, "STARTUP_SETTLE_SECONDS", 0.0),),
    # Passing over an endpoint that has just turned a flow away.
    "refusals": (Change(first_packets, "REJECTION_COOLDOWN_SECONDS", 0.0),),
    # Busy agents that hand first packets on.
    "handing-on": (Change(agent, "BUSY_FACTOR", math.inf),),
    # Keeping first packets while no agent has answered.
    "holding": (Change(first_packets, "_may_place_now", lambda *_: True),),
    # Telling clients of dead flows.
    "dead-flows": (
        Change(dead_flows, "reset_dead_flow", _forget),
        Change(agent, "reset_dead_flow", _forget),
        Change(owner_search, "reset_if_dead", _nothing),
        Change(balancer, "reset_if_dead", _nothing),
    ),
    # Agents that record owners of flows.
    "homes": (Change(Homes, "of", lambda self, flow: ()),),
    # Endpoints that may hold flows of before their agent's start.
    "doubts": (Change(delivery, "_may_hold_unknown_flow", lambda *_: False),),
    # Requests that are taken for lost after a time.
    "lost-requests": (Change(flows, "LOST_REQUEST_SECONDS", math.inf),),
    # Dropping requests whose callers have given up.
    "expiry": (Change(RequestQueue, "drop_expired", lambda self, now: []),),
    "idle-flows": (Change(placing, "IDLE_FLOW_WEIGHT", 0.0),),
    "paces": (Change(placing, "SLOW_RATIO", math.inf),),
}


@contextmanager
def without(names: Iterable[str]) -> Iterator[None]:
    """Take mechanisms out until the context ends."""
    with _changed([change for name in names for change in MECHANISMS[name]]):
        yield


@contextmanager
def _changed(changes: list[Change]) -> Iterator[None]:
    if not changes:
        yield
        return
    first, *rest = changes
    with patch.object(first.owner, first.name, first.value), _changed(rest):
        yield
