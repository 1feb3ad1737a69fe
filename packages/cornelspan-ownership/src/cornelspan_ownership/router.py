"""Routing between the agents of a service: every packet to its flow's owner."""

import asyncio
from collections.abc import Callable

import msgspec

from cornelspan_common.links import Links
from cornelspan_common.ownership import (
    Claim,
    ClaimAnswer,
    Handoff,
    HandoffAnswer,
    Load,
    Owner,
)
from cornelspan_common.packets import Hint, Kind, Message, Packet, Routed
from cornelspan_common.settings import AgentSettings
from cornelspan_common.streams import Peer
from cornelspan_common.tasks import Tasks
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members
from cornelspan_ownership import handlers
from cornelspan_ownership.directory import AgentId, Directory
from cornelspan_ownership.flows import Flows
from cornelspan_ownership.interfaces import ForwardTo, OwnedBy, Rejected, RetryLater
from cornelspan_ownership.load_reporting import FlowsWithoutData, LoadReporter
from cornelspan_ownership.local_flows import LocalFlows, RoutingCounts
from cornelspan_ownership.ownership import MAX_HOPS_TO_HOME, Ownership
from cornelspan_ownership.peers import PeerCalls, ServiceGroup
from cornelspan_ownership.placement import OwnLoad, load_message

IDLE_SECONDS = 600.0
CHECK_INTERVAL_SECONDS = 0.02
REMOVAL_DELAY_SECONDS = 5.0
OWNER_LOST = "owner lost"

candidates_decoder = msgspec.msgpack.Decoder(tuple[str, ...])

OwnershipMessage = Claim | ClaimAnswer | Handoff | HandoffAnswer | Load | Owner


