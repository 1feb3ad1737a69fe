"""What an experiment plays: a deployment, its requests, what goes wrong, the policies.

Plans are JSON files, see ``experiments/``. All times are in seconds of virtual time
unless a name says milliseconds.
"""

from typing import Annotated, Literal

from msgspec import Meta

from cornelspan_common.settings import Checked, Name

Count = Annotated[int, Meta(ge=1, le=200)]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Milliseconds = Annotated[int, Meta(ge=1, le=60_000)]
Factor = Annotated[float, Meta(gt=0, le=100)]
Share = Annotated[float, Meta(ge=0, le=1)]

# The mechanisms of ``experiment_ablations``.
MECHANISM = (
    "gathering|refusals|handing-on|holding|dead-flows|homes|doubts|lost-requests"
    "|expiry|idle-flows|paces"
)
WITHOUT = rf"^(({MECHANISM})(\+({MECHANISM}))*)?$"

OrderName = Literal["on-time", "due", "deadline", "age", "none"]
PlacingName = Literal["product", "random", "fewest-flows"]


class ServicePlan(Checked, frozen=True, kw_only=True):
    """A service's endpoints, each of which works on ``slots`` requests at once.

    ``queue`` more wait there, and the rest is shed. For ``cold_seconds`` after its
    start an endpoint takes ``cold_factor`` times as long.
    """

    name: Name
    endpoints: Count
    slots: Count = 2
    queue: Annotated[int, Meta(ge=0, le=1000)] = 16
    cold_seconds: Seconds = 2.0
    cold_factor: Factor = 1.6


class RequestPlan(Checked, frozen=True, kw_only=True):
    """One kind of requests.

    ``per_second`` is the mean of random arrivals, ``work_milliseconds`` the mean of the
    log-normal time at an endpoint and ``work_spread`` the deviation of its logarithm.
    An answer within ``target_milliseconds`` earns ``worth``, one within
    ``budget_milliseconds`` ``late_worth``. Requests share flows that stay open, but
    with ``own_flow`` each has one to itself.
    """

    name: Name
    service: Name
    per_second: Annotated[float, Meta(gt=0, le=10_000)]
    work_milliseconds: Annotated[float, Meta(gt=0, le=10_000)]
    work_spread: Annotated[float, Meta(ge=0, le=2)] = 0.5
    target_milliseconds: Milliseconds
    budget_milliseconds: Milliseconds
    worth: Factor = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=100)] = 0.3
    priority: Annotated[int, Meta(ge=0, le=255)] = 1
    idempotent: bool = True
    own_flow: bool = False
    retries: Annotated[int, Meta(ge=0, le=10)] = 2


class FaultPlan(Checked, frozen=True, kw_only=True):
    """Something that goes wrong ``at`` a time and lasts for ``lasts``.

    ``power`` takes all VMs, ``daemons`` only the system's processes. ``burst`` and
    ``slow`` multiply by ``factor``: the arrivals, and the work of ``share`` of the
    endpoints. ``crash`` ends ``share`` of the endpoints; with ``reset`` they end each
    request's flow, with ``mute`` they never answer, and report to be well.
    """

    kind: Literal["power", "daemons", "burst", "slow", "crash", "reset", "mute"]
    at: Seconds
    lasts: Seconds
    factor: Factor = 2.0
    share: Share = 0.2


class PolicyPlan(Checked, frozen=True, kw_only=True):
    """How the daemons decide; the defaults are the product's.

    ``order`` is that of the line before a full endpoint, ``none`` for no line.
    ``queued_requests`` may be at an endpoint beyond its slots. ``ejects`` passes over
    endpoints that fail what they are sent. ``ideal`` stands for a system that starts in
    no time and knows all at once: what it loses no system could save. ``without`` names
    mechanisms that are taken out, joined by ``+``; see ``experiment_ablations``.
    """

    order: OrderName = "on-time"
    placing: PlacingName = "product"
    queued_requests: Annotated[int, Meta(ge=0, le=1000)] = 1
    ejects: bool = True
    ideal: bool = False
    without: Annotated[str, Meta(pattern=WITHOUT)] = ""


class GoalPlan(Checked, frozen=True, kw_only=True):
    """How much parts of the whole weigh: all of it, worst windows, the worst kind."""

    whole: Share = 0.75
    windows: Share = 0.15
    kind: Share = 0.1


class ExperimentPlan(Checked, frozen=True, kw_only=True):
    """One experiment. ``load`` multiplies all arrivals.

    ``balancer_start_seconds`` and ``agent_start_seconds`` are what the daemons take
    from power to their first packet; each start is up to ``start_jitter_seconds``
    later, by chance. Arrivals begin after ``lead_seconds``.
    """

    services: tuple[ServicePlan, ...]
    requests: tuple[RequestPlan, ...]
    faults: tuple[FaultPlan, ...] = ()
    policy: PolicyPlan = PolicyPlan()
    goal: GoalPlan = GoalPlan()
    balancers: Count = 4
    callers: Count = 90
    load: Factor = 1.0
    seconds: Annotated[float, Meta(gt=0, le=600)] = 20.0
    lead_seconds: Seconds = 3.0
    balancer_start_seconds: Seconds = 0.25
    agent_start_seconds: Seconds = 0.35
    start_jitter_seconds: Seconds = 0.15
    seed: int = 1
