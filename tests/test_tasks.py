"""Task groups end with their context, whatever their tasks do."""

import asyncio

from cornelspan_common.tasks import task_group


async def test_task_that_swallows_a_cancellation_still_ends():
    # A task is cancelled at the moment in which one of its calls ends, and the library
    # swallows the cancellation. The group cancels again, so it does not wait for ever.
    swallowed = []

    async def stubborn():
        while True:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                if swallowed:
                    raise
                swallowed.append(True)

    async with task_group() as tasks:
        task = tasks.start(stubborn(), name="stubborn")
        await asyncio.sleep(0)
    assert swallowed
    assert task.cancelled()


async def test_failed_task_is_logged(caplog):
    async def fail():
        raise ValueError("broken")

    async with task_group() as tasks:
        tasks.start(fail(), name="failing part")
        await asyncio.sleep(0.01)
    assert "failing part" in caplog.text
