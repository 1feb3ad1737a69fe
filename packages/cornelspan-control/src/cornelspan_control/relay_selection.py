"""Selects the balancers that are the relays of a data centre.

There is no vote. Each process ranks the live balancers that it knows by rendezvous
hashing, and the first two are the relays. While processes know different members there
may be one relay more or less; that costs additional store calls but loses no data.
"""

from collections.abc import Container

from cornelspan_common.control import Announce
from cornelspan_common.hashing import name_seed, rank
from cornelspan_control.members import Members

RELAYS_PER_DATACENTRE = 2


def select_relays(
    members: Members, datacentre: str, *, excluding: Container[str] = ()
) -> list[str]:
    """Return the relays of a data centre, the primary first.

    A data centre with too few balancers of its own gets relays from other data centres,
    so that its agents still have two.

    Args:
        members: The members known here.
        datacentre: Data centre to select relays for.
        excluding: Names of balancers that can't be reached from here.
    """
    live = [
        member
        for member in members.known.values()
        if member.role == "balancer" and member.name not in excluding
    ]
    preferred = [member for member in live if not member.leaving] or live
    local = [member for member in preferred if member.datacentre == datacentre]
    relays = _rank_balancers(datacentre, local)[:RELAYS_PER_DATACENTRE]
    if len(relays) == RELAYS_PER_DATACENTRE:
        return relays
    others = [member for member in preferred if member.datacentre != datacentre]
    return (relays + _rank_balancers(datacentre, others))[:RELAYS_PER_DATACENTRE]


def _rank_balancers(datacentre: str, balancers: list[Announce]) -> list[str]:
    candidates = [(member.name, name_seed(member.name), 1.0) for member in balancers]
    return rank(name_seed(datacentre), candidates)
