"""Serves packets while the rest of a daemon is still being imported.

After a common loss of power every client waits for the agents. What carries packets is
a third of what a daemon imports; the event loop, HTTP and the store's client are the
rest. So packets are served by a plain poll of their sockets from the start, and the
rest comes on a thread. The thread gives way every 5 ms (``sys.getswitchinterval``), so
a packet waits that long at most.
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

# As often as a balancer looks at what waits; an agent needs it less often.
TICK_SECONDS = 0.02

log = get_log(__name__)


def import_while_serving(
    name: str, sockets: Sequence[DatagramSocket], tick: Callable[[float], None]
) -> ModuleType:
    """Import a module on a thread, and serve sockets here until it is there.

    Args:
        name: Full name of the module. What its import raises is raised here.
        sockets: The sockets to read from.
        tick: Called with the time, in seconds of the steady clock, about every 20 ms.
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
    """Import a module; the caller's own import raises a failure again."""
    try:
        importlib.import_module(name)
    except Exception as error:
        log.error("task failed: import of %s", name, exc_info=error)


def _run_logged(action: Callable[[], None]) -> None:
    """Do a step; log what it raises, as the event loop does later."""
    try:
        action()
    except Exception as error:
        log.error("task failed: early packets", exc_info=error)
