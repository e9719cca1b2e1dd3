"""The state that the parts of an instance share: configuration, targets, instances, trackers."""

from __future__ import annotations

import asyncio
import math
import random
import traceback
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core._rendezvous import hash_to_unit_interval
from rhubarbbend.core.catalog import Catalog, Service
from rhubarbbend.core.crashes import CrashLedger, RefusalRules
from rhubarbbend.core.detours import ReachTable
from rhubarbbend.core.directory import Target, TargetRegistry
from rhubarbbend.core.limits import MemoryLedger
from rhubarbbend.core.mirror import Mirror
from rhubarbbend.core.placement import (
    BrittleTracker,
    ConnectionLimitTracker,
    FullTargetNotice,
    HealthTracker,
    LoadTracker,
    PauseTracker,
    Placement,
    PlacementOptions,
)
from rhubarbbend.core.readers import InstanceRow, PeerUpdateLog
from rhubarbbend.core.rollouts import ExposureOptions, RolloutTracker
from rhubarbbend.core.shares import ColdTargetShare, RetryBudgetShare
from rhubarbbend.core.stop_schedule import StopSchedule
from rhubarbbend.core.streams import VersionHistory
from rhubarbbend.gateway._change_notifier import ChangeNotifier
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._metrics import Metrics
from rhubarbbend.gateway._peer_updates import PeerUpdate, apply_crash_findings
from rhubarbbend.gateway._replication_timeouts import (
    derive_directory_options,
    derive_replication_timeouts,
    derive_source_options,
)
from rhubarbbend.gateway._settings import Address, GatewaySettings
from rhubarbbend.resident_size import read_resident_size

# The table in which instances publish their addresses.
INSTANCE_TABLE: Final = "instances"
# The table in which instances record roll-outs.
ROLLOUT_TABLE: Final = "rollouts"
# The table in which instances record the versions of each service (`core/streams`).
VERSION_TABLE: Final = "versions"
# Instances try a refused part again at times that differ by up to so much; a crash is known to all
# within some ms.
MAX_STAGGER_S: Final = 15.0
# Number of instances assumed to share the limits until the table has been read. It is larger than a
# small fleet, so that the shares add up to less than the limit.
ASSUMED_INSTANCES: Final = 12