class Router:
    """Routes each packet to the owner of its flow: this agent or another one.

    While ``leaving`` is set, this agent accepts no new flows and hands them all off.
    Once ``retired`` is set, it forwards OPENs too, since its directory has been sent to
    other agents. ``homes_of_owned`` has the home of each flow owned here.
    ``pending_removals`` has incarnations that seem to have ended, and when to remove
    them.
    """

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: int,
        configuration: Configuration,
        members: Members,
        flows: Flows,
        agents: Links,
        tasks: Tasks,
    ) -> None:
        self.name = settings.name
        self.agent_id = AgentId(settings.name, incarnation)
        self.settings = settings
        self.configuration = configuration
        self.flows = flows
        self.agents = agents
        self.tasks = tasks
        self.counts = RoutingCounts()
        self.leaving = False
        self.retired = False
        self.pending_removals: list[tuple[float, AgentId]] = []
        self.inbound: dict[str, Peer] = {}
        self.homes_of_owned: dict[int, str] = {}
        self.without_data = FlowsWithoutData()
        self.measure_load: Callable[[], OwnLoad] = self.flow_load
        clock = asyncio.get_running_loop().time
        self.clock = clock
        self.group = ServiceGroup(self.agent_id, settings.service, members, clock)
        self.calls = PeerCalls(self.send)
        self.ownership = Ownership(
            self.agent_id,
            settings.service,
            self.group,
            LocalFlows(flows, self.load),
            self.calls.call,
            clock,
            Directory(idle_seconds=IDLE_SECONDS),
        )
        self.load_reporter = LoadReporter(self.load_message())
        flows.on_removed = self._record_flow_end
        flows.on_opened = lambda channel: self.without_data.add(channel, clock())

    def flow_load(self) -> OwnLoad:
        """Return the load by the number of flows, for services without HTTP."""
        return OwnLoad(self.settings.slots, len(self.flows.owned))

    def count_flows_without_data(self) -> int:
        """Return the number of recently opened flows without data."""
        return self.without_data.count(self.clock())

    def load(self) -> OwnLoad:
        """Return this agent's load, with 0 slots while it accepts no new flows."""
        full = len(self.flows.owned) >= self.settings.connections
        if self.leaving or full:
            return OwnLoad(0, len(self.flows.owned))
        return self.measure_load()

    def load_message(self) -> Load:
        """Return the message that reports the load to peers."""
        agent_id = self.agent_id
        load = self.load()
        return load_message(
            self.settings.service,
            agent_id.name,
            agent_id.incarnation,
            load,
            len(self.flows.owned),
        )

    def send(self, name: str, message: Message) -> bool:
        """Send to a process on an open stream; False if there is none."""
        peer = self.agents.get(name) or self.inbound.get(name)
        return peer is not None and peer.send(message)

    def peer_names(self) -> list[str]:
        """Return the other known agents of the service."""
        return [name for name in self.group.incarnations if name != self.name]

    def peer_connected(self, peer: Peer) -> None:
        """Add the stream of a process that has connected; send the load to an agent."""
        if peer.hello is not None and peer.hello.role == "agent":
            peer.send(self.load_message())
        if self.agents.get(peer.name) is not peer:
            self.inbound[peer.name] = peer

    def peer_disconnected(self, peer: Peer) -> None:
        """Remove a stream that has ended."""
        if self.inbound.get(peer.name) is peer:
            del self.inbound[peer.name]

    def receive(self, peer: Peer, message: OwnershipMessage) -> None:
        """Handle an ownership message from another agent."""
        match message:
            case Load(service=self.settings.service):
                self.group.add_peer(message.name, message.incarnation)
                self.ownership.loads.update(message)
            case Claim():
                self._add_sender(peer, message)
                self._reply(peer, handlers.answer_claim(self.ownership, message))
            case Handoff():
                self._add_sender(peer, message)
                self._handle_handoff(peer, message)
            case ClaimAnswer() | HandoffAnswer():
                self.calls.handle_answer(peer.name, message)
            case Owner():
                handlers.record_owner(self.ownership, message)
            case _:
                peer.refused += 1

    def route(self, routed: Routed) -> None:
        """Deliver a packet, open its flow, or forward the packet."""
        packet = routed.packet
        if not self._is_own_service(packet):
            # A balancer with an older configuration may still map the address to this
            # service. Delivered here, the packet would reach a backend server of the
            # wrong service.
            self.counts.wrong_service += 1
            return
        channel = self.flows.find(packet.flow)
        if channel is not None:
            self._deliver(routed)
            return
        if packet.kind == Kind.OPEN and not self.retired:
            self._route_open(routed)
            return
        self._forward(routed)

    def _deliver(self, routed: Routed) -> None:
        packet = routed.packet
        channel = self.flows.find(packet.flow)
        if channel.address != packet.address:
            self.counts.wrong_service += 1
            return
        self.counts.delivered += 1
        if channel.error is not None:
            # The fabric may have lost the first RESET.
            self._send_reset(packet, channel.error.reason)
        elif packet.kind == Kind.OPEN:
            channel.accept(self.name)
        else:
            channel.receive(packet)
        if routed.hops:
            self._send_hint(routed, self.name)

    def _is_own_service(self, packet: Packet) -> bool:
        service = self.configuration.by_address.get(packet.address)
        return service is not None and service.name == self.settings.service

    def _route_open(self, routed: Routed) -> None:
        located = self.ownership.locate(routed.packet.flow)
        match located:
            case OwnedBy(owner):
                self._forward_to(routed, owner)
            case Rejected(reason):
                self._send_reset(routed.packet, reason)
            case ForwardTo(home) if routed.hops < MAX_HOPS_TO_HOME:
                self._forward_to(routed, home)
            case _:
                self.tasks.start(self._open(routed), name="open flow")

    async def _open(self, routed: Routed) -> None:
        """Find or place the owner of a flow, and act on the result."""
        candidates = candidates_decoder.decode(routed.candidates)
        opened = await self.ownership.open(routed.packet, candidates, routed.hops)
        match opened:
            case OwnedBy(owner):
                self._send_hint(routed, owner)
            case ForwardTo(home):
                self._forward_to(routed, home)
            case Rejected(reason):
                self._send_reset(routed.packet, reason)

    def _forward(self, routed: Routed) -> None:
        """Forward a packet of a flow that isn't owned here.

        Resets the flow if it has ended, and drops the packet while an OPEN of the flow
        is handled here and no target is chosen yet.
        """
        flow = routed.packet.flow
        pending = self.ownership.pending.get(flow)
        if pending is not None:
            self._forward_to(routed, pending.target)
            return
        match self.ownership.locate(flow):
            case OwnedBy(owner):
                self._forward_to(routed, owner)
            case Rejected(reason) | RetryLater(reason):
                self._send_reset(routed.packet, reason)
            case ForwardTo(home) if routed.hops < MAX_HOPS_TO_HOME:
                self._forward_to(routed, home)
            case _:
                self._forward_to_next(routed)

    def _forward_to_next(self, routed: Routed) -> None:
        """Forward a packet of a flow without known owner to the next live candidate.

        After twice as many hops as there are candidates, or if no other candidate is
        live, drops an OPEN, and resets the flow of any other packet.
        """
        if routed.hops == 0:
            # The balancer sent the packet here by its ranking or by an outdated hint,
            # so have it forget the owner that it has learned.
            self._send_hint(routed, "")
        candidates = candidates_decoder.decode(routed.candidates)
        next_names = self._next_candidates(candidates)
        if next_names and routed.hops < 2 * len(candidates):
            self._forward_to(routed, next_names[0])
            return
        self.counts.unknown_flow += 1
        if routed.packet.kind == Kind.OPEN:
            # For example, a retired agent and an agent that still records it as home
            # forwarded the OPEN to each other. The fabric sends the OPEN again, and by
            # then the retired agent is usually gone.
            return
        self._send_reset(routed.packet, "unknown flow")

    def _next_candidates(self, candidates: tuple[str, ...]) -> list[str]:
        """Return the live candidates after this agent, then those before it."""
        start = candidates.index(self.name) + 1 if self.name in candidates else 0
        others = candidates[start:] + candidates[:start]
        return [
            name for name in others if name != self.name and self.group.find_agent(name)
        ]

    def _forward_to(self, routed: Routed, name: str) -> None:
        """Send a packet to another agent; without a stream drop it.

        The fabric or the owner sends it again.
        """
        forwarded = Routed(
            routed.packet, routed.candidates, routed.hops + 1, routed.sender
        )
        if name and self.send(name, forwarded):
            self.counts.forwarded += 1
        else:
            self.counts.unreachable += 1

    def _send_hint(self, routed: Routed, owner: str) -> None:
        """Send the flow's owner to the balancer that the packet came from."""
        balancer = self.inbound.get(routed.sender)
        if balancer is not None:
            balancer.send(Hint(routed.packet.flow, owner))

    def _send_reset(self, packet: Packet, reason: str) -> None:
        """Reset a flow at its fabric, so that the client doesn't wait for a timeout.

        A RESET is not answered.
        """
        if packet.kind == Kind.RESET:
            return
        self.flows.transmit(
            Packet(
                Kind.RESET,
                packet.flow,
                packet.address,
                packet.fabric,
                body=reason.encode(),
            )
        )

    def _add_sender(self, peer: Peer, message: Claim | Handoff) -> None:
        if message.service == self.settings.service and message.home == peer.name:
            self.group.add_peer(message.home, message.incarnation)

    def _reply(self, peer: Peer, answer: ClaimAnswer | HandoffAnswer | None) -> None:
        if answer is None:
            peer.refused += 1
            self.counts.wrong_service += 1
        else:
            peer.send(answer)

    def _handle_handoff(self, peer: Peer, handoff: Handoff) -> None:
        if not self._is_own_service(handoff.packet):
            self._reply(peer, None)
            return
        answer = handlers.answer_handoff(self.ownership, handoff)
        if answer is not None and answer.accepted:
            self.homes_of_owned[handoff.packet.flow] = handoff.home
        self._reply(peer, answer)

    def _record_flow_end(self, flow: int) -> None:
        """Record the end of a flow owned here, and report it to the flow's home.

        Called when the channel of the ended flow is removed.
        """
        home = self.homes_of_owned.pop(flow, "")
        self.ownership.directory.end_flow(flow, self.agent_id, self.clock())
        if home:
            self.send(home, Owner(flow, "", self.agent_id.incarnation))

    async def run(self) -> None:
        """Call ``update_group`` periodically until cancelled."""
        while True:
            self.update_group()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def update_group(self) -> None:
        """Handle ended incarnations, expire directory entries, send the load if due.

        For an ended incarnation, the pending calls to it fail, its load is dropped and
        the flows owned here whose home it was are registered at their next home. This
        is done without delay; its own flows may be recorded as ended later.

        Failure detection may remove an agent that is only slow; the agent then
        continues under a new incarnation. If a stream to or from it is still open, it
        is probably alive. So its flows are kept for ``REMOVAL_DELAY_SECONDS``, in which
        it can register them again; recording them as ended at once would break flows
        that it still serves. Without an open stream it is removed at once.
        """
        for ended in self.group.refresh():
            self.calls.fail_calls_to(ended.name)
            self.ownership.loads.remove(ended.name)
            delay = REMOVAL_DELAY_SECONDS if self._has_stream(ended.name) else 0.0
            self.pending_removals.append((self.clock() + delay, ended))
            self._move_to_next_homes(ended.name)
        self._remove_ended()
        self.ownership.directory.expire(self.clock())
        self._send_load()

    def _remove_ended(self) -> None:
        """Remove the incarnations whose removal delay has passed."""
        now = self.clock()
        due = [agent for remove_at, agent in self.pending_removals if remove_at <= now]
        self.pending_removals = [
            entry for entry in self.pending_removals if entry[0] > now
        ]
        for agent in due:
            handlers.remove_incarnation(self.ownership, agent.name, agent.incarnation)

    def _has_stream(self, name: str) -> bool:
        """Whether a stream to or from another agent is open."""
        peer = self.agents.get(name) or self.inbound.get(name)
        return peer is not None and not peer.closed

    def _send_load(self) -> None:
        if self.load_reporter.is_due(self.load(), self.clock()):
            message = self.load_message()
            self.load_reporter.mark_sent(message, self.clock())
            for name in self.group.incarnations:
                if name != self.name:
                    self.send(name, message)

    def _move_to_next_homes(self, gone: str) -> None:
        """Register the flows owned here at their next home when a home is gone.

        The home's directory is lost with it. Without an entry at the next home, each
        packet of these flows would be forwarded from candidate to candidate until the
        balancers have learned the owner.
        """
        for flow, home in list(self.homes_of_owned.items()):
            if home == gone:
                self.homes_of_owned[flow] = self._register(flow, self.agent_id)

    def _register(self, flow: int, owner: AgentId) -> str:
        """Send a flow's owner to its next home.

        Returns:
            The name of that home, "" if it is this agent or none can be reached.
        """
        for name in self.group.ranked(flow):
            if name == self.name and not self.retired:
                return ""
            message = Owner(flow, owner.name, owner.incarnation)
            if name != self.name and self.send(name, message):
                return name
        return ""

    def change_incarnation(self, incarnation: int) -> None:
        """Continue under a new incarnation, after others removed the present one.

        Peers have recorded the flows owned here as lost with the old incarnation, so
        they are registered again.
        """
        self.agent_id = AgentId(self.name, incarnation)
        self.ownership.agent_id = self.group.agent_id = self.agent_id
        for flow in self.flows.owned:
            self.homes_of_owned[flow] = self._register(flow, self.agent_id)

    def retire(self) -> None:
        """Send the directory to the flows' next homes, and place no more flows."""
        self.retired = True
        for flow, entry in list(self.ownership.directory.owners.entries.items()):
            self._register(flow, entry.value)
