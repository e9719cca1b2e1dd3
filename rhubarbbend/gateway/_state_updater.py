"""Applies changes of the store's tables to this instance's state, whatever source they came from.

The source is the store, or another instance that has read it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.addresses import check_address
from rhubarbbend.core.directory import Target
from rhubarbbend.core.mirror import RowChange, TablePage
from rhubarbbend.core.readers import InstanceRow
from rhubarbbend.core.rollouts import RolloutRecord
from rhubarbbend.decoding import decode_json
from rhubarbbend.gateway._interfaces import (
    CatalogPublished,
    RegistrationUnreadable,
    RolloutOrdered,
    RolloutWithdrawn,
    RowUnreadable,
    StateChange,
    StateDecoder,
    TargetRegistered,
    TargetUnregistered,
    ZoneServiceChanged,
)
from rhubarbbend.gateway._state import INSTANCE_TABLE, ROLLOUT_TABLE, State, read_clock


class StateUpdater:
    """Applies pages of tables to the state."""

    def __init__(self, state: State, decoder: StateDecoder) -> None:
        self._state = state
        self._decoder = decoder
        # Called with the former and the present start of a target; set by the instance.
        self.on_target_restarted: Callable[[Target, Target], None] = lambda former, target: None

    def apply_pages(self, pages: dict[str, TablePage], source: str) -> int:
        """Merge pages into the mirror, apply the changes in them, and return their number."""
        count = 0
        for table, changes in self._state.mirror.merge(pages).items():
            count += len(changes)
            for change in changes:
                try:
                    self._apply_row(table, change, source)
                except Exception as error:
                    # The mirror holds the whole page, so the other rows would never be applied.
                    self._state.report_internal_error(f"{table}/{change.key}", error)
        tables = self._state.mirror.tables
        if all(table.known for name, table in tables.items() if name != ROLLOUT_TABLE):
            self._state.registry.mark_initial_read_complete(read_clock())
        if self._state.has_config_and_targets:
            self._state.became_ready.set()
        if count:
            self._state.changed.notify_all()
        return count

    def _apply_row(self, table: str, change: RowChange, source: str) -> None:
        if table == INSTANCE_TABLE:
            self._apply_instance_row(change)
        elif table == ROLLOUT_TABLE:
            self._apply_rollout_row(change, source)
        else:
            for decoded in self._decoder.decode(table, [change]):
                self._apply(decoded, source)

    def _apply_instance_row(self, change: RowChange) -> None:
        if change.value is None:
            self._state.remove_instance(change.key, read_clock())
            return
        try:
            row = decode_json(change.value, type=InstanceRow)
            check_address(row.host, row.port)
            if row.sends_from is not None:
                check_address(*row.sends_from)
        except (msgspec.MsgspecError, ValueError) as error:
            self._log("row_unreadable", row=change.key, reason=str(error))
            return
        self._state.add_instance(change.key, row)

    def _apply_rollout_row(self, change: RowChange, source: str) -> None:
        if change.value is None:
            # Nothing deletes these rows. Without it, a version rolled back might return.
            self._log("row_unreadable", row=change.key, reason="deleted")
            return
        try:
            record = decode_json(change.value, type=RolloutRecord)
        except msgspec.MsgspecError as error:
            self._log("row_unreadable", row=change.key, reason=str(error))
            return
        self._state.rollouts.record_outcome(change.key, record)
        self._log(
            "rollout_recorded",
            service=change.key,
            to=record.to_version,
            phase=record.phase.value,
            reason=record.reason or None,
            source=source,
        )

    def _apply_rollout_order(self, change: RolloutOrdered, source: str, now: float) -> None:
        order = change.order
        self._state.rollouts.record_order(
            order,
            len(self._state.list_instance_ids()),
            self._state.became_ready.is_set(),
            now,
        )
        self._state.rollout_ordered.set()
        self._state.has_rollout_work.set()
        self._log(
            "rollout_ordered",
            service=order.service,
            to=order.to_version,
            duration=order.duration_s,
            revision=order.revision,
            source=source,
        )

    def _apply(self, change: StateChange, source: str) -> None:
        now = read_clock()
        if isinstance(change, CatalogPublished):
            self._apply_catalog(change, source)
        elif isinstance(change, TargetRegistered):
            self._apply_target(change, source, now)
        elif isinstance(change, TargetUnregistered):
            self._apply_missing(change.target, self._state.registry.unregister, now)
            self._log("target_unregistered", target=change.target, source=source)
        elif isinstance(change, RegistrationUnreadable):
            self._apply_missing(change.target, self._state.registry.record_unreadable, now)
        elif isinstance(change, ZoneServiceChanged):
            if change.is_out_of_service:
                self._state.registry.take_zone_out_of_service(change.zone, now)
            else:
                self._state.registry.return_zone_to_service(change.zone, now)
            self._log(
                "zone_out" if change.is_out_of_service else "zone_in",
                zone=change.zone,
                source=source,
            )
        elif isinstance(change, RolloutOrdered):
            self._apply_rollout_order(change, source, now)
        elif isinstance(change, RolloutWithdrawn):
            self._state.rollouts.withdraw_order(change.service)
            self._state.has_rollout_work.set()
            self._log("rollout_withdrawn", service=change.service, source=source)
        elif isinstance(change, RowUnreadable):
            self._state.metrics.increment_counter(codes.CONFIG_UNREADABLE)
            self._log("row_unreadable", row=change.row, reason=change.reason, source=source)

    def _apply_catalog(self, change: CatalogPublished, source: str) -> None:
        current = self._state.catalog
        if current is not None and change.catalog.version <= current.version:
            self._state.metrics.increment_counter(codes.CONFIG_STALE)
            return
        self._state.catalog = change.catalog
        self._state.on_catalog_applied(change.catalog)
        self._state.metrics.increment_counter(codes.CONFIG_APPLIED)
        self._log(
            "config_applied",
            version=change.catalog.version,
            before=None if current is None else current.version,
            routes=change.catalog.route_count,
            source=source,
        )

    def _apply_target(self, change: TargetRegistered, source: str, now: float) -> None:
        record = change.record
        before = self._state.registry.find(record.id)
        former_address = None if before is None else before.address
        target = self._state.registry.register(record, now)
        if target is not before or target.address != former_address:
            # Who answered at the former address says nothing of this one.
            self._state.health.record_met(target.id)
        if before is not None and before.boot < target.boot:
            self._record_end(before, "started again", is_certain=True)
            self.on_target_restarted(before, target)
        self._log(
            "target_registered",
            target=record.id,
            service=record.service,
            address=f"{record.host}:{record.port}",
            zone=record.zone,
            version=target.version,
            state=target.state.value,
            cold_left=record.cold_left or None,
            boot=record.boot,
            source=source,
        )

    def _apply_missing(
        self, target_id: str, record: Callable[[str, float], None], now: float
    ) -> None:
        """Have the registry record that a registration is missing, and that its target has left."""
        target = self._state.registry.find(target_id)
        record(target_id, now)
        if target is not None and self._state.registry.find(target_id) is None:
            self._state.placement.record_departure(target, now)
            self._record_end(target, "not registered any more")

    def _record_end(self, target: Target, reason: str, is_certain: bool = False) -> None:
        """Record the end of a target that was lost under a request, if it was."""
        if self._state.crashes.record_end(target.incarnation, is_certain):
            self._state.metrics.increment_counter(codes.SUSPECTS)
            self._log("crash_counted", target=target.id, reason=reason)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)
