"""How an agent handles each packet: it delivers, forwards or rejects it."""

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
from cornelspan_ownership.directory import AgentId
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
    """A stream that records the messages sent on it."""

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
        members.record(announcement(name))
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
        router.peer_connected(balancer)
        yield SimpleNamespace(
            router=router,
            members=members,
            agents=agents,
            balancer=balancer,
            to_fabric=to_fabric,
        )


def announcement(name):
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
    # A packet or hand-off for another service's address arrives, for example because a
    # balancer's configuration is outdated. This service must not answer it.
    world.router.route(routed(Kind.OPEN, address=OTHER))
    load = world.router.load_message()
    packet = routed(Kind.OPEN, address=OTHER).packet
    handoff = Handoff("order-hub", packet, "hub-2", 1, 1, "", -1, load)
    world.router.receive(world.agents["hub-2"], handoff)
    await asyncio.sleep(0)
    assert not world.router.flows.owned
    assert world.router.counts.wrong_service == 2
    assert world.to_fabric == []


async def test_packet_of_an_owned_flow_with_another_address_is_not_delivered(world):
    world.router.flows.open(routed(Kind.OPEN).packet)
    world.router.configuration.by_address[OTHER].name = "order-hub"
    world.router.route(routed(Kind.DATA, address=OTHER))
    assert world.router.counts.wrong_service == 1


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
    # If the flow of a dead owner were placed again, the new owner could run a request a
    # second time; if its packets were dropped, the client would wait for a timeout. So
    # the flow is reset at once.
    world.router.update_group()
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.agents["hub-3"].closed = True
    world.members.remove("hub-3", 1)
    world.router.update_group()
    for kind in (Kind.OPEN, Kind.DATA):
        world.router.route(routed(kind))
    assert [packet.body for packet in world.to_fabric] == [b"owner lost"] * 2


async def test_flow_of_an_owner_that_only_seemed_dead_goes_on(world):
    # Failure detection removes an owner that is only slow; its stream is still open.
    # The flow must not be reset: the owner continues under a new incarnation and
    # registers the flow again, after which packets must reach it.
    world.router.update_group()
    owner = world.agents["hub-3"]
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.members.remove("hub-3", 1)
    world.router.update_group()
    world.router.route(routed(Kind.DATA))
    assert world.to_fabric == []
    world.members.record(msgspec.structs.replace(announcement("hub-3"), incarnation=2))
    world.router.update_group()
    world.router.receive(owner, Owner(7, "hub-3", 2))
    world.router.pending_removals = [
        (0.0, agent) for _, agent in world.router.pending_removals
    ]
    world.router.update_group()
    before = len(sent(owner, Routed))
    world.router.route(routed(Kind.DATA))
    assert len(sent(owner, Routed)) == before + 1
    assert world.to_fabric == []


async def test_owner_that_stays_silent_is_given_up(world):
    world.router.update_group()
    world.router.receive(world.agents["hub-2"], Owner(7, "hub-3", 1))
    world.members.remove("hub-3", 1)
    world.router.update_group()
    world.router.pending_removals = [
        (0.0, agent) for _, agent in world.router.pending_removals
    ]
    world.router.update_group()
    world.router.route(routed(Kind.DATA))
    assert [packet.body for packet in world.to_fabric] == [b"owner lost"]


async def test_owner_registers_with_the_next_home_when_its_home_is_gone(world):
    world.router.update_group()
    world.router.flows.open(routed(Kind.OPEN).packet)
    world.router.homes_of_owned[7] = "hub-3"
    world.members.remove("hub-3", 1)
    world.router.update_group()
    ranked = world.router.group.ranked(7)
    messages = sent(world.agents["hub-2"], Owner)
    assert messages == ([Owner(7, "hub-1", 1)] if ranked[0] == "hub-2" else [])


async def test_retiring_agent_hands_its_directory_over(world):
    world.router.update_group()
    flows = range(100)
    for flow in flows:
        world.router.ownership.directory.owners.put(flow, AgentId("hub-3", 1), 0.0)
    world.router.retire()
    messages = [
        message for peer in world.agents.values() for message in sent(peer, Owner)
    ]
    assert sorted(message.flow for message in messages) == list(flows)


async def test_leaving_agent_keeps_no_new_flow_and_tells_so_at_once(world):
    world.router.update_group()
    world.router.leaving = True
    world.router.update_group()
    last_load = world.agents["hub-2"].sent[-1]
    assert last_load.slots == 0
    load = world.router.load_message()
    handoff = Handoff(
        "order-hub", routed(Kind.OPEN).packet, "hub-2", 1, 1, "", -1, load
    )
    world.router.receive(world.agents["hub-2"], handoff)
    assert world.agents["hub-2"].sent[-1].accepted is False
    assert not world.router.flows.owned
