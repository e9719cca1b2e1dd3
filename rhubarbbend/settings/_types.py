"""The typed settings. Each field is one key of the TOML file, optional if it has a default.

Each class is one table of the file. Field validators check single values; `_checks` checks what
concerns several fields.
"""

from __future__ import annotations

import ipaddress
import math
import os
from pathlib import Path
from typing import Any, Final

import attrs

from rhubarbbend.core import CoreOptions
from rhubarbbend.resident_size import read_machine_size

MIN_SECRET_BYTES: Final = 16


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of "host:port".

    Raises ValueError if the host is empty or the port is not a number from 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


def _check_address(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    parse_address(value)


def _check_port(instance: object, attribute: attrs.Attribute[int], value: int) -> None:
    if not 0 <= value < 65_536:
        raise ValueError(f"expected a port from 0 to 65535, got {value!r}")


def _check_name(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    if not value or "/" in value or "|" in value:
        raise ValueError(f"expected a name without '/' and '|', got {value!r}")


def _check_positive(instance: object, attribute: attrs.Attribute[Any], value: float) -> None:
    # A negated comparison, because every comparison with nan is false and TOML allows nan.
    if not 0 < value < math.inf:
        raise ValueError(f"expected a number above 0, got {value!r}")


def _check_ip_address(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise ValueError(f"expected an IP number, got {value!r}") from error


@attrs.define(slots=True, frozen=True)
class InstanceSettings:
    """The identity of the instance and the addresses on which it listens."""

    # The instance's id in the platform's member list; unique in the fleet.
    id: str = attrs.field(validator=_check_name)
    # The availability zone in which it runs.
    zone: str = attrs.field(validator=_check_name)
    # The IP address on which it listens and at which its peers connect to it.
    host: str = attrs.field(validator=_check_ip_address)
    # Port for callers' requests and the load balancer's health checks.
    http_port: int = attrs.field(validator=_check_port)
    # Port for connections from other instances.
    peer_port: int = attrs.field(validator=_check_port)
    # Port for operators' remote procedure calls.
    operator_port: int = attrs.field(validator=_check_port)


@attrs.define(slots=True, frozen=True)
class PlatformSettings:
    """How to connect to the platform's services."""

    # "host:port" of the platform.
    address: str = attrs.field(validator=_check_address)
    # Name of the platform client plug-in.
    kind: str = "http"
    # Timeout of a call in seconds.
    timeout: float = attrs.field(default=0.5, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class SecretSettings:
    """Where to read the fleet's secret, which signs tickets and reserved keys.

    Exactly one of the two fields must be set.
    """

    # Path of a file that holds the secret.
    file: str = ""
    # Name of an environment variable that holds the secret.
    env: str = ""


@attrs.define(slots=True, frozen=True)
class OperatorSettings:
    """Where to read the operators' secret, from which their key is derived.

    At most one field may be set; without one, the fleet's secret is used. With a separate secret,
    operators do not need to hold the fleet's secret, which also signs tickets and reserved keys and
    admits instances to the fleet.
    """

    # Path of a file that holds the secret.
    file: str = ""
    # Name of an environment variable that holds the secret.
    env: str = ""


@attrs.define(slots=True, frozen=True)
class SeedSettings:
    """An instance to contact at startup if the platform is unreachable."""

    id: str = attrs.field(validator=_check_name)
    zone: str = attrs.field(validator=_check_name)
    # Its peer port, as "host:port".
    address: str = attrs.field(validator=_check_address)


@attrs.define(slots=True, frozen=True)
class StatsdSettings:
    """Where to send counters by the StatsD protocol; an empty host disables sending."""

    host: str = ""
    port: int = attrs.field(default=8125, validator=_check_port)
    prefix: str = "rhubarbbend"
    # Seconds between two sends; increments are aggregated in between.
    interval: float = attrs.field(default=1.0, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class LogSettings:
    """Where to write log lines: the path of a file, or "-" for standard error."""

    file: str = "-"


@attrs.define(slots=True, frozen=True)
class LimitSettings:
    """Limits on callers' requests and connections; sizes in bytes, times in seconds."""

    max_header_bytes: int = attrs.field(default=32_768, validator=_check_positive)
    max_body_bytes: int = attrs.field(default=4 * 1024 * 1024, validator=_check_positive)
    head_timeout: float = attrs.field(default=10.0, validator=_check_positive)
    body_timeout: float = attrs.field(default=30.0, validator=_check_positive)
    max_connections: int = attrs.field(default=4_096, validator=_check_positive)
    # What the process may take, by default the memory of the machine.
    memory: int = attrs.field(factory=read_machine_size, validator=_check_positive)
    # Deadline of a request that does not set one.
    default_deadline: float = attrs.field(default=60.0, validator=_check_positive)
    max_deadline: float = attrs.field(default=600.0, validator=_check_positive)
    # Idle time after which a connection to a target is closed.
    target_idle: float = attrs.field(default=5.0, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class RecordSettings:
    """Recording of events for replay; an empty path disables it."""

    file: str = ""
    max_bytes: int = attrs.field(default=64 * 1024 * 1024, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class Settings:
    """The top level of the settings file: one field for each table."""

    instance: InstanceSettings
    platform: PlatformSettings
    secret: SecretSettings
    operators: OperatorSettings = attrs.Factory(OperatorSettings)
    seeds: list[SeedSettings] = attrs.Factory(list)
    statsd: StatsdSettings = attrs.Factory(StatsdSettings)
    log: LogSettings = attrs.Factory(LogSettings)
    limits: LimitSettings = attrs.Factory(LimitSettings)
    record: RecordSettings = attrs.Factory(RecordSettings)
    # Intervals, timeouts and limits of the core, which makes the routing decisions.
    core: CoreOptions = attrs.Factory(CoreOptions)


def read_secret(settings: SecretSettings | OperatorSettings, section: str = "secret") -> bytes:
    """Read a secret from the configured file or environment variable.

    Raises ValueError if it cannot be read or is too short. The message names the setting in
    `section` and never contains the secret.
    """
    if bool(settings.file) == bool(settings.env):
        raise ValueError(f"expected exactly one of {section}.file and {section}.env")
    if settings.env:
        value = os.environ.get(settings.env, "").encode()
        source = f"environment variable {settings.env}"
    else:
        try:
            value = Path(settings.file).read_bytes().strip()
        except OSError as error:
            raise ValueError(f"cannot read {settings.file}: {error.strerror}") from error
        source = f"file {settings.file}"
    if len(value) < MIN_SECRET_BYTES:
        raise ValueError(f"expected at least {MIN_SECRET_BYTES} bytes in {source}")
    return value


def read_operator_secret(settings: OperatorSettings, fleet_secret: bytes) -> bytes:
    """Return the operators' secret, or the fleet's secret if none is configured.

    Raises ValueError if the configured secret cannot be read or is too short.
    """
    if not settings.file and not settings.env:
        return fleet_secret
    return read_secret(settings, "operators")
