"""Searches for the owner of a flow that a balancer receives packets of.

A balancer sends the packet itself to the flow's homes one after the other, then a short
query to all agents. A flow counts as dead only when every agent has answered that its
endpoint doesn't hold the flow. A silent agent keeps the search open, as its endpoint
may hold the flow, until the agent has been silent for too long to serve anybody.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

# A live home answers within a round trip, a few milliseconds; after this timeout the
# next one is queried. The client's own retransmission comes after 200 ms.
HOME_TIMEOUT_SECONDS = 0.04
# How long a search waits for agents that are starting. Clients' deadlines are about as
# long, and the client's next retransmission starts a new search.
SEARCH_TIMEOUT_SECONDS = 2.0
# About as many packets as a client has in flight.
MAX_HELD_PACKETS = 16
# Queries to agents that one balancer sends per second, some 60 bytes each with the UDP
# and IP headers and as many for the answer: 1 Mbit/s each way. After a power loss the
# owner of every flow is searched. With 60 agents and no limit the queries filled links
# of 7 Mbit/s, pings were lost with them, and no agent seemed to be alive for 15 s.
QUERIES_PER_SECOND = 2000.0
MAX_SEARCHES = 8192


@dataclass(slots=True)
class Search:
    """The search for one flow's owner.

    ``packet`` started the search, and ``acknowledged`` is its acknowledgement number,
    which a reset of the flow needs. ``held_packets`` are later packets of the flow,
    ``remaining_homes`` the homes not queried yet. ``queried`` are all agents once they
    were queried, ``denied_by`` the agents that answered that they don't hold the flow.
    ``is_queued`` says that all agents are to be queried as soon as the rate limit
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
        """Hold a further packet of the flow until its owner is known."""
        if len(self.held_packets) < MAX_HELD_PACKETS:
            self.held_packets.append(packet)

    def is_exhausted(self, is_lost: Callable[[str], bool]) -> bool:
        """Whether no agent is left that may still hold and serve the flow.

        At least half of the queried agents must have denied the flow themselves. If
        most of them are silent, this process is probably cut off from them and the flow
        may be alive.
        """
        denied = self.queried & self.denied_by
        if not denied or 2 * len(denied) < len(self.queried):
            return False
        return all(is_lost(address) for address in self.queried - self.denied_by)


@dataclass
class Searches:
    """The running searches by flow; beyond the limit the oldest is dropped."""

    by_flow: dict[int, Search] = field(default_factory=dict)

    def get(self, flow: int) -> Search | None:
        """Return the search for a flow's owner, None if there is none."""
        return self.by_flow.get(flow)

    def start(self, flow: int, search: Search) -> None:
        """Start a search."""
        if len(self.by_flow) >= MAX_SEARCHES:
            del self.by_flow[next(iter(self.by_flow))]
        self.by_flow[flow] = search

    def end(self, flow: int) -> Search | None:
        """End a search and return it."""
        return self.by_flow.pop(flow, None)

    def overdue(self, now: float) -> list[int]:
        """Return the flows whose home was queried and has not answered in time."""
        return [
            flow
            for flow, search in self.by_flow.items()
            if not search.queried
            and not search.is_queued
            and now - search.queried_at > HOME_TIMEOUT_SECONDS
        ]

    def remove_expired(self, now: float) -> None:
        """Remove searches that found no owner in time."""
        for flow in list(self.by_flow):
            if now - self.by_flow[flow].started_at <= SEARCH_TIMEOUT_SECONDS:
                return
            del self.by_flow[flow]
