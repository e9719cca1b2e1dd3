"""Target kinds: plug-ins that know how to speak to one kind of back end."""

from rhubarbbend.targets import _engine, _plain  # noqa: F401  (they register themselves)
from rhubarbbend.targets._base import TARGET_KINDS, LoadReport, TargetKind, TargetRequest

__all__ = ["TARGET_KINDS", "LoadReport", "TargetKind", "TargetRequest"]
