"""Which balancers are the relays of a data centre.

Nobody votes: each process ranks the live balancers that it knows by rendezvous
hashing, and the first two are the relays. Views that differ for a while give a third
relay or a missing one for that while, which costs store calls and loses nothing.
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

    A data centre with fewer balancers than relays gets the rest from others, so that
    its agents are heard by two.

    Args:
        members: The members known here.
        datacentre: Whose relays.
        without: Names that can't be reached from here.
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
