"""The core of an instance: all decision logic, free of I/O, clock reads and global random state.

The caller (the shell in production, a test otherwise) passes events to `Core.handle(event, now)`
and carries out the actions that it returns. `Core.next_timer()` returns the time at which the
caller must send `events.TimerDue`, after the events that have arrived by then.

The names exported here are imported on first use. Some instances use only packages such as
`placement` and never create a `Core`; importing the components of `Core` eagerly would cost each
of these instances several megabytes of memory.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from rhubarbbend.core._context import CoreOptions, Identity
    from rhubarbbend.core._core import Core

__all__ = ["Core", "CoreOptions", "Identity"]

_MODULE_BY_NAME: Final = {
    "Core": "rhubarbbend.core._core",
    "CoreOptions": "rhubarbbend.core._context",
    "Identity": "rhubarbbend.core._context",
}


def __getattr__(name: str) -> Any:
    module_name = _MODULE_BY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module_name), name)
