"""What a scenario consists of: typed steps, each with its place in the file."""

from dataclasses import dataclass, field
from typing import Literal

Value = float | str
Settings = dict[str, Value]
TargetKind = Literal["balancer", "agent", "server", "endpoint"]
Operator = Literal["<=", ">=", "="]


@dataclass(frozen=True, slots=True)
class Position:
    """Where a step stands in its file, both from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class ScenarioError:
    """A scenario that can't be run, and where in its file the fault is."""

    file: str
    position: Position
    reason: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.position.line}:{self.position.column}"
        return f"{where}: {self.reason}"


class StepError(Exception):
    """Raised inside a step and turned into a ``ScenarioError`` by the runner."""

    def __init__(self, position: Position, reason: str) -> None:
        super().__init__(reason)
        self.position = position
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Target:
    """What a step acts on; ``service`` is "" for a balancer."""

    kind: TargetKind
    service: str
    number: int
    position: Position = field(compare=False)

    def __str__(self) -> str:
        return " ".join(filter(None, (self.kind, self.service, str(self.number))))


@dataclass(frozen=True, slots=True)
class Step:
    """Base of all steps."""

    position: Position


@dataclass(frozen=True, slots=True)
class Load(Step):
    """Start callers under a name."""

    name: str
    services: tuple[str, ...]
    settings: Settings


@dataclass(frozen=True, slots=True)
class WaitFor(Step):
    """Wait until the callers of a load are through."""

    load: str


@dataclass(frozen=True, slots=True)
class Wait(Step):
    """Let some seconds pass."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Start(Step):
    """Start what was killed or stopped, as a new process."""

    target: Target


@dataclass(frozen=True, slots=True)
class Stop(Step):
    """Stop in order, as for an upgrade."""

    target: Target


@dataclass(frozen=True, slots=True)
class Kill(Step):
    """End without a word, as a crash."""

    target: Target


@dataclass(frozen=True, slots=True)
class Drain(Step):
    """Have an endpoint leave while its flows go on."""

    target: Target


@dataclass(frozen=True, slots=True)
class Pause(Step):
    """Freeze a process for some seconds, its sockets open."""

    target: Target
    seconds: float


@dataclass(frozen=True, slots=True)
class Fault(Step):
    """Change how a backend server behaves."""

    target: Target
    settings: Settings


@dataclass(frozen=True, slots=True)
class Store(Step):
    """Change the store's state; ``amount`` in seconds or as a share."""

    state: Literal["down", "hangs", "slow", "lossy", "stale", "well"]
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class Cut(Step):
    """Drop everything between two processes for some seconds."""

    one: Target
    other: Target
    seconds: float


@dataclass(frozen=True, slots=True)
class ChangeProfile(Step):
    """An operator's edit of a profile."""

    profile: str
    settings: Settings


@dataclass(frozen=True, slots=True)
class Race(Step):
    """Two operators' edits of the same version of a profile, at the same moment."""

    profile: str
    first: Settings
    second: Settings


@dataclass(frozen=True, slots=True)
class UseProfile(Step):
    """An operator's choice of another profile for a service."""

    service: str
    profile: str


@dataclass(frozen=True, slots=True)
class Expect(Step):
    """What must hold; ``within_seconds`` is how long it may take to."""

    metric: str
    service: str
    operator: Operator
    value: float
    within_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A parsed scenario: what to deploy, and the steps in order."""

    file: str
    title: str
    covers: tuple[str, ...] = ()
    short: bool = False
    deployment: str = "shirakaba"
    balancers: int = 3
    fabric: Settings | None = None
    profiles: tuple[tuple[str, Settings], ...] = ()
    servers: tuple[tuple[str, Settings], ...] = ()
    steps: tuple[Step, ...] = ()

    def paused(self) -> set[Target]:
        """Return all that a step pauses."""
        return {step.target for step in self.steps if isinstance(step, Pause)}
