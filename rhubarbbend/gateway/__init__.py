"""The gateway: runs an instance of the fleet on a platform to which an adapter connects it.

An instance accepts requests from callers, sends each to a target and returns the target's answer.
The decisions are made in `core.placement`, `core.shares` and `core.delivery`; this package carries
them out. The protocols of callers, targets and the store belong to the adapter, which implements
the interfaces of `_interfaces`.
"""

from rhubarbbend.gateway._instance import Instance, serve
from rhubarbbend.gateway._interfaces import (
    Adapter,
    BadRequest,
    CallerProtocol,
    CallerRequest,
    CatalogPublished,
    ForwardingOptions,
    RegistrationUnreadable,
    RolloutOrdered,
    RolloutWithdrawn,
    RowUnreadable,
    StateChange,
    StateDecoder,
    StatusEncoder,
    TargetProtocol,
    TargetRegistered,
    TargetResponseHead,
    TargetUnregistered,
    ZoneServiceChanged,
)
from rhubarbbend.gateway._settings import Address, GatewaySettings, SettingsInvalid

__all__ = [
    "Adapter",
    "Address",
    "BadRequest",
    "CallerProtocol",
    "CallerRequest",
    "CatalogPublished",
    "ForwardingOptions",
    "GatewaySettings",
    "Instance",
    "RegistrationUnreadable",
    "RolloutOrdered",
    "RolloutWithdrawn",
    "RowUnreadable",
    "SettingsInvalid",
    "StateChange",
    "StateDecoder",
    "StatusEncoder",
    "TargetProtocol",
    "TargetRegistered",
    "TargetResponseHead",
    "TargetUnregistered",
    "ZoneServiceChanged",
    "serve",
]
