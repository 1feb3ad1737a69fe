"""Daemons in threads of their own, so that a scenario can pause one as a whole.

    async with hosted(lambda: agent(settings, ...)) as host:
        host.pause()     # its timers, reads and writes stop; its sockets stay open
        host.resume()

A pause in the shared event loop would stop all the other daemons too, and cancelling
tasks would tell the daemon what a paused machine never learns.
"""

import asyncio
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Generic, TypeVar

START_SECONDS = 10.0
State = TypeVar("State")


class Host(Generic[State]):
    """A thread that runs one daemon's context in an event loop of its own."""

    def __init__(self, make: Callable[[], AbstractAsyncContextManager[State]]) -> None:
        self.make = make
        self.started = threading.Event()
        self.going = threading.Event()
        self.going.set()
        self.error: BaseException | None = None
        self.state: State | None = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    def pause(self) -> None:
        """Freeze the daemon; a second call changes nothing."""
        if self.going.is_set():
            self.going.clear()
            self.loop.call_soon_threadsafe(self.going.wait)

    def resume(self) -> None:
        """Let the daemon go on where it was."""
        self.going.set()

    def call(self, function: Callable[[], object]) -> None:
        """Run a function in the daemon's own loop."""
        self.loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        """End the daemon and wait for its thread."""
        self.resume()
        if self.thread.is_alive() and self.error is None:
            self.loop.call_soon_threadsafe(self.stopping.set)
        self.thread.join()

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except BaseException as error:
            self.error = error
        finally:
            self.started.set()

    async def _serve(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        async with self.make() as state:
            self.state = state
            self.started.set()
            await self.stopping.wait()


@asynccontextmanager
async def hosted(
    make: Callable[[], AbstractAsyncContextManager[State]],
) -> AsyncIterator[Host[State]]:
    """Run a daemon's context in a thread as long as this context lasts."""
    host = Host(make)
    host.thread.start()
    await asyncio.to_thread(host.started.wait, START_SECONDS)
    if host.error is not None:
        raise host.error
    try:
        yield host
    finally:
        await asyncio.to_thread(host.stop)
