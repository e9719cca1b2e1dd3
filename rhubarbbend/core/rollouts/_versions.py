"""Tracks which versions of each service may get requests.

Where operators may order roll-outs, a version gets requests only as an order allows, and none once
it was rolled back: its targets may register before the order is known. Elsewhere all versions serve
side by side.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rhubarbbend.core.rollouts._types import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    ServiceVersions,
)


class VersionTracker:
    """The orders and records of roll-outs, and the stable version of each service.

    Invariant: a version that was rolled back is admitted only after a later order names it.
    """

    def __init__(self) -> None:
        self._orders: dict[str, RolloutOrder] = {}
        self._records: dict[str, RolloutRecord] = {}
        # The stable versions of services without a record.
        self._initial: dict[str, str] = {}
        # All versions that an order has named, by service.
        self._ordered: dict[str, set[str]] = {}
        # Whether a version needs an order to get requests beside the stable one.
        self.needs_order = True
        # Called with a service and the stable versions before and after; for the log.
        self.on_stable_change: Callable[[str, str | None, str], None] = lambda *_: None

    def record_order(self, order: RolloutOrder) -> None:
        """Record an order; ignore one that is older than what is known of its service."""
        self._ordered.setdefault(order.service, set()).add(order.to_version)
        known = self._orders.get(order.service)
        if known is None or order.revision > known.revision:
            self._orders[order.service] = order

    def withdraw_order(self, service: str) -> None:
        """Forget the order of a service: the operator has deleted it."""
        self._orders.pop(service, None)

    def record_outcome(self, service: str, record: RolloutRecord) -> None:
        """Record what the store holds of a roll-out. A final record is never replaced by an older.

        A record of the same order that is not final does not replace a final one.
        """
        known = self._records.get(service)
        if known is not None:
            if record.revision < known.revision:
                return
            if record.revision == known.revision and known.phase.is_final:
                return
        self._records[service] = record

    def find_record(self, service: str) -> RolloutRecord | None:
        """Return the record of a service's latest roll-out, None if it never had one."""
        return self._records.get(service)

    def find_active_order(self, service: str) -> RolloutOrder | None:
        """Return the order of a service that has not ended, None if there is none."""
        order = self._orders.get(service)
        record = self._records.get(service)
        if order is None or record is None:
            return order
        if record.revision > order.revision:
            return None
        has_ended = record.revision == order.revision and record.phase.is_final
        return None if has_ended else order

    def list_active_orders(self) -> list[RolloutOrder]:
        """Return all orders that have not ended."""
        orders = (self.find_active_order(service) for service in sorted(self._orders))
        return [order for order in orders if order is not None]

    def list_abandoned(self) -> list[str]:
        """Return the services whose roll-out is recorded as running but no longer ordered."""
        return [
            service
            for service, record in self._records.items()
            if not record.phase.is_final and service not in self._orders
        ]

    def find_versions(self, service: str, registered: Mapping[str, int]) -> ServiceVersions:
        """Return the versions of a service that may get requests.

        `registered` counts the registered targets of the service by version. Without a record,
        the stable version is the one that most targets had when it was first needed. Targets of the
        ordered version do not count, since they may register before the order is known. A service
        keeps that version until none of its targets has it. Where no order is needed, the versions
        that no order or record names serve beside it.
        """
        order = self.find_active_order(service)
        stable = self._find_stable(service, order, registered)
        others = frozenset[str]()
        if not self.needs_order:
            others = frozenset(v for v in registered if not self._is_named(service, v))
        if order is None or order.to_version == stable:
            return ServiceVersions(stable, None, others)
        return ServiceVersions(stable, order.to_version, others)

    def may_continue(self, service: str, version: str, registered: Mapping[str, int]) -> bool:
        """Return whether a stream that a version began may go on at its targets.

        Another instance has sent it there, so only an order that has ended says otherwise.
        """
        serves = self.find_versions(service, registered).admits(version)
        return serves or not self._is_named(service, version)

    def _is_named(self, service: str, version: str) -> bool:
        """Return whether a version is or was rolled out, or was replaced by a roll-out."""
        record = self._records.get(service)
        if record is not None:
            was_replaced = record.phase is RolloutPhase.SUCCEEDED and version == record.from_version
            if version == record.to_version or was_replaced:
                return True
        return version in self._ordered.get(service, ())

    def _find_stable(
        self, service: str, order: RolloutOrder | None, registered: Mapping[str, int]
    ) -> str | None:
        record = self._records.get(service)
        if record is not None:
            is_new = record.phase is RolloutPhase.SUCCEEDED
            return record.to_version if is_new else record.from_version
        known = self._initial.get(service)
        if known in registered:
            return known
        ordered = None if order is None else order.to_version
        counts = {version: count for version, count in registered.items() if version != ordered}
        if not counts:
            # Nothing runs but the ordered version, or nothing at all.
            return known
        most = max(counts.values())
        self._initial[service] = min(v for v, count in counts.items() if count == most)
        self.on_stable_change(service, known, self._initial[service])
        return self._initial[service]
