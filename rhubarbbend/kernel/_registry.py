"""A registry of plug-ins of one kind: each registers itself under a name when its module loads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownPluginError(LookupError):
    """A name that no plug-in of the kind has registered."""


class Registry(Generic[T]):
    """Plug-in classes by name. Invariant: a name is registered once."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._classes: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Decorate a plug-in class to make it known under `name`."""

        def add(plugin: type[T]) -> type[T]:
            if name in self._classes:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._classes[name] = plugin
            return plugin

        return add

    def find(self, name: str) -> type[T]:
        """Find a plug-in class or raise `UnknownPluginError` naming those that exist."""
        try:
            return self._classes[name]
        except KeyError:
            known = ", ".join(self.list_names())
            raise UnknownPluginError(f"no {self._kind} {name!r}; known: {known}") from None

    def list_names(self) -> list[str]:
        """List the registered names in order."""
        return sorted(self._classes)
