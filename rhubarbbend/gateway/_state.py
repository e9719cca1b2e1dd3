"""What an instance believes: configuration, targets, other instances. Shared by its parts."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.catalog import Catalog
from rhubarbbend.core.delivery import CrashTracker
from rhubarbbend.core.directory import Target, TargetRegistry
from rhubarbbend.core.mirror import Mirror
from rhubarbbend.core.placement import (
    HealthTracker,
    LoadTracker,
    Placement,
    PlacementOptions,
    PromptLocation,
    TargetLoad,
)
from rhubarbbend.core.readers import InstanceRow, PeerUpdateLog
from rhubarbbend.core.shares import ColdTargetShare, RetryBudgetShare
from rhubarbbend.gateway._journal import Journal
from rhubarbbend.gateway._metrics import Metrics
from rhubarbbend.gateway._settings import Address, GatewaySettings
from rhubarbbend.gateway._signal import Signal
from rhubarbbend.gateway._timings import (
    derive_directory_options,
    derive_source_options,
    derive_timings,
)

# The table in which instances tell one another their addresses.
INSTANCE_TABLE: Final = "instances"
# Until the table has been read, this many instances are assumed to share the bounds: more than a
# small fleet has, so that its parts add up to less than the whole.
ASSUMED_INSTANCES: Final = 12


class CrashNote(msgspec.Struct, frozen=True, array_like=True):
    """A request was at the crash of a target."""

    digest: str
    target: str


class Note(msgspec.Struct, frozen=True, array_like=True):
    """What an instance tells all others. `at` is the local time at which it was heard.

    Loads are not kept with the note: whoever waits here is given the latest of each target.
    """

    places: list[PromptLocation] = []
    crashes: list[CrashNote] = []
    loads: list[TargetLoad] = []
    at: float | None = None

    def add_age(self, now: float) -> Note:
        """Give the note as it has to be passed on now."""
        waited = 0.0 if self.at is None else now - self.at
        places = [place.add_age(waited) for place in self.places]
        return Note(places, self.crashes)


class State:
    """One instance's views, and the trackers of what it does."""

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
        self.timings = derive_timings(settings)
        self.registry = TargetRegistry(derive_directory_options(settings))
        self.loads = LoadTracker()
        self.health = HealthTracker()
        self.cold = ColdTargetShare(settings.instance, settings.cold_overshoot, settings.cold_slack)
        self.crashes = CrashTracker()
        options = _make_options(settings)
        self.placement = Placement(options, self.registry, self.loads, self.health, self.cold)
        # A new object with each change: what is worked out from it is kept until then.
        self.instances: Mapping[str, InstanceRow] = {}
        self.peer_updates: PeerUpdateLog[Note] = PeerUpdateLog()
        # Up to when it is known that the store held nothing newer.
        self.known_at = -math.inf
        # Something has changed that others may wait for.
        self.changed = Signal()
        # Instances have joined that the list, as it was read, may not hold.
        self.joined = Signal()
        self.stopping = False
        self.started_at = 0.0
        # Set once callers can be served for the first time.
        self.opened = asyncio.Event()
        self._instance_ids: tuple[str, ...] | None = None
        self._retries: dict[str, RetryBudgetShare] = {}

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Go by other bounds from now on; what has been counted towards them stays counted."""
        self.settings = settings
        self.timings = derive_timings(settings)
        self.registry.set_options(derive_directory_options(settings))
        self.cold.set_limit(settings.cold_overshoot, settings.cold_slack)
        self.placement.set_options(_make_options(settings))
        for share in self._retries.values():
            share.set_limit(settings.retry_ratio, settings.retry_slack, settings.retry_window)

    @property
    def knows_all(self) -> bool:
        """Whether configuration and targets are known."""
        known = all(
            table.known for name, table in self.mirror.tables.items() if name != INSTANCE_TABLE
        )
        return self.catalog is not None and known

    @property
    def ready(self) -> bool:
        """Whether callers can be served, and new ones may come."""
        return self.knows_all and not self.stopping

    def find_retries(self, service: str) -> RetryBudgetShare:
        """Find this instance's part of a service's retry budget."""
        share = self._retries.get(service)
        if share is None:
            own = self.settings
            share = RetryBudgetShare(own.retry_ratio, own.retry_slack, own.retry_window)
            self._retries[service] = share
        return share

    def list_instances(self) -> tuple[str, ...]:
        """List the ids of all instances that share the bounds, this one among them.

        The same object is given until the list changes, so that others can keep what they work
        out from it.
        """
        if self._instance_ids is None:
            own = self.settings.instance
            if self.mirror.tables[INSTANCE_TABLE].known:
                self._instance_ids = tuple(self.instances.keys() | {own})
            else:
                others = (f"unknown-{number}" for number in range(1, ASSUMED_INSTANCES))
                self._instance_ids = (own, *others)
        return self._instance_ids

    def put_instance(self, name: str, row: InstanceRow) -> None:
        """Take in that an instance is there."""
        self.instances = {**self.instances, name: row}
        self._note_instances()

    def drop_instance(self, name: str) -> None:
        """Take in that an instance is not there any more."""
        self.instances = {known: row for known, row in self.instances.items() if known != name}
        self._note_instances()

    def _note_instances(self) -> None:
        self._instance_ids = None
        self.loads.expected_peers = len(self.instances.keys() - {self.settings.instance})

    def measure_age(self, now: float) -> float:
        """Give for how long it has not been known that the store holds nothing newer."""
        return now - self.known_at

    def show_age(self, now: float) -> float | None:
        """Give that age for the log; None if nothing was ever known."""
        return None if math.isinf(self.known_at) else round(self.measure_age(now), 3)

    def hear(self, note: Note, now: float) -> None:
        """Take in what another instance tells, and keep it for those that wait at this one."""
        self.loads.merge_reports(note.loads, True, now)
        self.placement.prompt_locations.merge_locations(note.places, now)
        for crash in note.crashes:
            self.crashes.record_crash(crash.digest, crash.target, now)
            # Found out only with the next crash, it would look as if both went together, and no
            # request would be blamed.
            self.health.record_unreachable(crash.target, now)
        self.pass_on(note, now)

    def pass_on(self, note: Note, now: float) -> None:
        """Keep a note for those that wait at this instance."""
        if not note.places and not note.crashes:
            return
        self.peer_updates.add(Note(note.places, note.crashes, at=now))
        self.changed.notify_soon()

    def note_lost(self, target: Target, now: float) -> None:
        """Take in that a target of another zone does not answer: its whole zone may be cut off."""
        if target.zone == self.settings.zone:
            return
        doubted = self.health.mark_zone_suspect(self.registry.list_others_in_zone(target), now)
        if doubted:
            self.metrics.add(codes.ZONES_SUSPECTED)
            self.journal.write(
                "zone_doubted", now, zone=target.zone, target=target.id, doubted=len(doubted)
            )

    def list_peers(self) -> list[Address]:
        """List the addresses of the other instances; those of the settings if none is known."""
        own = (self.settings.peers, self.settings.advertised)
        rows = self.instances.items()
        known = [(row.host, row.port) for name, row in rows if name != self.settings.instance]
        return [peer for peer in known or self.settings.seeds if peer not in own]


def _make_options(settings: GatewaySettings) -> PlacementOptions:
    sources = derive_source_options(settings)
    return PlacementOptions(settings.zone, settings.load_factor, sources)


def read_clock() -> float:
    """Give the loop's time, which all decisions of an instance are made at."""
    return asyncio.get_running_loop().time()


Clock = Callable[[], float]
