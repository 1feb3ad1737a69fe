"""Packet headers, as far as daemons read them, and the functions of a packet format.

Client and endpoint number, acknowledge and retransmit packets themselves. Daemons read
the header and forward the bytes unchanged, except for the mark, a header field that the
system may use on the way to an endpoint.
"""

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import NamedTuple

SYN = 1
ACK = 2
FIN = 4
RST = 8
BOUNCED = 16

PORT_BITS = 16
ADDRESS_BITS = 32
PORT_MASK = (1 << PORT_BITS) - 1
ROUTE_BITS = ADDRESS_BITS + PORT_BITS
ROUTE_MASK = (1 << ROUTE_BITS) - 1


class PacketHeader(NamedTuple):
    """The header fields that daemons use.

    ``flow`` is the same for both directions, see ``flow_number``. ``flags`` are the
    constants of this module. ``sequence`` and ``acknowledged`` count bytes. ``length``
    is the size of the data after the header in bytes.
    """

    flow: int
    flags: int
    sequence: int
    acknowledged: int
    length: int


@dataclass(frozen=True, slots=True)
class PacketCodec:
    """The functions that read and build packets in their format on the wire.

    ``read_client`` and ``read_endpoint`` return None for malformed packets. A bounced
    packet, which an endpoint sends back, is read as its client sent it. ``marked``
    returns a packet with another mark and without the bounced flag. ``reset`` returns
    the packet that resets a flow in the name of its route. ``waited_seconds`` returns
    how long a client had waited when it sent this copy of its first packet.
    """

    read_client: Callable[[bytes], PacketHeader | None]
    read_endpoint: Callable[[bytes], PacketHeader | None]
    marked: Callable[[bytes, int], bytes]
    reset: Callable[[int, int], bytes]
    waited_seconds: Callable[[PacketHeader], float]


def flow_number(
    client_address: int, client_port: int, route_address: int, route_port: int
) -> int:
    """Return a flow's number: both addresses and ports, concatenated."""
    client = client_address << PORT_BITS | client_port
    route = route_address << PORT_BITS | route_port
    return client << ROUTE_BITS | route


def route_of(flow: int) -> int:
    """Return the number of a flow's route: its address and port."""
    return flow & ROUTE_MASK


def route_number(address: str, port: int) -> int:
    """Return the number of a route from its address as text and its port."""
    return int(IPv4Address(address)) << PORT_BITS | port


def client_address(flow: int) -> str:
    """Return the address of a flow's client as text."""
    return address_text(flow >> (ROUTE_BITS + PORT_BITS))


def address_text(address: int) -> str:
    """Return an address as text."""
    return f"{address >> 24}.{address >> 16 & 255}.{address >> 8 & 255}.{address & 255}"


def is_address(text: str) -> bool:
    """Whether a text is the address of a VM or a route."""
    try:
        return not IPv4Address(text).is_unspecified
    except ValueError:
        return False


def flow_text(flow: int) -> str:
    """Return a flow in the form used in logs: client, then route.

    Example: ``100.64.0.7:40001>198.18.0.1:443``.
    """
    client = flow >> ROUTE_BITS
    route = flow & ROUTE_MASK
    return f"{_address_port_text(client)}>{_address_port_text(route)}"


def _address_port_text(address_port: int) -> str:
    return f"{address_text(address_port >> PORT_BITS)}:{address_port & PORT_MASK}"
