"""Checks of a change set that need the target plug-ins, which the core does not know."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from rhubarbbend.core.configuration import Service, decode_declaration
from rhubarbbend.targets import TARGET_KINDS


def find_unknown_target_kinds(items: Sequence[tuple[str, str, bytes]]) -> list[str]:
    """Return a problem for each service whose target kind no plug-in has registered.

    Each item is the kind, name and value of a declaration. Declarations that cannot be decoded are
    skipped; the core reports them.
    """
    known = TARGET_KINDS.list_names()
    problems: list[str] = []
    for kind, name, value in items:
        if kind != "service" or not value:
            continue
        try:
            service = decode_declaration(kind, value)
        except msgspec.MsgspecError:
            continue
        if isinstance(service, Service) and service.kind not in known:
            expected = ", ".join(known)
            problems.append(
                f"service {name!r}: kind: expected one of {expected}, got {service.kind!r}"
            )
    return problems
