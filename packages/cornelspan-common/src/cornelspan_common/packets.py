"""Packets of flows, and the messages that carry them between processes.

Every message is an array-like msgspec structure with an integer tag, so that one
decoder turns a frame into typed messages without copying bodies in Python. This module
has tags 1 to 19.
"""

from enum import IntEnum

import msgspec


class Kind(IntEnum):
    """The type of a packet."""

    OPEN = 1
    ACCEPT = 2
    DATA = 3
    ACK = 4
    CLOSE = 5
    RESET = 6


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base class of all messages between two processes."""


class Hello(Message, frozen=True, tag=1):
    """First message on a stream in both directions; identifies its sender.

    ``incarnation`` identifies one run of the process of that name. It grows with each
    restart (milliseconds since the Unix epoch at the start), so that messages of
    earlier incarnations can be recognised.
    """

    protocol: int
    role: str
    name: str
    datacentre: str
    incarnation: int


class Packet(Message, frozen=True, tag=2):
    """One packet of a flow, between the fabric's end and the owner agent's end.

    ``sequence`` numbers the flow's DATA and CLOSE packets in one direction, from 1; it
    is 0 in other packets. ``acknowledged`` is the cumulative acknowledgement: the
    sender has received all packets up to this one. ``selective`` are the sequence
    numbers beyond it that it has received too. ``window`` is how many more bytes it can
    receive. ``body`` is the data of a DATA packet, the caller's IP number in an OPEN,
    the owner's name in an ACCEPT and the reason in a RESET.
    """

    kind: int
    flow: int
    address: str
    fabric: str
    sequence: int = 0
    acknowledged: int = 0
    selective: tuple[int, ...] = ()
    window: int = 0
    body: bytes = b""


class Routed(Message, frozen=True, tag=3):
    """A packet on its way to the flow's owner.

    ``candidates`` is a msgpack-encoded list of endpoint names in the balancer's ranking
    for the flow, best first. It is encoded once and copied as bytes. ``hops`` counts
    the agents that have forwarded the packet. ``sender`` is the balancer to which the
    owner is reported in a ``Hint``.
    """

    packet: Packet
    candidates: msgspec.Raw
    hops: int
    sender: str


class Hint(Message, frozen=True, tag=4):
    """Sent by an agent to a balancer: the owner of a flow; "" if it has none."""

    flow: int
    owner: str


class Leaving(Message, frozen=True, tag=5):
    """The sender is about to stop gracefully; nothing new should be sent to it."""

    name: str
    incarnation: int
