"""Run one daemon as a process until a signal stops it."""

import asyncio
import signal
from collections.abc import Iterator
from contextlib import contextmanager

from cornelspan_agent.daemon import agent
from cornelspan_balancer.daemon import balancer
from cornelspan_common.logs import start_logging
from cornelspan_common.metrics import Metrics, metrics_endpoint
from cornelspan_common.settings import AgentSettings, BalancerSettings
from cornelspan_common.tls import Tls
from cornelspan_control.configuration import Configuration
from cornelspan_control.members import Members

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run_balancer(settings: BalancerSettings, tls: Tls) -> None:
    """Run a balancer until a signal stops it, then shut it down gracefully."""
    start_logging(settings.log, process=settings.name)
    configuration = Configuration()
    with stop_event() as stop, metrics_endpoint(settings.metrics):
        async with balancer(settings, configuration, Members(), tls=tls) as daemon:
            daemon.register(Metrics())
            await stop.wait()
            await daemon.leave()


async def run_agent(settings: AgentSettings, tls: Tls) -> None:
    """Run an agent until a signal stops it, then drain its flows."""
    start_logging(settings.log, process=settings.name)
    configuration = Configuration()
    with stop_event() as stop, metrics_endpoint(settings.metrics):
        async with agent(settings, configuration, Members(), tls=tls) as daemon:
            daemon.register(Metrics())
            await stop.wait()
            await daemon.leave()


@contextmanager
def stop_event() -> Iterator[asyncio.Event]:
    """Yield an event that is set by the signals that request a graceful shutdown."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    try:
        yield stop
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
