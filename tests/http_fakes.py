"""Backend server, caller and group of gateways for the tests of requests."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from cornelspan_common.control import Announce
from cornelspan_common.messages import AnyMessage
from cornelspan_common.ownership import Load
from cornelspan_common.settings import (
    Address,
    AgentSettings,
    StoreSettings,
)
from cornelspan_control.configuration import Configuration, Snapshot
from cornelspan_control.members import Members
from cornelspan_control.profiles import Profile, Service
from cornelspan_ownership.placement import OwnLoad
from cornelspan_requests.gateway import Peers, gateway

HOST = "127.0.0.1"
WARM = Profile(name="orders", priority=0, slow_start_seconds=0)
SERVICE = "order-hub"


@dataclass
class FakeServer:
    """Records the requests that run.

    ``behave`` is called with each handler; if it returns True, it has sent the answer.
    """

    port: int
    seconds: float = 0.0
    runs: list[str] = field(default_factory=list)
    cancelled: int = 0
    running: int = 0
    max_running: int = 0
    headers: list = field(default_factory=list)
    behave: object = None


class OrderHandler(tornado.web.RequestHandler):
    def initialize(self, server):
        self.server = server
        self.gone = asyncio.Event()

    def on_connection_close(self):
        self.gone.set()

    async def run_order(self):
        server = self.server
        if server.behave is not None and await server.behave(self):
            return
        server.headers.append(dict(self.request.headers))
        server.running += 1
        server.max_running = max(server.max_running, server.running)
        try:
            await asyncio.wait_for(self.gone.wait(), server.seconds)
            server.cancelled += 1
            return
        except TimeoutError:
            pass
        finally:
            server.running -= 1
        server.runs.append(self.request.body.decode() or self.request.path)
        self.write(f"done {self.request.path} {self.request.body.decode()}")

    get = post = put = run_order


@asynccontextmanager
async def fake_server(port, *, seconds=0.0, behave=None):
    server = FakeServer(port, seconds=seconds, behave=behave)
    app = tornado.web.Application([("/.*", OrderHandler, {"server": server})])
    http = HTTPServer(app)
    http.listen(port, HOST)
    try:
        yield server
    finally:
        http.stop()
        await http.close_all_connections()


def settings_of(name, port, *, slots=2, connections=2000):
    return AgentSettings(
        name=name,
        datacentre="chuo-hall",
        listen=Address(host=HOST, port=1),
        store=StoreSettings(address=Address(host=HOST, port=1)),
        fabrics=(),
        service=SERVICE,
        endpoint=Address(host=HOST, port=port),
        slots=slots,
        connections=connections,
    )


def configuration_of(profile=None):
    configuration = Configuration()
    profile = profile or WARM
    service = Service(name=SERVICE, address="10.0.0.1:80", profile=profile.name)
    configuration.apply(Snapshot(revision=1, profiles=(profile,), services=(service,)))
    return configuration


@asynccontextmanager
async def running_gateway(port, *, profile=None, slots=2, connections=2000):
    settings = settings_of("hub-1", port, slots=slots, connections=connections)
    configuration = configuration_of(profile)
    async with gateway(settings, configuration, Members(), Peers()) as instance:
        yield instance


class Group:
    """Gateways of one service with reliable links between them, which can be cut."""

    def __init__(self):
        self.gateways = {}
        self.cut = set()
        self.members = Members()
        self.tasks = {}
        self.loop = asyncio.get_running_loop()

    def peers_of(self, name):
        def send(to, message):
            if to not in self.gateways or {name, to} & self.cut:
                return False
            packed = msgspec.msgpack.encode(message)
            self.loop.call_soon(self.deliver, name, to, packed)
            return True

        def names():
            return [n for n in self.gateways if n != name and n not in self.cut]

        return Peers(send=send, names=names)

    def deliver(self, sender, to, packed):
        if to in self.gateways and not {sender, to} & self.cut:
            message = msgspec.msgpack.decode(packed, type=AnyMessage)
            self.gateways[to].receive(sender, message)

    def announce(self, name, incarnation):
        self.members.record(
            Announce(
                name, "agent", "chuo-hall", incarnation, HOST, 1, SERVICE, 1.0, 2, False
            )
        )

    def share_loads(self):
        for name, instance in self.gateways.items():
            own = instance.own_load() or OwnLoad(slots=0, running=0)
            now = (own.slots, own.running, own.waiting, 0, own.mean_seconds)
            load = Load(SERVICE, name, 1, *now)
            for other in self.gateways.values():
                if other is not instance:
                    other.peers.loads.update(load)

    async def share_loads_often(self):
        while True:
            self.share_loads()
            await asyncio.sleep(0.005)

    async def start(self, name, port, *, incarnation=1, profile=None, slots=2):
        """Start an agent; it runs until ``kill`` or until the group ends."""
        started = asyncio.Event()
        stop = asyncio.Event()

        async def run():
            settings = settings_of(name, port, slots=slots)
            configuration = configuration_of(profile)
            peers = self.peers_of(name)
            async with gateway(
                settings, configuration, self.members, peers, incarnation=incarnation
            ) as instance:
                self.gateways[name] = instance
                started.set()
                await stop.wait()

        self.announce(name, incarnation)
        self.tasks[name] = (asyncio.create_task(run()), stop)
        await started.wait()
        self.share_loads()
        return self.gateways[name]

    async def kill(self, name):
        """Stop an agent at once, without sending any message."""
        del self.gateways[name]
        task, _ = self.tasks.pop(name)
        task.cancel()
        await asyncio.wait([task])
        for instance in self.gateways.values():
            instance.peer_lost(name)

    async def ready(self):
        while not all(g.claims.voters.ready for g in self.gateways.values()):
            await asyncio.sleep(0.02)


@asynccontextmanager
async def running_group(ports, *, profile=None, slots=2):
    """Run an agent for each port, named hub-1, hub-2 and so on."""
    group = Group()
    sharing = asyncio.create_task(group.share_loads_often())
    try:
        for number, port in enumerate(ports, 1):
            await group.start(f"hub-{number}", port, profile=profile, slots=slots)
        yield group
    finally:
        sharing.cancel()
        for task, stop in group.tasks.values():
            stop.set()
            await asyncio.wait([task])


class Caller:
    """A raw HTTP client on one end of a socket pair."""

    def __init__(self, instance, name="10.0.0.7"):
        ours, theirs = socket.socketpair()
        self.stream = IOStream(ours)
        self.task = asyncio.ensure_future(
            instance.handle_stream(IOStream(theirs), name)
        )

    async def send(self, method="POST", path="/order", body=b"", **headers):
        lines = [f"{method} {path} HTTP/1.1", "Host: hub"]
        lines += [f"{name.replace('_', '-')}: {headers[name]}" for name in headers]
        lines.append(f"Content-Length: {len(body)}")
        text = "\r\n".join(lines) + "\r\n\r\n"
        await self.stream.write(text.encode() + body)

    async def receive(self):
        head = (await self.stream.read_until(b"\r\n\r\n")).decode()
        status = int(head.split()[1])
        lines = head.split("\r\n")[1:-2]
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
        if "content-length" in headers:
            body = await self.stream.read_bytes(int(headers["content-length"]))
        else:
            body = await self._chunks()
        return status, headers, body

    async def _chunks(self):
        body = b""
        while True:
            size = int(await self.stream.read_until(b"\r\n"), 16)
            body += (await self.stream.read_bytes(size + 2))[:-2]
            if size == 0:
                return body

    async def ask(self, *args, **headers):
        await self.send(*args, **headers)
        return await asyncio.wait_for(self.receive(), 10)

    async def close(self):
        self.stream.close()
        await asyncio.wait_for(self.task, 5)
