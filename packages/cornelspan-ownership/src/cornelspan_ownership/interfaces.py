"""What deciding on a flow's owner needs from outside, and what it comes to."""

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
    """A peer that did not answer; ``gone`` if it is known to be no more."""

    name: str
    gone: bool


@dataclass(frozen=True, slots=True)
class OwnedBy:
    """The flow is owned by an agent, this one or another."""

    owner: str


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """Another agent is the flow's home."""

    home: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Not to be decided now; the fabric's end repeats its open."""

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The flow can't be opened, or has ended; the fabric's end is to be told."""

    reason: str


OpenResult = OwnedBy | ForwardTo | RetryLater | Rejected
Answer = ClaimAnswer | HandoffAnswer
AnswerResult = Result[Answer, CallError]
CallPeers = Callable[[Sequence[str], Claim | Handoff], Awaitable[list[AnswerResult]]]


class PeerGroup(Protocol):
    """What an agent knows of its service's group now."""

    def ranked(self, flow: int) -> tuple[str, ...]:
        """Return the candidates by this agent's own view."""

    def find_agent(self, name: str) -> AgentId | None:
        """Return the life of a peer that is there now, None if it isn't known."""

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Whether a life of a peer is known to have ended."""

    def is_stable(self) -> bool:
        """Whether the group has not changed for longer than an open is repeated."""

    def outranks(self, flow: int, one: str, other: str) -> bool:
        """Whether of two homes the first wins; the same wherever it is asked."""


class LocalAgent(Protocol):
    """The flows that this agent owns, and its load."""

    def owns(self, flow: int) -> bool:
        """Whether a flow is owned here."""

    def open(self, packet: Packet) -> None:
        """Become the owner and accept."""

    def load(self) -> OwnLoad:
        """Return this agent's load; no slots while it takes nothing new."""
