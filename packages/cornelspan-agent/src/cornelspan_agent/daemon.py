"""The agent daemon: runs beside one endpoint and owns the flows placed there.

The fabrics are network elements in front of the platform. They terminate the clients'
TCP connections and send the packets of their flows to balancers. An agent sends the
packets of its answers directly to the fabric of the flow.
"""

import asyncio
import dataclasses
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from cornelspan_agent.serving import serve_bytes, serve_http
from cornelspan_common.channel import Channel
from cornelspan_common.control import Announce, Gone
from cornelspan_common.links import Links
from cornelspan_common.logs import get_log
from cornelspan_common.metrics import Metrics
from cornelspan_common.packets import Hello, Message, Packet, Routed
from cornelspan_common.settings import Address, AgentSettings
from cornelspan_common.streams import PROTOCOL, Peer, PeerServer, batches, serve_peers
from cornelspan_common.tasks import Tasks, task_group
from cornelspan_common.tls import PLAIN, Tls, reload_tls
from cornelspan_control.configuration import Configuration
from cornelspan_control.control_plane import Control, control_plane
from cornelspan_control.members import Members
from cornelspan_control.profiles import Profile
from cornelspan_ownership.flows import Flows
from cornelspan_ownership.placement import OwnLoad
from cornelspan_ownership.router import OwnershipMessage, Router
from cornelspan_requests.gateway import Gateway, Peers, gateway
from cornelspan_requests.reporting import report_counts, report_last

DEFAULT_PROFILE = Profile(name="default")

LEAVE_POLL_SECONDS = 0.05
FABRIC_GONE_SECONDS = 5.0
RETIRE_FLUSH_SECONDS = 0.2

log = get_log(__name__)


