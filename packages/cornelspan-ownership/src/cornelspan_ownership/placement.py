"""Chooses the agent of a service that shall own a new flow.

Agents of a service tell one another their load; balancers, whose view is late, have no
part in it. A home keeps a flow while it has a slot free, and else hands it to the agent
that would finish it first.

    loads = Loads()
    loads.update(load)
    choose(OwnLoad(slots=2, running=2, waiting=1), loads, ["agent-2", "agent-3"])
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
    """This agent's load at this moment.

    ``mean_seconds`` is how long a request holds a slot of late, ``UNMEASURED`` while
    none has lately. An endpoint that starts cold reports it longer than it is, by the
    share that the ramp still holds back; an ejected or leaving one has no slots.
    """

    slots: int
    running: int
    waiting: int = 0
    mean_seconds: float = UNMEASURED
    urgent: int = 0


@dataclass(slots=True)
class PeerLoad:
    """A peer's last ``Load``, and the hand-offs to it that no answer has come to."""

    load: Load
    unanswered: int = 0


@dataclass(slots=True)
class LoadTable:
    """What the peers of the service have told of their load."""

    peers: dict[str, PeerLoad] = field(default_factory=dict)

    def update(self, load: Load) -> None:
        """Take in a load; one from an earlier life than the known is left out."""
        peer = self.peers.get(load.name)
        if peer is None:
            self.peers[load.name] = PeerLoad(load)
            return
        if load.incarnation < peer.load.incarnation:
            return
        if load.incarnation > peer.load.incarnation:
            peer.unanswered = 0
        peer.load = load

    def add_unanswered(self, name: str) -> None:
        """Count a hand-off that is on its way to a peer.

        Until its answer brings the peer's new load, all opens of one moment would
        otherwise see the same least loaded peer and fall on it together.
        """
        if name in self.peers:
            self.peers[name].unanswered += 1

    def remove_unanswered(self, name: str) -> None:
        """Count a hand-off's answer."""
        peer = self.peers.get(name)
        if peer is not None and peer.unanswered > 0:
            peer.unanswered -= 1

    def remove(self, name: str) -> None:
        """Forget a peer that is gone."""
        self.peers.pop(name, None)


@dataclass(frozen=True, slots=True)
class PlacementTarget:
    """An agent that may own a new flow; "" is the one that chooses."""

    name: str
    slots: int
    busy: int
    mean_seconds: float


def rank_targets(own: OwnLoad | None, loads: LoadTable, peers: list[str]) -> list[str]:
    """Return the agents to place a flow on, best first; "" is this agent itself.

    Args:
        own: This agent's load; None if it may take nothing new.
        loads: The peers' loads.
        peers: The peers of the service that can be reached, in the flow's rank; among
            equals the earlier wins, which spreads equals over flows.
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
    """Return the median of the service times that are known.

    An endpoint without a measure is taken for a usual one. Taken for as slow as some
    fixed figure, one that starts among faster ones was used last, so it was never
    measured and stayed without work for good.
    """
    measured = [each.mean_seconds for each in targets if each.mean_seconds > UNMEASURED]
    return median_low(measured) if measured else DEFAULT_SERVICE_SECONDS


def busy_limit(loads: LoadTable, name: str, attempts_left: int) -> int:
    """Return how busy a peer may be and still take a hand-off.

    The home's view of a peer is late by up to ``LOAD_INTERVAL_SECONDS``. A peer that has filled
    up since refuses, and its answer brings its load, so the next choice is better. The
    last try has no limit, so that an open is never sent round for long.

    Args:
        loads: The home's view, before the hand-off is counted in it.
        name: The peer that the hand-off goes to.
        attempts_left: Tries left, this one included.
    """
    if attempts_left <= 1:
        return NO_LIMIT
    peer = loads.peers[name]
    return peer.load.running + peer.load.waiting + peer.unanswered


def accepts_handoff(own: OwnLoad, limit: int) -> bool:
    """Whether an agent takes a hand-off that was sent with a ``busy_limit``."""
    if own.slots == 0:
        return False
    busy = own.running + own.waiting
    return limit == NO_LIMIT or busy < own.slots or busy <= limit


def must_send_now(sent: Load, own: OwnLoad) -> bool:
    """Whether a change of load can't wait for the next ``LOAD_INTERVAL_SECONDS``.

    A slot that peers believe taken stays empty while flows wait elsewhere, and one that
    is no more, as at the begin of a drain, draws hand-offs that are then refused.
    """
    if (sent.slots == 0) != (own.slots == 0):
        return True
    was_full = sent.running + sent.waiting >= sent.slots
    return was_full and own.running + own.waiting < own.slots


def mean_has_changed(sent: Load, own: OwnLoad) -> bool:
    """Whether peers believe an endpoint clearly faster or slower than it is.

    An idle endpoint's mean moves too, at the end of its ramp. Untold, its peers would
    take it for slow until its next request, which they then never send.
    """
    low, high = sorted((sent.mean_seconds, own.mean_seconds))
    return high > low * MEAN_CHANGE_RATIO


def load_message(
    service: str, name: str, incarnation: int, own: OwnLoad, flows: int = 0
) -> Load:
    """Return what an agent tells its peers of its load."""
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
    """Return the seconds until a new request would be done behind what is there.

    Means differ by chance all the time. Taken as they are, they would send most flows
    to whoever was lucky of late, so a mean counts as the usual one until it is clearly
    longer. Among endpoints with a free slot the less busy wins by a small share.

    Args:
        choice: The agent to be judged.
        usual: The median of the group's mean service times, in seconds.
    """
    mean = target.mean_seconds if _is_slow(target, typical_seconds) else typical_seconds
    rounds = max(1.0, (target.busy + 1) / target.slots)
    return mean * (rounds + TIE_BREAK_SHARE * target.busy / target.slots)


def _is_slow(target: PlacementTarget, typical_seconds: float) -> bool:
    return target.mean_seconds > SLOW_RATIO * typical_seconds


def _keeps_flow(target: PlacementTarget, typical_seconds: float) -> bool:
    """Whether a home keeps a flow: it has a slot free and isn't a slow endpoint."""
    free = target.busy < target.slots
    return target.name == "" and free and not _is_slow(target, typical_seconds)


def _local_target(own: OwnLoad) -> PlacementTarget:
    return PlacementTarget("", own.slots, own.running + own.waiting, own.mean_seconds)


def _peer_target(peer: PeerLoad) -> PlacementTarget:
    load = peer.load
    busy = load.running + load.waiting + peer.unanswered
    return PlacementTarget(load.name, load.slots, busy, load.mean_seconds)
