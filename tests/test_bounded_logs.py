"""The log handler limits the rate of lines and never blocks the daemon."""

import json
import logging
import os

from cornelspan_common.bounded_logs import BoundedHandler
from cornelspan_common.tokens import TokenBucket


def record(level=logging.INFO, text="flow placed"):
    return logging.LogRecord("test", level, "file", 1, text, None, None)


def test_lines_beyond_the_rate_are_dropped_and_counted():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    handler.budget = TokenBucket(rate=0.0, burst=2.0)
    for _ in range(5):
        handler.emit(record())
    assert handler.dropped == 3
    os.close(reader)
    os.close(writer)


def test_tokens_come_at_the_rate():
    bucket = TokenBucket(rate=10.0, burst=2.0)
    assert [bucket.take(1, 0.0) for _ in range(3)] == [True, True, False]
    assert bucket.take(1, 0.1)
    assert not bucket.take(1, 0.1)


def test_more_than_the_burst_is_given_from_a_full_bucket_only():
    bucket = TokenBucket(rate=10.0, burst=2.0)
    assert bucket.take(5, 0.0)
    assert not bucket.take(1, 0.3)
    assert bucket.take(1, 0.5)


def test_a_reader_that_stands_still_does_not_stop_the_daemon():
    """A log reader that hangs does not affect callers.

    The pipe fills up, and a blocking write would stop the daemon's only thread. Lines
    are dropped instead, and the next line that is written has their number.
    """
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    handler.budget = TokenBucket(rate=1e6, burst=1e6)
    handler.setFormatter(logging.Formatter("%(message)s"))
    for _ in range(2000):
        handler.emit(record(text="x" * 100))
    assert handler.dropped > 0
    dropped = handler.dropped
    while len(os.read(reader, 65536)) == 65536:
        pass
    late = record()
    handler.emit(late)
    assert late.dropped_lines == dropped
    assert handler.dropped == 0
    os.close(reader)
    os.close(writer)


def test_alarms_pass_a_spent_budget():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    handler.budget = TokenBucket(rate=0.0, burst=1.0, missing=1.0)
    handler.setFormatter(logging.Formatter(json.dumps({"event": "%(message)s"})))
    handler.emit(record())
    handler.emit(record(logging.WARNING, "store lost"))
    assert os.read(reader, 4096) == b'{"event": "store lost"}\n'
    os.close(reader)
    os.close(writer)
