"""Settings of the pass-through daemons: JSON, decoded and validated by msgspec."""

from typing import Annotated

from msgspec import Meta

from cornelspan_common.ejection import EjectionPolicy
from cornelspan_common.settings import Checked, LogSettings, Port

Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
SocketText = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
IpText = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
VmName = Annotated[str, Meta(min_length=1, max_length=253)]


class ObjectStoreSettings(Checked, frozen=True, kw_only=True):
    """Address of the platform's store, and the limits of one daemon's calls to it.

    ``calls_per_second`` limits one daemon. The first list and registrations of a fleet
    are a few calls per daemon; 20 is far above what a daemon needs, and keeps a faulty
    daemon from using up the store's rate limit for all.
    """

    address: SocketText
    call_milliseconds: Milliseconds = 2000
    calls_per_second: Annotated[float, Meta(gt=0, le=1000)] = 20.0


class HealthCheckSettings(Checked, frozen=True, kw_only=True):
    """How balancers ping agents.

    A balancer pings each agent every ``interval_milliseconds``, or less often if that
    would be more than ``pings_per_second`` in all. An agent that leaves more than
    ``missed_pings`` pings in a row unanswered gets a new flow only if no other agent is
    left. Three at 200 ms tolerate one or two lost datagrams and still detect a dead VM
    within two retransmissions of a client.
    """

    interval_milliseconds: Milliseconds = 200
    pings_per_second: Annotated[float, Meta(gt=0, le=10_000)] = 200.0
    missed_pings: Annotated[int, Meta(ge=1, le=100)] = 3


class PassthroughSettings(Checked, frozen=True, kw_only=True):
    """Settings that both pass-through daemons have.

    ``packets`` is where a balancer receives clients' packets; its port is also the port
    that clients listen on. ``internal_port`` is the same on all VMs. ``seeds`` are
    addresses of daemons that may know others when the store can't be reached.
    ``flow_seconds`` is the age at which a flow may be forgotten.
    """

    name: VmName
    datacentre: VmName
    address: IpText
    packets: SocketText
    ready: SocketText
    internal_port: Port
    store: ObjectStoreSettings
    seeds: tuple[SocketText, ...] = ()
    metrics_port: Port | None = None
    log: LogSettings = LogSettings()
    pulse: HealthCheckSettings = HealthCheckSettings()
    flow_seconds: Annotated[float, Meta(gt=0, le=86_400)] = 60.0
    grace_seconds: Annotated[float, Meta(gt=0, le=600)] = 6.0


class PassthroughBalancerSettings(PassthroughSettings, frozen=True, kw_only=True):
    """Settings of a pass-through balancer."""

    learned_flows: Annotated[int, Meta(ge=0, le=10_000_000)] = 200_000


class PassthroughAgentSettings(PassthroughSettings, frozen=True, kw_only=True):
    """Settings of a pass-through agent, beside the one endpoint that it serves.

    The endpoint receives packets at ``endpoint``, sends its own to ``outbound``, and
    reports to ``reports`` about every ``report_milliseconds``.

    ``ejection`` says when the endpoint gets no new flow, whatever it reports: after
    three failures in a row, which a healthy endpoint shows once in a million requests
    if one in a hundred fails. The ejection time of one second, then two and so on, is a
    few times what a probe with one request takes.
    """

    service: VmName
    endpoint: SocketText
    outbound: SocketText
    reports: SocketText
    report_milliseconds: Milliseconds
    ejection: EjectionPolicy = EjectionPolicy(failures=3, seconds=1.0)


def socket_address(text: str) -> tuple[str, int]:
    """Return the address and port of a ``SocketText``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
