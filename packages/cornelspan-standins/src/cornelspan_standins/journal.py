"""What the backend server stand-ins really ran, the truth that checks go by."""

from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum


class Ended(Enum):
    """How a run of a request ended."""

    RUNNING = "running"
    FINISHED = "finished"
    ANSWER_LOST = "answer lost"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at one endpoint; times in seconds of the event loop."""

    request_id: str
    idempotency_key: str
    method: str
    service: str
    endpoint: str
    started: float
    ended: Ended = Ended.RUNNING
    ended_at: float = 0.0


@dataclass
class Journal:
    """All runs at all endpoints of one deployment, in the order of their start."""

    runs: list[Run] = field(default_factory=list)
    refused: int = 0

    def start(self, run: Run) -> int:
        """Note a run and return its number."""
        self.runs.append(run)
        return len(self.runs) - 1

    def end(self, number: int, ended: Ended, at: float) -> None:
        """Note how a run ended."""
        self.runs[number] = replace(self.runs[number], ended=ended, ended_at=at)

    def refuse(self) -> None:
        """Note a request that was shed before it ran."""
        self.refused += 1

    def ran(self, request_id: str) -> bool:
        """Whether any run of a request was started."""
        return any(run.request_id == request_id for run in self.runs)

    def double_runs(self) -> int:
        """Return how many non-idempotent requests were started more than once.

        A request is told by its idempotency key where it has one, else by its id.
        """
        starts = Counter(
            run.idempotency_key or run.request_id
            for run in self.runs
            if run.method == "POST"
        )
        return sum(1 for count in starts.values() if count > 1)

    def per_endpoint(self, service: str) -> dict[str, int]:
        """Return the number of runs at each endpoint of a service that had any."""
        return dict(Counter(r.endpoint for r in self.runs if r.service == service))

    def started_since(self, endpoint: str, moment: float) -> int:
        """Return how many runs an endpoint started after a moment of the loop."""
        return sum(
            1 for run in self.runs if run.endpoint == endpoint and run.started > moment
        )
