"""The catalog: which request goes to which service, who may send it, and within which limits."""

from rhubarbbend.core.catalog._catalog import Catalog
from rhubarbbend.core.catalog._types import (
    ClientAccount,
    Engine,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    TrafficLimits,
)

__all__ = [
    "Catalog",
    "ClientAccount",
    "Engine",
    "RequestKind",
    "Route",
    "Service",
    "ServiceShare",
    "TrafficLimits",
]
