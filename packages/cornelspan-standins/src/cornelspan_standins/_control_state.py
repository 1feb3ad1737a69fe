"""State of the control plane at the letter's size: what it weighs in one daemon."""

import tracemalloc
from collections.abc import Callable

import msgspec

from cornelspan_common.control import Announce, Membership
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_control.records import HEAD_NAME, INDEX_PREFIX
from cornelspan_control.roster import Roster
from cornelspan_standins.objects import ObjectStore

DATACENTRES = 12
BALANCERS = 440
AGENTS = 3_500
AGENTS_A_SERVICE = 4
FIRST_LIFE = 1_764_709_200_000


def state_at_letter_size(
    store: ObjectStore, configuration: Configuration
) -> dict[str, float]:
    """Return bytes of objects, messages and memory at the letter's size.

    Args:
        store: A store that holds a configuration of that size.
        configuration: The same, in force; its snapshot is weighed.
    """
    members = Members()
    members_bytes = _weigh(lambda: _announce_all(members))
    snapshot = msgspec.msgpack.encode(configuration.snapshot())
    held = Configuration()
    decoder = msgspec.msgpack.Decoder(type(configuration.snapshot()))
    held_bytes = _weigh(lambda: held.apply(decoder.decode(snapshot)))
    centre = tuple(members.of_datacentre("centre-0"))
    everyone = tuple(members.known.values())
    roster = Roster(epoch=1, writer="entry-0", members=centre)
    return {
        "index_bytes": len(store.read(INDEX_PREFIX + "first")[1]),
        "head_bytes": len(store.read(HEAD_NAME)[1]),
        "snapshot_bytes": len(snapshot),
        "configuration_bytes": held_bytes,
        "members_bytes": members_bytes,
        "roster_bytes": len(msgspec.json.encode(roster)),
        "membership_bytes": len(
            msgspec.msgpack.encode(Membership("centre-0", 1, everyone, ()))
        ),
    }


def _weigh(build: Callable[[], object]) -> int:
    """Return the memory that a call leaves behind."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def _announce_all(members: Members) -> None:
    for number in range(BALANCERS + AGENTS):
        members.record(_announcement(number))


def _announcement(number: int) -> Announce:
    agent = number >= BALANCERS
    service = f"service-{(number - BALANCERS) // AGENTS_A_SERVICE}" if agent else ""
    return Announce(
        name=f"{'agent' if agent else 'entry'}-{number}",
        role="agent" if agent else "balancer",
        datacentre=f"centre-{number % DATACENTRES}",
        incarnation=FIRST_LIFE + number,
        host=f"10.{number // 250}.{number % 250}.7",
        port=7000,
        service=service,
        weight=1.0,
        slots=2 if agent else 0,
        leaving=False,
    )
