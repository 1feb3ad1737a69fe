"""An agent's table of flow owners, of homes, and of flows that ended recently.

The home of a flow is the agent that decides which agent owns it.

directory = Directory(idle_seconds=300.0)
directory.owners.put(flow, AgentId("agent-3", 17), now)
directory.owners.get(flow, now)
"""

from dataclasses import dataclass

from cornelspan_common.expiring import MAX_ENTRIES, ExpiringMap

ENDED_FLOW_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class AgentId:
    """One incarnation of an agent."""

    name: str
    incarnation: int


class FlowAgents(ExpiringMap[AgentId]):
    """Map flows to agents; entries expire when they are not used."""

    def drop_agent(self, name: str, last_incarnation: int) -> list[int]:
        """Remove the entries of an agent's incarnations up to the given one.

        Args:
            name: The agent's name.
            last_incarnation: The newest incarnation whose entries are removed.

        Returns:
            The flows whose entries were removed.
        """
        flows = [
            flow
            for flow, entry in self.entries.items()
            if entry.value.name == name and entry.value.incarnation <= last_incarnation
        ]
        for flow in flows:
            del self.entries[flow]
        return flows


class Directory:
    """Owners and homes of flows, and the flows that ended recently.

    ``owners`` has the owners of flows that this agent placed, or that an ``Owner``
    message or the answer to a claim named. ``homes`` has other agents that act as home
    of a flow: they claimed it or handed it off here, or kept their own claim when this
    agent claimed it. An OPEN is forwarded to them. ``ended`` keeps a flow for
    ``ENDED_FLOW_SECONDS`` after its end, so that a late packet is neither forwarded to
    all candidates nor opens the flow again.
    """

    def __init__(self, *, idle_seconds: float, limit: int = MAX_ENTRIES) -> None:
        self.owners = FlowAgents(idle_seconds=idle_seconds, limit=limit)
        self.homes = FlowAgents(idle_seconds=idle_seconds, limit=limit)
        self.ended = FlowAgents(idle_seconds=ENDED_FLOW_SECONDS, limit=limit)

    def end_flow(self, flow: int, owner: AgentId, now: float) -> None:
        """Record that a flow has ended."""
        self.owners.drop(flow)
        self.homes.drop(flow)
        self.ended.put(flow, owner, now)

    def remove_agent(self, name: str, incarnation: int) -> list[int]:
        """Remove an agent that is gone, as owner and as home.

        If a dead home stayed recorded, each further OPEN of its flows would be
        forwarded to an agent that no longer exists.

        Returns:
            The flows that the agent owned.
        """
        self.homes.drop_agent(name, incarnation)
        return self.owners.drop_agent(name, incarnation)

    def expire(self, now: float) -> int:
        """Remove idle entries; return the number of owners and homes removed."""
        self.ended.expire(now)
        return self.owners.expire(now) + self.homes.expire(now)
