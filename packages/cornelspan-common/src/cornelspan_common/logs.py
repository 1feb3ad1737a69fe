"""Structured logs: one JSON object per line, on standard error.

Events are logged with a short name as the message and fields in ``extra``:

    log = get_log("cornelspan.agent")
    log.info("flow rejected", extra={"flow": 17, "reason": "foreign"})
"""

import logging
import sys
from typing import Any

import msgspec

from cornelspan_common.settings import LogSettings

# Attributes that every record has; all others are fields given by the caller.
OWN_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonLines(logging.Formatter):
    """Formats a record as one JSON object: time, level, logger, message, then fields.

    The library for this takes 8 ms of processor time at each start of a process, and
    1 MB of memory for decimal numbers, dates and UUIDs, none of which are needed here.
    After a power failure, callers wait for the processes to start.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self.process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line: dict[str, Any] = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            "process": self.process,
        }
        for name, value in vars(record).items():
            if name not in OWN_FIELDS:
                line[name] = value
        if record.exc_info:
            line["exc_info"] = self.formatException(record.exc_info)
        return _encoded(line)


def _encoded(line: dict[str, Any]) -> str:
    """Return a line as JSON; values that JSON can't represent are written as text.

    Logging must not raise, because that would abort the caller's operation.
    """
    try:
        return msgspec.json.encode(line, enc_hook=str).decode()
    except (UnicodeEncodeError, OverflowError, TypeError, ValueError):
        plain = {name: ascii(value) for name, value in line.items()}
        return msgspec.json.encode(plain).decode()


def get_log(name: str) -> logging.Logger:
    """Return the logger of a module."""
    return logging.getLogger(name)


def start_logging(
    settings: LogSettings, *, process: str, handler: logging.Handler | None = None
) -> None:
    """Send all records to a handler as JSON lines.

    Args:
        settings: The minimum level.
        process: Name of the process, a field of each line.
        handler: Handler of the records; None writes them to standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLines(process))
    logging.getLogger().handlers = [handler]
    set_level(settings)


def set_level(settings: LogSettings) -> None:
    """Set the minimum level from the settings."""
    logging.getLogger().setLevel(settings.level)
