"""The catalog: the services that requests are routed to, who may send them, and their limits."""

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
