"""Partitions between processes of one deployment.

    with cuttable() as cuts:
        cuts.cut("balancer-1", "order-hub-2")
        cuts.heal("balancer-1", "order-hub-2")

While two processes are cut, neither reads what the other sends. TCP then behaves as it
does over a broken path: writes fill the buffers, packets beyond them are dropped, and
what was under way comes when the path is healed.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from result import Result

from cornelspan_common import streams
from cornelspan_common.streams import Peer

POLL_SECONDS = 0.01


@dataclass
class Cuts:
    """Pairs of processes, by name, that can't reach each other now."""

    pairs: set[frozenset[str]] = field(default_factory=set)

    def cut(self, one: str, other: str) -> None:
        """Break the path between two processes."""
        self.pairs.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Mend the path between two processes."""
        self.pairs.discard(frozenset((one, other)))

    def between(self, peer: Peer) -> bool:
        """Whether the path that a stream takes is broken."""
        return frozenset((peer.own_name, peer.name)) in self.pairs


@contextmanager
def cuttable() -> Iterator[Cuts]:
    """Make all streams of this Python process cuttable as long as the context lasts."""
    cuts = Cuts()
    read_frame = streams._read_frame

    async def read_unless_cut(peer: Peer) -> Result:
        frame = await read_frame(peer)
        while cuts.between(peer) and not peer.closed:
            await asyncio.sleep(POLL_SECONDS)
        return frame

    streams._read_frame = read_unless_cut
    try:
        yield cuts
    finally:
        streams._read_frame = read_frame
