"""Typed errors of calls to the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer, and the call surely changed nothing."""

    reason: str

    def __str__(self) -> str:
        return f"no usable answer from the store: {self.reason}"


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer to a write was lost: it may have taken effect, or may do so yet."""

    name: str
    reason: str

    def __str__(self) -> str:
        return f"outcome of the write to {self.name} is unknown: {self.reason}"


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """A conditional write found another version of the object; 0 if there is none."""

    name: str
    version: int

    def __str__(self) -> str:
        return f"{self.name} has changed (version {self.version})"


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """The store has no object of that name."""

    name: str

    def __str__(self) -> str:
        return f"no object {self.name}"


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The store rejected the call, or this process's call budget didn't allow it.

    ``retry_seconds`` is how long to wait before the next call, 0 if not known.
    """

    reason: str
    retry_seconds: float = 0.0

    def __str__(self) -> str:
        return f"call refused: {self.reason}"


ReadError = StoreUnavailable | ObjectMissing | CallRefused
WriteError = StoreUnavailable | OutcomeUnknown | VersionConflict | CallRefused
StoreError = ReadError | WriteError
