"""The search for the owner of a flow whose packets reach a balancer that has none.

A balancer asks the flow's homes one after the other, with the packet itself, then all
agents with a short question. Only when every agent has said that its endpoint does not
hold the flow is it taken to be dead. A silent agent leaves it open, as the flow may
live there, until that agent has been silent for too long to serve anybody.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from cornelspan_passthrough import hops

# A home that lives answers within a round trip, a few milliseconds; after this the next
# is asked. The client's own repeat comes after 200 ms.
HOME_SECONDS = 0.04
# A search waits this long for agents that are about to come up. Clients' time budgets
# are of this order, and a client's next repeat begins a new search.
SEARCH_SECONDS = 2.0
# What a client may have in flight.
KEPT_PACKETS = 16
# What one balancer sends of questions in a second, with UDP's and IP's heads: 1 Mbit/s.
# After a loss of power every client's flow is sought; with 60 agents and no bound the
# questions filled links of 7 Mbit/s, pings were lost with them, and no agent seemed to
# be there for 15 s.
QUESTION_BYTES_PER_SECOND = 125_000.0
# Packets that one balancer sends in a second to agents that may hold their flow, and at
# once. After all daemons were killed that is every agent. 2,000 at once are 300 KB, a
# third of a second of a link of 7 Mbit/s: pings came late, and agents that live were
# taken for lost.
TRIES_PER_SECOND = 2000.0
TRIES_AT_ONCE = 100.0
HEAD_BYTES = 28 + hops.ASK_HEAD.size
LIMIT = 8192
NUMBER_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class Search:
    """One flow's search.

    ``waiting`` are packets that came after the one the question carried, ``homes`` the
    homes not asked yet, ``asked`` the agents that were asked when all were, ``without``
    those that said no, ``untried`` those that may hold the flow and get its packet yet.
    ``is_queued`` says that all agents are to be asked as soon as the balancer may.
    """

    packet: bytes
    acknowledged: int
    started_at: float
    homes: list[str]
    asked_at: float = 0.0
    waiting: list[bytes] = field(default_factory=list)
    is_queued: bool = False
    asked: frozenset[str] = frozenset()
    without: set[str] = field(default_factory=set)
    untried: dict[str, None] = field(default_factory=dict)

    def keep(self, packet: bytes) -> None:
        """Keep a further packet of the flow until its owner is known."""
        if len(self.waiting) < KEPT_PACKETS:
            self.waiting.append(packet)

    def is_exhausted(self, is_lost: Callable[[str], bool]) -> bool:
        """Whether no agent that could still serve the flow is left.

        At least half of all must have said so themselves: with most of them silent, it
        is this process that can't be heard, and the flow may live.
        """
        said = self.asked & self.without
        if not said or 2 * len(said) < len(self.asked):
            return False
        return all(is_lost(address) for address in self.asked - self.without)


class Asked(NamedTuple):
    """The flows of a question that was sent, and when."""

    flows: tuple[int, ...]
    at: float


@dataclass
class Searches:
    """The searches under way, by flow; the oldest is given up beyond the limit.

    ``questions`` are those that may still be answered, by number.
    """

    by_flow: dict[int, Search] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=count)
    questions: dict[int, Asked] = field(default_factory=dict)

    def get(self, flow: int) -> Search | None:
        """Return the search for a flow's owner, None if there is none."""
        return self.by_flow.get(flow)

    def start(self, flow: int, search: Search) -> None:
        """Begin a search."""
        if len(self.by_flow) >= LIMIT:
            del self.by_flow[next(iter(self.by_flow))]
        self.by_flow[flow] = search

    def end(self, flow: int) -> Search | None:
        """End a search and return it."""
        return self.by_flow.pop(flow, None)

    def question(self, flows: tuple[int, ...], now: float) -> hops.Question:
        """Return a new question on flows."""
        number = next(self.numbers) & NUMBER_MASK
        self.questions[number] = Asked(flows, now)
        return hops.Question(number, flows)

    def queued(self) -> list[int]:
        """Return the flows that all agents are to be asked for, oldest first."""
        return [flow for flow, search in self.by_flow.items() if search.is_queued]

    def overdue(self, now: float) -> list[int]:
        """Return flows whose home has not answered in time."""
        return [
            flow
            for flow, search in self.by_flow.items()
            if not search.asked
            and not search.is_queued
            and now - search.asked_at > HOME_SECONDS
        ]

    def sweep(self, now: float) -> None:
        """Give up searches that have found nobody, and questions with them."""
        for number in list(self.questions):
            if now - self.questions[number].at <= SEARCH_SECONDS:
                break
            del self.questions[number]
        for flow in list(self.by_flow):
            if now - self.by_flow[flow].started_at <= SEARCH_SECONDS:
                return
            del self.by_flow[flow]
