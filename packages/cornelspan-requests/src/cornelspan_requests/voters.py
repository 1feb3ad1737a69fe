"""The agents whose votes on claims count, and whether this agent may vote itself.

The voters are all agents of the service that were seen within the window, including
those that seem dead. Such an agent may only be partitioned from this one, and its side
of the partition must not be able to form a majority of its own. An agent stops being a
voter when it leaves after sending its records to the others, or once it has been
missing for so long that all of its records have expired.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelspan_common.control import Announce

MIN_JOIN_SECONDS = 1.0


@dataclass(slots=True)
class Voter:
    """An agent whose vote counts.

    ``incarnation`` is 0 if only other agents have named it so far. ``missing_since`` is
    when it was first missing from the members, None while it is present.
    """

    incarnation: int
    missing_since: float | None = None


def majority(count: int) -> int:
    """Return the smallest majority of ``count`` voters."""
    return count // 2 + 1


def read_quorum(count: int) -> int:
    """Return from how many others a starting agent needs the records.

    A granted claim was recorded by a majority. If this agent's earlier incarnation was
    part of it, the claim is known to one fewer than a majority of the others. Any set
    of the returned size includes at least one of these.

    Args:
        count: The number of voters, including this agent.
    """
    return count - majority(count) + 1


@dataclass
class VoterSet:
    """The voters as one agent sees them; times in seconds of the owner's clock.

    ``restart_seen`` is set when an agent of the service is known to have restarted: its
    earlier incarnation may have recorded claims that this agent doesn't have.
    ``left_incarnations`` are the incarnations of agents that have left. ``ready`` tells
    whether this agent may vote. ``synced_ready`` and ``synced_unready`` are agents that
    have sent all their records, and that may vote or may not vote yet.
    """

    name: str
    incarnation: int
    started: float
    by_name: dict[str, Voter] = field(default_factory=dict)
    left_incarnations: dict[str, int] = field(default_factory=dict)
    ready: bool = False
    restart_seen: bool = False
    synced_ready: set[str] = field(default_factory=set)
    synced_unready: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.by_name[self.name] = Voter(self.incarnation)

    def names(self) -> set[str]:
        """Return the agents whose votes count."""
        return set(self.by_name)

    def observe(self, members: Iterable[Announce], now: float, window: float) -> None:
        """Update the voters from the members known now.

        Args:
            members: The agents of the service.
            now: The time.
            window: Seconds for which a missing agent stays a voter.
        """
        present = {member.name: member.incarnation for member in members}
        for name, incarnation in present.items():
            self.add_voter(name, incarnation)
        for name in list(self.by_name):
            if name != self.name and name not in present:
                self._update_missing(name, now, window)

    def add_voter(self, name: str, incarnation: int) -> None:
        """Add an agent or note its restart, after which it may lack records."""
        if incarnation <= self.left_incarnations.get(name, 0):
            return
        voter = self.by_name.get(name)
        if voter is None:
            self.by_name[name] = Voter(incarnation)
            return
        if name == self.name:
            # This agent's earlier incarnation is still a member. Its records are lost.
            self.restart_seen = self.restart_seen or incarnation < self.incarnation
            return
        if incarnation > voter.incarnation:
            # A voter of incarnation 0 is only known from another agent. If its first
            # announcement counted as a restart, the agents of a new service could not
            # vote for the whole window.
            self.restart_seen = self.restart_seen or voter.incarnation > 0
            self.by_name[name] = Voter(incarnation)
        elif incarnation == voter.incarnation:
            voter.missing_since = None

    def remove_voter(self, name: str, incarnation: int) -> None:
        """Remove an agent that has left and has sent its records to the others."""
        self.left_incarnations[name] = max(
            incarnation, self.left_incarnations.get(name, 0)
        )
        voter = self.by_name.get(name)
        if voter is not None and name != self.name and voter.incarnation <= incarnation:
            del self.by_name[name]

    def record_sync(
        self, name: str, *, ready: bool, restart_seen: bool, others: Iterable[str]
    ) -> None:
        """Note that an agent has sent all its records.

        Args:
            name: The agent.
            ready: Whether it may vote, so that its records count as complete.
            restart_seen: Whether it knows that an agent of the service has restarted.
            others: The voters that it knows; unknown ones are added.
        """
        self.restart_seen = self.restart_seen or restart_seen
        for other in others:
            if other not in self.by_name and other not in self.left_incarnations:
                self.by_name[other] = Voter(0)
        if ready:
            self.synced_ready.add(name)
            self.synced_unready.discard(name)
        else:
            self.synced_unready.add(name)

    def update_ready(self, now: float, window: float) -> bool:
        """Update and return whether this agent may vote.

        It may not in the first ``MIN_JOIN_SECONDS``, when it may not know all voters.
        After that, it may vote once one of these holds:

        - It has the records of a read quorum of agents that may vote, so that it knows
          every claim that was granted before.
        - It has the records of all voters, none of them is missing, and no restart is
          known, so that no records are lost.
        - It has run for the whole window, so that all earlier claims have expired.

        Before that it may lack a record, and voting for a new claim on the same key
        would let a request run twice.

        Args:
            now: The time.
            window: Seconds after which all claims of before the start have expired.
        """
        if self.ready or now - self.started < MIN_JOIN_SECONDS:
            return self.ready
        others = self.names() - {self.name}
        synced_count = len(self.synced_ready & others)
        has_quorum = bool(others) and synced_count >= read_quorum(len(self.by_name))
        any_missing = any(
            voter.missing_since is not None for voter in self.by_name.values()
        )
        all_synced = others <= self.synced_unready | self.synced_ready
        complete = all_synced and not self.restart_seen and not any_missing
        if has_quorum or complete or now - self.started >= window:
            self.ready = True
        return self.ready

    def _update_missing(self, name: str, now: float, window: float) -> None:
        """Note that a voter is missing; remove it after the whole window."""
        voter = self.by_name[name]
        if voter.missing_since is None:
            voter.missing_since = now
        elif now - voter.missing_since >= window:
            del self.by_name[name]
