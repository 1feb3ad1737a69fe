"""Mutual TLS between the system's own processes, and to the store.

Both ends present a certificate of the same authority. Processes connect to IP numbers,
so a certificate must have its process's IP number as a subject alternative name.

    match open_tls(settings.tls):
        case Ok(tls): ...
        case Err(error): ...
"""

import asyncio
import ssl
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from cornelspan_common.errors import SettingsError
from cornelspan_common.logs import get_log
from cornelspan_common.settings import TlsSettings

RELOAD_SECONDS = 5.0

log = get_log(__name__)


@dataclass(frozen=True, slots=True)
class Tls:
    """The TLS contexts of one process; both are None while TLS is disabled."""

    settings: TlsSettings
    client: ssl.SSLContext | None = None
    server: ssl.SSLContext | None = None


PLAIN = Tls(TlsSettings(enabled=False))


def open_tls(settings: TlsSettings) -> Result[Tls, SettingsError]:
    """Create the TLS contexts for the settings.

    Returns:
        The contexts, or an error that names the file that is missing or invalid.
    """
    if not settings.enabled:
        return Ok(PLAIN)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.verify_mode = ssl.CERT_REQUIRED
    tls = Tls(settings, client, server)
    match _load(tls):
        case Err(error):
            return Err(error)
        case _:
            return Ok(tls)


async def reload_tls(tls: Tls, *, seconds: float = RELOAD_SECONDS) -> None:
    """Reload certificate, key and authority whenever their files change.

    Open streams are not affected; new ones use the files that were loaded last. Invalid
    files, for example during a replacement, leave the contexts unchanged and are tried
    again. An authority that is removed stays trusted until the process restarts.

    Args:
        tls: The contexts to reload the files into.
        seconds: Interval of the checks for changes.
    """
    if not tls.settings.enabled:
        return
    loaded = _changed_at(tls.settings)
    while True:
        await asyncio.sleep(seconds)
        now = _changed_at(tls.settings)
        if now == loaded:
            continue
        match _load(tls):
            case Err(error):
                log.error("invalid TLS files", extra={"why": str(error)})
            case _:
                loaded = now
                log.info("TLS files reloaded")


def reason_of(error: Exception) -> str:
    """Return why a connection failed, as a message for operators.

    >>> reason_of(OSError("no route"))
    'no route'
    """
    cause = getattr(error, "real_error", None) or error
    if isinstance(cause, ssl.SSLCertVerificationError):
        return f"certificate refused: {cause.verify_message}"
    return str(cause) or type(cause).__name__


def _load(tls: Tls) -> Result[None, SettingsError]:
    settings = tls.settings
    files = {
        "authority": settings.authority,
        "certificate": settings.certificate,
        "key": settings.key,
    }
    for field, file in files.items():
        if not Path(file).is_file():
            return Err(SettingsError(file, f"$.tls.{field}", "no such file"))
    try:
        # Certificate and key are first loaded into a temporary context. A pair that
        # doesn't match would leave the contexts in use partly updated.
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_cert_chain(
            settings.certificate, settings.key
        )
        for context in (tls.client, tls.server):
            context.load_verify_locations(settings.authority)
            context.load_cert_chain(settings.certificate, settings.key)
    except (ssl.SSLError, OSError) as error:
        return Err(SettingsError(settings.certificate, "$.tls", str(error)))
    return Ok(None)


def _changed_at(settings: TlsSettings) -> tuple[float, ...]:
    files = (settings.authority, settings.certificate, settings.key)
    return tuple(_modified(Path(file)) for file in files)


def _modified(file: Path) -> float:
    try:
        return file.stat().st_mtime
    except OSError:
        return 0.0
