"""The daemons that a process knows: registered in the store, or self-announced."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cornelspan_common.hashing import name_seed

TAG_MASK = 0xFFFFFFFF
BALANCER = "balancer"
AGENT = "agent"


class Member(msgspec.Struct, frozen=True):
    """One daemon, by the address of its VM.

    ``service`` is that of an agent's endpoint, "" for a balancer. No field changes when
    the process restarts, so a restart causes no change for watchers.
    """

    address: str
    role: str
    datacentre: str
    service: str = ""


@dataclass
class Members:
    """All known daemons by address.

    ``revision`` is the store's revision of the last full list, 0 before the first one.
    ``announced`` holds members that announced themselves and have no entry yet.
    ``is_complete`` says that all members are known, from the store or from a peer that
    has read them.
    """

    registered: dict[str, Member] = field(default_factory=dict)
    announced: dict[str, Member] = field(default_factory=dict)
    revision: int = 0
    is_complete: bool = False

    def replace(
        self, members: list[Member], revision: int, unreadable: Iterable[str] = ()
    ) -> bool:
        """Apply a full list; return False if a newer one is known.

        Args:
            members: All registered members.
            revision: The store's revision.
            unreadable: Names of entries that can't be read.
        """
        if revision < self.revision:
            return False
        for address in unreadable:
            self.mark_unreadable(address)
        self.registered = {member.address: member for member in members}
        self.revision = revision
        self.is_complete = True
        self._drop_registered_announcements()
        return True

    def put(self, member: Member, revision: int) -> None:
        """Apply a registered member that was added or changed."""
        self.registered[member.address] = member
        self.revision = max(self.revision, revision)
        self._drop_registered_announcements()

    def mark_unreadable(self, address: str) -> None:
        """Treat a member whose entry was overwritten and can't be read as unregistered.

        Its daemon may be alive. If it were removed, it would no longer be queried for
        its flows, which would seem dead and be reset. So it stays until failure
        detection removes it. Pings tell it that it is not registered, and it registers
        again.
        """
        member = self.registered.pop(address, None)
        if member is not None:
            self.announced.setdefault(address, member)

    def remove(self, address: str, revision: int) -> None:
        """Apply the removal of a member's entry."""
        self.registered.pop(address, None)
        self.revision = max(self.revision, revision)

    def add_announced(self, member: Member) -> bool:
        """Record a member not read from the store; return whether anything changed.

        It has announced itself, sent a ping or pong, or is known to a peer.

        The new owner of an address that another service used before is known this way
        before the store lists it.
        """
        if self.get(member.address) == member:
            return False
        self.announced[member.address] = member
        return True

    def remove_announced(self, address: str) -> None:
        """Remove a member that announced itself."""
        self.announced.pop(address, None)

    def get(self, address: str) -> Member | None:
        """Return the member at an address; its announcement precedes its entry."""
        return self.announced.get(address) or self.registered.get(address)

    def all(self) -> list[Member]:
        """Return all members."""
        return list({**self.registered, **self.announced}.values())

    def agents(self) -> list[Member]:
        """Return all agents."""
        return [member for member in self.all() if member.role == AGENT]

    def balancers(self) -> list[Member]:
        """Return all balancers."""
        return [member for member in self.all() if member.role == BALANCER]

    def _drop_registered_announcements(self) -> None:
        for address, member in list(self.announced.items()):
            if self.registered.get(address) == member:
                del self.announced[address]


def service_tag(service: str) -> int:
    """Return the 32-bit hash that identifies a service in datagrams."""
    return name_seed(service) & TAG_MASK
