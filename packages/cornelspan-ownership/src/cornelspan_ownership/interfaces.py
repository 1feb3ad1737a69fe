"""Interfaces that ``Ownership`` depends on, and the results of an OPEN."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from cornelspan_common.ownership import Claim, ClaimAnswer, Handoff, HandoffAnswer
from cornelspan_common.packets import Packet
from cornelspan_ownership.directory import AgentId
from cornelspan_ownership.placement import OwnLoad


@dataclass(frozen=True, slots=True)
class CallError:
    """A peer did not answer; ``gone`` if it is known to have left or failed."""

    name: str
    gone: bool


@dataclass(frozen=True, slots=True)
class OwnedBy:
    """The flow is owned by an agent, this one or another."""

    owner: str


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """Another agent is the flow's home; forward the OPEN to it."""

    home: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """An OPEN gets no answer now, so the fabric sends it again.

    For any other packet, and at a retired agent for an OPEN too, only a flow that has
    ended has this result, and the packet is answered with a reset and the reason.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The flow can't be opened, or has ended; reset it at the fabric."""

    reason: str


OpenResult = OwnedBy | ForwardTo | RetryLater | Rejected
Answer = ClaimAnswer | HandoffAnswer
AnswerResult = Result[Answer, CallError]
CallPeers = Callable[[Sequence[str], Claim | Handoff], Awaitable[list[AnswerResult]]]


class PeerGroup(Protocol):
    """The agents of the service, as this agent knows them."""

    def ranked(self, flow: int) -> tuple[str, ...]:
        """Return the candidates of a flow by this agent's view, best first."""

    def find_agent(self, name: str) -> AgentId | None:
        """Return a peer's current incarnation, None if the peer is not known."""

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation of a peer is known to have ended."""

    def is_stable(self) -> bool:
        """Whether the group has not changed for longer than an OPEN is retried."""

    def outranks(self, flow: int, one: str, other: str) -> bool:
        """Whether ``one`` ranks above ``other`` as home; equal on all agents."""


class LocalAgent(Protocol):
    """The flows that this agent owns, and its load."""

    def owns(self, flow: int) -> bool:
        """Whether a flow is owned here, or ended here recently."""

    def open(self, packet: Packet) -> None:
        """Become the owner of a flow and accept it."""

    def load(self) -> OwnLoad:
        """Return this agent's load, with 0 slots while it accepts no new flows."""
