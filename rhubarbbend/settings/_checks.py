"""Checks of settings that concern more than one field, or a plug-in's name."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Final

import attrs

from rhubarbbend.core import CoreOptions
from rhubarbbend.settings._types import Settings
from rhubarbbend.storage import PLATFORMS

# Options of the core for which 0 means "none".
MAY_BE_ZERO: Final = frozenset(
    {"balancer_lag", "stop_limit", "retry_share", "retry_reserve", "max_resumes", "list_grace"}
)
Problem = tuple[str, str]


def find_problems(settings: Settings) -> list[Problem]:
    """List keys and what is wrong with them."""
    return [
        *_check_core(settings.core),
        *_check_ports(settings),
        *_check_seeds(settings),
        *_check_kind(settings),
    ]


def _check_core(options: CoreOptions) -> Iterator[Problem]:
    """An interval of zero would keep the loop busy; a negative time-out fails every call."""
    for field in attrs.fields(CoreOptions):
        value = getattr(options, field.name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if field.name in MAY_BE_ZERO and not 0 <= value < math.inf:
            yield f"core.{field.name}", f"expected a number of at least 0, got {value!r}"
        elif field.name not in MAY_BE_ZERO and not 0 < value < math.inf:
            yield f"core.{field.name}", f"expected a number above 0, got {value!r}"
    if options.peer_silence <= options.heartbeat_interval:
        yield (
            "core.peer_silence",
            f"expected more than core.heartbeat_interval ({options.heartbeat_interval!r}), "
            f"got {options.peer_silence!r}",
        )


def _check_ports(settings: Settings) -> Iterator[Problem]:
    own = settings.instance
    taken: dict[int, str] = {}
    for name in ("http_port", "peer_port", "operator_port"):
        port = getattr(own, name)
        other = taken.setdefault(port, name)
        if other != name and port:
            yield f"instance.{name}", f"expected another port than instance.{other}, got {port}"


def _check_seeds(settings: Settings) -> Iterator[Problem]:
    for index, seed in enumerate(settings.seeds):
        if seed.id == settings.instance.id:
            yield f"seeds[{index}].id", f"expected another instance, got {seed.id!r}"


def _check_kind(settings: Settings) -> Iterator[Problem]:
    known = PLATFORMS.list_names()
    if settings.platform.kind not in known:
        expected = ", ".join(known)
        yield "platform.kind", f"expected one of {expected}, got {settings.platform.kind!r}"
