"""The core of an instance: every decision, without I/O, clock or global random numbers.

A bench or a shell drives it by `Core.handle(event, now)` and carries out the actions it returns;
`Core.next_timer()` tells when `events.TimerDue` is due if nothing else happens.

The names below load on first use. Folders such as `placement` serve instances that run none of
the duties behind `Core`; loading those as well would cost each such instance several megabytes.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from rhubarbbend.core._context import CoreOptions, Identity
    from rhubarbbend.core._core import Core

__all__ = ["Core", "CoreOptions", "Identity"]

_HOMES: Final = {
    "Core": "rhubarbbend.core._core",
    "CoreOptions": "rhubarbbend.core._context",
    "Identity": "rhubarbbend.core._context",
}


def __getattr__(name: str) -> Any:
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(home), name)
