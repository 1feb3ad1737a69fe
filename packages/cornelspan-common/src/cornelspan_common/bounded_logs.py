"""A log handler that neither floods nor waits.

A daemon writes a line for each decision on a flow. In a crowd these would be thousands
a second, and a reader of its standard output that stands still would stop it: a write
to a full pipe waits. Both show as packets that are late. So lines beyond a rate, and
lines that the pipe has no room for, are dropped and counted, and the count is told with
the next line that gets through.
"""

import logging
import os
import stat
import time

from cornelspan_common.tokens import TokenBucket

# Ten flows a second at a daemon make some 30 lines. A crowd of a few hundred flows is
# kept whole by the burst; at 30 us a line the rate costs under 1 % of a core.
LINES_PER_SECOND = 200.0
BURST_LINES = 2000.0
# Lines on records of others that can't be used. Ten show what they are; a writer that
# goes on sending them fills the log by a line each two seconds, and a metric counts.
INVALID_RECORD_LINES_PER_SECOND = 0.5
BURST_INVALID_RECORD_LINES = 10.0


def invalid_record_bucket() -> TokenBucket:
    """Return what bounds the lines on records of others that can't be used.

    Warnings pass the handler's own bound, so whoever sends broken records could flood
    the log by them.
    """
    return TokenBucket(INVALID_RECORD_LINES_PER_SECOND, BURST_INVALID_RECORD_LINES)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting.

    ``dropped`` counts lines since the last one that was written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.budget = TokenBucket(LINES_PER_SECOND, BURST_LINES)
        self.dropped = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop and count it."""
        is_warning = record.levelno >= logging.WARNING
        if not self.budget.take(1, time.monotonic()) and not is_warning:
            self.dropped += 1
            return
        if self.dropped:
            record.dropped_lines = self.dropped
        line = self.format(record) + "\n"
        try:
            os.write(self.descriptor, line.encode())
        except OSError:
            # The reader stands still or has gone; there is nowhere to tell it.
            self.dropped += 1
            return
        self.dropped = 0
