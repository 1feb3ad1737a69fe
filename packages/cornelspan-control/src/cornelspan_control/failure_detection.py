"""Failure detection for the members of a data centre.

The primary relay checks each member that has sent nothing for too long. It probes the
member itself and asks a second balancer, which has either heard from the member
recently or probes it too. The member is removed only if both get no answer: a single
observer is wrong when its own link fails or its own process was paused. Only if no
other balancer is known is the failed probe of the relay enough.
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

MAX_PARALLEL_CHECKS = 16
# Role of the daemons that can become relays.
BALANCER_ROLE = "balancer"

log = get_log(__name__)


class FailureDetector:
    """Checks the silent members of the data centres whose primary relay this is.

    Attributes:
        question_ids: Numbers that match a ``Verdict`` to its ``Suspect`` message.
        pending_verdicts: Futures of the questions sent and not yet answered, by number.
        stream_ended: Monotonic time at which a member's stream ended.
        check_slots: Limits how many members are checked at the same time.
        held_epochs: Epoch that this relay started for each data centre that it checks.
        removals: Checks after which the member was removed.
        found_alive: Checks in which the member answered a probe or the second balancer
            reported it alive.
        unconfirmed: Checks without a verdict of a second balancer; the member stays.
    """

    def __init__(self, plane: Plane) -> None:
        self.plane = plane
        self.control = plane.settings.control
        self.question_ids = itertools.count(1)
        self.pending_verdicts: dict[int, asyncio.Future[bool]] = {}
        self.stream_ended: dict[str, float] = {}
        self.check_slots = asyncio.Semaphore(MAX_PARALLEL_CHECKS)
        self.held_epochs: dict[str, int] = {}
        self.removals = 0
        self.found_alive = 0
        self.unconfirmed = 0

    def note_stream_ended(self, name: str) -> None:
        """Let a member be checked after ``lost_seconds``, as its stream has ended."""
        self.stream_ended[name] = time.monotonic()

    def receive_verdict(self, verdict: Verdict) -> None:
        """Resolve the pending question that a verdict answers."""
        answer = self.pending_verdicts.pop(verdict.query_id, None)
        if answer is not None and not answer.done():
            answer.set_result(verdict.alive)

    async def run(self) -> None:
        """Check silent members periodically until cancelled.

        If this process was paused, all members look silent to it. An iteration that
        took too long reveals the pause, and all timeouts then start again.
        """
        interval = min(self.control.heartbeat_seconds, self.control.lost_seconds) / 2
        last_iteration = time.monotonic()
        while True:
            await asyncio.sleep(interval)
            now = time.monotonic()
            if now - last_iteration > interval + self.control.heartbeat_seconds:
                self._reset_timeouts(now)
            last_iteration = now
            datacentres = self._update_held_epochs()
            await asyncio.gather(
                *(self._check(m) for m in self._silent_members(datacentres, now))
            )

    def _update_held_epochs(self) -> list[str]:
        """Return the data centres to check; start a new epoch for each new one.

        The previous primary may have been paused without noticing. After the new epoch
        has started, all members ignore removals that it sends under the old one.
        """
        plane = self.plane
        datacentres = plane.datacentres_as_primary()
        if not datacentres and not plane.is_relay:
            plane.last_heard.clear()
            self.stream_ended.clear()
        for datacentre in datacentres:
            epoch = plane.epochs.get(datacentre, 0)
            if self.held_epochs.get(datacentre) != epoch:
                self._begin_epoch(datacentre)
        for datacentre in set(self.held_epochs) - set(datacentres):
            del self.held_epochs[datacentre]
        return datacentres

    def _begin_epoch(self, datacentre: str) -> None:
        """Start the next epoch of a data centre and broadcast it."""
        epoch = self.plane.epochs.get(datacentre, 0) + 1
        self.plane.epochs[datacentre] = epoch
        self.held_epochs[datacentre] = epoch
        self.plane.broadcast(Membership(datacentre, epoch, (), ()))

    def _reset_timeouts(self, now: float) -> None:
        log.warning("this process was paused", extra={"relay": self.plane.name})
        self.stream_ended.clear()
        for name in self.plane.last_heard:
            self.plane.last_heard[name] = now

    def _silent_members(self, datacentres: list[str], now: float) -> Iterator[Announce]:
        plane = self.plane
        for member in list(plane.members.known.values()):
            if member.datacentre not in datacentres or member.name == plane.name:
                continue
            last_heard = plane.last_heard.setdefault(member.name, now)
            timeout = self.control.silent_seconds
            stream_ended = self.stream_ended.get(member.name, 0.0)
            if stream_ended > last_heard:
                timeout = min(timeout, self.control.lost_seconds)
                last_heard = stream_ended
            if now - last_heard > timeout:
                yield member

    async def _check(self, member: Announce) -> None:
        async with self.check_slots:
            reached = await probe(self.plane, member)
            # A member that answered needs no second verdict; False is not used then.
            confirmed_alive = (
                False if reached else await self._ask_other_balancer(member)
            )
        self.stream_ended.pop(member.name, None)
        if reached or confirmed_alive:
            self.found_alive += 1
            self.plane.last_heard[member.name] = time.monotonic()
            return
        # Without a verdict the member stays and is checked again.
        if confirmed_alive is None:
            self.unconfirmed += 1
            return
        self.removals += 1
        log.warning(
            "member does not answer, removing it", extra={"member": member.name}
        )
        if member.role == BALANCER_ROLE:
            # The removed balancer may have been primary under the epoch that this one
            # holds: two relays that start together both begin epoch 1. If it was only
            # paused, members would accept its removals under that epoch when it
            # resumes. After a new epoch has begun, they ignore them.
            self._begin_epoch(member.datacentre)
        gone = Gone(member.name, member.incarnation)
        self.plane.remove(gone, member.datacentre)

    async def _ask_other_balancer(self, member: Announce) -> bool | None:
        """Ask another balancer whether a member is alive.

        Returns:
            The verdict; None if no other balancer is connected or answers in time.
            False if no other balancer is known: the failed probe of this one is enough.
        """
        plane = self.plane
        peers = self._balancer_streams(member)
        if not peers:
            known = plane.members.known.values()
            balancers = {each.name for each in known if each.role == "balancer"}
            return False if balancers <= {plane.name, member.name} else None
        question = next(self.question_ids)
        answer = asyncio.get_running_loop().create_future()
        self.pending_verdicts[question] = answer
        peers[0].send(
            Suspect(question, member.name, member.incarnation, member.host, member.port)
        )
        try:
            timeout = 2 * plane.settings.streams.connect_seconds
            return await asyncio.wait_for(answer, timeout)
        except TimeoutError:
            return None
        finally:
            self.pending_verdicts.pop(question, None)

    def _balancer_streams(self, member: Announce) -> list[Peer]:
        """Return the open streams from balancers other than the member.

        Streams from relays of this daemon's data centre come first.
        """
        plane = self.plane
        relays = plane.relays()
        found = [
            subscriber
            for subscriber in plane.subscribers.values()
            if subscriber.subscription.name != member.name
            and subscriber.peer.hello.role == "balancer"
        ]
        found.sort(key=lambda each: each.subscription.name not in relays)
        return [each.peer for each in found if not each.peer.closed]


async def probe(plane: Plane, member: Announce | Suspect) -> bool:
    """Whether a process with the member's name answers at its address.

    An answer of an older incarnation doesn't count.
    """
    address = Address(host=member.host, port=member.port)
    streams = plane.settings.streams
    async with open_peer(address, plane.hello, streams, tls=plane.tls) as opened:
        match opened:
            case Ok(peer):
                remote = peer.hello
                same_name = remote.name == member.name
                return same_name and remote.incarnation >= member.incarnation
            case _:
                return False


async def handle_suspect(plane: Plane, peer: Peer, suspect: Suspect) -> None:
    """Answer another relay's question whether a member is alive.

    A member that has sent something recently on an open stream is alive; any other is
    probed.
    """
    last_heard = plane.last_heard.get(suspect.name, 0.0)
    timeout = plane.settings.control.heartbeat_seconds * 1.5
    known = plane.members.is_alive(suspect.name, suspect.incarnation)
    recently_heard = known and time.monotonic() - last_heard < timeout
    alive = (recently_heard and plane.is_connected(suspect.name)) or await probe(
        plane, suspect
    )
    peer.send(Verdict(suspect.query_id, alive))
