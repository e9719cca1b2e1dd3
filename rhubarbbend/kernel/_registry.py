"""Registry of the plug-ins of one kind; a plug-in registers when its module is imported."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownPluginError(LookupError):
    """Raised when no plug-in of the kind is registered under the requested name."""


class Registry(Generic[T]):
    """Plug-in classes by name. Invariant: each name is registered at most once."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._classes: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a class decorator that registers a plug-in under `name`.

        The decorator raises ValueError if the name is already registered.
        """

        def add(plugin: type[T]) -> type[T]:
            if name in self._classes:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._classes[name] = plugin
            return plugin

        return add

    def find(self, name: str) -> type[T]:
        """Return the plug-in class registered under `name`.

        Raises UnknownPluginError, which lists the registered names, if there is none.
        """
        try:
            return self._classes[name]
        except KeyError:
            known = ", ".join(self.list_names())
            raise UnknownPluginError(f"no {self._kind} {name!r}; known: {known}") from None

    def list_names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._classes)
