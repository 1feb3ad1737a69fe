"""Who of a data centre has died: suspected by its primary relay, judged by two.

A single observer errs when its own link or its own pause is at fault. So the relay asks
a second process, which has either heard from the member or tries to reach it, and the
relay tries too. Only when neither gets an answer is the member's life taken for ended.
"""

import asyncio
import itertools
import time
from collections.abc import Iterator

from result import Ok

from cornelspan_common.control import Announce, Gone, Membership, Suspect, Verdict
from cornelspan_common.logs import get_log
from cornelspan_common.settings import Address
from cornelspan_common.streams import Peer, open_peer
from cornelspan_control.plane import Plane

PARALLEL_JUDGEMENTS = 16
# Only balancers are relays.
RELAY_ROLE = "balancer"

log = get_log(__name__)


class Judge:
    """The judgements under way in one relay.

    ``verdicts``, ``acquitted`` and ``unwitnessed`` count how they ended.
    """

    def __init__(self, plane: Plane) -> None:
        self.plane = plane
        self.control = plane.settings.control
        self.questions = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[bool]] = {}
        self.hurried: dict[str, float] = {}
        self.places = asyncio.Semaphore(PARALLEL_JUDGEMENTS)
        self.held: dict[str, int] = {}
        self.verdicts = 0
        self.acquitted = 0
        self.unwitnessed = 0

    def hurry(self, name: str) -> None:
        """Look at a member soon, since its stream has ended."""
        self.hurried[name] = time.monotonic()

    def answered(self, verdict: Verdict) -> None:
        """Take a witness's answer."""
        waiting = self.waiting.pop(verdict.question, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(verdict.alive)

    async def run(self) -> None:
        """Look for silent members, as long as the daemon runs.

        After a pause of its own this process has heard nobody; judged by that silence
        all would be dead. The pause shows as a turn that took too long, and then
        everyone gets the whole time again.
        """
        pause = min(self.control.heartbeat_seconds, self.control.lost_seconds) / 2
        last = time.monotonic()
        while True:
            await asyncio.sleep(pause)
            now = time.monotonic()
            if now - last > pause + self.control.heartbeat_seconds:
                self._forgive(now)
            last = now
            offices = self._take_offices()
            await asyncio.gather(
                *(self._judge(m) for m in self._suspects(offices, now))
            )

    def _take_offices(self) -> list[str]:
        """Return the data centres judged here; each new one begins with an epoch.

        Who judged there before may have been paused and not know it. Under the new
        epoch everyone refuses what it says then.
        """
        plane = self.plane
        offices = plane.offices()
        if not offices and not plane.is_relay:
            plane.heard.clear()
            self.hurried.clear()
        for datacentre in offices:
            epoch = plane.epochs.get(datacentre, 0)
            if self.held.get(datacentre) != epoch:
                self._begin_epoch(datacentre)
        for datacentre in set(self.held) - set(offices):
            del self.held[datacentre]
        return offices

    def _begin_epoch(self, datacentre: str) -> None:
        """Judge on under an epoch that nobody else has had."""
        epoch = self.plane.epochs.get(datacentre, 0) + 1
        self.plane.epochs[datacentre] = epoch
        self.held[datacentre] = epoch
        self.plane.tell_all(Membership(datacentre, epoch, (), ()))

    def _forgive(self, now: float) -> None:
        log.warning("this process was paused", extra={"relay": self.plane.name})
        self.hurried.clear()
        for name in self.plane.heard:
            self.plane.heard[name] = now

    def _suspects(self, offices: list[str], now: float) -> Iterator[Announce]:
        plane = self.plane
        for member in list(plane.members.known.values()):
            if member.datacentre not in offices or member.name == plane.name:
                continue
            heard = plane.heard.setdefault(member.name, now)
            limit = self.control.silent_seconds
            ended = self.hurried.get(member.name, 0.0)
            if ended > heard:
                limit = min(limit, self.control.lost_seconds)
                heard = ended
            if now - heard > limit:
                yield member

    async def _judge(self, member: Announce) -> None:
        async with self.places:
            reached = await reach(self.plane, member)
            witnessed = False if reached else await self._ask(member)
        self.hurried.pop(member.name, None)
        if reached or witnessed:
            self.acquitted += 1
            self.plane.heard[member.name] = time.monotonic()
            return
        if witnessed is None:
            self.unwitnessed += 1
            return
        self.verdicts += 1
        log.warning("member judged dead", extra={"member": member.name})
        if member.role == RELAY_ROLE:
            # It may have been the primary for less than a turn of this loop, under the
            # epoch that this relay holds: two that start together both begin with the
            # first. Paused, it would speak under it when it wakes, and be believed.
            self._begin_epoch(member.datacentre)
        gone = Gone(member.name, member.incarnation)
        self.plane.remove(gone, member.datacentre)

    async def _ask(self, member: Announce) -> bool | None:
        """Ask a witness whether a member lives; None if no witness answers.

        Where this is the only balancer known, its own failed attempt has to do.
        """
        plane = self.plane
        witnesses = self._witnesses(member)
        if not witnesses:
            known = plane.members.known.values()
            balancers = {each.name for each in known if each.role == "balancer"}
            return False if balancers <= {plane.name, member.name} else None
        question = next(self.questions)
        waiting = asyncio.get_running_loop().create_future()
        self.waiting[question] = waiting
        witnesses[0].send(
            Suspect(question, member.name, member.incarnation, member.host, member.port)
        )
        try:
            limit = 2 * plane.settings.streams.connect_seconds
            return await asyncio.wait_for(waiting, limit)
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(question, None)

    def _witnesses(self, member: Announce) -> list[Peer]:
        """Return the streams of other balancers, relays of this data centre first."""
        plane = self.plane
        relays = plane.relays()
        found = [
            subscriber
            for subscriber in plane.subscribers.values()
            if subscriber.wants.name != member.name
            and subscriber.peer.hello.role == "balancer"
        ]
        found.sort(key=lambda each: each.wants.name not in relays)
        return [each.peer for each in found if not each.peer.closed]


async def reach(plane: Plane, member: Announce | Suspect) -> bool:
    """Whether a process of that name and life answers at its address."""
    address = Address(host=member.host, port=member.port)
    streams = plane.settings.streams
    async with open_peer(address, plane.hello, streams, tls=plane.tls) as opened:
        match opened:
            case Ok(peer):
                theirs = peer.hello
                same = theirs.name == member.name
                return same and theirs.incarnation >= member.incarnation
            case _:
                return False


async def witness(plane: Plane, peer: Peer, suspect: Suspect) -> None:
    """Answer another relay's question by what was heard, else by trying."""
    heard = plane.heard.get(suspect.name, 0.0)
    limit = plane.settings.control.heartbeat_seconds * 1.5
    known = plane.members.is_alive(suspect.name, suspect.incarnation)
    recently = known and time.monotonic() - heard < limit
    alive = (recently and plane.is_connected(suspect.name)) or await reach(
        plane, suspect
    )
    peer.send(Verdict(suspect.question, alive))
