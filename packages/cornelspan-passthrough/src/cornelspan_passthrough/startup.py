"""Serves packets while the rest of a daemon is still being imported.

After a power loss that hits all VMs, every client waits for the agents. The code that
forwards packets is a third of a daemon's imports; the rest is the event loop, HTTP and
the store's client. Sockets are therefore polled from the start, while a thread imports
the rest. The thread yields every 5 ms (``sys.getswitchinterval``), so a packet is
delayed by that much at most.
"""

import importlib
import select
import threading
import time
from collections.abc import Callable, Sequence
from types import ModuleType

from cornelspan_common.logs import get_log
from cornelspan_passthrough.datagrams import DatagramSocket
from cornelspan_passthrough.urgency import MILLISECONDS

# A balancer's tick interval; agents need a tick less often.
TICK_SECONDS = 0.02

log = get_log(__name__)


def import_while_serving(
    name: str, sockets: Sequence[DatagramSocket], tick: Callable[[float], None]
) -> ModuleType:
    """Import a module on a thread, and serve sockets on this one until it is imported.

    Args:
        name: Full name of the module. Exceptions of its import are raised here.
        sockets: The sockets to read from.
        tick: Called with the monotonic time in seconds, about every 20 ms.
    """
    import_thread = threading.Thread(target=lambda: _import_logged(name), daemon=True)
    import_thread.start()
    poll = select.poll()
    sockets_by_fd = {each.socket.fileno(): each for each in sockets}
    for fd in sockets_by_fd:
        poll.register(fd, select.POLLIN)
    while import_thread.is_alive():
        ready = poll.poll(TICK_SECONDS * MILLISECONDS)
        for fd, _ in ready:
            _run_logged(sockets_by_fd[fd].read)
        _run_logged(lambda: tick(time.monotonic()))
    return importlib.import_module(name)


def _import_logged(name: str) -> None:
    """Import a module, logging exceptions; the caller's import raises them again."""
    try:
        importlib.import_module(name)
    except Exception as error:
        log.error("task failed: import of %s", name, exc_info=error)


def _run_logged(action: Callable[[], None]) -> None:
    """Call a function and log its exceptions, as the event loop does later."""
    try:
        action()
    except Exception as error:
        log.error("task failed: packets during startup", exc_info=error)
