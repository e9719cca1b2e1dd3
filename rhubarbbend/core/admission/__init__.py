"""Admission control: which requests are sent, wait or are refused while demand exceeds capacity.

Each instance decides by itself, from its own requests, the in-flight counts of the other instances
and the slots of targets. All modules are without I/O; the present time is an argument.
"""

from rhubarbbend.core.admission._controller import (
    AdmissionRequest,
    Decision,
    Outcome,
    RefusalReason,
    ServiceAdmission,
    Waiter,
)
from rhubarbbend.core.admission._room import (
    RoomView,
    SlotCounter,
    UsableTargets,
    compute_view,
    count_known_slots,
)

__all__ = [
    "AdmissionRequest",
    "Decision",
    "Outcome",
    "RefusalReason",
    "RoomView",
    "ServiceAdmission",
    "SlotCounter",
    "UsableTargets",
    "Waiter",
    "compute_view",
    "count_known_slots",
]
