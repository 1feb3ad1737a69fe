"""The packets of the platform, as PROTOCOL.md gives them."""

import struct
import zlib
from dataclasses import dataclass, replace
from ipaddress import IPv4Address

HEADER = struct.Struct("<HIIHIIHIIB")
SYN, ACK, FIN, RST, BOUNCED = 128, 32, 16, 8, 1
MASK = 0xFFFFFFFF
KEY = b"the ends' own key"
RESET_WINDOW = 76_800


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet; ``key_sum`` is filled in by ``encode`` for packets of the ends."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    key_sum: int = 0


def own_sum(packet: Packet) -> int:
    """Return the keyed sum over all fields but echo and the flag BOUNCED."""
    bare = replace(packet, flags=packet.flags & ~BOUNCED, echo=0, key_sum=0)
    return zlib.crc32(KEY + _pack(bare)) or 1


def encode(packet: Packet) -> bytes:
    """Return the bytes of a packet that an end sends, with its keyed sum."""
    return _pack(replace(packet, key_sum=own_sum(packet)))


def encode_as_is(packet: Packet) -> bytes:
    """Return the bytes of a packet with the sum that it has."""
    return _pack(packet)


def decode(data: bytes) -> Packet:
    """Return the packet that bytes hold; ValueError if there is none."""
    if len(data) < HEADER.size:
        raise ValueError("shorter than a head")
    dport, src, dst, sport, key_sum, echo, length, seq, ack, flags = HEADER.unpack_from(
        data
    )
    if length != len(data) - HEADER.size:
        raise ValueError("wrong length")
    return Packet(
        str(IPv4Address(src)),
        sport,
        str(IPv4Address(dst)),
        dport,
        flags,
        seq,
        ack,
        data[HEADER.size :],
        echo,
        key_sum,
    )


def is_as_written(packet: Packet) -> bool:
    """Whether a packet is just as its sender wrote it."""
    return packet.key_sum == own_sum(packet)


def is_system_reset(packet: Packet) -> bool:
    """Whether a packet is a reset of the system's own."""
    return packet.flags == RST and not packet.data and packet.key_sum == 0


def distance(one: int, other: int) -> int:
    """Return how far two sequence numbers are from each other."""
    ahead = (one - other) & MASK
    return min(ahead, MASK + 1 - ahead)


def _pack(packet: Packet) -> bytes:
    return (
        HEADER.pack(
            packet.dport,
            int(IPv4Address(packet.src)),
            int(IPv4Address(packet.dst)),
            packet.sport,
            packet.key_sum,
            packet.echo,
            len(packet.data),
            packet.seq,
            packet.ack,
            packet.flags,
        )
        + packet.data
    )
