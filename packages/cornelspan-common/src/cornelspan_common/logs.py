"""Structured logs: one JSON object a line, on standard error.

Events are logged by a short name with fields beside it:

    log = get_log("cornelspan.agent")
    log.info("flow refused", extra={"flow": 17, "reason": "foreign"})
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from cornelspan_common.settings import LogSettings

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


def get_log(name: str) -> logging.Logger:
    """Return the logger of a module or of one daemon's part."""
    return logging.getLogger(name)


def start_logging(
    settings: LogSettings, *, process: str, handler: logging.Handler | None = None
) -> None:
    """Send all records to a handler as JSON lines.

    Args:
        settings: The level to log from.
        process: Name of the process, a field of each line.
        handler: What takes the records; None writes them to standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(FIELDS, rename_fields=RENAMED, static_fields={"process": process})
    )
    logging.getLogger().handlers = [handler]
    set_level(settings)


def set_level(settings: LogSettings) -> None:
    """Log from the settings' level on."""
    logging.getLogger().setLevel(settings.level)
