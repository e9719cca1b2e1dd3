"""Plug-in registries: plug-in classes register themselves under a name and are looked up by it."""

from rhubarbbend.kernel._registry import Registry, UnknownPluginError

__all__ = ["Registry", "UnknownPluginError"]
