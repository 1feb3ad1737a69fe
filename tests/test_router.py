"""What an agent does with each packet: deliver, pass on, or refuse at once."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from cornelspan_common.control import Announce
from cornelspan_common.ownership import Handoff, Owner
from cornelspan_common.packets import Hint, Kind, Packet, Routed
from cornelspan_common.settings import Address, AgentSettings, StoreSettings
from cornelspan_common.tasks import task_group
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_ownership.directory import Holder
from cornelspan_ownership.flows import Flows
from cornelspan_ownership.router import Router

ADDRESS = "127.0.0.1:80"
OTHER = "127.0.0.1:81"
NAMES = ("hub-1", "hub-2", "hub-3")
HERE = Address(host="127.0.0.1", port=1)
SETTINGS = AgentSettings(
    name="hub-1",
    datacentre="chuo-hall",
    listen=HERE,
    store=StoreSettings(address=HERE),
    fabrics=(),
    service="order-hub",
    endpoint=HERE,
)


class FakePeer:
    """A stream that keeps what is sent on it."""

    def __init__(self, name, role="agent"):
        self.name = name
        self.hello = SimpleNamespace(role=role, name=name, incarnation=1)
        self.sent = []
        self.refused = 0
        self.closed = False

    def send(self, message):
        self.sent.append(message)
        return True


@pytest.fixture
async def world():
    """A router between two peers, a balancer and a fabric."""
    members = Members()
    for name in NAMES:
        members.record(announce(name))
    configuration = Configuration()
    for address, service in ((ADDRESS, "order-hub"), (OTHER, "receipt-render")):
        configuration.by_address[address] = SimpleNamespace(name=service)
    agents = {name: FakePeer(name) for name in NAMES[1:]}
    to_fabric = []
    async with task_group() as tasks:
        flows = Flows(
            "hub-1", tasks, to_fabric.append, lambda channel: asyncio.sleep(60)
        )
        router = Router(SETTINGS, 1, configuration, members, flows, agents, tasks)
        balancer = FakePeer("balancer-1", "balancer")
        router.met(balancer)
        yield SimpleNamespace(
            router=router,
            members=members,
            agents=agents,
            balancer=balancer,
            to_fabric=to_fabric,
        )


def announce(name):
    return Announce(
        name, "agent", "chuo-hall", 1, "127.0.0.1", 1, "order-hub", 1.0, 2, False
    )


def routed(kind, flow=7, *, address=ADDRESS, hops=0, names=NAMES):
    packet = Packet(int(kind), flow, address, "fabric")
    return Routed(
        packet, msgspec.Raw(msgspec.msgpack.encode(names)), hops, "balancer-1"
    )


def sent(peer, kind):
    return [message for message in peer.sent if isinstance(message, kind)]


async def test_packet_of_another_service_is_never_taken(world):
    # A balancer's configuration is old, or a peer is confused: a packet or hand-off of
    # another address comes here. Its caller must not be answered by this service.
    world.router.route(routed(Kind.OPEN, address=OTHER))
    load = world.router.load_message()
    packet = routed(Kind.OPEN, address=OTHER).packet
    handoff = Handoff("order-hub", packet, "hub-2", 1, 1, "", -1, load)
    world.router.receive(world.agents["hub-2"], handoff)
    await asyncio.sleep(0)
    assert not world.router.flows.owned
    assert world.router.counts.foreign == 2
    assert world.to_fabric == []


async def test_packet_of_an_owned_flow_with_another_address_is_not_delivered(world):
    world.router.flows.open(routed(Kind.OPEN).packet)
    world.router.configuration.by_address[OTHER].name = "order-hub"
    world.router.route(routed(Kind.DATA, address=OTHER))
    assert world.router.counts.foreign == 1


async def test_unknown_flow_goes_round_all_candidates_and_is_then_reset(world):
    world.router.route(routed(Kind.DATA))
    assert [message.hops for message in sent(world.agents["hub-2"], Routed)] == [1]
    world.router.route(routed(Kind.DATA, hops=2 * len(NAMES)))
    assert [packet.kind for packet in world.to_fabric] == [Kind.RESET]


async def test_owner_known_here_gets_the_packet_and_a_stale_hint_is_taken_back(world):
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.router.route(routed(Kind.DATA))
    assert len(sent(world.agents["hub-3"], Routed)) == 1
    world.router.route(routed(Kind.DATA, flow=8))
    assert sent(world.balancer, Hint) == [Hint(8, "")]


async def test_balancer_learns_an_owner_that_was_reached_by_a_detour(world):
    world.router.flows.open(routed(Kind.OPEN).packet)
    world.router.route(routed(Kind.DATA, hops=1))
    assert sent(world.balancer, Hint) == [Hint(7, "hub-1")]


async def test_flow_of_a_dead_owner_is_refused_at_once(world):
    # The owner dies. Placed again, the flow's new owner might run once more what the
    # dead one has run; left alone, its caller would wait. So it is told at once.
    world.router.look()
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.agents["hub-3"].closed = True
    world.members.remove("hub-3", 1)
    world.router.look()
    for kind in (Kind.OPEN, Kind.DATA):
        world.router.route(routed(kind))
    assert [packet.body for packet in world.to_fabric] == [b"owner lost"] * 2


async def test_flow_of_an_owner_that_only_seemed_dead_goes_on(world):
    # The owner is so slow that others take it for dead, but its stream is open. Its
    # flow must not be reset: it wakes, goes on under a new incarnation and registers
    # the flow anew, and the packets reach it again.
    world.router.look()
    owner = world.agents["hub-3"]
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.members.remove("hub-3", 1)
    world.router.look()
    world.router.route(routed(Kind.DATA))
    assert world.to_fabric == []
    world.members.record(msgspec.structs.replace(announce("hub-3"), incarnation=2))
    world.router.look()
    world.router.receive(owner, Owner(7, "hub-3", 2))
    world.router.doubted = [(0.0, life) for _, life in world.router.doubted]
    world.router.look()
    before = len(sent(owner, Routed))
    world.router.route(routed(Kind.DATA))
    assert len(sent(owner, Routed)) == before + 1
    assert world.to_fabric == []


async def test_owner_that_stays_silent_is_given_up(world):
    world.router.look()
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.members.remove("hub-3", 1)
    world.router.look()
    world.router.doubted = [(0.0, life) for _, life in world.router.doubted]
    world.router.look()
    world.router.route(routed(Kind.DATA))
    assert [packet.body for packet in world.to_fabric] == [b"owner lost"]


async def test_owner_registers_with_the_next_home_when_its_home_is_gone(world):
    world.router.look()
    world.router.flows.open(routed(Kind.OPEN).packet)
    world.router.homes[7] = "hub-3"
    world.members.remove("hub-3", 1)
    world.router.look()
    ranked = world.router.group.ranked(7)
    told = sent(world.agents["hub-2"], Owner)
    assert told == ([Owner(7, "hub-1", 1)] if ranked[0] == "hub-2" else [])


async def test_retiring_agent_hands_its_directory_over(world):
    world.router.look()
    flows = range(100)
    for flow in flows:
        world.router.ownership.directory.owners.put(flow, Holder("hub-3", 1), 0.0)
    world.router.retire()
    told = [message for peer in world.agents.values() for message in sent(peer, Owner)]
    assert sorted(message.flow for message in told) == list(flows)


async def test_leaving_agent_keeps_no_new_flow_and_tells_so_at_once(world):
    world.router.look()
    world.router.leaving = True
    world.router.look()
    told = world.agents["hub-2"].sent[-1]
    assert told.slots == 0
    load = world.router.load_message()
    handoff = Handoff(
        "order-hub", routed(Kind.OPEN).packet, "hub-2", 1, 1, "", -1, load
    )
    world.router.receive(world.agents["hub-2"], handoff)
    assert world.agents["hub-2"].sent[-1].accepted is False
    assert not world.router.flows.owned
