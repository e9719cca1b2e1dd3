"""The gateway: an instance on a platform whose configuration, targets and callers come by adapter.

It serves callers and carries out what `core.placement`, `core.shares` and `core.delivery` decide.
What is spoken with callers, targets and the store is behind the interfaces of `_interfaces`.
"""

from rhubarbbend.gateway._instance import Instance, serve
from rhubarbbend.gateway._interfaces import (
    Adapter,
    BadRequest,
    CallerProtocol,
    CallerRequest,
    CatalogRead,
    StateChange,
    StateDecoder,
    TargetAnswer,
    TargetMissing,
    TargetOrder,
    TargetProtocol,
    TargetRead,
    Unreadable,
    ZoneMoved,
)
from rhubarbbend.gateway._settings import Address, GatewaySettings, SettingsInvalid

__all__ = [
    "Adapter",
    "Address",
    "BadRequest",
    "CallerProtocol",
    "CallerRequest",
    "CatalogRead",
    "GatewaySettings",
    "Instance",
    "SettingsInvalid",
    "StateChange",
    "StateDecoder",
    "TargetAnswer",
    "TargetMissing",
    "TargetOrder",
    "TargetProtocol",
    "TargetRead",
    "Unreadable",
    "ZoneMoved",
    "serve",
]
