"""Handlers for ownership messages from peers.

An answer commits this agent: once it has recorded a claim, it no longer places the flow
on its own.
"""

from cornelspan_common.ownership import (
    Claim,
    ClaimAnswer,
    Handoff,
    HandoffAnswer,
    Owner,
)
from cornelspan_ownership.directory import AgentId
from cornelspan_ownership.ownership import Ownership
from cornelspan_ownership.placement import accepts_handoff, load_message


def answer_claim(state: Ownership, claim: Claim) -> ClaimAnswer | None:
    """Answer a claim; None if its sender is no peer or is gone."""
    if not _is_from_peer(state, claim):
        return None
    owner, home = _answer_or_record_claim(state, claim)
    return ClaimAnswer(
        claim.flow,
        claim.query_id,
        owner.name if owner else "",
        owner.incarnation if owner else 0,
        home.name if home else "",
        home.incarnation if home else 0,
    )


def answer_handoff(state: Ownership, handoff: Handoff) -> HandoffAnswer | None:
    """Accept or reject a hand-off; None if its sender is no peer or is gone.

    Rejected if another home takes precedence or this agent is too busy.
    """
    if not _is_from_peer(state, handoff):
        return None
    state.loads.update(handoff.load)
    flow = handoff.packet.flow
    if state.local.owns(flow):
        return _handoff_answer(state, handoff, True, None)
    sender = AgentId(handoff.home, handoff.incarnation)
    other_home = _conflicting_home(state, flow, sender, handoff.yielded)
    if other_home is not None:
        return _handoff_answer(state, handoff, False, other_home)
    state.directory.homes.put(flow, sender, state.clock())
    if not accepts_handoff(state.local.load(), handoff.limit):
        return _handoff_answer(state, handoff, False, None)
    state.local.open(handoff.packet)
    return _handoff_answer(state, handoff, True, None)


def record_owner(state: Ownership, message: Owner) -> None:
    """Record a flow's owner, or its end if the message names no owner.

    An owner that is gone is ignored, and so is any other owner of a flow owned here.
    """
    owner = AgentId(message.owner, message.incarnation)
    if not message.owner:
        # ``ended`` then has an empty name: the flow ended normally.
        state.directory.end_flow(message.flow, owner, state.clock())
        return
    if state.group.is_gone(message.owner, message.incarnation):
        return
    # An owner that was removed by mistake registers its flows again, under a new
    # incarnation, after they were recorded as ended.
    state.directory.ended.drop(message.flow)
    if not state.local.owns(message.flow):
        state.directory.owners.put(message.flow, owner, state.clock())


def remove_incarnation(state: Ownership, name: str, incarnation: int) -> None:
    """Remove a peer up to an incarnation, and record the flows that it owned as ended.

    Its load is removed too, whichever incarnation sent it.

    A late retry of such a flow's OPEN is then rejected. If the flow were placed again,
    the new owner could execute a request that the old one has executed.
    """
    state.loads.remove(name)
    now = state.clock()
    for flow in state.directory.remove_agent(name, incarnation):
        state.directory.ended.put(flow, AgentId(name, incarnation), now)


def _is_from_peer(state: Ownership, message: Claim | Handoff) -> bool:
    """Whether a message is from an agent of this service that isn't known to be gone.

    The sender is ``message.home``. A late message of a dead home is not answered,
    because the next home may have placed the flow already. While the next home's claim
    is recorded here, it blocks a late hand-off too; but it expires, and accepting the
    hand-off after that would create a second owner.
    """
    same_service = message.service == state.service
    return same_service and not state.group.is_gone(message.home, message.incarnation)


def _answer_or_record_claim(
    state: Ownership, claim: Claim
) -> tuple[AgentId | None, AgentId | None]:
    """Return the known owner and home of a flow; if there is none, record the claim."""
    flow, now = claim.flow, state.clock()
    if state.local.owns(flow):
        return state.agent_id, None
    owner = state.directory.owners.get(flow, now)
    if owner is not None:
        return owner, None
    sender = AgentId(claim.home, claim.incarnation)
    if _refuses_claim(state, flow, sender):
        return None, state.agent_id
    recorded = state.directory.homes.get(flow, now)
    if recorded is not None and recorded.name != sender.name:
        return None, recorded
    state.directory.homes.put(flow, sender, now)
    return None, None


def _refuses_claim(state: Ownership, flow: int, sender: AgentId) -> bool:
    """Whether this agent answers a claim by naming itself as home.

    It does so while it places the flow, while it handles an OPEN of the flow and takes
    precedence over the sender, and after the flow's end, so that the sender forwards
    the OPEN here. If not, ``_answer_or_record_claim`` records the sender as home,
    unless another home is recorded; an OPEN of the flow that is handled here then ends
    by forwarding it to the sender.
    """
    now = state.clock()
    if state.unanswered_handoffs.get(flow, now) or state.directory.ended.get(flow, now):
        return True
    pending = state.pending.get(flow)
    if pending is None:
        return False
    return pending.placing or state.group.outranks(
        flow, state.agent_id.name, sender.name
    )


def _conflicting_home(
    state: Ownership, flow: int, sender: AgentId, yielded: str
) -> AgentId | None:
    """Return the home that takes precedence over a hand-off, None if there is none.

    This is this agent itself if it places the flow, or knows its owner or its end;
    otherwise the recorded home, unless that is the sender or has yielded to it.

    Guards against a late hand-off: its home died just after sending it, and the next
    home claimed the flow here before it arrived and placed the flow elsewhere.
    Accepting the hand-off now would create a second owner.
    """
    now = state.clock()
    pending = state.pending.get(flow)
    if state.unanswered_handoffs.get(flow, now) or (pending and pending.placing):
        return state.agent_id
    directory = state.directory
    if directory.owners.get(flow, now) or directory.ended.get(flow, now):
        return state.agent_id
    recorded = directory.homes.get(flow, now)
    if recorded is None or recorded.name in (sender.name, yielded):
        return None
    return recorded


def _handoff_answer(
    state: Ownership, handoff: Handoff, accepted: bool, home: AgentId | None
) -> HandoffAnswer:
    agent_id = state.agent_id
    return HandoffAnswer(
        handoff.packet.flow,
        handoff.query_id,
        accepted,
        home.name if home else "",
        home.incarnation if home else 0,
        load_message(
            state.service,
            agent_id.name,
            agent_id.incarnation,
            state.local.load(),
        ),
    )
