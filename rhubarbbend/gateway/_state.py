"""What an instance believes: configuration, targets, other instances. Shared by its parts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

import msgspec

from rhubarbbend.core.catalog import Catalog
from rhubarbbend.core.delivery import CrashBook
from rhubarbbend.core.directory import Directory
from rhubarbbend.core.mirror import Mirror
from rhubarbbend.core.placement import HealthBook, LoadBook, Placement, PlacementOptions
from rhubarbbend.core.shares import ColdAllowance, RetryShare
from rhubarbbend.gateway._journal import Journal
from rhubarbbend.gateway._metrics import Metrics
from rhubarbbend.gateway._settings import Address, GatewaySettings

# The table in which instances tell one another their addresses.
INSTANCE_TABLE: Final = "instances"
# Until the table has been read, this many instances are assumed to share the bounds: one more
# than the largest of the known small deployments with all its spare machines.
ASSUMED_INSTANCES: Final = 12


class InstanceRow(msgspec.Struct, frozen=True):
    """What an instance tells of itself in the store."""

    zone: str
    host: str
    port: int


class State:
    """One instance's views, and the books of what it does."""

    def __init__(
        self, settings: GatewaySettings, tables: tuple[str, ...], journal: Journal
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.metrics = Metrics()
        self.random = random.Random()
        self.mirror = Mirror((*tables, INSTANCE_TABLE))
        self.config_table = tables[0]
        self.catalog: Catalog | None = None
        self.directory = Directory()
        self.loads = LoadBook()
        self.health = HealthBook()
        self.cold = ColdAllowance(settings.instance, settings.cold_overshoot, settings.cold_slack)
        self.crashes = CrashBook()
        options = _make_options(settings)
        self.placement = Placement(options, self.directory, self.loads, self.health, self.cold)
        self.instances: dict[str, InstanceRow] = {}
        self.stopping = False
        self._retries: dict[str, RetryShare] = {}

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Go by other bounds from now on; what has been counted towards them stays counted."""
        self.settings = settings
        self.cold.set_bound(settings.cold_overshoot, settings.cold_slack)
        self.placement.set_options(_make_options(settings))
        for share in self._retries.values():
            share.set_bound(settings.retry_ratio, settings.retry_slack, settings.retry_window)

    @property
    def ready(self) -> bool:
        """Whether callers can be served: configuration and targets are known."""
        known = all(
            table.known for name, table in self.mirror.tables.items() if name != INSTANCE_TABLE
        )
        return self.catalog is not None and known and not self.stopping

    def find_retries(self, service: str) -> RetryShare:
        """Find this instance's part of a service's retry budget."""
        share = self._retries.get(service)
        if share is None:
            own = self.settings
            share = RetryShare(own.retry_ratio, own.retry_slack, own.retry_window)
            self._retries[service] = share
        return share

    def list_instances(self) -> list[str]:
        """List the ids of all instances that share the bounds, this one among them."""
        if not self.mirror.tables[INSTANCE_TABLE].known:
            others = [f"unknown-{number}" for number in range(1, ASSUMED_INSTANCES)]
            return [self.settings.instance, *others]
        return list(self.instances.keys() | {self.settings.instance})

    def list_peers(self) -> list[Address]:
        """List the addresses of the other instances; those of the settings if none is known."""
        own = self.settings.peers
        rows = self.instances.items()
        known = [(row.host, row.port) for name, row in rows if name != self.settings.instance]
        return [peer for peer in known or self.settings.seeds if peer != own]


def _make_options(settings: GatewaySettings) -> PlacementOptions:
    return PlacementOptions(settings.zone, settings.load_factor, settings.evacuation_grace)


def read_clock() -> float:
    """Give the loop's time, which all decisions of an instance are made at."""
    return asyncio.get_running_loop().time()


Clock = Callable[[], float]
