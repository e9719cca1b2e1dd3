"""The directory: which targets there are, what they say of themselves, and which may get work."""

from rhubarbbend.core.directory._directory import Directory, DirectoryOptions
from rhubarbbend.core.directory._targets import Target, TargetRecord, TargetState

__all__ = ["Directory", "DirectoryOptions", "Target", "TargetRecord", "TargetState"]
