"""The promises that a soak checks, from what clients and endpoints see."""

from collections import Counter
from dataclasses import dataclass, field

from cornelspan_standins.experiment_callers import Asked, Ending
from cornelspan_standins.packet_ends import RAN, PacketClient

# The platform's bounds that the checks use, in seconds: how long new flows may still
# follow an older configuration, how much longer after the store was in trouble, how
# long a leaving endpoint may still get new flows, and how long after a disturbance a
# VM is not counted as in touch.
CONFIG_SECONDS = 3.0
STORE_SLACK_SECONDS = 12.0
DRAIN_SECONDS = 3.0
TOUCH_SECONDS = 4.0
# An agent paused for this long may be taken for gone by balancers.
LONG_PAUSE_SECONDS = 1.5
RECOVERED_SHARE = 0.9
RECOVERY_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Broken:
    """A promise that did not hold, when, and what was seen."""

    promise: str
    at: float
    seen: str


@dataclass
class Promises:
    """What was seen so far; times are seconds of the loop's clock.

    ``routed`` holds, by kind of requests, when which service came into force.
    ``leaving`` holds since when an endpoint's word that it leaves is acknowledged,
    ``disturbed`` when a VM was last disturbed, ``store_troubled`` when the store was.
    """

    broken: list[Broken] = field(default_factory=list)
    routed: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    disturbed: dict[str, float] = field(default_factory=dict)
    store_troubled: float = -STORE_SLACK_SECONDS
    runs: Counter[str] = field(default_factory=Counter)

    def fail(self, promise: str, now: float, seen: str) -> None:
        """Note a promise that did not hold."""
        self.broken.append(Broken(promise, now, seen))

    def route(self, kind: str, service: str, now: float) -> None:
        """Note that a service is to take new flows of a kind from now on."""
        self.routed.setdefault(kind, []).append((now, service))

    def opened(self, kind: str, service: str, vm: str, sent: float, now: float) -> None:
        """Take in a first packet at an endpoint, sent by its client at a time."""
        if service not in self._allowed(kind, sent, now):
            self.fail("configuration", now, f"{kind} opens at {service} on {vm}")
        left = self.leaving.get(vm)
        is_late = left is not None and sent > left + DRAIN_SECONDS
        if is_late and not self._is_disturbed(vm, now):
            self.fail("drain", now, f"{kind} opens at {vm}, which leaves")

    def _allowed(self, kind: str, sent: float, now: float) -> set[str]:
        """Return the services in force at any time that still may count."""
        bound = CONFIG_SECONDS
        if now - self.store_troubled < STORE_SLACK_SECONDS:
            bound += STORE_SLACK_SECONDS
        history = self.routed[kind]
        allowed = set()
        for number, (since, service) in enumerate(history):
            is_last = number + 1 == len(history)
            until = now if is_last else history[number + 1][0]
            if until >= sent - bound and since <= now:
                allowed.add(service)
        return allowed

    def ran(self, kind: str, number: str, service: str, now: float) -> None:
        """Take in that an endpoint begins to run a request."""
        if service not in {each for _, each in self.routed[kind]}:
            self.fail("route", now, f"{kind} runs at {service}")
        self.runs[f"{kind}:{number}"] += 1

    def answered(self, client: PacketClient, now: float) -> None:
        """Take in an answer; it must be the one to the client's own request."""
        if client.last_answer != RAN + client.last_asked:
            seen = f"{client.last_answer!r} to {client.last_asked!r}"
            self.fail("own answer", now, seen)

    def reset(self, flow: str, vm: str, now: float) -> None:
        """Take in that a client's flow was reset while its endpoint holds it."""
        if not self._is_disturbed(vm, now):
            self.fail("flow", now, f"{flow} reset, held at {vm}")

    def _is_disturbed(self, vm: str, now: float) -> bool:
        """Whether a VM's daemon was killed or long paused of late.

        One that was killed knows that its endpoint leaves only by the next report.
        """
        disturbed = self.disturbed.get(vm)
        return disturbed is not None and now - disturbed <= TOUCH_SECONDS

    def finish(self, asked: list[Asked], unsafe: set[str], now: float) -> None:
        """Check what only the end shows.

        Args:
            asked: All requests that have ended.
            unsafe: Kinds that may not run twice.
            now: The time.
        """
        for request, count in self.runs.items():
            if count > 1 and request.partition(":")[0] in unsafe:
                self.fail("at most once", now, f"{request} ran {count} times")
        last = [each for each in asked if each.at > now - 2 * RECOVERY_SECONDS]
        good = sum(each.ending is not Ending.FAILED for each in last)
        if not last or good < RECOVERED_SHARE * len(last):
            self.fail("recovery", now, f"{good} of {len(last)} answered at the end")
