"""What an agent answers its peers about flows, and what it promises by that."""

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
    """Answer a peer that wants to place a flow; None if it is no peer of ours."""
    if not _is_peer(state, claim):
        return None
    owner, home = _promise(state, claim)
    return ClaimAnswer(
        claim.flow,
        claim.question,
        owner.name if owner else "",
        owner.incarnation if owner else 0,
        home.name if home else "",
        home.incarnation if home else 0,
    )


def answer_handoff(state: Ownership, handoff: Handoff) -> HandoffAnswer | None:
    """Take a flow or refuse it; None if it comes from no peer of ours."""
    if not _is_peer(state, handoff):
        return None
    state.loads.update(handoff.load)
    flow = handoff.packet.flow
    if state.local.owns(flow):
        return _handoff_answer(state, handoff, True, None)
    asker = AgentId(handoff.home, handoff.incarnation)
    against = _other_home(state, flow, asker, handoff.yielded)
    if against is not None:
        return _handoff_answer(state, handoff, False, against)
    state.directory.homes.put(flow, asker, state.clock())
    if not accepts_handoff(state.local.load(), handoff.limit):
        return _handoff_answer(state, handoff, False, None)
    state.local.open(handoff.packet)
    return _handoff_answer(state, handoff, True, None)


def take_owner(state: Ownership, told: Owner) -> None:
    """Take in a directory entry, or a flow's end."""
    agent = AgentId(told.owner, told.incarnation)
    if not told.owner:
        state.directory.end_flow(told.flow, agent, state.clock())
        return
    if state.group.is_gone(told.owner, told.incarnation):
        return
    state.directory.ended.drop(told.flow)
    if not state.local.owns(told.flow):
        state.directory.owners.put(told.flow, agent, state.clock())


def peer_gone(state: Ownership, name: str, incarnation: int) -> None:
    """Forget a peer; the flows that it owned have ended with it.

    Kept as ended, a late repeated open of such a flow is refused. Placed again, its
    new owner might be sent the request that the dead one has run already.
    """
    state.loads.remove(name)
    now = state.clock()
    for flow in state.directory.remove_agent(name, incarnation):
        state.directory.ended.put(flow, AgentId(name, incarnation), now)


def _is_peer(state: Ownership, asked: Claim | Handoff) -> bool:
    """Whether a question comes from a living agent of the same service.

    What a dead home sent last may be read late, when its successor has placed the flow
    and the promise given to that one is forgotten.
    """
    same = asked.service == state.service
    return same and not state.group.is_gone(asked.home, asked.incarnation)


def _promise(state: Ownership, claim: Claim) -> tuple[AgentId | None, AgentId | None]:
    """Return owner and home as known here; without either the claim is recorded."""
    flow, now = claim.flow, state.clock()
    if state.local.owns(flow):
        return state.agent_id, None
    owner = state.directory.owners.get(flow, now)
    if owner is not None:
        return owner, None
    asker = AgentId(claim.home, claim.incarnation)
    if _holds_against(state, flow, asker):
        return None, state.agent_id
    recorded = state.directory.homes.get(flow, now)
    if recorded is not None and recorded.name != asker.name:
        return None, recorded
    state.directory.homes.put(flow, asker, now)
    return None, None


def _holds_against(state: Ownership, flow: int, asker: AgentId) -> bool:
    """Whether this agent goes on as home; if not, its own claim has ended."""
    now = state.clock()
    if state.unsure.get(flow, now) or state.directory.ended.get(flow, now):
        return True
    pending = state.pending.get(flow)
    if pending is None:
        return False
    return pending.placing or state.group.outranks(
        flow, state.agent_id.name, asker.name
    )


def _other_home(
    state: Ownership, flow: int, asker: AgentId, yielded: str
) -> AgentId | None:
    """Return who has a better right to the flow than the asker, if anyone.

    A home may have died just after it sent a hand-off. The next one asked here before
    that arrived, was told "not here" and placed the flow elsewhere. Taken now, the late
    hand-off would make a second owner.
    """
    now = state.clock()
    pending = state.pending.get(flow)
    if state.unsure.get(flow, now) or (pending and pending.placing):
        return state.agent_id
    known = state.directory
    if known.owners.get(flow, now) or known.ended.get(flow, now):
        return state.agent_id
    recorded = known.homes.get(flow, now)
    if recorded is None or recorded.name in (asker.name, yielded):
        return None
    return recorded


def _handoff_answer(
    state: Ownership, handoff: Handoff, accepted: bool, home: AgentId | None
) -> HandoffAnswer:
    agent_id = state.agent_id
    return HandoffAnswer(
        handoff.packet.flow,
        handoff.question,
        accepted,
        home.name if home else "",
        home.incarnation if home else 0,
        load_message(
            state.service, agent_id.name, agent_id.incarnation, state.local.load()
        ),
    )
