"""Announces a daemon to its seeds while other daemons may not know it."""

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
    can_stop: Callable[[], bool],
) -> None:
    """Send hello datagrams to the seeds until ``can_stop`` returns True.

    Without them, no other daemon would learn of one that starts while the store is
    unavailable. A balancer that receives a hello adds the daemon to its members, pings
    it and forwards a new hello to the other balancers. The port of a seed is ignored,
    because daemons receive datagrams at the internal port.

    Args:
        settings: Settings of the daemon, with the seeds.
        member: The daemon's own entry in the membership.
        daemon_socket: Its socket for datagrams to other daemons.
        can_stop: Whether hellos can stop: an agent has been pinged or has registered
            again, a balancer has read the members from the store.
    """
    hello = Hello(member.address, member.role, member.datacentre, member.service)
    datagram = bytes((HELLO,)) + msgspec.msgpack.encode(hello)
    addresses = [socket_address(seed)[0] for seed in settings.seeds]
    while not can_stop():
        for address in addresses:
            if address != settings.address:
                daemon_socket.send(datagram, (address, settings.internal_port))
        await asyncio.sleep(HELLO_INTERVAL_SECONDS)
