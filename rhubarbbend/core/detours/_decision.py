"""Decides whether a request that finds no target is handed to another instance.

What a target accepts is divided evenly among the instances. One that gets most of the callers uses
up its share while those of the others are free.
"""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbbend.core.placement import Rejection


def needs_detour(rejections: Mapping[Rejection, int], connect_failures: int) -> bool:
    """Return whether half of a service's targets or more cannot be used from here.

    `rejections` counts the targets by the reason for which each was passed over, `connect_failures`
    those that accepted no connection for the request. Where only a few targets are down, the others
    are full for everybody, and asking other instances would only put more load on them.
    """
    unusable = _count_unreachable(rejections, connect_failures)
    unusable += rejections.get(Rejection.CONNECTIONS, 0)
    return unusable > 0 and 2 * unusable >= sum(rejections.values())


def has_lost_links(rejections: Mapping[Rejection, int], connect_failures: int) -> bool:
    """Return whether half of a service's targets or more accept no connection from here."""
    unreachable = _count_unreachable(rejections, connect_failures)
    return unreachable > 0 and 2 * unreachable >= sum(rejections.values())


def _count_unreachable(rejections: Mapping[Rejection, int], connect_failures: int) -> int:
    unreachable = rejections.get(Rejection.UNREACHABLE, 0)
    if connect_failures:
        unreachable += rejections.get(Rejection.TRIED, 0)
    return unreachable
