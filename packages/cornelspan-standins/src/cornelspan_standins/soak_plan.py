"""What a soak plays: a fleet of real processes, a load, and faults drawn by a seed."""

import random
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from cornelspan_common.settings import Checked

# Pauses between two faults, in seconds. Most faults last longer, so they overlap.
FAULT_GAP = (0.3, 1.8)
# How long a fault may last, in seconds, by kind; those left out are a moment's.
LASTS = {
    "pause balancer": (0.2, 3.0),
    "pause agent": (0.2, 1.2),
    "crash endpoint": (0.5, 2.5),
    "drain endpoint": (4.0, 6.0),
    "store refuses": (0.5, 4.0),
    "store garbled": (0.5, 2.0),
    "store delayed": (1.0, 5.0),
    "store silent": (1.0, 5.0),
    "store cut one way": (1.0, 5.0),
    "links lose": (1.0, 4.0),
    "links delay": (1.0, 4.0),
}
WEIGHTS = {
    "term balancer": 3,
    "kill balancer": 3,
    "pause balancer": 3,
    "term agent": 3,
    "kill agent": 3,
    "pause agent": 2,
    "kill all": 1,
    "crash endpoint": 2,
    "drain endpoint": 2,
    "change configuration": 5,
    "change settings": 2,
    "store refuses": 2,
    "store garbled": 1,
    "store delayed": 2,
    "store silent": 2,
    "store cut one way": 2,
    "store reset": 3,
    "history dropped": 2,
    "links lose": 2,
    "links delay": 2,
}


class SoakPlan(Checked, frozen=True, kw_only=True):
    """One run. ``quiet_seconds`` without new faults follow ``seconds`` with them."""

    seed: int = 1
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 20.0
    quiet_seconds: Annotated[float, Meta(ge=0, le=60)] = 8.0
    balancers: Annotated[int, Meta(ge=2, le=50)] = 3
    orders: Annotated[int, Meta(ge=2, le=200)] = 4
    receipts: Annotated[int, Meta(ge=1, le=200)] = 2
    per_second: Annotated[float, Meta(gt=0, le=1000)] = 25.0
    first_port: Annotated[int, Meta(ge=1024, le=65_000)] = 23_400


@dataclass(frozen=True, slots=True)
class SoakFault:
    """A fault at a time after the first request; ``pick`` chooses its victim."""

    kind: str
    at: float
    lasts: float
    pick: float


def draw_faults(plan: SoakPlan) -> list[SoakFault]:
    """Return the faults of a plan; the same for the same seed."""
    chance = random.Random(plan.seed)
    faults = []
    at = 0.0
    while True:
        at += chance.uniform(*FAULT_GAP)
        if at >= plan.seconds:
            return faults
        (kind,) = chance.choices(list(WEIGHTS), list(WEIGHTS.values()))
        lasts = chance.uniform(*LASTS.get(kind, (0.0, 0.0)))
        faults.append(SoakFault(kind, at, lasts, chance.random()))
