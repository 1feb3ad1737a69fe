"""The configuration in force in one process."""

from dataclasses import dataclass, field

from cornelspan_common.settings import Checked
from cornelspan_control.profiles import Profile, Service


class Snapshot(Checked, frozen=True, kw_only=True):
    """A whole configuration at one revision, as it passes between processes."""

    revision: int = 0
    profiles: tuple[Profile, ...] = ()
    services: tuple[Service, ...] = ()


class Delta(Checked, frozen=True, kw_only=True):
    """What changed between two revisions: new values whole, and names removed."""

    base: int
    revision: int
    profiles: tuple[Profile, ...] = ()
    services: tuple[Service, ...] = ()
    removed_profiles: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()


@dataclass
class Configuration:
    """What is in force here; it only ever moves forward.

    A late or stale read brings an older snapshot. Applied, it would take back a change
    that the operator was told is accepted; so ``apply`` refuses whatever is not newer.
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
        """Put a delta in force, if it starts at or before here and ends after.

        A delta that starts after the revision in force would leave out the changes
        between, so it is refused, and the receiver asks for a snapshot.

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
        """Return the profile that a service runs under, if both are known."""
        known = self.services.get(service)
        return self.profiles.get(known.profile) if known else None

    def snapshot(self) -> Snapshot:
        """Return what is in force as one value."""
        return Snapshot(
            revision=self.revision,
            profiles=tuple(self.profiles.values()),
            services=tuple(self.services.values()),
        )
