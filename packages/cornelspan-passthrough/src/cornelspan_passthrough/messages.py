"""Datagrams between daemons: a byte for the kind, a fixed header and a payload.

    OPEN      balancer to agent    a flow's first packet, for the endpoint to accept
    DELIVER   balancer to agent    a packet of a flow that the agent owns
    FIND      balancer to home     a packet whose owner the balancer doesn't know
    ASK       balancer to agents   does your endpoint hold this flow?
    MAYBE     agent to balancer    it may; only a packet of the flow will show it
    TRY       balancer to agent    that packet
    REJECTED  agent to balancer    a first packet that its endpoint doesn't accept
    NOT_HERE  agent to balancer    a packet of a flow that its endpoint doesn't hold
    OWNED     agent to balancer    the flow is owned by the named agent
    UNKNOWN   home to balancer     no owner is recorded
    FORWARDED home to owner        a packet of a FIND, with the balancer's address
    RECORD    owner to homes       record the owner
    PING, PONG, HELLO, GONE        state of the daemons, see ``health``

Packets are forwarded unchanged, so a hop costs one concatenation.
"""

import struct
from ipaddress import IPv4Address
from typing import NamedTuple

from cornelspan_passthrough.urgency import Urgency

OPEN = 1
DELIVER = 2
FIND = 3
ASK = 4
REJECTED = 5
NOT_HERE = 6
OWNED = 7
UNKNOWN = 8
RECORD = 9
PING = 10
PONG = 11
HELLO = 12
GONE = 13
FORWARDED = 14
MAYBE = 15
TRY = 16

FLOW_BYTES = 12
OPEN_HEADER = struct.Struct("<BBHHHIII?")
MAX_MILLISECONDS = 65_535
LOWEST_PRIORITY = 255
FLOW_HEADER = struct.Struct("<BB12sI")
NO_ADDRESS = 0
FORWARDED_HEADER_BYTES = 5


class OpenMessage(NamedTuple):
    """A first packet on its way to an endpoint of a service.

    ``urgency`` is that of the flow's requests. ``service_tag`` is a short hash of the
    service that the balancer chose. ``homes`` are the addresses of the agents that
    record the owner, ``NO_ADDRESS`` for none. ``is_final`` is set if no other endpoint
    is left to try, so that a busy endpoint accepts too.
    """

    urgency: Urgency
    service_tag: int
    homes: tuple[int, int]
    is_final: bool
    packet: bytes


class FlowMessage(NamedTuple):
    """A message about a flow, with the flow's packet if there is one.

    ``agent`` is the address of the agent that the message names, ``NO_ADDRESS`` for
    none. ``detail`` is the reason in a ``REJECTED`` message, a key of
    ``REJECTION_REASONS``.
    """

    kind: int
    detail: int
    flow: int
    agent: int
    packet: bytes


def encode_open(message: OpenMessage) -> bytes:
    """Return a first packet as a datagram."""
    priority, *milliseconds = message.urgency
    header = OPEN_HEADER.pack(
        OPEN,
        min(LOWEST_PRIORITY, priority),
        *(min(MAX_MILLISECONDS, each) for each in milliseconds),
        message.service_tag,
        *message.homes,
        message.is_final,
    )
    return header + message.packet


def decode_open(data: bytes) -> OpenMessage | None:
    """Return the first packet in a datagram, None if the datagram is malformed."""
    if len(data) < OPEN_HEADER.size:
        return None
    _, *urgency, tag, first, second, is_final = OPEN_HEADER.unpack_from(data)
    packet = data[OPEN_HEADER.size :]
    return OpenMessage(Urgency(*urgency), tag, (first, second), is_final, packet)


def encode_packet(kind: int, packet: bytes) -> bytes:
    """Return a packet as a datagram without further fields."""
    return bytes((kind,)) + packet


def encode_forwarded(packet: bytes, balancer: str) -> bytes:
    """Return a packet that a home forwards for a balancer as a datagram."""
    return bytes((FORWARDED,)) + IPv4Address(balancer).packed + packet


def decode_forwarded(data: bytes) -> tuple[str, bytes]:
    """Return the balancer's address and the packet of a ``FORWARDED`` datagram."""
    return str(IPv4Address(data[1:FORWARDED_HEADER_BYTES])), data[
        FORWARDED_HEADER_BYTES:
    ]


def encode_flow_message(
    kind: int,
    flow: int,
    *,
    agent: int = NO_ADDRESS,
    detail: int = 0,
    packet: bytes = b"",
) -> bytes:
    """Return a message about a flow as a datagram."""
    number = flow.to_bytes(FLOW_BYTES, "little")
    return FLOW_HEADER.pack(kind, detail, number, agent) + packet


def decode_flow_message(data: bytes) -> FlowMessage | None:
    """Return the flow message in a datagram, None if the datagram is malformed."""
    if len(data) < FLOW_HEADER.size:
        return None
    kind, detail, number, agent = FLOW_HEADER.unpack_from(data)
    flow = int.from_bytes(number, "little")
    return FlowMessage(kind, detail, flow, agent, data[FLOW_HEADER.size :])


WRONG_SERVICE = 1
ENDPOINT_DRAINING = 2
ENDPOINT_DOWN = 3
ENDPOINT_FULL = 4
ENDPOINT_BUSY = 5
ENDPOINT_PROBED = 6
ENDPOINT_WRONG_SERVICE = 7
REJECTION_REASONS = {
    WRONG_SERVICE: "wrong service",
    ENDPOINT_DRAINING: "endpoint draining",
    ENDPOINT_DOWN: "endpoint down",
    ENDPOINT_FULL: "endpoint full",
    ENDPOINT_BUSY: "endpoint busy",
    ENDPOINT_PROBED: "endpoint ejected, one trial request at a time",
    ENDPOINT_WRONG_SERVICE: "another service reports at the endpoint's address",
}
