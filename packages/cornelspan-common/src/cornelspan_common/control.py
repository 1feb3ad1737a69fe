"""Messages of configuration and membership (tags 60-89)."""

from cornelspan_common.packets import Message


class Announce(Message, frozen=True, tag=60):
    """A member of the fleet, announced by itself: its address, role and service.

    ``service`` is "" for a balancer. ``slots`` is how many requests the endpoint runs
    at once. ``leaving`` is set while an agent drains: it takes no new flows and stays
    reachable for those it has.
    """

    name: str
    role: str
    datacentre: str
    incarnation: int
    host: str
    port: int
    service: str
    weight: float
    slots: int
    leaving: bool


class AnnounceList(Message, frozen=True, tag=61):
    """Announcements of all members that the sender knows."""

    members: tuple[Announce, ...]


class Gone(Message, frozen=True, tag=62):
    """An incarnation of a member has left or died."""

    name: str
    incarnation: int


class Heartbeat(Message, frozen=True, tag=63):
    """The sender is alive; ``revision`` is that of its configuration in force.

    ``epoch`` is the newest epoch of its data centre that it knows.
    """

    name: str
    incarnation: int
    revision: int
    epoch: int = 0


class Subscribe(Message, frozen=True, tag=64):
    """The sender subscribes to configuration and membership.

    If ``service`` is set, it gets only the agents of that service and the balancers of
    its data centre; if ``scope`` is set, only the members of that data centre; all
    members if both are "". ``digests`` has a digest of the members that it knows for
    each data centre, so that those that are up to date aren't sent.
    """

    name: str
    incarnation: int
    revision: int
    service: str
    scope: str
    digests: tuple[tuple[str, int], ...] = ()


class Membership(Message, frozen=True, tag=65):
    """Members of a data centre that have joined or gone, under its relay's epoch."""

    datacentre: str
    epoch: int
    members: tuple[Announce, ...]
    gone: tuple[Gone, ...]


class RevisionRequest(Message, frozen=True, tag=66):
    """Requests what is newer than ``revision``, which is in force at the sender."""

    revision: int


class Revision(Message, frozen=True, tag=67):
    """A configuration: the changes since revision ``base``, or all if ``whole`` is set.

    ``body`` is the msgpack-encoded delta or snapshot, encoded once for all receivers.
    """

    base: int
    revision: int
    whole: bool
    body: bytes


class Suspect(Message, frozen=True, tag=68):
    """A relay got no heartbeat of a member and asks the receiver to check it too.

    ``query_id`` matches the ``Verdict`` to this message. ``host`` and ``port`` are the
    member's address.
    """

    query_id: int
    name: str
    incarnation: int
    host: str
    port: int


class Verdict(Message, frozen=True, tag=69):
    """Answer to ``Suspect``: whether that incarnation of the member is alive."""

    query_id: int
    alive: bool


class StatusRequest(Message, frozen=True, tag=70):
    """An operator's client requests the ``Status`` of a balancer."""


class MemberStatus(Message, frozen=True, tag=71):
    """One member as its relay sees it.

    ``silent_seconds`` is the time since its last message, -1 if there was none.
    """

    member: Announce
    revision: int
    silent_seconds: float


class Status(Message, frozen=True, tag=72):
    """Status of a balancer, and of its data centre's members if it is a relay."""

    name: str
    datacentre: str
    relays: tuple[str, ...]
    epoch: int
    revision: int
    store_silent_seconds: float
    members: tuple[MemberStatus, ...]
    warnings: tuple[str, ...]
