"""A daemon speaks up to its seeds until it knows others, or they know it."""

import asyncio
from collections.abc import Callable

import msgspec

from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.health import Hello
from cornelspan_passthrough.hops import HELLO
from cornelspan_passthrough.members import Member
from cornelspan_passthrough.settings import PassthroughSettings, socket_address

HELLO_SECONDS = 1.0


async def greet(
    settings: PassthroughSettings,
    member: Member,
    daemons: DatagramSocket,
    is_known: Callable[[], bool],
) -> None:
    """Speak up until this daemon is known.

    One that starts while the store turns it away would else know nobody.

    Args:
        settings: Its settings, with the seeds.
        member: What it says of itself.
        daemons: Its socket towards other daemons.
        is_known: Whether there is nothing more to say.
    """
    hello = Hello(member.address, member.role, member.datacentre, member.service)
    datagram = bytes((HELLO,)) + msgspec.msgpack.encode(hello)
    addresses = [socket_address(seed)[0] for seed in settings.seeds]
    while not is_known():
        for address in addresses:
            if address != settings.address:
                daemons.send(datagram, (address, settings.internal_port))
        await asyncio.sleep(HELLO_SECONDS)
