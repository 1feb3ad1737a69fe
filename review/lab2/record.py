"""What a script saw, in order, for ``record.txt``."""

import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class Record:
    """Lines with seconds since the start; ``broken`` lists the broken rules."""

    started_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Write down what happened now."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def rule_broken(self, text: str) -> None:
        """Write down that a rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    def save(self, file: Path) -> None:
        """Write all lines to a file."""
        file.write_text("\n".join(self.lines) + "\n")
