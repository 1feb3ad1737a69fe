"""Profiles and services: the objects that operators edit, checked when decoded.

A profile defines how a kind of traffic is treated; a service has an address and the
name of its profile. Backend servers appear in neither, since they announce themselves.
"""

from typing import Annotated, Literal

from msgspec import Meta

from cornelspan_common.ejection import EjectionPolicy
from cornelspan_common.settings import Checked, Duration, Name, Share

Size = Annotated[int, Meta(ge=1, le=67108864)]


class RequestPolicy(Checked, frozen=True, kw_only=True):
    """Limits of the requests of an ``http`` profile.

    ``deadline_seconds`` applies if a caller sets no deadline; a caller can shorten it,
    never extend it. ``caller_share`` limits the share of a queue that one caller may
    fill. ``claim_seconds`` is how long the run of an idempotency key is remembered.
    """

    queue: Annotated[int, Meta(ge=0, le=100_000)] = 64
    deadline_seconds: Duration = 10.0
    body_bytes: Size = 1048576
    answer_bytes: Size = 16777216
    caller_share: Share = 0.5
    claim_seconds: Duration = 600.0


class RetryPolicy(Checked, frozen=True, kw_only=True):
    """Retries of requests that are known not to have run or are idempotent.

    ``budget_share`` is the share of requests that may be retries over 10 s.
    """

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    budget_share: Share = 0.1
    backoff_seconds: Duration = 0.05
    backoff_limit_seconds: Duration = 1.0


class Objective(Checked, frozen=True, kw_only=True):
    """Service-level objective: the share of good requests required over a window.

    A request is good when it succeeds within ``latency_seconds``.
    """

    good_share: Annotated[float, Meta(gt=0, lt=1)] = 0.999
    latency_seconds: Duration = 1.0
    window_days: Annotated[int, Meta(ge=1, le=90)] = 28


class Profile(Checked, frozen=True, kw_only=True):
    """A named set of rules for a kind of traffic.

    ``priority`` 0 is served first, 9 is shed first. ``drain_seconds`` limits how long a
    leaving endpoint waits for its flows to end.
    """

    name: Name
    kind: Literal["stream", "http"] = "http"
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    idle_seconds: Duration = 300.0
    drain_seconds: Duration = 30.0
    slow_start_seconds: Duration = 5.0
    requests: RequestPolicy = RequestPolicy()
    retry: RetryPolicy = RetryPolicy()
    ejection: EjectionPolicy = EjectionPolicy()
    objective: Objective = Objective()


class Service(Checked, frozen=True, kw_only=True):
    """A service: the address that callers use, and its profile's name.

    The address of a service can't be changed, because packets of running flows would
    reach another service; a new address needs a new service.
    """

    name: Name
    address: Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
    profile: Name
