"""The daemons and stand-ins as separate processes, from start to graceful shutdown."""

import asyncio
import http.client
import signal
import subprocess
import sys
import time
import urllib.request
from contextlib import contextmanager
from dataclasses import replace

import pytest

from cornelspan_standins.content import body_of
from cornelspan_standins.deployment import (
    ORDERS,
    ServicePlan,
    accept_first,
    caller_address,
    store_address,
)
from cornelspan_standins.examples import SMALL, write_examples

START_SECONDS = 30.0
STOP_SECONDS = 20.0
STANDINS = (sys.executable, "-m", "cornelspan_standins")
MAIN = "from cornelspan_daemon.main import main; main()"
DAEMON = (sys.executable, "-c", MAIN)
PIECES = {
    "server": (*STANDINS, "server", "order-hub-1-server.json"),
    "fabric": (*STANDINS, "fabric", "fabric.json"),
    "balancer": (*DAEMON, "balancer", "balancer-1.json"),
    "agent": (*DAEMON, "agent", "order-hub-1.json"),
}


@pytest.fixture
def plan(base_port, tmp_path):
    services = (ServicePlan("order-hub", 1, ORDERS),)
    small = replace(SMALL, services=services, balancers=1, base_port=base_port)
    write_examples(tmp_path, small)
    return small


@contextmanager
def processes(directory):
    """Yield the processes by name and a function that starts one; kill all at exit."""
    running = {}

    def start(name, command):
        *words, file = command
        running[name] = subprocess.Popen(
            [*words, "--settings", file],
            cwd=directory,
            stderr=(directory / f"{name}.log").open("wb"),
        )

    try:
        yield running, start
    finally:
        for process in running.values():
            process.kill()
            process.wait()


def answer(url, *, running):
    """Return the first good answer; fail if a process ends or none comes in time."""
    ends = time.monotonic() + START_SECONDS
    while time.monotonic() < ends:
        codes = {name: each.poll() for name, each in running.items()}
        assert codes == dict.fromkeys(codes, None)
        try:
            with urllib.request.urlopen(url, timeout=5) as response:
                return response.read()
        except (OSError, http.client.HTTPException) as error:
            last = error
            time.sleep(0.1)
    raise AssertionError(f"{url}: {last}")


# The store starts first and takes the configuration. Server, fabric, balancer and agent
# then start together and must find each other by their settings, so that a caller gets
# an answer. SIGTERM stops them one by one, the agent first, so that its flow can finish
# through the fabric. A drain that takes until its limit of 30 s, or an exit code other
# than 0, is a failure.
def test_separate_processes_answer_and_stop_in_order(plan, tmp_path):
    with processes(tmp_path) as (running, start):
        start("store", (*STANDINS, "store", "store.json"))
        answer(f"http://{store_address(plan)}/list", running=running)
        asyncio.run(accept_first(plan))
        for name, command in PIECES.items():
            start(name, command)
        url = f"http://{caller_address(plan, 'order-hub')}/bytes/200?seed=1"
        assert answer(url, running=running) == body_of("1", 200)
        codes = {}
        for name in ("agent", "balancer", "fabric", "server", "store"):
            running[name].send_signal(signal.SIGTERM)
            codes[name] = running[name].wait(STOP_SECONDS)
    assert codes == dict.fromkeys(codes, 0)


@pytest.mark.parametrize("kind", ["store", "fabric", "server"])
def test_standin_refuses_settings_of_another_kind(plan, tmp_path, kind):
    command = [*STANDINS, kind, "--settings", "cornelspan.json"]
    ended = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True)
    assert ended.returncode == 2
    assert "cornelspan.json" in ended.stderr
