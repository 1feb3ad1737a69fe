"""Datagrams between the system's daemons: one byte of kind, a fixed head, the rest.

    OPEN      balancer to agent    a flow's first packet, for the endpoint to take
    DELIVER   balancer to agent    a packet of a flow that the agent owns
    FIND      balancer to home     a packet whose owner the balancer doesn't know
    ASK       balancer to agents   does your endpoint hold this flow?
    MAYBE     agent to balancer    it may; only a packet of the flow will tell
    TRY       balancer to agent    that packet
    REFUSED   agent to balancer    a first packet that its endpoint doesn't take
    NOT_HERE  agent to balancer    a packet of a flow that its endpoint doesn't hold
    OWNED     agent to balancer    the flow is owned by the named agent
    UNKNOWN   home to balancer     no owner is recorded
    PASSED    home to owner        a packet found for a balancer, whose address it names
    RECORD    owner to homes       remember the owner
    PING, PONG, HELLO, GONE        state of the daemons, see ``health``

Packets are forwarded without being built anew, so a hop costs one concatenation.
"""

import struct
from ipaddress import IPv4Address
from typing import NamedTuple

from cornelspan_passthrough.urgency import Urgency

OPEN = 1
DELIVER = 2
FIND = 3
ASK = 4
REFUSED = 5
NOT_HERE = 6
OWNED = 7
UNKNOWN = 8
RECORD = 9
PING = 10
PONG = 11
HELLO = 12
GONE = 13
PASSED = 14
MAYBE = 15
TRY = 16

FLOW_BYTES = 12
OPEN_HEAD = struct.Struct("<BBHHHIII?")
LONGEST_MILLISECONDS = 65_535
LOWEST_PRIORITY = 255
FLOW_HEAD = struct.Struct("<BB12sI")
NOBODY = 0
PASSED_HEAD = 5


class Open(NamedTuple):
    """A first packet on its way to an endpoint of a service.

    ``urgency`` is that of the flow's requests. ``service_tag`` stands for the service
    that the balancer chose. ``homes`` are the addresses of the agents that shall record
    the owner, ``NOBODY`` for none. ``is_final`` says that no other endpoint is left to
    try, so that one that is merely busy takes it.
    """

    urgency: Urgency
    service_tag: int
    homes: tuple[int, int]
    is_final: bool
    packet: bytes


class FlowNote(NamedTuple):
    """A short message on a flow; ``agent`` is the address of the agent it names."""

    kind: int
    detail: int
    flow: int
    agent: int
    packet: bytes


def encode_open(hop: Open) -> bytes:
    """Return the datagram of a first packet."""
    priority, *milliseconds = hop.urgency
    head = OPEN_HEAD.pack(
        OPEN,
        min(LOWEST_PRIORITY, priority),
        *(min(LONGEST_MILLISECONDS, each) for each in milliseconds),
        hop.service_tag,
        *hop.homes,
        hop.is_final,
    )
    return head + hop.packet


def decode_open(data: bytes) -> Open | None:
    """Return the first packet that a datagram carries; None for a broken one."""
    if len(data) < OPEN_HEAD.size:
        return None
    _, *urgency, tag, first, second, is_final = OPEN_HEAD.unpack_from(data)
    packet = data[OPEN_HEAD.size :]
    return Open(Urgency(*urgency), tag, (first, second), is_final, packet)


def encode_packet(kind: int, packet: bytes) -> bytes:
    """Return the datagram of a packet that needs no further word."""
    return bytes((kind,)) + packet


def encode_passed(packet: bytes, balancer: str) -> bytes:
    """Return the datagram of a packet that a home passes on for a balancer."""
    return bytes((PASSED,)) + IPv4Address(balancer).packed + packet


def decode_passed(data: bytes) -> tuple[str, bytes]:
    """Return the balancer's address and the packet of a ``PASSED`` datagram."""
    return str(IPv4Address(data[1:PASSED_HEAD])), data[PASSED_HEAD:]


def encode_note(
    kind: int, flow: int, *, agent: int = NOBODY, detail: int = 0, packet: bytes = b""
) -> bytes:
    """Return the datagram of a message on a flow."""
    number = flow.to_bytes(FLOW_BYTES, "little")
    return FLOW_HEAD.pack(kind, detail, number, agent) + packet


def decode_note(data: bytes) -> FlowNote | None:
    """Return the message on a flow that a datagram carries; None for a broken one."""
    if len(data) < FLOW_HEAD.size:
        return None
    kind, detail, number, agent = FLOW_HEAD.unpack_from(data)
    flow = int.from_bytes(number, "little")
    return FlowNote(kind, detail, flow, agent, data[FLOW_HEAD.size :])


FOREIGN_SERVICE = 1
ENDPOINT_LEAVES = 2
ENDPOINT_DOWN = 3
ENDPOINT_FULL = 4
ENDPOINT_BUSY = 5
ENDPOINT_PROBED = 6
ENDPOINT_FOREIGN = 7
REASONS = {
    FOREIGN_SERVICE: "foreign service",
    ENDPOINT_LEAVES: "endpoint leaves",
    ENDPOINT_DOWN: "endpoint down",
    ENDPOINT_FULL: "endpoint full",
    ENDPOINT_BUSY: "endpoint busy",
    ENDPOINT_PROBED: "endpoint is tried with one request",
    ENDPOINT_FOREIGN: "another service reports at the endpoint's address",
}
