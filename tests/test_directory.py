"""The flow directory: expiry and removal of entries."""

from cornelspan_ownership.directory import AgentId, Directory, FlowAgents

OWNER = AgentId("agent-1", 5)


def test_entry_ends_after_idle_time_but_not_while_used():
    records = FlowAgents(idle_seconds=10.0)
    records.put(1, OWNER, 0.0)
    records.put(2, OWNER, 0.0)
    assert records.get(1, 9.0) == OWNER
    assert records.expire(12.0) == 1
    assert records.get(1, 12.0) == OWNER
    assert records.get(2, 12.0) is None


def test_oldest_entry_makes_room():
    records = FlowAgents(idle_seconds=10.0, limit=2)
    for flow in range(3):
        records.put(flow, OWNER, float(flow))
    assert records.get(0, 3.0) is None
    assert records.evicted == 1


def test_gone_agent_is_forgotten_but_not_its_next_life():
    # An agent restarts. Entries of its old incarnation would send packets to a process
    # that doesn't know the flows; entries of its new incarnation must stay.
    directory = Directory(idle_seconds=10.0)
    directory.owners.put(1, OWNER, 0.0)
    directory.owners.put(2, AgentId("agent-1", 6), 0.0)
    directory.homes.put(3, OWNER, 0.0)
    assert directory.remove_agent("agent-1", 5) == [1]
    assert directory.owners.get(2, 0.0) == AgentId("agent-1", 6)
    assert directory.homes.get(3, 0.0) is None


def test_ended_flow_is_remembered_for_a_while():
    directory = Directory(idle_seconds=100.0)
    directory.owners.put(1, OWNER, 0.0)
    directory.end_flow(1, OWNER, 1.0)
    assert directory.owners.get(1, 1.0) is None
    assert directory.ended.get(1, 1.0) == OWNER
    directory.expire(60.0)
    assert len(directory.ended) == 0
