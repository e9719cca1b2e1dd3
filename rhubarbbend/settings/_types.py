"""The typed settings. Each field is one key of the TOML file; a default makes it optional."""

from __future__ import annotations

import ipaddress
import math
import os
from pathlib import Path
from typing import Any, Final

import attrs

from rhubarbbend.core import CoreOptions

LEAST_SECRET_BYTES: Final = 16


def parse_address(text: str) -> tuple[str, int]:
    """Read "host:port"; raises ValueError if it is not that."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


def _check_address(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    parse_address(value)


def _check_port(instance: object, attribute: attrs.Attribute[int], value: int) -> None:
    if not 0 <= value < 65_536:
        raise ValueError(f"expected a port from 0 to 65535, got {value!r}")


def _check_filled(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    if not value or "/" in value or "|" in value:
        raise ValueError(f"expected a name without '/' and '|', got {value!r}")


def _check_positive(instance: object, attribute: attrs.Attribute[Any], value: float) -> None:
    # Written so that TOML's nan fails too.
    if not 0 < value < math.inf:
        raise ValueError(f"expected a number above 0, got {value!r}")


def _check_host(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise ValueError(f"expected an IP number, got {value!r}") from error


@attrs.define(slots=True, frozen=True)
class InstanceSettings:
    """Who the instance is and where it listens."""

    # The name by which the platform's list knows it; unique in the fleet.
    id: str = attrs.field(validator=_check_filled)
    # The availability zone it runs in.
    zone: str = attrs.field(validator=_check_filled)
    # The IP number that it listens on and that peers reach it by.
    host: str = attrs.field(validator=_check_host)
    # Port for callers and for the balancer's checks.
    http_port: int = attrs.field(validator=_check_port)
    # Port for the other instances.
    peer_port: int = attrs.field(validator=_check_port)
    # Port for operators' remote procedure calls.
    operator_port: int = attrs.field(validator=_check_port)


@attrs.define(slots=True, frozen=True)
class PlatformSettings:
    """How to reach the platform's services."""

    # "host:port" of the platform.
    address: str = attrs.field(validator=_check_address)
    # The platform client plug-in.
    kind: str = "http"
    # Seconds after which a call counts as failed.
    timeout: float = attrs.field(default=0.5, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class SecretSettings:
    """Where the fleet's secret is; it signs tickets and reserved keys. Give one of the two."""

    # A file that holds it.
    file: str = ""
    # An environment variable that holds it.
    env: str = ""


@attrs.define(slots=True, frozen=True)
class OperatorSettings:
    """Where the secret of the operators is, from which their key is derived.

    Give at most one; with none it is the fleet's secret. A secret of their own lets operators do
    their work without a secret that also signs tickets and reserved keys and admits instances.
    """

    # A file that holds it.
    file: str = ""
    # An environment variable that holds it.
    env: str = ""


@attrs.define(slots=True, frozen=True)
class SeedSettings:
    """An instance to ask at a start while the platform is away."""

    id: str = attrs.field(validator=_check_filled)
    zone: str = attrs.field(validator=_check_filled)
    # "host:port" of its peer port.
    address: str = attrs.field(validator=_check_address)


@attrs.define(slots=True, frozen=True)
class StatsdSettings:
    """Where counters go; no host: nowhere."""

    host: str = ""
    port: int = attrs.field(default=8125, validator=_check_port)
    prefix: str = "rhubarbbend"
    # Seconds between sends; counters are summed in between.
    interval: float = attrs.field(default=1.0, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class LogSettings:
    """Where log lines go: a file, or "-" for standard error."""

    file: str = "-"


@attrs.define(slots=True, frozen=True)
class LimitSettings:
    """What callers may cost; sizes in bytes, times in seconds."""

    max_header_bytes: int = attrs.field(default=32_768, validator=_check_positive)
    max_body_bytes: int = attrs.field(default=4 * 1024 * 1024, validator=_check_positive)
    head_timeout: float = attrs.field(default=10.0, validator=_check_positive)
    body_timeout: float = attrs.field(default=30.0, validator=_check_positive)
    max_connections: int = attrs.field(default=4_096, validator=_check_positive)
    # Deadline of a request that names none.
    default_deadline: float = attrs.field(default=60.0, validator=_check_positive)
    max_deadline: float = attrs.field(default=600.0, validator=_check_positive)
    # How long a connection to a target may idle before it is closed.
    target_idle: float = attrs.field(default=5.0, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class RecordSettings:
    """Recording of events for replay; no file: none."""

    file: str = ""
    max_bytes: int = attrs.field(default=64 * 1024 * 1024, validator=_check_positive)


@attrs.define(slots=True, frozen=True)
class Settings:
    """The whole settings file."""

    instance: InstanceSettings
    platform: PlatformSettings
    secret: SecretSettings
    operators: OperatorSettings = attrs.Factory(OperatorSettings)
    seeds: list[SeedSettings] = attrs.Factory(list)
    statsd: StatsdSettings = attrs.Factory(StatsdSettings)
    log: LogSettings = attrs.Factory(LogSettings)
    limits: LimitSettings = attrs.Factory(LimitSettings)
    record: RecordSettings = attrs.Factory(RecordSettings)
    # Intervals and time-outs of the decisions.
    core: CoreOptions = attrs.Factory(CoreOptions)


def read_secret(settings: SecretSettings | OperatorSettings, section: str = "secret") -> bytes:
    """Read a secret; raises ValueError naming the setting, never the secret."""
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
    if len(value) < LEAST_SECRET_BYTES:
        raise ValueError(f"expected at least {LEAST_SECRET_BYTES} bytes in {source}")
    return value


def read_operator_secret(settings: OperatorSettings, fleet_secret: bytes) -> bytes:
    """Read the operators' secret, which is the fleet's if none is set."""
    if not settings.file and not settings.env:
        return fleet_secret
    return read_secret(settings, "operators")
