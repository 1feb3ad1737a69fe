"""Why a call to the platform's store gave no result, as typed values."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no answer, and the call surely changed nothing."""

    reason: str

    def __str__(self) -> str:
        return f"the store can't be reached: {self.reason}"


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A write's answer was lost: it may have taken effect, or may yet."""

    name: str
    reason: str

    def __str__(self) -> str:
        return f"outcome of the write to {self.name} is unknown: {self.reason}"


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """A conditional write found another version, 0 for none."""

    name: str
    version: int

    def __str__(self) -> str:
        return f"{self.name} has changed (version {self.version})"


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """There is no object of that name."""

    name: str

    def __str__(self) -> str:
        return f"no object {self.name}"


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The store, or this process's own call budget, refused the call."""

    reason: str
    retry_seconds: float = 0.0

    def __str__(self) -> str:
        return f"call refused: {self.reason}"


ReadError = StoreUnavailable | ObjectMissing | CallRefused
WriteError = StoreUnavailable | OutcomeUnknown | VersionConflict | CallRefused
StoreError = ReadError | WriteError
