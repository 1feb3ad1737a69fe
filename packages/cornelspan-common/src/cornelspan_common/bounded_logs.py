"""A log handler with a rate limit that never blocks.

A daemon logs a line for each decision on a flow, which can be thousands a second under
load. A write to a full pipe, whose reader hangs, would block the daemon. Either delays
packets. So lines over a rate limit, and lines for which the pipe has no room, are
dropped and counted, and the next line that is written has the count.
"""

import logging
import os
import stat
import time

from cornelspan_common.tokens import TokenBucket

# Ten flows a second at a daemon make about 30 lines. The burst has room for all lines
# of a few hundred flows at once. At 30 us a line the rate costs under 1 % of a core.
LINES_PER_SECOND = 200.0
BURST_LINES = 2000.0
# Lines about invalid records from other processes. Ten show what is wrong with them;
# after that a line every two seconds is enough, as a metric counts the records.
INVALID_RECORD_LINES_PER_SECOND = 0.5
BURST_INVALID_RECORD_LINES = 10.0


def invalid_record_bucket() -> TokenBucket:
    """Return a rate limit for log lines about invalid records of other processes.

    Warnings are exempt from the handler's own limit, so without this one a process that
    sends invalid records could flood the log.
    """
    return TokenBucket(INVALID_RECORD_LINES_PER_SECOND, BURST_INVALID_RECORD_LINES)


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines below warning level are dropped over the rate limit, any line while the pipe
    is full. ``dropped`` counts them since the last line that was written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.budget = TokenBucket(LINES_PER_SECOND, BURST_LINES)
        self.dropped = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop and count it.

        A line after dropped ones has their number in the field ``dropped_lines``.
        """
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
            # The pipe is full or its reader is gone; there is no other place to log.
            self.dropped += 1
            return
        self.dropped = 0
