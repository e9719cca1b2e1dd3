"""The registry of targets: their records, and which of them may receive requests."""

from rhubarbbend.core.directory._directory import DirectoryOptions, TargetRegistry
from rhubarbbend.core.directory._targets import (
    Target,
    TargetRecord,
    TargetState,
    get_boot,
    get_target_id,
)

__all__ = [
    "DirectoryOptions",
    "Target",
    "TargetRecord",
    "TargetRegistry",
    "TargetState",
    "get_boot",
    "get_target_id",
]
