"""Checks of decoded settings that a validator of a single field cannot make.

They compare several fields with each other, check the ranges of the core's options, and check
that the named platform client exists.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Final

import attrs

from rhubarbbend.core import CoreOptions
from rhubarbbend.settings._types import Settings
from rhubarbbend.storage import PLATFORMS

# Options of the core that accept 0, which means "none"; all others must be above 0.
OPTIONS_ALLOWING_ZERO: Final = frozenset(
    {"balancer_lag", "stop_limit", "retry_share", "retry_reserve", "max_resumes", "list_grace"}
)
# The key of a setting and what is wrong with its value.
Problem = tuple[str, str]


def find_problems(settings: Settings) -> list[Problem]:
    """Return every problem found as a pair of the setting's key and a description."""
    return [
        *_check_core(settings.core),
        *_check_ports(settings),
        *_check_seeds(settings),
        *_check_platform_kind(settings),
    ]


def _check_core(options: CoreOptions) -> Iterator[Problem]:
    """Check that every number is finite and positive, or at least 0 where 0 means "none".

    An interval of 0 would make the event loop spin, and a negative timeout would fail every call.
    """
    for field in attrs.fields(CoreOptions):
        value = getattr(options, field.name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if field.name in OPTIONS_ALLOWING_ZERO and not 0 <= value < math.inf:
            yield f"core.{field.name}", f"expected a number of at least 0, got {value!r}"
        elif field.name not in OPTIONS_ALLOWING_ZERO and not 0 < value < math.inf:
            yield f"core.{field.name}", f"expected a number above 0, got {value!r}"
    if options.peer_silence <= options.heartbeat_interval:
        yield (
            "core.peer_silence",
            f"expected more than core.heartbeat_interval ({options.heartbeat_interval!r}), "
            f"got {options.peer_silence!r}",
        )


def _check_ports(settings: Settings) -> Iterator[Problem]:
    instance = settings.instance
    names_by_port: dict[int, str] = {}
    for name in ("http_port", "peer_port", "operator_port"):
        port = getattr(instance, name)
        other = names_by_port.setdefault(port, name)
        if other != name and port:
            yield f"instance.{name}", f"expected another port than instance.{other}, got {port}"


def _check_seeds(settings: Settings) -> Iterator[Problem]:
    for index, seed in enumerate(settings.seeds):
        if seed.id == settings.instance.id:
            yield f"seeds[{index}].id", f"expected another instance, got {seed.id!r}"


def _check_platform_kind(settings: Settings) -> Iterator[Problem]:
    known = PLATFORMS.list_names()
    if settings.platform.kind not in known:
        expected = ", ".join(known)
        yield "platform.kind", f"expected one of {expected}, got {settings.platform.kind!r}"
