"""Settings of one instance: a TOML file decoded into typed objects, with every error at once."""

from rhubarbbend.settings._decode import SettingError, SettingsInvalid, decode_toml, load_settings
from rhubarbbend.settings._types import (
    InstanceSettings,
    LimitSettings,
    LogSettings,
    OperatorSettings,
    PlatformSettings,
    RecordSettings,
    SecretSettings,
    SeedSettings,
    Settings,
    StatsdSettings,
    parse_address,
    read_operator_secret,
    read_secret,
)

__all__ = [
    "InstanceSettings",
    "LimitSettings",
    "LogSettings",
    "OperatorSettings",
    "PlatformSettings",
    "RecordSettings",
    "SecretSettings",
    "SeedSettings",
    "SettingError",
    "Settings",
    "SettingsInvalid",
    "StatsdSettings",
    "decode_toml",
    "load_settings",
    "parse_address",
    "read_operator_secret",
    "read_secret",
]
