"""Chooses the agent of a service that will own a new flow.

The agents of a service send each other their load. Balancers don't take part, since
their view of the load is out of date. A home keeps a flow while it has a free slot;
otherwise it hands the flow off to the agent expected to finish a request first.

    loads = LoadTable()
    loads.update(load)
    rank_targets(OwnLoad(slots=2, running=2), loads, ["agent-2", "agent-3"])
"""

from dataclasses import dataclass, field
from statistics import median_low

from cornelspan_common.ownership import Load

SLOW_RATIO = 1.6
DEFAULT_SERVICE_SECONDS = 0.05
UNMEASURED = 0.0
MEAN_CHANGE_RATIO = 1.25
TIE_BREAK_SHARE = 1e-3
LOAD_INTERVAL_SECONDS = 0.2
HANDOFF_ATTEMPTS = 3
NO_LIMIT = -1


@dataclass(frozen=True, slots=True)
class OwnLoad:
    """This agent's current load.

    ``mean_seconds`` is how long recent requests held a slot, or ``UNMEASURED`` without
    recent requests. During slow start an endpoint reports a longer time, in proportion
    to the load that the ramp still holds back. An ejected or leaving endpoint has no
    slots. ``urgent`` counts the waiting requests whose priority was not lowered.
    """

    slots: int
    running: int
    waiting: int = 0
    mean_seconds: float = UNMEASURED
    urgent: int = 0


@dataclass(slots=True)
class PeerLoad:
    """A peer's last ``Load``, and the number of hand-offs to it in progress."""

    load: Load
    pending_handoffs: int = 0


@dataclass(slots=True)
class LoadTable:
    """The loads received from the peers of the service."""

    peers: dict[str, PeerLoad] = field(default_factory=dict)

    def update(self, load: Load) -> None:
        """Store a received load, unless it is from an earlier incarnation."""
        peer = self.peers.get(load.name)
        if peer is None:
            self.peers[load.name] = PeerLoad(load)
            return
        if load.incarnation < peer.load.incarnation:
            return
        if load.incarnation > peer.load.incarnation:
            peer.pending_handoffs = 0
        peer.load = load

    def add_pending_handoff(self, name: str) -> None:
        """Count a hand-off that is about to be sent to a peer.

        The stored load doesn't include this flow until the peer reports it. Without
        this count, OPENs that arrive together would all choose the same least loaded
        peer. Does nothing for a peer without a stored load.
        """
        if name in self.peers:
            self.peers[name].pending_handoffs += 1

    def remove_pending_handoff(self, name: str) -> None:
        """Subtract a hand-off that was answered or is no longer waited for."""
        peer = self.peers.get(name)
        if peer is not None and peer.pending_handoffs > 0:
            peer.pending_handoffs -= 1

    def remove(self, name: str) -> None:
        """Remove a peer that is gone."""
        self.peers.pop(name, None)


@dataclass(frozen=True, slots=True)
class PlacementTarget:
    """An agent that a new flow may be placed on; name "" is this agent."""

    name: str
    slots: int
    busy: int
    mean_seconds: float


def rank_targets(own: OwnLoad | None, loads: LoadTable, peers: list[str]) -> list[str]:
    """Return the agents to place a flow on, best first; "" is this agent.

    This agent comes first if it has a free slot and isn't slow, then by ``cost``.

    Args:
        own: This agent's load; None if it must not take the flow.
        loads: The peers' loads.
        peers: The reachable peers of the service, as ranked for the flow. Of peers with
            equal cost the earlier comes first, so different flows use different peers.
    """
    targets = [_local_target(own)] if own is not None and own.slots > 0 else []
    known = [loads.peers[name] for name in peers if name in loads.peers]
    targets += [_peer_target(peer) for peer in known if peer.load.slots > 0]
    if not targets:
        return []
    typical_seconds = _typical_seconds(targets)
    costs = [(cost(target, typical_seconds), target.name) for target in targets]
    costs.sort(key=lambda pair: pair[0])
    ordered = [name for _, name in costs]
    if _keeps_flow(targets[0], typical_seconds):
        ordered.remove("")
        ordered.insert(0, "")
    return ordered


