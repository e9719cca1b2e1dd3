"""The core of an instance: every decision, without I/O, clock or global random numbers.

A bench or a shell drives it by `Core.handle(event, now)` and carries out the actions it returns;
`Core.next_timer()` tells when `events.TimerDue` is due if nothing else happens.
"""

from rhubarbbend.core._context import CoreOptions, Identity
from rhubarbbend.core._core import Core

__all__ = ["Core", "CoreOptions", "Identity"]
