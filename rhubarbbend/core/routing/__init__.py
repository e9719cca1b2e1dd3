"""Routing policies: plug-ins that put the targets of a service in order for one request."""

from rhubarbbend.core.routing import _affinity, _baselines  # noqa: F401  (they register themselves)
from rhubarbbend.core.routing._base import (
    POLICIES,
    Candidate,
    Choice,
    Reason,
    RoutedRequest,
    RoutingPolicy,
)

__all__ = [
    "POLICIES",
    "Candidate",
    "Choice",
    "Reason",
    "RoutedRequest",
    "RoutingPolicy",
]
