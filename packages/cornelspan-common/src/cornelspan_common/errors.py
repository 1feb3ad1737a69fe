"""Typed errors, passed as values in a ``result.Err``.

Only a violated invariant raises an exception. Errors that an operator, a peer or the
platform can cause are returned as values.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsError:
    """A settings file that can't be read or is invalid.

    ``path`` names the field in JSON path notation, ``$.listen.port`` for example, and
    is ``$`` when the error concerns the whole file.
    """

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.reason}"


@dataclass(frozen=True, slots=True)
class StreamError:
    """A stream to another process could not be opened, or has ended."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"stream to {self.address}: {self.reason}"


@dataclass(frozen=True, slots=True)
class FrameError:
    """Bytes from a peer that are not a valid frame."""

    reason: str

    def __str__(self) -> str:
        return f"invalid frame: {self.reason}"


class InvariantError(AssertionError):
    """A violated invariant; the process stops, because its state can't be trusted."""
