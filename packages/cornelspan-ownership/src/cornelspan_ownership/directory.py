"""What an agent knows of flows that others own, and of who may place them.

directory = Directory(idle_seconds=300.0)
directory.owners.put(flow, Holder("agent-3", 17), now)
directory.owners.get(flow, now)
"""

from dataclasses import dataclass

from cornelspan_common.expiring import LIMIT, Expiring

ENDED_FLOW_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class AgentId:
    """One life of an agent."""

    name: str
    incarnation: int


class FlowAgents(Expiring[AgentId]):
    """Flow to its holder, one life of an agent."""

    def drop_agent(self, name: str, before: int) -> list[int]:
        """Forget all flows of the lives of an agent up to an incarnation.

        Returns:
            The flows that were forgotten.
        """
        flows = [
            flow
            for flow, entry in self.entries.items()
            if entry.value.name == name and entry.value.incarnation <= before
        ]
        for flow in flows:
            del self.entries[flow]
        return flows


class Directory:
    """Owners and homes of flows, and the flows that have ended of late.

    ``owners`` are the flows that this agent placed, or was told of. ``homes`` are
    other agents that have claimed a flow here; an open is passed on to them. ``ended``
    remembers a flow for a while after its end, so that a late packet of it is
    neither sent round the group nor taken for a new flow.
    """

    def __init__(self, *, idle_seconds: float, limit: int = LIMIT) -> None:
        self.owners = FlowAgents(idle_seconds=idle_seconds, limit=limit)
        self.homes = FlowAgents(idle_seconds=idle_seconds, limit=limit)
        self.ended = FlowAgents(idle_seconds=ENDED_FLOW_SECONDS, limit=limit)

    def end_flow(self, flow: int, owner: AgentId, now: float) -> None:
        """Note a flow's end."""
        self.owners.drop(flow)
        self.homes.drop(flow)
        self.ended.put(flow, owner, now)

    def remove_agent(self, name: str, incarnation: int) -> list[int]:
        """Forget an agent that is gone, as owner and as home.

        A recorded home that is dead must not hold a flow for ever: the next open of it
        would be passed on to nobody.

        Returns:
            The flows that it owned.
        """
        self.homes.drop_agent(name, incarnation)
        return self.owners.drop_agent(name, incarnation)

    def expire(self, now: float) -> int:
        """Forget what is idle; return how many owners and homes they were."""
        self.ended.expire(now)
        return self.owners.expire(now) + self.homes.expire(now)
