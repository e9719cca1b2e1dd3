"""The directory of registered targets: their records, and which of them may receive requests."""

from rhubarbbend.core.directory._directory import Directory, DirectoryOptions
from rhubarbbend.core.directory._targets import Target, TargetRecord, TargetState

__all__ = ["Directory", "DirectoryOptions", "Target", "TargetRecord", "TargetState"]
