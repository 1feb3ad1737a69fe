"""The platform's daemons as processes: settings, packets, store and signals."""

import asyncio
import json
import os
import random
import signal
import sys

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from cornelspan_standins.packet_ends import PacketClient, PacketEndpoint
from cornelspan_standins.platform_store import (
    PlatformObjects,
    configuration_spec,
    platform_store,
)

SETTLE_SECONDS = 20.0
CLIENT = "127.0.9.1"


class Socket(asyncio.DatagramProtocol):
    """A UDP socket that passes received datagrams to a function."""

    def __init__(self, received):
        self.received = received

    def datagram_received(self, data, sender):
        self.received(data)


async def open_udp_socket(address, received):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Socket(received), local_addr=address
    )
    return transport


def after(seconds, action):
    asyncio.get_running_loop().call_later(seconds, action)


class Deployment:
    """Processes of the adapter on loopback addresses, one per VM."""

    def __init__(self, folder, base_port):
        self.folder = folder
        self.ports = {
            name: base_port + number
            for number, name in enumerate(
                ("store", "packets", "ready", "internal", "app", "outbound", "reports")
            )
        }
        self.processes = {}
        self.endpoints = []
        self.flows = {}
        self.objects = PlatformObjects()

    def address(self, vm, port):
        return f"{vm}:{self.ports[port]}"

    def settings(self, vm, **overrides):
        return {
            "name": f"vm-{vm}",
            "datacentre": "chuo-hall",
            "address": vm,
            "packets": self.address(vm, "packets"),
            "ready": self.address(vm, "ready"),
            "internal_port": self.ports["internal"],
            "store": {"address": self.address("127.0.0.1", "store")},
            "grace_seconds": 3.0,
            **overrides,
        }

    async def start(self, role, vm, **overrides):
        file = self.folder / f"{vm}.json"
        file.write_text(json.dumps(self.settings(vm, **overrides)))
        self.processes[vm] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cornelspan_shirakaba",
            role,
            env={**os.environ, "CORNELSPAN_BOOT": str(file)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def start_agent(self, vm, service):
        """Start an agent, and its endpoint in this process."""
        await self.start(
            "agent",
            vm,
            service=service,
            endpoint=self.address(vm, "app"),
            outbound=self.address(vm, "outbound"),
            reports=self.address(vm, "reports"),
            report_milliseconds=500,
        )
        outbound = (vm, self.ports["outbound"])
        endpoint = PacketEndpoint(
            service, lambda data: transport.sendto(data, outbound), after, random
        )
        transport = await open_udp_socket((vm, self.ports["app"]), endpoint.receive)
        self.endpoints.append(transport)
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), vm, self.ports["app"]
        )
        self.endpoints.append(server)
        return endpoint

    async def call(self, method, address, path, body=None):
        request = HTTPRequest(
            f"http://{address}{path}", method=method, body=body, request_timeout=2.0
        )
        return await AsyncHTTPClient().fetch(request, raise_error=False)

    async def report(self, vm, service, sequence, state="ready"):
        body = {
            "service": service,
            "address": self.address(vm, "app"),
            "zone": "chuo-hall",
            "version": "v1",
            "capacity": 2,
            "state": state,
            "warmup-remaining-ms": 0,
            "sequence": sequence,
        }
        path = f"/cornelspan/Instances.Heartbeat/i-{vm}"
        encoded = msgspec.json.encode(body)
        address = self.address(vm, "reports")
        async with asyncio.timeout(SETTLE_SECONDS):
            while True:
                # Agents serve packets before HTTP calls, so retry as endpoints do.
                try:
                    return (await self.call("POST", address, path, encoded)).code
                except OSError:
                    await asyncio.sleep(0.05)

    async def until_ready(self, vm):
        address = self.address(vm, "ready")
        async with asyncio.timeout(SETTLE_SECONDS):
            while await self.readiness(address) != 200:
                await asyncio.sleep(0.05)

    async def readiness(self, address):
        try:
            return (await self.call("GET", address, "/cornelspan/readiness")).code
        except OSError:
            return 0

    async def open_flow(self, over, port):
        """Open a flow over a balancer; return the client."""
        target = (over, self.ports["packets"])
        client = PacketClient(
            int.from_bytes(bytes(int(part) for part in CLIENT.split(".")), "big"),
            port,
            443,
            lambda data: self.clients.sendto(data, target),
            after,
            random,
        )
        self.flows[port] = client
        client.open()
        return client

    def to_client(self, data):
        port = int.from_bytes(data[:2], "little")
        self.flows[port].receive(data)


