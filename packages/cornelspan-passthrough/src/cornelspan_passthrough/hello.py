"""Announces a daemon to its seeds until other daemons know it."""

import asyncio
from collections.abc import Callable

import msgspec

from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.health import Hello
from cornelspan_passthrough.members import Member
from cornelspan_passthrough.messages import HELLO
from cornelspan_passthrough.settings import PassthroughSettings, socket_address

HELLO_INTERVAL_SECONDS = 1.0


async def send_hellos(
    settings: PassthroughSettings,
    member: Member,
    daemon_socket: DatagramSocket,
    is_known: Callable[[], bool],
) -> None:
    """Send hello datagrams to the seeds until this daemon is known.

    Without them, a daemon that starts while the store is unavailable would learn of no
    other daemon. Of a seed's address and port only the address is used, because daemons
    receive datagrams at the internal port.

    Args:
        settings: Settings of the daemon, with the seeds.
        member: The daemon's own entry in the membership.
        daemon_socket: Its socket for datagrams to other daemons.
        is_known: Whether another daemon has been in contact, so that hellos can stop.
    """
    hello = Hello(member.address, member.role, member.datacentre, member.service)
    datagram = bytes((HELLO,)) + msgspec.msgpack.encode(hello)
    addresses = [socket_address(seed)[0] for seed in settings.seeds]
    while not is_known():
        for address in addresses:
            if address != settings.address:
                daemon_socket.send(datagram, (address, settings.internal_port))
        await asyncio.sleep(HELLO_INTERVAL_SECONDS)
