"""Messages of configuration and membership (tags 60-89)."""

from cornelspan_common.packets import Message


class Announce(Message, frozen=True, tag=60):
    """A process says that it is there, how to reach it and what it does.

    ``service`` is "" for a balancer. ``leaving`` endpoints take no new flows but stay
    reachable for the ones they have.
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
    """All members that the sender knows."""

    members: tuple[Announce, ...]


class Gone(Message, frozen=True, tag=62):
    """A member has left or died."""

    name: str
    incarnation: int


class Heartbeat(Message, frozen=True, tag=63):
    """The sender lives; ``revision`` is the configuration in force there.

    ``epoch`` is the newest epoch of the sender's data centre that it knows.
    """

    name: str
    incarnation: int
    revision: int
    epoch: int = 0


class Subscribe(Message, frozen=True, tag=64):
    """The sender wants configuration and membership from now on.

    ``service`` narrows the members to one service's agents beside the balancers of the
    sender's data centre, ``scope`` to one data centre; both "" is all. ``digests`` are
    those of the sender's members by data centre, so that what is equal isn't sent.
    """

    name: str
    incarnation: int
    revision: int
    service: str
    scope: str
    digests: tuple[tuple[str, int], ...] = ()


class Membership(Message, frozen=True, tag=65):
    """Members of one data centre that have come or gone, under its relay's epoch."""

    datacentre: str
    epoch: int
    members: tuple[Announce, ...]
    gone: tuple[Gone, ...]


class RevisionRequest(Message, frozen=True, tag=66):
    """The sender has ``revision`` in force and wants what is newer."""

    revision: int


class Revision(Message, frozen=True, tag=67):
    """A configuration: what changed since ``base``, or the whole when ``whole`` is set.

    ``body`` is a msgpack-encoded delta or snapshot, encoded once for all receivers.
    """

    base: int
    revision: int
    whole: bool
    body: bytes


class Suspect(Message, frozen=True, tag=68):
    """A relay has not heard from a member and asks whether the receiver has."""

    query_id: int
    name: str
    incarnation: int
    host: str
    port: int


class Verdict(Message, frozen=True, tag=69):
    """Answer to ``Suspect``: whether that life of the member was reached."""

    query_id: int
    alive: bool


class StatusRequest(Message, frozen=True, tag=70):
    """An operator's client asks a balancer what it knows of its data centre."""


class MemberStatus(Message, frozen=True, tag=71):
    """One member as its relay sees it; ``silent_seconds`` is -1 if never heard."""

    member: Announce
    revision: int
    silent_seconds: float


class Status(Message, frozen=True, tag=72):
    """What a balancer knows: of itself, and of its data centre if it is a relay."""

    name: str
    datacentre: str
    relays: tuple[str, ...]
    epoch: int
    revision: int
    store_silent_seconds: float
    members: tuple[MemberStatus, ...]
    warnings: tuple[str, ...]
