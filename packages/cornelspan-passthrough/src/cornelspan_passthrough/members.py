"""The daemons that a process knows: as they are listed, and as they say themselves."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cornelspan_common.hashing import name_seed

TAG_MASK = 0xFFFFFFFF
BALANCER = "balancer"
AGENT = "agent"


class Member(msgspec.Struct, frozen=True):
    """One daemon, by the address of its VM.

    ``service`` is that of an agent's endpoint, "" for a balancer. Nothing here changes
    when the process restarts, so a restart changes nothing for those who watch.
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
        """Take in a whole listing; return False if a newer one is known.

        Args:
            members: All that are listed.
            revision: The store's.
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
        """Take in a listed member that has come or changed."""
        self.registered[member.address] = member
        self.revision = max(self.revision, revision)
        self._drop_registered_announcements()

    def mark_unreadable(self, address: str) -> None:
        """Take in that a member's entry was overwritten by what can't be read.

        The daemon itself may be well. Taken off the list, it would no longer be asked
        for its flows, and these would seem dead and be reset. So it stays until it is
        silent for long; told by the pings that it is not listed, it lists itself anew.
        """
        member = self.registered.pop(address, None)
        if member is not None:
            self.announced.setdefault(address, member)

    def remove(self, address: str, revision: int) -> None:
        """Take in that a member is no longer listed."""
        self.registered.pop(address, None)
        self.revision = max(self.revision, revision)

    def add_announced(self, member: Member) -> bool:
        """Take in what a daemon says of itself; return whether that is news.

        An address that another service has taken over is known here from its new owner
        before the listing says so.
        """
        if self.get(member.address) == member:
            return False
        self.announced[member.address] = member
        return True

    def remove_announced(self, address: str) -> None:
        """Forget what a daemon said of itself."""
        self.announced.pop(address, None)

    def get(self, address: str) -> Member | None:
        """Return the member at an address; its own word goes before the listing."""
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
    """Return the number that stands for a service between daemons."""
    return name_seed(service) & TAG_MASK
