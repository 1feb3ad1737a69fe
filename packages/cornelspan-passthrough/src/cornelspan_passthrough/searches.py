"""The search for the owner of a flow whose packets reach a balancer that has none.

A balancer asks the flow's homes one after the other, with the packet itself, then all
agents with a short question. Only when every agent has said that its endpoint does not
hold the flow is it taken to be dead. A silent agent leaves it open, as the flow may
live there, until that agent has been silent for too long to serve anybody.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

# A home that lives answers within a round trip, a few milliseconds; after this the next
# is asked. The client's own repeat comes after 200 ms.
HOME_TIMEOUT_SECONDS = 0.04
# A search waits this long for agents that are about to come up. Clients' time budgets
# are of this order, and a client's next repeat begins a new search.
SEARCH_TIMEOUT_SECONDS = 2.0
# What a client may have in flight.
MAX_HELD_PACKETS = 16
# Questions to agents that one balancer sends in a second, some 60 bytes each with UDP's
# and IP's heads and as many for the answer: 1 Mbit/s each way. After a loss of power
# every client's flow is sought; with 60 agents and no bound the questions filled links
# of 7 Mbit/s, pings were lost with them, and no agent seemed to be there for 15 s.
QUERIES_PER_SECOND = 2000.0
MAX_SEARCHES = 8192


@dataclass(slots=True)
class Search:
    """One flow's search.

    ``held_packets`` are packets that arrived after the one sent with the query,
    ``remaining_homes`` the homes not queried yet, ``queried`` the agents included when
    all agents were queried, ``denied_by`` those that answered that they don't hold the
    flow. ``is_queued`` says that all agents are to be queried as soon as the rate limit
    allows.
    """

    packet: bytes
    acknowledged: int
    started_at: float
    remaining_homes: list[str]
    queried_at: float = 0.0
    held_packets: list[bytes] = field(default_factory=list)
    is_queued: bool = False
    queried: frozenset[str] = frozenset()
    denied_by: set[str] = field(default_factory=set)

    def hold(self, packet: bytes) -> None:
        """Keep a further packet of the flow until its owner is known."""
        if len(self.held_packets) < MAX_HELD_PACKETS:
            self.held_packets.append(packet)

    def is_exhausted(self, is_lost: Callable[[str], bool]) -> bool:
        """Whether no agent that could still serve the flow is left.

        At least half of all must have said so themselves: with most of them silent, it
        is this process that can't be heard, and the flow may live.
        """
        denied = self.queried & self.denied_by
        if not denied or 2 * len(denied) < len(self.queried):
            return False
        return all(is_lost(address) for address in self.queried - self.denied_by)


@dataclass
class Searches:
    """The searches under way, by flow; the oldest is given up beyond the limit."""

    by_flow: dict[int, Search] = field(default_factory=dict)

    def get(self, flow: int) -> Search | None:
        """Return the search for a flow's owner, None if there is none."""
        return self.by_flow.get(flow)

    def start(self, flow: int, search: Search) -> None:
        """Begin a search."""
        if len(self.by_flow) >= MAX_SEARCHES:
            del self.by_flow[next(iter(self.by_flow))]
        self.by_flow[flow] = search

    def end(self, flow: int) -> Search | None:
        """End a search and return it."""
        return self.by_flow.pop(flow, None)

    def overdue(self, now: float) -> list[int]:
        """Return flows whose home has not answered in time."""
        return [
            flow
            for flow, search in self.by_flow.items()
            if not search.queried
            and not search.is_queued
            and now - search.queried_at > HOME_TIMEOUT_SECONDS
        ]

    def remove_expired(self, now: float) -> None:
        """Give up searches that have found nobody."""
        for flow in list(self.by_flow):
            if now - self.by_flow[flow].started_at <= SEARCH_TIMEOUT_SECONDS:
                return
            del self.by_flow[flow]
