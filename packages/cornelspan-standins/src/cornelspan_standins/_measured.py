"""Processes that ``bench path`` measures, each apart from its sender and sink.

Run as ``python -m cornelspan_standins._measured ROLE PORT``; prints one line of JSON
when its standard input closes.
"""

import asyncio
import dataclasses
import os
import sys
import time
from pathlib import Path

import msgspec

from cornelspan_agent.daemon import agent
from cornelspan_balancer.daemon import Balancer
from cornelspan_common.control import Announce
from cornelspan_common.packets import Hello
from cornelspan_common.settings import Address, StreamSettings
from cornelspan_common.streams import LENGTH_BYTES, PROTOCOL, Peer, open_peer
from cornelspan_common.tasks import task_group
from cornelspan_common.tls import PLAIN
from cornelspan_control.configuration import Configuration, Snapshot
from cornelspan_control.members import Members
from cornelspan_control.profiles import Profile, Service
from cornelspan_standins.deployment import (
    SHIRAKABA,
    Plan,
    agent_settings,
    balancer_settings,
    caller_address,
    fabric_settings,
)

SERVICE = "order-hub"
AGENTS = 7
BARE_HELLO = Hello(PROTOCOL, "balancer", "bare", "", 1)


class Measured(msgspec.Struct, frozen=True):
    """What a measured process has used."""

    cpu_seconds: float
    resident_bytes: int


def measured_plan(port: int) -> Plan:
    """Return the deployment whose ports the bench uses."""
    return dataclasses.replace(SHIRAKABA, base_port=port)


def configured(plan: Plan, kind: str) -> Configuration:
    """Return a configuration with the plan's first service in force."""
    address = str(caller_address(plan, SERVICE))
    configuration = Configuration()
    configuration.apply(
        Snapshot(
            revision=1,
            profiles=(Profile(name="measured", kind=kind, idle_seconds=3600.0),),
            services=(Service(name=SERVICE, address=address, profile="measured"),),
        )
    )
    return configuration


def resident_bytes() -> int:
    """Return the memory that this process holds, from the kernel's count."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def run_bare(plan: Plan) -> None:
    """Forward frames to one sink: decode, encode, write, and nothing else."""
    hello = BARE_HELLO
    limits = StreamSettings()
    sink = agent_settings(plan, SERVICE, 0).listen
    fabric = fabric_settings(plan).listen
    async with (
        open_peer(sink, hello, limits) as onward,
        open_peer(fabric, hello, limits) as source,
    ):
        relay = asyncio.create_task(_relay(source.unwrap(), onward.unwrap()))
        await _input_closed()
        relay.cancel()


async def _relay(source: Peer, onward: Peer) -> None:
    while True:
        head = await source.stream.read_bytes(LENGTH_BYTES)
        frame = await source.stream.read_bytes(int.from_bytes(head, "big"))
        body = msgspec.msgpack.encode(msgspec.msgpack.decode(frame))
        await onward.stream.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)


async def run_balancer(plan: Plan) -> None:
    """Run a balancer that knows all agents from the start."""
    settings = balancer_settings(plan, 0)
    members = Members()
    async with task_group() as tasks:
        configuration = configured(plan, "stream")
        state = Balancer(settings, configuration, members, tasks, PLAIN)
        for number in range(AGENTS):
            listen = agent_settings(plan, SERVICE, number).listen
            name = f"{SERVICE}-{number + 1}"
            members.record(_announce(name, listen))
            state.agents.keep_open(name, listen)
        while len(state.agents.open) < AGENTS:
            await asyncio.sleep(0.01)
        state.fabrics.keep_open("fabric", fabric_settings(plan).listen)
        await _input_closed()


def _announce(name: str, listen: Address) -> Announce:
    return Announce(
        name, "agent", "", 1, listen.host, listen.port, SERVICE, 1.0, 2, False
    )


async def run_agent(plan: Plan, kind: str) -> None:
    """Run one agent of a service of a profile's kind."""
    settings = agent_settings(plan, SERVICE, 0)
    async with agent(settings, configured(plan, kind), Members()):
        await _input_closed()


async def _input_closed() -> None:
    """Answer each line of standard input with what was used so far, until its end."""
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        used = Measured(time.process_time(), resident_bytes())
        print(msgspec.json.encode(used).decode(), flush=True)


def main() -> None:
    """Run the role that the command line names."""
    role, port = sys.argv[1], int(sys.argv[2])
    plan = measured_plan(port)
    roles = {
        "bare": lambda: run_bare(plan),
        "balancer": lambda: run_balancer(plan),
        "agent-stream": lambda: run_agent(plan, "stream"),
        "agent-http": lambda: run_agent(plan, "http"),
    }
    asyncio.run(roles[role]())


if __name__ == "__main__":
    main()
