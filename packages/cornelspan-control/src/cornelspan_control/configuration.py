"""The configuration in force in one process, with snapshots and deltas of it."""

from dataclasses import dataclass, field

from cornelspan_common.settings import Checked
from cornelspan_control.profiles import Profile, Service


class Snapshot(Checked, frozen=True, kw_only=True):
    """A complete configuration at one revision, as sent between processes."""

    revision: int = 0
    profiles: tuple[Profile, ...] = ()
    services: tuple[Service, ...] = ()


class Delta(Checked, frozen=True, kw_only=True):
    """Changes between two revisions: new values in full, and names removed."""

    base: int
    revision: int
    profiles: tuple[Profile, ...] = ()
    services: tuple[Service, ...] = ()
    removed_profiles: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()


@dataclass
class Configuration:
    """The configuration in force; its revision never decreases.

    A delayed or stale read may return an older snapshot. Applying it would revert a
    change that was reported to the operator as accepted, so ``apply`` refuses every
    snapshot that is not newer.
    """

    revision: int = 0
    profiles: dict[str, Profile] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    by_address: dict[str, Service] = field(default_factory=dict)

    def apply(self, snapshot: Snapshot) -> bool:
        """Put a snapshot in force if it is newer.

        Returns:
            Whether it was newer.
        """
        if snapshot.revision <= self.revision:
            return False
        self.revision = snapshot.revision
        self.profiles = {profile.name: profile for profile in snapshot.profiles}
        self.services = {service.name: service for service in snapshot.services}
        self.by_address = {service.address: service for service in snapshot.services}
        return True

    def advance(self, delta: Delta) -> bool:
        """Put a delta in force if it covers the present revision and is newer.

        A delta whose base is after the present revision lacks the changes in between.
        It is refused, and the receiver requests the missing changes.

        Returns:
            Whether it was put in force.
        """
        if not delta.base <= self.revision < delta.revision:
            return False
        profiles = self.profiles | {p.name: p for p in delta.profiles}
        services = self.services | {s.name: s for s in delta.services}
        profiles_left = [
            p for n, p in profiles.items() if n not in delta.removed_profiles
        ]
        services_left = [
            s for n, s in services.items() if n not in delta.removed_services
        ]
        return self.apply(
            Snapshot(
                revision=delta.revision,
                profiles=tuple(profiles_left),
                services=tuple(services_left),
            )
        )

    def profile_of(self, service: str) -> Profile | None:
        """Return the profile of a service, if both are known."""
        known = self.services.get(service)
        return self.profiles.get(known.profile) if known else None

    def snapshot(self) -> Snapshot:
        """Return the configuration in force as a snapshot."""
        return Snapshot(
            revision=self.revision,
            profiles=tuple(self.profiles.values()),
            services=tuple(self.services.values()),
        )
