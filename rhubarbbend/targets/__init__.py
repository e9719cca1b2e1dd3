"""Target kinds: plug-ins that implement the protocol of one kind of back end."""

from rhubarbbend.targets import _engine, _plain  # noqa: F401  (import registers the kinds)
from rhubarbbend.targets._base import TARGET_KINDS, LoadReport, TargetKind, TargetRequest

__all__ = ["TARGET_KINDS", "LoadReport", "TargetKind", "TargetRequest"]
