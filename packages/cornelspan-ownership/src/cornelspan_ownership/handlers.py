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


def answer_claim(ownership: Ownership, claim: Claim) -> ClaimAnswer | None:
    """Answer a peer that wants to place a flow; None if it is no peer of ours."""
    if not _is_peer(ownership, claim):
        return None
    owner, home = _answer_or_record_claim(ownership, claim)
    return ClaimAnswer(
        claim.flow,
        claim.question,
        owner.name if owner else "",
        owner.incarnation if owner else 0,
        home.name if home else "",
        home.incarnation if home else 0,
    )


def answer_handoff(ownership: Ownership, handoff: Handoff) -> HandoffAnswer | None:
    """Take a flow or refuse it; None if it comes from no peer of ours."""
    if not _is_peer(ownership, handoff):
        return None
    ownership.loads.update(handoff.load)
    flow = handoff.packet.flow
    if ownership.local.owns(flow):
        return _handoff_answer(ownership, handoff, True, None)
    sender = AgentId(handoff.home, handoff.incarnation)
    other_home = _conflicting_home(ownership, flow, sender, handoff.yielded)
    if other_home is not None:
        return _handoff_answer(ownership, handoff, False, other_home)
    ownership.directory.homes.put(flow, sender, ownership.clock())
    if not accepts_handoff(ownership.local.load(), handoff.limit):
        return _handoff_answer(ownership, handoff, False, None)
    ownership.local.open(handoff.packet)
    return _handoff_answer(ownership, handoff, True, None)


def record_owner(ownership: Ownership, message: Owner) -> None:
    """Take in a directory entry, or a flow's end."""
    owner = AgentId(message.owner, message.incarnation)
    if not message.owner:
        ownership.directory.end_flow(message.flow, owner, ownership.clock())
        return
    if ownership.group.is_gone(message.owner, message.incarnation):
        return
    ownership.directory.ended.drop(message.flow)
    if not ownership.local.owns(message.flow):
        ownership.directory.owners.put(message.flow, owner, ownership.clock())


def remove_peer(ownership: Ownership, name: str, incarnation: int) -> None:
    """Forget a peer; the flows that it owned have ended with it.

    Kept as ended, a late repeated open of such a flow is refused. Placed again, its
    new owner might be sent the request that the dead one has run already.
    """
    ownership.loads.remove(name)
    now = ownership.clock()
    for flow in ownership.directory.remove_agent(name, incarnation):
        ownership.directory.ended.put(flow, AgentId(name, incarnation), now)


def _is_peer(ownership: Ownership, message: Claim | Handoff) -> bool:
    """Whether a question comes from a living agent of the same service.

    What a dead home sent last may be read late, when its successor has placed the flow
    and the promise given to that one is forgotten.
    """
    same = message.service == ownership.service
    return same and not ownership.group.is_gone(message.home, message.incarnation)


def _answer_or_record_claim(
    ownership: Ownership, claim: Claim
) -> tuple[AgentId | None, AgentId | None]:
    """Return owner and home as known here; without either the claim is recorded."""
    flow, now = claim.flow, ownership.clock()
    if ownership.local.owns(flow):
        return ownership.agent_id, None
    owner = ownership.directory.owners.get(flow, now)
    if owner is not None:
        return owner, None
    sender = AgentId(claim.home, claim.incarnation)
    if _keeps_claim(ownership, flow, sender):
        return None, ownership.agent_id
    recorded = ownership.directory.homes.get(flow, now)
    if recorded is not None and recorded.name != sender.name:
        return None, recorded
    ownership.directory.homes.put(flow, sender, now)
    return None, None


def _keeps_claim(ownership: Ownership, flow: int, sender: AgentId) -> bool:
    """Whether this agent goes on as home; if not, its own claim has ended."""
    now = ownership.clock()
    if ownership.unanswered_handoffs.get(flow, now) or ownership.directory.ended.get(
        flow, now
    ):
        return True
    pending = ownership.pending.get(flow)
    if pending is None:
        return False
    return pending.placing or ownership.group.outranks(
        flow, ownership.agent_id.name, sender.name
    )


def _conflicting_home(
    ownership: Ownership, flow: int, sender: AgentId, yielded: str
) -> AgentId | None:
    """Return who has a better right to the flow than the asker, if anyone.

    A home may have died just after it sent a hand-off. The next one asked here before
    that arrived, was told "not here" and placed the flow elsewhere. Taken now, the late
    hand-off would make a second owner.
    """
    now = ownership.clock()
    pending = ownership.pending.get(flow)
    if ownership.unanswered_handoffs.get(flow, now) or (pending and pending.placing):
        return ownership.agent_id
    directory = ownership.directory
    if directory.owners.get(flow, now) or directory.ended.get(flow, now):
        return ownership.agent_id
    recorded = directory.homes.get(flow, now)
    if recorded is None or recorded.name in (sender.name, yielded):
        return None
    return recorded


def _handoff_answer(
    ownership: Ownership, handoff: Handoff, accepted: bool, home: AgentId | None
) -> HandoffAnswer:
    agent_id = ownership.agent_id
    return HandoffAnswer(
        handoff.packet.flow,
        handoff.question,
        accepted,
        home.name if home else "",
        home.incarnation if home else 0,
        load_message(
            ownership.service,
            agent_id.name,
            agent_id.incarnation,
            ownership.local.load(),
        ),
    )
