"""Routing policies: plug-ins that order the targets of a service for one request."""

from rhubarbbend.core.routing import _affinity, _baselines  # noqa: F401  (importing registers them)
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
