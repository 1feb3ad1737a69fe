"""Messages by which agents of one service agree on the owner of a flow (tags 20-39)."""

from cornelspan_common.packets import Message, Packet


class Claim(Message, frozen=True, tag=20):
    """A home claims a flow: the receiver records the claim, or reports the owner or
    home that it knows.

    ``query_id`` matches the answer to this message; the same in ``Handoff``.
    """

    service: str
    flow: int
    home: str
    incarnation: int
    query_id: int


class ClaimAnswer(Message, frozen=True, tag=21):
    """Answer to a ``Claim``.

    ``owner`` is the flow's owner if the sender knows it, else "". ``home`` is "" if the
    sender has recorded the claim. Otherwise it names the home that takes precedence:
    the sender itself, or an agent whose claim it has recorded before.
    """

    flow: int
    query_id: int
    owner: str
    owner_incarnation: int
    home: str
    home_incarnation: int


class Load(Message, frozen=True, tag=24):
    """The load of an agent, sent to the other agents of its service.

    ``slots`` is zero while it takes no new work, for example while it drains.
    ``waiting`` includes accepted flows that have not sent a request yet.
    ``mean_seconds`` is how long a request holds a slot. ``urgent`` counts the waiting
    requests whose priority was not lowered by their caller.
    """

    service: str
    name: str
    incarnation: int
    slots: int
    running: int
    waiting: int
    flows: int
    mean_seconds: float
    urgent: int = 0


class Handoff(Message, frozen=True, tag=22):
    """A home asks another agent to become the owner of a new flow.

    ``yielded`` names an agent whose claim on the flow no longer counts, because it has
    yielded to ``home`` or is gone. The receiver accepts only if it has a free slot or
    its running and waiting requests are at most ``limit``; -1 is no limit. ``load`` is
    the home's own load.
    """

    service: str
    packet: Packet
    home: str
    incarnation: int
    query_id: int
    yielded: str
    limit: int
    load: Load


class HandoffAnswer(Message, frozen=True, tag=23):
    """Whether the hand-off was accepted.

    ``home`` names another home that has claimed the flow, if that is why it was
    rejected. ``load`` is the sender's load, this flow included.
    """

    flow: int
    query_id: int
    accepted: bool
    home: str
    home_incarnation: int
    load: Load


class Owner(Message, frozen=True, tag=25):
    """A directory entry: the owner of a flow, "" when the flow has ended.

    ``incarnation`` is that of the owner, also when the flow has ended.
    """

    flow: int
    owner: str
    incarnation: int
