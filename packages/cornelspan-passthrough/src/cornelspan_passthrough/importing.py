"""Imports that must not hold up packets."""

import asyncio
import importlib
from types import ModuleType


async def import_aside(name: str) -> ModuleType:
    """Import a module on a thread, while the event loop goes on.

    Tornado's HTTP modules are a third of what a daemon imports. After a common loss of
    power every agent imports them while clients wait; what carries packets needs none
    of them. The thread gives way to the event loop every 5 ms
    (``sys.getswitchinterval``), so a packet waits that long at most.

    Args:
        name: Full name of the module.
    """
    return await asyncio.to_thread(importlib.import_module, name)
