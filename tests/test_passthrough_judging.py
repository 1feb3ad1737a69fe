"""Ejection of endpoints that pass health checks but fail requests."""

import pytest

from cornelspan_common.ejection import Standing
from cornelspan_passthrough.health import READY, AgentHealth, Pong
from cornelspan_passthrough.placing import MAX_EJECTED_SHARE, Candidate, choose_endpoint
from cornelspan_standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.10", "10.2.0.10")
AGENTS = tuple(f"10.1.0.{number}" for number in range(11, 17))


@pytest.fixture
def world():
    world = PacketWorld(seed=1)
    for address in AGENTS:
        world.add_agent(address, "orders")
        world.endpoints[address].slots = 2
    for address in BALANCERS:
        world.add_balancer(address)
    world.run(1.0)
    return world


def open_flows(world, seconds, per_second=60):
    """Open flows at a constant rate; return their clients."""
    clients = []
    for number in range(round(seconds * per_second)):
        clients.append(world.open_flow(over=BALANCERS[number % 2]))
        world.run(1 / per_second)
    world.run(0.3)
    return clients


def unanswered(clients):
    return [client for client in clients if "answer" not in client.events]


def test_an_endpoint_that_resets_its_requests_gets_no_new_flows(world):
    """Few callers see a reset, instead of every second one.

    One endpoint of six accepts flows and resets each when its request arrives. As it is
    always idle, it would be chosen for most new flows.
    """
    world.endpoints[AGENTS[0]].resets = True
    clients = open_flows(world, 3.0)
    assert 1 <= len(unanswered(clients)) <= 8


def test_an_endpoint_that_never_answers_gets_no_new_flows(world):
    """Few callers get no answer, instead of a sixth of them.

    One endpoint of six accepts every request and never answers. Its agent counts the
    requests as lost after a multiple of the mean response time, and ejects it after
    three in a row.
    """
    world.endpoints[AGENTS[0]].mute = 1_000_000
    open_flows(world, 1.0)
    assert (
        world.agents[AGENTS[0]].outlier_detector.standing(world.now) is not Standing.IN
    )
    taken = world.endpoints[AGENTS[0]].opened
    clients = open_flows(world, 2.0)
    assert world.endpoints[AGENTS[0]].opened - taken <= 4
    assert len(unanswered(clients)) <= 4


def test_an_endpoint_that_recovers_is_taken_back_by_one_request(world):
    """An endpoint that recovers gets new flows within seconds, after one answer."""
    endpoint = world.endpoints[AGENTS[0]]
    endpoint.resets = True
    open_flows(world, 1.0)
    endpoint.resets = False
    open_flows(world, 3.0)
    assert world.agents[AGENTS[0]].outlier_detector.standing(world.now) is Standing.IN
    opened = endpoint.opened
    assert unanswered(open_flows(world, 1.0)) == []
    assert endpoint.opened > opened


def test_a_probed_endpoint_gets_one_flow_at_a_time(world):
    """Only one caller at a time reaches an endpoint that may still fail."""
    endpoint = world.endpoints[AGENTS[0]]
    endpoint.resets = True
    open_flows(world, 1.0)
    agent = world.agents[AGENTS[0]]
    world.run(max(0.0, agent.outlier_detector.ejected_until - world.now))
    clients = [world.open_flow(over=BALANCERS[0]) for _ in range(6)]
    world.run(0.3)
    assert len(unanswered(clients)) <= 1


def test_a_new_life_of_an_endpoint_is_not_judged_by_the_old_one(world):
    endpoint = world.endpoints[AGENTS[0]]
    endpoint.resets = True
    open_flows(world, 1.0)
    endpoint.resets = False
    endpoint.crash()
    endpoint.start(cold_until=0.0)
    world.run(1.0)
    assert world.agents[AGENTS[0]].outlier_detector.standing(world.now) is Standing.IN


def candidates(ejected, count=6):
    def health(number):
        pong = Pong("", "", "orders", READY, 2, 0, 0, number < ejected)
        return AgentHealth(pong=pong)

    return [Candidate(str(number), health(number)) for number in range(count)]


def test_ejected_endpoints_come_last_but_not_if_too_many_are(world):
    """With too many endpoints ejected, the rest does not get the whole load."""
    some, many = round(MAX_EJECTED_SHARE * 6), round(MAX_EJECTED_SHARE * 6) + 1
    few = {choose_endpoint(candidates(some), world.chance, 0.0) for _ in range(200)}
    assert few == {str(number) for number in range(some, 6)}
    all_chosen = {
        choose_endpoint(candidates(many), world.chance, 0.0) for _ in range(200)
    }
    assert len(all_chosen) == 6
