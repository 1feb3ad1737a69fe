"""The balancer daemon: streams to fabrics, agents and other balancers."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from cornelspan_balancer.forwarding import Forwarder
from cornelspan_balancer.service_levels import ServiceLevels
from cornelspan_common.control import Announce
from cornelspan_common.links import Links
from cornelspan_common.logs import get_log
from cornelspan_common.metrics import Metrics
from cornelspan_common.packets import Hello, Hint, Leaving, Packet
from cornelspan_common.settings import Address, BalancerSettings
from cornelspan_common.streams import PROTOCOL, Peer, PeerServer, batches, serve_peers
from cornelspan_common.tasks import Tasks, task_group
from cornelspan_common.tls import PLAIN, Tls, reload_tls
from cornelspan_control.configuration import Configuration
from cornelspan_control.control_plane import Control, control_plane
from cornelspan_control.members import Members

LEAVE_SECONDS = 0.5
JOIN_DELAY_SECONDS = 1.0
JOIN_TIMEOUT_SECONDS = 10.0
JOIN_POLL_SECONDS = 0.05

log = get_log(__name__)


class Balancer:
    """State of one balancer process."""

    def __init__(
        self,
        settings: BalancerSettings,
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
        self.hello = Hello(
            PROTOCOL,
            "balancer",
            settings.name,
            settings.datacentre,
            time.time_ns() // 1_000_000,
        )
        self.fabrics = Links(self.hello, settings.streams, tasks, self.serve_fabric)
        self.agents = Links(
            self.hello, settings.streams, tasks, self.serve_agent, tls=tls.client
        )
        self.levels = ServiceLevels(configuration)
        self.leaving = False
        self.control: Control | None = None
        self.server: PeerServer | None = None
        self.forwarder = Forwarder(
            settings.name,
            configuration,
            members,
            self.agents,
            learned_flows=settings.learned_flows,
        )

    async def serve_fabric(self, peer: Peer) -> None:
        """Forward the packets of one fabric until its stream ends."""
        forward = self.forwarder.forward
        async for batch in batches(peer):
            for message in batch:
                if type(message) is Packet:
                    forward(message)
                else:
                    peer.refused += 1

    async def serve_agent(self, peer: Peer) -> None:
        """Learn flow owners from one agent's hints until its stream ends."""
        async for batch in batches(peer):
            for message in batch:
                match message:
                    case Hint():
                        self.forwarder.learn(message)
                    case _:
                        peer.refused += 1

    async def serve_control(self, peer: Peer) -> None:
        """Send configuration and membership to a process until its stream ends."""
        await self.control.serve(peer)

    def announcement(self) -> Announce:
        """Return the message that announces this balancer to other members."""
        listen = self.settings.listen
        return Announce(
            name=self.settings.name,
            role="balancer",
            datacentre=self.settings.datacentre,
            incarnation=self.hello.incarnation,
            host=listen.host,
            port=listen.port,
            service="",
            weight=1.0,
            slots=0,
            leaving=self.leaving,
        )

    def change_incarnation(self, incarnation: int) -> None:
        """Continue under a new incarnation, after others removed the present one."""
        self.hello = msgspec.structs.replace(self.hello, incarnation=incarnation)
        for links in (self.fabrics, self.agents, self.server):
            links.hello = self.hello

    def connect_agents(self) -> None:
        """Keep a stream to each known agent; drop others and their learned flows."""
        agents = [m for m in self.members.known.values() if m.role == "agent"]
        for agent in agents:
            self.agents.keep_open(agent.name, Address(host=agent.host, port=agent.port))
        names = {agent.name for agent in agents}
        for name in set(self.agents.targets) - names:
            self.forwarder.learned.forget_owner(name)
        self.agents.keep_only(names)

    async def join(self) -> None:
        """Connect to the fabrics once this balancer is ready to forward packets.

        A balancer that knows only some agents ranks candidates differently from the
        others, which could not find the flows opened through it. After
        ``JOIN_TIMEOUT_SECONDS`` it connects anyway, so that agents that can't be
        reached don't keep it out of service.
        """
        deadline = time.monotonic() + JOIN_TIMEOUT_SECONDS
        await asyncio.sleep(JOIN_DELAY_SECONDS)
        while time.monotonic() < deadline and not self.is_ready:
            await asyncio.sleep(JOIN_POLL_SECONDS)
        for address in self.settings.fabrics:
            self.fabrics.keep_open(str(address), address)

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force and all known agents are connected.

        False while no agent is known.
        """
        wanted_count = len(self.agents.targets)
        all_connected = wanted_count > 0 and len(self.agents.open) == wanted_count
        return all_connected and self.configuration.revision > 0

    async def leave(self) -> None:
        """Tell the fabrics to use other balancers, and forward what still arrives."""
        self.leaving = True
        self.control.announce()
        for peer in self.fabrics.open.values():
            peer.send(Leaving(self.settings.name, self.hello.incarnation))
        await asyncio.sleep(LEAVE_SECONDS)
        self.control.leave()

    def register(self, metrics: Metrics) -> None:
        """Register this balancer's metrics."""
        counts = self.forwarder.counts
        metrics.count("forwarded", "Packets forwarded", lambda: counts.forwarded)
        metrics.count("no_service", "Unknown address", lambda: counts.no_service)
        metrics.count("no_endpoint", "No endpoint known", lambda: counts.no_endpoint)
        metrics.count("no_stream", "No stream to an agent", lambda: counts.no_stream)
        metrics.count("learned", "Owners learned", lambda: counts.learned)
        metrics.gauge("revision", "In force", lambda: self.configuration.revision)
        metrics.labelled_gauge("burn_rate", "Of service levels", self.levels.rates)
        metrics.labelled_gauge("burn_alert", "1 while it fires", self.levels.alerts)


@asynccontextmanager
async def balancer(
    settings: BalancerSettings,
    configuration: Configuration,
    members: Members,
    *,
    tls: Tls = PLAIN,
) -> AsyncIterator[Balancer]:
    """Run a balancer as long as the context lasts.

    Args:
        settings: The balancer's settings.
        configuration: The configuration in force; the balancer keeps it current.
        members: The known members; the balancer keeps them current.
        tls: TLS contexts of streams and store, off by default. Streams to fabrics never
            use TLS.
    """
    async with task_group() as tasks:
        state = Balancer(settings, configuration, members, tasks, tls)
        async with (
            control_plane(
                settings,
                configuration,
                members,
                hello=state.hello,
                announcement=state.announcement,
                on_new_incarnation=state.change_incarnation,
                on_members=state.connect_agents,
                tls=tls.client,
            ) as state.control,
            serve_peers(
                settings.listen,
                state.hello,
                settings.streams,
                state.serve_control,
                tls=tls.server,
            ) as state.server,
        ):
            state.control.plane.collect_counts = state.levels.add_counts
            tasks.start(state.levels.run(state.control.plane), name="service levels")
            tasks.start(state.join(), name="connect to fabrics")
            tasks.start(reload_tls(tls), name="reload TLS files")
            log.info("balancer started", extra={"balancer": settings.name})
            yield state