def _typical_seconds(targets: list[PlacementTarget]) -> float:
    """Return the median of the known mean service times, in seconds.

    An endpoint without a measurement counts as typical. With a fixed default instead,
    an endpoint that started among faster ones was always chosen last, so it was never
    measured and never got any work.
    """
    measured = [each.mean_seconds for each in targets if each.mean_seconds > UNMEASURED]
    return median_low(measured) if measured else DEFAULT_SERVICE_SECONDS


def busy_limit(loads: LoadTable, name: str, attempts_left: int) -> int:
    """Return how busy a peer may be and still accept a hand-off.

    The home's view of a peer is up to ``LOAD_INTERVAL_SECONDS`` old. A peer that has
    filled up since then rejects the hand-off, and its answer has its current load, so
    the next choice is better. The last attempt has no limit, so that a flow is not
    handed off again and again.

    Args:
        loads: The home's view, before this hand-off is counted in it.
        name: The peer that the hand-off goes to.
        attempts_left: Attempts left, including this one.

    Returns:
        The number of running and waiting requests and pending hand-offs that the
        home knows of, or ``NO_LIMIT``.
    """
    if attempts_left <= 1:
        return NO_LIMIT
    peer = loads.peers[name]
    return peer.load.running + peer.load.waiting + peer.pending_handoffs


def accepts_handoff(own: OwnLoad, limit: int) -> bool:
    """Whether an agent has a free slot, or is no busier than a ``busy_limit``."""
    if own.slots == 0:
        return False
    busy = own.running + own.waiting
    return limit == NO_LIMIT or busy < own.slots or busy <= limit


def must_send_now(sent: Load, own: OwnLoad) -> bool:
    """Whether a change of load can't wait for the next ``LOAD_INTERVAL_SECONDS``.

    If peers don't know of a free slot, it stays unused while flows wait elsewhere. If
    they don't know that an agent has no slots any more, as when a drain begins, they
    send hand-offs that it rejects.
    """
    if (sent.slots == 0) != (own.slots == 0):
        return True
    was_full = sent.running + sent.waiting >= sent.slots
    return was_full and own.running + own.waiting < own.slots


def mean_has_changed(sent: Load, own: OwnLoad) -> bool:
    """Whether the mean service time differs clearly from the last one sent.

    The reported mean of an idle endpoint changes too, at the end of its ramp. If it
    didn't send the change, its peers would treat it as slow until its next request,
    which they would never send.
    """
    low, high = sorted((sent.mean_seconds, own.mean_seconds))
    return high > low * MEAN_CHANGE_RATIO


def load_message(
    service: str, name: str, incarnation: int, own: OwnLoad, flows: int = 0
) -> Load:
    """Return the message that reports an agent's load to its peers."""
    return Load(
        service,
        name,
        incarnation,
        own.slots,
        own.running,
        own.waiting,
        flows,
        own.mean_seconds,
        own.urgent,
    )


def cost(target: PlacementTarget, typical_seconds: float) -> float:
    """Return the estimated time to finish a new request on a target, in seconds.

    Mean service times vary randomly. Used directly, most flows would go to the endpoint
    with the shortest recent mean, so a mean counts as typical unless it is clearly
    longer. ``TIE_BREAK_SHARE`` ranks the less busy of two with a free slot first.

    Args:
        target: The agent to place the request on.
        typical_seconds: The median of the group's mean service times, in seconds.
    """
    mean = target.mean_seconds if _is_slow(target, typical_seconds) else typical_seconds
    rounds = max(1.0, (target.busy + 1) / target.slots)
    return mean * (rounds + TIE_BREAK_SHARE * target.busy / target.slots)


def _is_slow(target: PlacementTarget, typical_seconds: float) -> bool:
    return target.mean_seconds > SLOW_RATIO * typical_seconds


def _keeps_flow(target: PlacementTarget, typical_seconds: float) -> bool:
    """Whether a target is this agent, has a free slot and isn't slow."""
    free = target.busy < target.slots
    return target.name == "" and free and not _is_slow(target, typical_seconds)


def _local_target(own: OwnLoad) -> PlacementTarget:
    return PlacementTarget("", own.slots, own.running + own.waiting, own.mean_seconds)


def _peer_target(peer: PeerLoad) -> PlacementTarget:
    load = peer.load
    busy = load.running + load.waiting + peer.pending_handoffs
    return PlacementTarget(load.name, load.slots, busy, load.mean_seconds)
