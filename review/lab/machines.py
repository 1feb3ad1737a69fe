"""The platform: fills in settings and runs the daemons by the deploy file."""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from lab.record import Record

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"
SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.-]+)\|json\}\}")
# After the exit of a process the platform starts it again this much later.
RESTART_SECONDS = 1.0
# Bounds of the sites, as the settings name them.
BOUNDS = {
    "touch-ms": 4000,
    "drain-timeout-ms": 3000,
    "grace-period-s": 6,
    "config-apply-ms": 3000,
    "flow-ms": 2000,
    "max-flow-s": 60,
}
# Loopback networks 127.N that are tried in turn; all ports must be free there.
NETWORKS = range(20, 100)
FIRST_PORT = 21_000
PORT_NAMES = ("packets", "ready", "control", "outbound", "app", "internal", "store")
METRICS_PORT = 9464


def fill_in(template: str, settings: dict) -> str:
    """Return a role's template with its placeholders filled in."""

    def list_section(match: re.Match) -> str:
        entries = [json.dumps(each) for each in look_up(settings, match[1]) or ()]
        joined = match[2].replace("{{.|json}}", "\0").replace("{{,}}", "")
        return ",".join(joined.replace("\0", each) for each in entries)

    text = SECTION.sub(list_section, template)
    return VALUE.sub(lambda match: json.dumps(look_up(settings, match[1])), text)


def look_up(settings: dict, path: str) -> object:
    """Return the value at a dotted path; a number is an index."""
    value: object = settings
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def ports_of_daemons() -> dict[str, int]:
    """Return the ports by name; they are the same on all machines."""
    return {name: FIRST_PORT + i for i, name in enumerate(PORT_NAMES)}


def free_network(hosts: list[str]) -> int | None:
    """Return a loopback network whose ports are free, None if there is none.

    Args:
        hosts: The last two numbers of all addresses that are needed.
    """
    ports = [*ports_of_daemons().values(), METRICS_PORT]
    for network in NETWORKS:
        addresses = [f"127.{network}.{host}" for host in hosts]
        if all(is_free(address, port) for address in addresses for port in ports):
            return network
    return None


def is_free(address: str, port: int) -> bool:
    """Whether a port can be bound for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


@dataclass
class Machine:
    """A machine and its daemon."""

    name: str
    address: str
    role: str
    settings: dict
    process: asyncio.subprocess.Process | None = None


@dataclass
class Platform:
    """Starts and stops the daemons; ``folder`` holds settings files and logs."""

    folder: Path
    record: Record
    roles: dict[str, dict] = field(default_factory=dict)
    machines: list[Machine] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.roles = tomllib.loads(DEPLOY.read_text())["roles"]

    async def start(self, machine: Machine) -> None:
        """Start the daemon of a machine."""
        role = self.roles[machine.role]
        file = self.folder / f"{machine.name}.settings"
        template = (ROOT / role["template"]).read_text()
        file.write_text(fill_in(template, machine.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CORNELSPAN_BOOT"] = str(file)
        if machine not in self.machines:
            self.machines.append(machine)
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("daemon started", machine=machine.name)

    async def stop(self, machine: Machine) -> None:
        """Stop a daemon by SIGTERM, and by SIGKILL after the grace period."""
        process = machine.process
        if process is None or process.returncode is not None:
            return
        self.record.add("SIGTERM", machine=machine.name)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["grace-period-s"]):
                await process.wait()
        except TimeoutError:
            self.record.add("SIGKILL", machine=machine.name)
            process.kill()
            await process.wait()
        code = process.returncode
        self.record.add("daemon ended", machine=machine.name, code=code)

    async def restart(
        self, machine: Machine, after_seconds: float = RESTART_SECONDS
    ) -> None:
        """Stop a daemon and start it again, as in a rolling restart."""
        await self.stop(machine)
        await asyncio.sleep(after_seconds)
        await self.start(machine)

    async def end_all(self) -> None:
        """End all daemons that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.kill()
                await machine.process.wait()
