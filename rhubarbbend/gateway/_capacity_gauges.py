"""Gauges of what targets can do now, by service."""

from __future__ import annotations

from collections.abc import Callable, Collection

from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._metrics import LabeledValues
from rhubarbbend.gateway._state import Clock, State


class CapacityGauges:
    """Reads the gauges. A service has one only if its targets report the figure."""

    def __init__(self, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock

    def register(self) -> None:
        """Register the gauges with the instance's metrics."""
        metrics = self._state.metrics
        metrics.register_gauge(
            "capacity_reports_invalid", lambda: self._state.loads.capacity.invalid_count
        )
        metrics.register_labeled_gauge("service_slots", self.read_slots)
        metrics.register_labeled_gauge("service_pace", self.read_mean_pace)
        metrics.register_labeled_gauge("slowest_target_pace", self.read_slowest)
        metrics.register_labeled_gauge("slot_holding_seconds", self.read_holding)

    def read_slots(self) -> LabeledValues:
        """Return the slots of each service's targets, as they report them."""
        capacity = self._state.loads.capacity
        return self._read_services(
            lambda targets: float(sum(capacity.get_slots(target.id) or 0 for target in targets))
        )

    def read_mean_pace(self) -> LabeledValues:
        """Return the mean pace of each service's targets."""
        return self._read_services(
            lambda targets: _compute_mean(self._read_paces(targets).values())
        )

    def read_slowest(self) -> LabeledValues:
        """Return the pace of the slowest target of each service, and which it is."""
        values: LabeledValues = []
        for service, targets in self._list_services():
            paces = self._read_paces(targets)
            if paces:
                slowest = max(paces, key=paces.__getitem__)
                values.append(({"service": service, "target": slowest}, paces[slowest]))
        return values

    def read_holding(self) -> LabeledValues:
        """Return how long a request holds a slot, at the usual pace."""
        estimator = self._state.placement.estimator
        known = [(service, estimator.find_times(service)) for service, _ in self._list_services()]
        return [
            ({"service": service}, times.holding.value)
            for service, times in known
            if times is not None
        ]

    def _read_paces(self, targets: list[Target]) -> dict[str, float]:
        now = self._clock()
        capacity = self._state.loads.capacity
        paces = {target.id: capacity.find_pace(target.id, now) for target in targets}
        return {target: pace for target, pace in paces.items() if pace is not None}

    def _read_services(self, read: Callable[[list[Target]], float]) -> LabeledValues:
        values = [(service, read(targets)) for service, targets in self._list_services()]
        return [({"service": service}, value) for service, value in values if value > 0.0]

    def _list_services(self) -> list[tuple[str, list[Target]]]:
        catalog = self._state.catalog
        names = () if catalog is None else catalog.services
        now = self._clock()
        return [(name, self._state.registry.list_available(name, now)) for name in names]


def _compute_mean(values: Collection[float]) -> float:
    return sum(values) / len(values) if values else 0.0
