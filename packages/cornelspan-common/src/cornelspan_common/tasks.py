"""Task groups whose tasks are cancelled when their context ends."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from cornelspan_common.logs import get_log

CANCEL_AGAIN_SECONDS = 0.5

log = get_log(__name__)


class Tasks:
    """The running tasks of one group; an exception that ends a task is logged."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task] = set()

    def start(self, work: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task:
        """Run a coroutine as a task until it ends or the group is closed."""
        task = asyncio.create_task(work, name=name)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed: %s", task.get_name(), exc_info=task.exception())


@asynccontextmanager
async def task_group() -> AsyncIterator[Tasks]:
    """Yield a group whose tasks are cancelled and awaited when the context ends."""
    tasks = Tasks()
    try:
        yield tasks
    finally:
        # A library may swallow a cancellation that coincides with its own timeout, as
        # wait_for of Python 3.11 does. Such a task is cancelled again; otherwise this
        # would wait for it for ever.
        while running := set(tasks.running):
            for task in running:
                task.cancel()
            await asyncio.wait(running, timeout=CANCEL_AGAIN_SECONDS)
