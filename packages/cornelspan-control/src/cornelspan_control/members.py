"""The members known to one process, by name and by service."""

from dataclasses import dataclass, field

from cornelspan_common.control import Announce, Gone
from cornelspan_common.hashing import name_seed

MAX_TOMBSTONES = 4096
SENT_TOMBSTONES = 256
DIGEST_MASK = (1 << 63) - 1


@dataclass
class Members:
    """Balancers and agents as last announced, each in its newest incarnation.

    ``tombstones`` holds the last removed incarnation of each name. ``version`` grows
    with every change, so that values computed from the members can be cached.
    """

    known: dict[str, Announce] = field(default_factory=dict)
    tombstones: dict[str, int] = field(default_factory=dict)
    version: int = 0

    def record(self, member: Announce) -> bool:
        """Record an announcement.

        Returns:
            False if it changes nothing: its incarnation was removed, or the member is
            already known in this or a newer state.
        """
        if member.incarnation <= self.tombstones.get(member.name, 0):
            return False
        known = self.known.get(member.name)
        if known is not None and _is_current(known, member):
            return False
        self.known[member.name] = member
        self.version += 1
        return True

    def remove(self, name: str, incarnation: int) -> bool:
        """Remove a member's incarnation and all earlier ones.

        Later announcements of these incarnations are ignored.

        Returns:
            Whether the member was known in such an incarnation.
        """
        if incarnation <= self.tombstones.get(name, 0):
            return False
        self._add_tombstone(name, incarnation)
        known = self.known.get(name)
        if known is None or known.incarnation > incarnation:
            return False
        del self.known[name]
        self.version += 1
        return True

    def _add_tombstone(self, name: str, incarnation: int) -> None:
        """Remember a removed incarnation; drop the oldest tombstone if there are many.

        Without a limit, names that never come back would fill the memory. Dropping is
        safe, because no announcement is delayed for as long as thousands of removals
        take.
        """
        self.tombstones.pop(name, None)
        self.tombstones[name] = incarnation
        if len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Whether a member is known in exactly this incarnation."""
        known = self.known.get(name)
        return known is not None and known.incarnation == incarnation

    def of_datacentre(self, datacentre: str) -> list[Announce]:
        """Return all members of a data centre, by name."""
        found = [m for m in self.known.values() if m.datacentre == datacentre]
        return sorted(found, key=lambda member: member.name)

    def datacentres(self) -> list[str]:
        """Return the data centres of the members, by name."""
        return sorted({member.datacentre for member in self.known.values()})

    def recent_removals(self) -> tuple[Gone, ...]:
        """Return the newest removals, for a process that may have missed them."""
        newest = list(self.tombstones.items())[-SENT_TOMBSTONES:]
        return tuple(Gone(name, incarnation) for name, incarnation in newest)

    def digest(self, datacentre: str) -> int:
        """Return a digest of a data centre's members, to compare two processes."""
        total = 0
        for member in self.known.values():
            if member.datacentre == datacentre:
                state = f"{member.name} {member.incarnation} {member.leaving}"
                total ^= name_seed(state)
        return total & DIGEST_MASK

    def of_service(self, service: str) -> list[Announce]:
        """Return the agents of a service sorted by name, including leaving ones."""
        agents = [m for m in self.known.values() if m.service == service]
        return sorted(agents, key=lambda member: member.name)

    def balancers(self, datacentre: str) -> list[Announce]:
        """Return the balancers of a data centre, by name."""
        found = [
            m
            for m in self.known.values()
            if m.role == "balancer" and m.datacentre == datacentre
        ]
        return sorted(found, key=lambda member: member.name)


def _is_current(known: Announce, member: Announce) -> bool:
    """Whether the known state is at least as new as the announcement.

    Within one incarnation only ``leaving`` changes, from false to true and never back.
    """
    if known.incarnation != member.incarnation:
        return known.incarnation > member.incarnation
    return known.leaving or known == member
