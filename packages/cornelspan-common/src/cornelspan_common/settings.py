"""Settings of the daemons and the client: JSON, decoded and validated by msgspec.

Settings are frozen structures. An unknown key, a wrong type or a value out of range is
an error with the path of the field:

    >>> decode_settings(b'{"name": 3}', BalancerSettings).unwrap_err().path
    '$.name'
"""

import ipaddress
import re
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from cornelspan_common.errors import SettingsError

Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Duration = Annotated[float, Meta(ge=0, le=86400)]
Share = Annotated[float, Meta(ge=0, le=1)]
SettingsType = TypeVar("SettingsType", bound="Checked")

PATH_IN_MESSAGE = re.compile(r"^(?P<reason>.*) - at `(?P<path>\$[^`]*)`$", re.DOTALL)


class Checked(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of settings: frozen, and unknown keys are errors."""


class Address(Checked, frozen=True, kw_only=True):
    """An IP number and a port."""

    host: str
    port: Port

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.host)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class LogSettings(Checked, frozen=True, kw_only=True):
    """The minimum level of the log, which is JSON lines on standard error."""

    level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class StreamSettings(Checked, frozen=True, kw_only=True):
    """Limits of a stream between two processes.

    ``frame_bytes`` is the maximum size of a received frame. ``outgoing_bytes`` limits
    the data that waits for a slow peer; packets beyond it are dropped and counted, and
    the ends of their flows retransmit them. ``connect_seconds`` is the timeout for a
    connection and for the first message on it. ``reconnect_seconds`` is the first wait
    before a stream that has ended is opened again.
    """

    frame_bytes: Annotated[int, Meta(ge=65536, le=16777216)] = 4194304
    outgoing_bytes: Annotated[int, Meta(ge=65536, le=67108864)] = 4194304
    connect_seconds: Seconds = 2.0
    reconnect_seconds: Seconds = 0.2


class TlsSettings(Checked, frozen=True, kw_only=True):
    """Mutual TLS between the system's own processes and to the store.

    ``enabled`` has no default, so that running without TLS is an explicit choice.
    ``certificate``, ``key`` and ``authority`` are paths of PEM files.
    """

    enabled: bool
    certificate: str = ""
    key: str = ""
    authority: str = ""


class StoreSettings(Checked, frozen=True, kw_only=True):
    """Address of the platform's object store, and limits of the calls to it.

    ``call_seconds`` is the timeout of a call, ``calls_per_second`` the rate limit of
    one process.
    """

    address: Address
    call_seconds: Seconds = 2.0
    calls_per_second: Annotated[float, Meta(gt=0, le=1000)] = 5.0


class ControlSettings(Checked, frozen=True, kw_only=True):
    """Intervals and timeouts of configuration and membership.

    A member sends its relays a heartbeat every ``heartbeat_seconds``; a relay sends one
    back every ``relay_heartbeats`` of these intervals. A member is suspected to be dead
    after ``silent_heartbeats`` intervals without a message, or ``lost_seconds`` after
    its stream has ended. ``watch_seconds`` limits how long a missed event of the store
    goes unnoticed. While it has no relay, a daemon reads the store itself every
    ``fallback_seconds``. Every ``publish_seconds`` a relay writes a changed list of
    members to the store.
    """

    heartbeat_seconds: Seconds = 5.0
    relay_heartbeats: Annotated[int, Meta(ge=1, le=100)] = 3
    silent_heartbeats: Annotated[int, Meta(ge=2, le=100)] = 3
    lost_seconds: Seconds = 1.0
    watch_seconds: Seconds = 2.5
    fallback_seconds: Seconds = 15.0
    publish_seconds: Seconds = 1.0

    @property
    def silent_seconds(self) -> float:
        """Time without a message after which a member is suspected to be dead."""
        return self.heartbeat_seconds * self.silent_heartbeats

    @property
    def relay_silent_seconds(self) -> float:
        """Time without a message after which another balancer replaces a relay."""
        return self.heartbeat_seconds * self.relay_heartbeats * 2


class DaemonSettings(Checked, frozen=True, kw_only=True):
    """Settings that balancer and agent have in common."""

    name: Name
    datacentre: Name
    listen: Address
    store: StoreSettings
    fabrics: tuple[Address, ...]
    seeds: tuple[Address, ...] = ()
    metrics: Address | None = None
    log: LogSettings = LogSettings()
    streams: StreamSettings = StreamSettings()
    control: ControlSettings = ControlSettings()
    tls: TlsSettings = TlsSettings(enabled=False)


class BalancerSettings(DaemonSettings, frozen=True, kw_only=True):
    """Settings of ``cornelspand balancer``."""

    learned_flows: Annotated[int, Meta(ge=0, le=10_000_000)] = 200_000


class AgentSettings(DaemonSettings, frozen=True, kw_only=True):
    """Settings of ``cornelspand agent``, which runs beside the endpoint it serves."""

    service: Name
    endpoint: Address
    slots: Annotated[int, Meta(ge=1, le=1024)] = 2
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 2000
    weight: Annotated[float, Meta(gt=0, le=100)] = 1.0


class ClientSettings(Checked, frozen=True, kw_only=True):
    """Settings of ``cornelspan``, the operators' client.

    The store lists all balancers. ``balancers`` are asked for their status while the
    store is unavailable; one in each data centre is enough.
    """

    store: StoreSettings
    balancers: tuple[Address, ...] = ()
    streams: StreamSettings = StreamSettings()
    tls: TlsSettings = TlsSettings(enabled=False)


def load_settings(
    file: str, kind: type[SettingsType]
) -> Result[SettingsType, SettingsError]:
    """Read and validate a settings file.

    Args:
        file: Path of a JSON file.
        kind: ``BalancerSettings``, ``AgentSettings`` or ``ClientSettings``.

    Returns:
        The settings, or an error that names the file, the field and the reason.
    """
    try:
        text = Path(file).read_bytes()
    except OSError as error:
        return Err(SettingsError(file, "$", error.strerror or str(error)))
    return decode_settings(text, kind, file=file)


def decode_settings(
    text: bytes, kind: type[SettingsType], *, file: str = "settings"
) -> Result[SettingsType, SettingsError]:
    """Decode and validate settings from JSON text.

    Args:
        text: The JSON document.
        kind: The settings class to decode to.
        file: File name for error messages.

    Returns:
        The settings, or an error that names the file, the field and the reason.
    """
    try:
        return Ok(msgspec.json.decode(text, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_settings_error(file, str(error)))


def _settings_error(file: str, message: str) -> SettingsError:
    """Split msgspec's message into the field's path and the reason."""
    match = PATH_IN_MESSAGE.match(message)
    if match is None:
        return SettingsError(file, "$", message)
    return SettingsError(file, match["path"], match["reason"])
