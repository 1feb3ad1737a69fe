"""Messages by which agents of one service agree on the owner of a flow (tags 20-39)."""

from cornelspan_common.packets import Message, Packet


class Claim(Message, frozen=True, tag=20):
    """A home asks whether the receiver holds the flow, and records its claim there."""

    service: str
    flow: int
    home: str
    incarnation: int
    query_id: int


class ClaimAnswer(Message, frozen=True, tag=21):
    """Answer to a ``Claim``.

    ``owner`` is the flow's owner as far as known, or "". ``home`` is an agent whose
    claim on the flow the answering one has recorded, the answering one itself if it
    goes on as home, or "" if the asker's claim stands.
    """

    flow: int
    query_id: int
    owner: str
    owner_incarnation: int
    home: str
    home_incarnation: int


class Load(Message, frozen=True, tag=24):
    """An agent's own load, for the peers of its service.

    ``slots`` is zero when it takes no new work, as while it drains. ``waiting`` holds
    flows that were accepted and have sent nothing yet as well. ``mean_seconds`` is how
    long a request holds a slot. ``urgent`` of those that wait go before requests whose
    caller has lowered their priority.
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

    ``yielded`` names an agent that had claimed the flow and has yielded to ``home``,
    or is gone. ``limit`` is how busy the receiver may be and still take it, -1 for any;
    ``load`` is the home's own.
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
    """Whether the hand-off was taken.

    ``home`` names another home that has claimed the flow; ``load`` is the answering
    agent's load with this flow counted.
    """

    flow: int
    query_id: int
    accepted: bool
    home: str
    home_incarnation: int
    load: Load


class Owner(Message, frozen=True, tag=25):
    """A directory entry: who owns a flow; "" when the flow has ended.

    ``incarnation`` is the owner's, of the one that ended it too.
    """

    flow: int
    owner: str
    incarnation: int