class Agent:
    """State of one agent process."""

    def __init__(
        self,
        settings: AgentSettings,
        configuration: Configuration,
        members: Members,
        tasks: Tasks,
        tls: Tls = PLAIN,
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.members = members
        self.tasks = tasks
        self.tls = tls
        self.gateway: Gateway | None = None
        self.hello = Hello(
            PROTOCOL,
            "agent",
            settings.name,
            settings.datacentre,
            time.time_ns() // 1_000_000,
        )
        self.fabrics = Links(self.hello, settings.streams, tasks, self.serve_fabric)
        self.agents = Links(
            self.hello, settings.streams, tasks, self.serve_packets, tls=tls.client
        )
        self.control: Control | None = None
        self.server: PeerServer | None = None
        self.flows = Flows(settings.name, tasks, self.transmit, self.serve_flow)
        self.router = Router(
            settings,
            self.hello.incarnation,
            configuration,
            members,
            self.flows,
            self.agents,
            tasks,
        )
        self.router.measure_load = self.load
        self.leaving = False

    @property
    def profile(self) -> Profile:
        """The profile of the service; default values until one is known."""
        return self.configuration.profile_of(self.settings.service) or DEFAULT_PROFILE

    def announcement(self) -> Announce:
        """Return the announcement of this agent as a member."""
        settings = self.settings
        return Announce(
            name=settings.name,
            role="agent",
            datacentre=settings.datacentre,
            incarnation=self.hello.incarnation,
            host=settings.listen.host,
            port=settings.listen.port,
            service=settings.service,
            weight=settings.weight,
            slots=settings.slots,
            leaving=self.leaving,
        )

    def transmit(self, packet: Packet) -> None:
        """Send a packet directly to the fabric that its flow came from."""
        peer = self.fabrics.get(packet.fabric)
        if peer is not None:
            peer.send(packet)

    async def serve_fabric(self, peer: Peer) -> None:
        """Ignore what one fabric sends, counted in ``peer.refused``."""
        async for batch in batches(peer):
            peer.refused += len(batch)

    async def serve_packets(self, peer: Peer) -> None:
        """Route the packets of one balancer or agent until its stream ends."""
        router = self.router
        router.peer_connected(peer)
        try:
            async for batch in batches(peer):
                for message in batch:
                    if type(message) is Routed:
                        router.route(message)
                    elif isinstance(message, OwnershipMessage):
                        router.receive(peer, message)
                    else:
                        self._receive(peer, message)
        finally:
            router.peer_disconnected(peer)
            self.gateway.peer_lost(peer.name)

    def _receive(self, peer: Peer, message: Message) -> None:
        """Process a message that is not about flows."""
        if isinstance(message, Gone):
            # An agent sends this when it leaves; one about another agent is ignored.
            if message.name == peer.name:
                self.members.remove(message.name, message.incarnation)
            return
        self.gateway.receive(peer.name, message)

    def load(self) -> OwnLoad:
        """Return the load of the endpoint; with no slots if it accepts no requests."""
        if self.profile.kind != "http":
            return self.router.flow_load()
        http_load = self.gateway.own_load()
        if http_load is None:
            return OwnLoad(0, 0)
        waiting = http_load.waiting + self.router.count_flows_without_data()
        return dataclasses.replace(http_load, waiting=waiting)

    def change_incarnation(self, incarnation: int) -> None:
        """Continue under a new incarnation, after others removed the present one."""
        self.router.change_incarnation(incarnation)
        self.hello = msgspec.structs.replace(self.hello, incarnation=incarnation)
        for holder in (self.fabrics, self.agents, self.server):
            holder.hello = self.hello
        self.router.change_incarnation(incarnation)

    def connect_peers(self) -> None:
        """Keep a stream to each other agent of the service."""
        peers = self.members.of_service(self.settings.service)
        others = [peer for peer in peers if peer.name != self.settings.name]
        for other in others:
            self.agents.keep_open(other.name, Address(host=other.host, port=other.port))
        self.agents.keep_only({other.name for other in others})

    async def leave(self) -> None:
        """Shut down: accept no new flows, announce it, and drain the running ones."""
        self.router.leaving = True
        self.leaving = True
        self.gateway.leave()
        self.control.announce()
        deadline = time.monotonic() + self.profile.drain_seconds
        await self._wait_for_flows(deadline)
        await self.gateway.drain(max(0.0, deadline - time.monotonic()))
        await self._hand_over_directory()
        report_last(self.gateway.objective_counts, self.settings, self.control.plane)
        self.control.leave()
        log.info("agent left", extra={"flows": len(self.flows.owned)})

    async def _wait_for_flows(self, deadline: float) -> None:
        """Wait until the flows have ended, or no fabric is connected any more.

        When a whole site stops, the fabric may stop first. Its flows can't finish then,
        and waiting for them delayed the shutdown by all of ``drain_seconds``.
        """
        connected_at = time.monotonic()
        while self.flows.owned and time.monotonic() < deadline:
            if self.fabrics.open:
                connected_at = time.monotonic()
            if time.monotonic() - connected_at > FABRIC_GONE_SECONDS:
                return
            await asyncio.sleep(LEAVE_POLL_SECONDS)

    async def _hand_over_directory(self) -> None:
        """Send the directory of flow owners to the flows' next homes, then ``Gone``.

        This is the last step, when no packets of flows owned here are in flight. After
        ``Gone`` the others don't have to wait for failure detection.
        """
        self.router.retire()
        await asyncio.sleep(RETIRE_FLUSH_SECONDS)
        gone = Gone(self.settings.name, self.hello.incarnation)
        for peer in self.agents.open.values():
            peer.send(gone)
            peer.flush()

    def register(self, metrics: Metrics) -> None:
        """Register the metrics of this agent."""
        self.gateway.register(metrics)
        flows = self.flows.counts
        routing = self.router.counts
        metrics.gauge("flows_open", "Flows owned", lambda: len(self.flows.owned))
        metrics.count("flows_opened", "Flows opened", lambda: flows.opened)
        metrics.count("flows_finished", "Flows finished", lambda: flows.finished)
        metrics.count("flows_reset", "Flows reset", lambda: flows.reset)
        metrics.count("flows_idle", "Flows reset as idle", lambda: flows.idle)
        opens = self.router.ownership.counts
        metrics.count("opens_kept", "Placed here by this home", lambda: opens.kept)
        metrics.count("opens_handed_off", "Handed off", lambda: opens.handed_off)
        metrics.count("opens_claimed", "Claimed before", lambda: opens.claimed)
        metrics.count("opens_waited", "Left to be repeated", lambda: opens.deferred)
        metrics.count("packets_passed", "Passed to an agent", lambda: routing.forwarded)
        metrics.count(
            "packets_foreign", "Of another service", lambda: routing.wrong_service
        )
        metrics.count(
            "packets_unknown", "Of unknown flows", lambda: routing.unknown_flow
        )

    async def serve_flow(self, channel: Channel) -> None:
        """Serve one flow as the kind of its service's profile requires."""
        if self.profile.kind == "http":
            await serve_http(channel, self.gateway)
        else:
            await serve_bytes(channel, self.settings.endpoint)


@asynccontextmanager
async def agent(
    settings: AgentSettings,
    configuration: Configuration,
    members: Members,
    *,
    tls: Tls = PLAIN,
) -> AsyncIterator[Agent]:
    """Run an agent until the context ends, without draining: call ``leave`` before.

    Args:
        settings: The agent's settings.
        configuration: The configuration in force; the agent keeps it up to date.
        members: The known members; the agent keeps them up to date.
        tls: TLS contexts for streams and the platform's store; none by default.
            Streams to fabrics never use TLS.
    """
    async with task_group() as tasks:
        running_agent = Agent(settings, configuration, members, tasks, tls)
        peers = Peers(
            send=running_agent.router.send,
            names=running_agent.router.peer_names,
            loads=running_agent.router.ownership.loads,
        )
        async with (
            gateway(
                settings,
                configuration,
                members,
                peers,
                incarnation=running_agent.hello.incarnation,
            ) as running_agent.gateway,
            control_plane(
                settings,
                configuration,
                members,
                hello=running_agent.hello,
                announcement=running_agent.announcement,
                on_new_incarnation=running_agent.change_incarnation,
                on_members=running_agent.connect_peers,
                tls=tls.client,
            ) as running_agent.control,
            serve_peers(
                settings.listen,
                running_agent.hello,
                settings.streams,
                running_agent.serve_packets,
                tls=tls.server,
            ) as running_agent.server,
        ):
            for address in settings.fabrics:
                running_agent.fabrics.keep_open(str(address), address)
            tasks.start(
                running_agent.flows.reset_idle_flows(
                    lambda: running_agent.profile.idle_seconds
                ),
                name="reset idle flows",
            )
            members.record(running_agent.announcement())
            tasks.start(running_agent.router.run(), name="update group")
            counts = running_agent.gateway.objective_counts
            reporting = report_counts(counts, settings, running_agent.control.plane)
            tasks.start(reporting, name="report counts")
            tasks.start(reload_tls(tls), name="reload TLS files")
            log.info("agent started", extra={"agent": settings.name})
            yield running_agent
