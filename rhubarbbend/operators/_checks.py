"""Checks of a change set that need the plug-ins, which the core does not know."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from rhubarbbend.core.configuration import Service, decode_declaration
from rhubarbbend.targets import TARGET_KINDS


def find_unknown_target_kinds(items: Sequence[tuple[str, str, bytes]]) -> list[str]:
    """List services whose kind no plug-in has registered; unreadable ones are left to the core."""
    known = TARGET_KINDS.list_names()
    found: list[str] = []
    for kind, name, value in items:
        if kind != "service" or not value:
            continue
        try:
            service = decode_declaration(kind, value)
        except msgspec.MsgspecError:
            continue
        if isinstance(service, Service) and service.kind not in known:
            expected = ", ".join(known)
            found.append(
                f"service {name!r}: kind: expected one of {expected}, got {service.kind!r}"
            )
    return found
