"""Settings of one instance, decoded from a TOML file into typed objects.

An invalid file is rejected as a whole, with all of its errors in one report.
"""

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
