"""The record of a run: what was sent, answered and run, with the time of each."""

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class Record:
    """Lines of a run; ``add`` may be called from anywhere."""

    started_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, event: str, **fields: object) -> None:
        """Add a line with the seconds since the start."""
        seconds = time.monotonic() - self.started_at
        details = " ".join(f"{name}={json.dumps(v)}" for name, v in fields.items())
        self.lines.append(f"{seconds:8.3f} {event} {details}".rstrip())


@contextmanager
def written_to(file: Path) -> Iterator[Record]:
    """Yield a record that is written to a file when the context ends."""
    record = Record()
    try:
        yield record
    finally:
        file.write_text("\n".join([*record.lines, ""]))