@pytest.fixture
async def deployment(tmp_path, base_port):
    system = Deployment(tmp_path, base_port)
    system.clients = await open_udp_socket(
        (CLIENT, system.ports["packets"]), system.to_client
    )
    with platform_store(("127.0.0.1", system.ports["store"]), system.objects):
        yield system
        for process in system.processes.values():
            if process.returncode is None:
                process.kill()
            await process.communicate()
    for transport in (system.clients, *system.endpoints):
        transport.close()


async def wait_until(condition):
    async with asyncio.timeout(SETTLE_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def test_flows_run_through_processes_and_restarts(deployment):
    """Flows open, and survive the restart of an agent and the stop of a balancer.

    The agent restarts beside its live endpoint. The balancer reports that it isn't
    ready, keeps forwarding for a while, and exits with status 0.
    """
    system = deployment
    system.objects.put("config", "main", configuration_spec(3))
    agents = {"127.0.1.1": "orders", "127.0.1.2": "receipts"}
    endpoints = {vm: await system.start_agent(vm, name) for vm, name in agents.items()}
    for vm in ("127.0.2.1", "127.0.2.2"):
        await system.start("balancer", vm)
    for vm in ("127.0.2.1", "127.0.2.2"):
        await system.until_ready(vm)
    assert await system.report("127.0.1.1", "orders", 1) == 200
    client = await system.open_flow("127.0.2.1", 40_001)
    await wait_until(lambda: client.events == ["open", "answer"])
    assert endpoints["127.0.1.1"].opened == 1
    assert endpoints["127.0.1.2"].opened == 0

    agent = system.processes["127.0.1.1"]
    agent.send_signal(signal.SIGTERM)
    assert await agent.wait() == 0
    await system.start(
        "agent",
        "127.0.1.1",
        service="orders",
        endpoint=system.address("127.0.1.1", "app"),
        outbound=system.address("127.0.1.1", "outbound"),
        reports=system.address("127.0.1.1", "reports"),
        report_milliseconds=500,
    )
    client.request()
    await wait_until(lambda: client.events == ["open", "answer", "answer"])

    balancer = system.processes["127.0.2.1"]
    balancer.send_signal(signal.SIGHUP)
    balancer.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    address = system.address("127.0.2.1", "ready")
    assert await system.readiness(address) == 503
    client.send = lambda data: system.clients.sendto(
        data, ("127.0.2.2", system.ports["packets"])
    )
    client.request()
    await wait_until(lambda: len(client.events) == 4)
    assert "reset" not in client.events
    assert await balancer.wait() == 0


async def test_settings_that_change_are_taken_in_without_a_restart(deployment):
    """A changed settings file is applied without a restart; an invalid one is ignored.

    The file is rewritten without a signal, then with an error and SIGHUP. The log names
    what takes effect at the next start.
    """
    system = deployment
    await system.start("balancer", "127.0.2.1", metrics_port=None)
    process = system.processes["127.0.2.1"]
    file = system.folder / "127.0.2.1.json"

    async def line_of(event):
        async with asyncio.timeout(SETTLE_SECONDS):
            while True:
                line = json.loads(await process.stdout.readline())
                if line["message"] == event:
                    return line

    await line_of("started")
    file.write_text(json.dumps(system.settings("127.0.2.1", learned_flows=7, name="x")))
    line = await line_of("settings reloaded")
    assert line["in_force"] == ["learned_flows"]
    assert line["at_next_start"] == ["name"]
    file.write_text('{"name": 3}')
    process.send_signal(signal.SIGHUP)
    line = await line_of("settings file not loaded")
    assert "$.name" in line["reason"]
    assert process.returncode is None


async def test_a_bad_report_is_refused_with_its_reason(deployment):
    system = deployment
    await system.start_agent("127.0.1.1", "orders")
    address = system.address("127.0.1.1", "reports")
    path = "/cornelspan/Instances.Heartbeat/i-1"
    async with asyncio.timeout(SETTLE_SECONDS):
        while True:
            try:
                answer = await system.call("POST", address, path, b'{"service": 3}')
                break
            except OSError:
                await asyncio.sleep(0.05)
    assert answer.code == 400
    assert b"$.service" in answer.body


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"internal_port": 0}, "$.internal_port"),
        ({"packets": "nowhere"}, "$.packets"),
        ({"store": {}}, "$.store"),
        ({"surplus": 1}, "$"),
    ],
)
async def test_bad_settings_end_the_process_with_the_fields_path(
    deployment, change, path
):
    await deployment.start("balancer", "127.0.2.1", **change)
    process = deployment.processes["127.0.2.1"]
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert f"{path}:" in errors.decode()


async def test_an_unknown_role_is_refused(deployment):
    await deployment.start("juggler", "127.0.2.1")
    process = deployment.processes["127.0.2.1"]
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert "balancer|agent" in errors.decode()
