"""One version of the configuration, indexed for look-ups while a request is handled."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbbend.core.catalog._types import ClientAccount, Route, Service, TrafficLimits


class Catalog:
    """One version of the configuration. Immutable: a new version is a new object."""

    __slots__ = (
        "version",
        "services",
        "limits",
        "needs_key",
        "route_count",
        "_routes",
        "_accounts",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        accounts: Iterable[ClientAccount] | None,
        limits: TrafficLimits,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        # A configuration without a list of client accounts admits every caller.
        self.needs_key = accounts is not None
        self.route_count = 0
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host.lower(), {})[route.prefix] = route
            self.route_count += 1
        self._accounts = {key: account for account in accounts or () for key in account.keys if key}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that the path starts with.

        Return None if there is none. Every prefix ends with a slash, so only the parts of the path
        up to one of its slashes are looked up; their number does not depend on that of the routes.
        """
        routes = self._routes.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the client account that a key belongs to, None if there is none."""
        return self._accounts.get(key)
