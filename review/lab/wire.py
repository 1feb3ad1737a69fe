"""The packets of clients and endpoints: a header of 31 bytes, then the data."""

import struct
import zlib
from dataclasses import dataclass
from ipaddress import IPv4Address

HEAD = struct.Struct("<HIIHIIHIIB")
SYN, ACK, FIN, RST, BOUNCED = 128, 32, 16, 8, 1
FLAGS_OFFSET = 30
MAX_DATA = 1200
SEQUENCES = 1 << 32
# Known to clients and endpoints only, as the pages have it.
KEY = b"known to the two ends of a flow"


@dataclass(frozen=True, slots=True)
class Packet:
    """All fields of a packet but its sum; addresses are text."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0


def number(address: str) -> int:
    """Return an address as a number."""
    return int(IPv4Address(address))


def keyed_sum(raw: bytes) -> int:
    """Return the sum over all fields but the echo and the flag of bounced packets."""
    flags = bytes((raw[FLAGS_OFFSET] & ~BOUNCED,))
    parts = (KEY, raw[:12], raw[20:FLAGS_OFFSET], flags, raw[HEAD.size :])
    return zlib.crc32(b"".join(parts)) or 1


def encode(packet: Packet) -> bytes:
    """Return a packet as bytes, with its sum."""
    raw = _packed(packet, 0)
    return _packed(packet, keyed_sum(raw))


def _packed(packet: Packet, total: int) -> bytes:
    head = HEAD.pack(
        packet.dport,
        number(packet.src),
        number(packet.dst),
        packet.sport,
        total,
        packet.echo,
        len(packet.data),
        packet.seq % SEQUENCES,
        packet.ack % SEQUENCES,
        packet.flags,
    )
    return head + packet.data


def decode(raw: bytes) -> Packet:
    """Return the packet in some bytes."""
    dport, src, dst, sport, _, echo, _, seq, ack, flags = HEAD.unpack_from(raw)
    source, target = str(IPv4Address(src)), str(IPv4Address(dst))
    return Packet(source, sport, target, dport, flags, seq, ack, raw[HEAD.size :], echo)


def sum_of(raw: bytes) -> int:
    """Return the sum that stands in a packet."""
    return HEAD.unpack_from(raw)[4]


def is_genuine(raw: bytes) -> bool:
    """Whether a packet is as its sender wrote it."""
    return sum_of(raw) == keyed_sum(raw)


def ahead(first: int, second: int) -> int:
    """Return how far a sequence number is ahead of another, negative if behind."""
    return (first - second + (SEQUENCES >> 1)) % SEQUENCES - (SEQUENCES >> 1)
