"""The kernel: plug-ins that register themselves, and the order in which an instance comes up."""

from rhubarbbend.kernel._registry import Registry, UnknownPluginError

__all__ = ["Registry", "UnknownPluginError"]