class State:
    """What one instance knows, and the trackers of its own work."""

    def __init__(
        self, settings: GatewaySettings, tables: tuple[str, ...], event_log: EventLog
    ) -> None:
        self.settings = settings
        self.event_log = event_log
        self.metrics = Metrics()
        # The bytes that are held for callers and for other instances.
        self.memory = MemoryLedger(settings.memory, read_resident_size)
        self.random = random.Random()
        self.mirror = Mirror((*tables, ROLLOUT_TABLE, INSTANCE_TABLE))
        self.config_table = tables[0]
        self.catalog: Catalog | None = None
        self.replication_timeouts = derive_replication_timeouts(settings)
        self.registry = TargetRegistry(derive_directory_options(settings))
        self.loads = LoadTracker()
        self.health = HealthTracker()
        self.pauses = PauseTracker()
        # Which services this instance and the others reach.
        self.reach = ReachTable(settings.instance)
        self.brittle = BrittleTracker(settings.instance, self.random)
        self.connection_limits = ConnectionLimitTracker()
        self.cold_target_share = _make_cold_share(settings)
        self.crashes = CrashLedger(_make_refusal_rules(settings))
        # Called with the present time when others have told of losses; set by the instance.
        self.on_losses_learned: Callable[[float], None] = lambda now: None
        # Called with an update that tells of displaced targets; set by the instance.
        self.on_displaced_learned: Callable[[PeerUpdate], None] = lambda update: None
        # Called when another version of the configuration is in force; set by the instance.
        self.on_catalog_applied: Callable[[Catalog], None] = lambda catalog: None
        # Set once other instances were asked, after the start, which requests crash targets.
        self.crashes_learned = asyncio.Event()
        self.placement = self._make_placement()
        self.rollouts = RolloutTracker(_make_exposure_options(settings), self.random)
        self.rollouts.versions.needs_order = settings.has_rollouts
        self.version_history = VersionHistory(settings.instance)
        # Set once an order to roll out a version was known, and stays set.
        self.rollout_ordered = asyncio.Event()
        # Set while there may be something to do about a roll-out.
        self.has_rollout_work = asyncio.Event()
        # Replaced by a new object with each change, so that values computed from it can be cached.
        self.instances: Mapping[str, InstanceRow] = {}
        self.instance_zones: dict[str, str] = {}
        # The rows of instances that have left the list, and when.
        self._departed: dict[str, tuple[InstanceRow, float]] = {}
        self.peer_updates: PeerUpdateLog[PeerUpdate] = PeerUpdateLog()
        # The latest time at which this instance's data is known to have matched the store.
        self.up_to_date_at = -math.inf
        # Notified when something has changed that other tasks or instances may wait for.
        self.changed = ChangeNotifier()
        # Notified when instances have joined that may be missing from the list as last read.
        self.instance_joined = ChangeNotifier()
        # Whether callers' connections are accepted.
        self.accepts_callers = False
        # The times of a planned stop; None before one begins.
        self.stop: StopSchedule | None = None
        self.started_at = 0.0
        # Set once callers can be served for the first time.
        self.became_ready = asyncio.Event()
        self._instance_ids: tuple[str, ...] | None = None
        self._retry_budget_shares: dict[str, RetryBudgetShare] = {}

    def _make_placement(self) -> Placement:
        return Placement(
            _make_options(self.settings),
            self.registry,
            self.loads,
            self.health,
            self.cold_target_share,
            self.pauses,
            self.brittle,
            self.connection_limits,
        )

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply new limits. What has already been counted towards them stays counted."""
        self.settings = settings
        self.memory.set_limit(settings.memory)
        self.replication_timeouts = derive_replication_timeouts(settings)
        self.registry.set_options(derive_directory_options(settings))
        self.cold_target_share.set_limit(settings.cold_overshoot, settings.cold_slack)
        self.placement.set_options(_make_options(settings))
        self.rollouts.set_options(_make_exposure_options(settings))
        self.rollouts.versions.needs_order = settings.has_rollouts
        for share in self._retry_budget_shares.values():
            share.set_limit(settings.retry_ratio, settings.retry_slack, settings.retry_window)

    @property
    def exposure_options(self) -> ExposureOptions:
        """The bound on requests to a version that is being rolled out."""
        return _make_exposure_options(self.settings)

    @property
    def has_config_and_targets(self) -> bool:
        """Whether the configuration and all targets have been read.

        An instance that starts also needs the records of roll-outs, if any was ordered: a version
        that was rolled back may still have targets.
        """
        tables = self.mirror.tables
        optional = {INSTANCE_TABLE, ROLLOUT_TABLE}
        known = all(table.known for name, table in tables.items() if name not in optional)
        needs_records = self.rollout_ordered.is_set() and not self.became_ready.is_set()
        has_records = tables[ROLLOUT_TABLE].known or not needs_records
        return self.catalog is not None and known and has_records

    @property
    def ready(self) -> bool:
        """Whether callers can be served and new ones are accepted."""
        return self.has_config_and_targets and self.accepts_callers and not self.stopping

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop is not None

    def report_internal_error(self, task: str, error: BaseException) -> None:
        """Count and log an error of this program in a task of the background."""
        self.metrics.increment_counter(codes.INTERNAL_ERRORS)
        reason = "".join(traceback.format_exception(error)[-3:])
        self.event_log.write("internal_error", read_clock(), task=task, reason=reason)

    def has_peer_counts(self, service: Service, now: float) -> bool:
        """Return whether instances send one another their counts of requests at a service."""
        return service.engine is not None or self.brittle.is_brittle(service.name, now)

    def get_retry_budget_share(self, service: str) -> RetryBudgetShare:
        """Return this instance's share of a service's retry budget."""
        share = self._retry_budget_shares.get(service)
        if share is None:
            settings = self.settings
            share = RetryBudgetShare(
                settings.retry_ratio, settings.retry_slack, settings.retry_window
            )
            self._retry_budget_shares[service] = share
        return share

    def list_instance_ids(self) -> tuple[str, ...]:
        """Return the ids of all instances that share the limits, including this one.

        The same object is returned until the list changes, so that callers can cache what they
        compute from it.
        """
        if self._instance_ids is None:
            own_id = self.settings.instance
            if self.mirror.tables[INSTANCE_TABLE].known:
                self._instance_ids = tuple(sorted(self.instances.keys() | {own_id}))
            else:
                others = (f"unknown-{number}" for number in range(1, ASSUMED_INSTANCES))
                self._instance_ids = (own_id, *others)
        return self._instance_ids

    def add_instance(self, name: str, row: InstanceRow) -> None:
        """Add an instance to the list, or replace its row."""
        if name not in self.instances:
            self.reach.forget(name)
        self.instances = {**self.instances, name: row}
        self._departed.pop(name, None)
        self._handle_instances_changed()

    def remove_instance(self, name: str, now: float) -> None:
        """Remove an instance from the list."""
        row = self.instances.get(name)
        if row is None:
            return
        self._departed[name] = (row, now)
        self.reach.forget(name)
        self.instances = {known: row for known, row in self.instances.items() if known != name}
        self._handle_instances_changed()

    def list_senders(self, now: float) -> Mapping[str, InstanceRow]:
        """Return the instances whose messages are believed: those listed, and those that stop.

        An instance leaves the list when its planned stop begins, and works until the stop ends.
        """
        ended = [n for n, (_, at) in self._departed.items() if now - at > self.settings.stop_grace]
        for name in ended:
            del self._departed[name]
        if not self._departed:
            return self.instances
        return {**{name: row for name, (row, _) in self._departed.items()}, **self.instances}

    def _handle_instances_changed(self) -> None:
        self.instance_zones = {name: row.zone for name, row in self.instances.items()}
        self._instance_ids = None
        self.loads.expected_peers = len(self.instances.keys() - {self.settings.instance})

    def compute_staleness(self, now: float) -> float:
        """Return how many seconds ago the data was last known to match the store."""
        return now - self.up_to_date_at

    def get_logged_staleness(self, now: float) -> float | None:
        """Return the staleness for log lines; None if no data was ever read."""
        return None if math.isinf(self.up_to_date_at) else round(self.compute_staleness(now), 3)

    def apply_peer_update(self, update: PeerUpdate, now: float) -> None:
        """Apply an update of another instance, and queue it for those that wait at this one."""
        self.loads.merge_reports(update.loads, True, now)
        self.placement.prompt_locations.merge_locations(update.locations, now)
        for target in apply_crash_findings(self.crashes, update, now):
            self.health.record_unreachable(target, now)
        if update.crashes:
            self.on_losses_learned(now)
        if update.sender != self.settings.instance:
            self.health.merge_outcomes(update.outcomes, now)
            self.brittle.merge_notices(update.brittle, now)
            self.reach.merge_notices(update.reach, now)
            self._merge_full_targets(update, now)
            self.on_displaced_learned(update)
        for rollout in update.rollouts:
            self.rollouts.record_outcome(rollout.service, rollout.record)
        self.queue_for_listeners(update, now)

    def _merge_full_targets(self, update: PeerUpdate, now: float) -> None:
        known = [notice for notice in update.full if self._is_registered(notice)]
        new = [n for n in known if not self.connection_limits.was_full(n.target, now)]
        invalid_count = self.connection_limits.merge_notices(known, now)
        if invalid_count:
            self.metrics.increment_counter(codes.FULL_NOTICES_INVALID, invalid_count)
        for notice in new:
            self.event_log.write(
                "target_full", now, target=notice.target, told_by=update.sender, age=notice.age
            )

    def _is_registered(self, notice: FullTargetNotice) -> bool:
        target = self.registry.find(notice.target)
        return target is not None and target.service == notice.service

    def queue_for_listeners(self, update: PeerUpdate, now: float) -> None:
        """Queue an update for the instances that wait at this one."""
        relayed = (
            update.locations,
            update.crashes,
            update.rollouts,
            update.outcomes,
            update.brittle,
            update.findings,
            update.full,
            update.displaced,
            update.reach,
        )
        if not any(relayed):
            return
        self.peer_updates.add(msgspec.structs.replace(update, loads=[], received_at=now))
        if update.is_urgent:
            self.changed.notify_all_urgently()
        else:
            self.changed.notify_all_soon()

    def handle_unreachable_target(self, target: Target, now: float) -> None:
        """Mark the whole zone of an unreachable target suspect, if it is not this instance's zone.

        The zone may be partitioned.
        """
        if target.zone == self.settings.zone:
            return
        doubted = self.health.mark_suspect(self.registry.list_others_in_zone(target), now)
        if doubted:
            self.metrics.increment_counter(codes.ZONES_SUSPECTED)
            self.event_log.write(
                "zone_doubted", now, zone=target.zone, target=target.id, doubted=len(doubted)
            )

    def list_peer_addresses(self) -> list[Address]:
        """Return the addresses of the other instances, or the configured seeds if none is known."""
        own = (self.settings.peers, self.settings.advertised)
        rows = self.instances.items()
        known = [(row.host, row.port) for name, row in rows if name != self.settings.instance]
        return [peer for peer in known or self.settings.seeds if peer not in own]


def _make_options(settings: GatewaySettings) -> PlacementOptions:
    sources = derive_source_options(settings)
    return PlacementOptions(settings.zone, settings.load_factor, sources)


def _make_exposure_options(settings: GatewaySettings) -> ExposureOptions:
    return ExposureOptions(settings.exposure_share, settings.exposure_slack)


def _make_cold_share(settings: GatewaySettings) -> ColdTargetShare:
    return ColdTargetShare(settings.instance, settings.cold_overshoot, settings.cold_slack)


def _make_refusal_rules(settings: GatewaySettings) -> RefusalRules:
    """Return rules by which each instance tries a refused part again at a time of its own."""
    return RefusalRules(stagger_s=MAX_STAGGER_S * hash_to_unit_interval(settings.instance))


def read_clock() -> float:
    """Return the event loop's time in seconds, on which all decisions of an instance are based."""
    return asyncio.get_running_loop().time()


Clock = Callable[[], float]
