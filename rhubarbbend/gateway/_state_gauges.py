"""Gauges of what an instance knows of the fleet, its targets and the configuration."""

from __future__ import annotations

from rhubarbbend.gateway._capacity_gauges import CapacityGauges
from rhubarbbend.gateway._held_memory import register_memory_gauges
from rhubarbbend.gateway._state import Clock, State


def register_state_gauges(state: State, clock: Clock) -> None:
    """Register the gauges that are read from an instance's state."""
    metrics = state.metrics
    register_memory_gauges(metrics, state.memory)
    metrics.register_gauge("targets", state.registry.count)
    metrics.register_gauge("instances", lambda: len(state.list_instance_ids()))
    metrics.register_gauge(
        "instances_heard", lambda: state.loads.peer_counts.count_instances(clock())
    )
    metrics.register_gauge("targets_unreachable", lambda: len(state.health.list_unreachable()))
    metrics.register_gauge("targets_full", lambda: len(state.connection_limits.list_full(clock())))
    metrics.register_gauge("ready", lambda: float(state.ready))
    metrics.register_gauge(
        "config_version", lambda: -1 if state.catalog is None else state.catalog.version
    )
    metrics.register_gauge("log_lines_dropped", lambda: state.event_log.dropped_count)
    CapacityGauges(state, clock).register()
