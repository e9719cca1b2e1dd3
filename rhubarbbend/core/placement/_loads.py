"""Estimates how many requests each target holds, from what one instance knows."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from rhubarbbend.core.capacity import (
    CapacityTracker,
    ReportedLoad,
    is_valid_pace,
    is_valid_slots,
)
from rhubarbbend.core.placement._in_flight import InFlightUpdate, PeerCountTracker

# The weight of a target's load report falls linearly to 0 over this time: most of the requests that
# it counted have ended by then.
REPORT_TTL_S: Final = 3.0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load report as sent to other instances: requests held, and the report's age in seconds.

    `slots` is 0 if they are not reported. `pace_percent` is the pace in hundredths, None if it is
    not reported. Older builds do not send the last two fields, and ignore them.
    """

    target: str
    held: int
    age: float
    slots: int = 0
    pace_percent: int | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """A target's report of the requests that run and wait there.

    Of the `held` requests, `own` were this instance's, and `counted_by_peers` were counted in the
    messages of other instances. The target made the report at `at`; this instance received it at
    `received_at`. `is_relayed` if it was relayed by another instance and need not be sent on to all
    others.
    """

    held: int
    own: int
    counted_by_peers: int
    at: float
    received_at: float
    is_relayed: bool = False
    slots: int = 0
    pace_percent: int | None = None


class LoadTracker:
    """Tracks the load of targets, without health check probes.

    It combines this instance's in-flight requests, the counts that other instances send, and the
    load reports in targets' responses. The reports cover instances whose counts are unknown, and
    plain targets, for which no counts are sent. In a large fleet each instance receives few
    responses of a target, so instances send the reports to one another.
    """

    def __init__(self, capacity: CapacityTracker | None = None) -> None:
        # Gets the slots and the pace in the reports.
        self.capacity = capacity or CapacityTracker()
        self._own: dict[str, int] = {}
        self._reports: dict[str, LoadReport] = {}
        self.peer_counts = PeerCountTracker()
        # The number of other instances; None while that is unknown.
        self.expected_peers: int | None = None
        # Called when a count of this instance's requests changes; set by the gateway.
        self.on_own_change: Callable[[], None] = lambda: None

    def record_start(self, target: str) -> None:
        """Record that a request is being sent to a target."""
        self._own[target] = self._own.get(target, 0) + 1
        self.on_own_change()

    def record_end(self, target: str) -> None:
        """Record that a request to a target has ended."""
        left = self._own.get(target, 0) - 1
        if left > 0:
            self._own[target] = left
        else:
            self._own.pop(target, None)
        self.on_own_change()

    def get_own_counts(self) -> dict[str, int]:
        """Return the number of requests that this instance has at each target."""
        return dict(self._own)

    def record_peer_update(self, update: InFlightUpdate, now: float) -> None:
        """Record the in-flight requests in a message of another instance."""
        self.peer_counts.record_update(update, now)

    def count_own(self, target: str) -> int:
        """Return the number of requests that this instance has at a target."""
        return self._own.get(target, 0)

    def record_report(
        self, target: str, held: int, now: float, reported: ReportedLoad | None = None
    ) -> None:
        """Record the load report in a target's response, with its slots and pace if it has them."""
        counted = self.peer_counts.count(target, now)
        slots, pace_percent = 0, None
        if reported is not None:
            self.capacity.record_report(target, reported, now)
            slots = reported.slots if is_valid_slots(reported.slots) else 0
            if reported.pace is not None and is_valid_pace(reported.pace):
                pace_percent = round(100.0 * reported.pace)
        self._reports[target] = LoadReport(
            held, self.count_own(target), counted, now, now, False, slots, pace_percent
        )

    def merge_reports(self, loads: Iterable[TargetLoad], is_relayed: bool, now: float) -> None:
        """Record load reports that other instances received, if newer than the known ones."""
        for load in loads:
            at = now - load.age
            self._merge_capacity(load, now)
            known = self._reports.get(load.target)
            if known is None or known.at < at:
                own = self.count_own(load.target)
                counted = self.peer_counts.count(load.target, now)
                self._reports[load.target] = LoadReport(
                    load.held, own, counted, at, now, is_relayed, load.slots, load.pace_percent
                )

    def _merge_capacity(self, load: TargetLoad, now: float) -> None:
        if load.slots or load.pace_percent is not None:
            pace = None if load.pace_percent is None else load.pace_percent / 100.0
            self.capacity.merge(load.target, load.slots or None, pace, load.age, now)

    def list_reports_since(
        self, heard_after: float, with_relayed: bool, now: float
    ) -> list[TargetLoad]:
        """Return the reports that were received after a time and have not expired.

        Relayed reports are included only if `with_relayed`.
        """
        return [
            TargetLoad(
                target,
                report.held,
                round(now - report.at, 3),
                report.slots,
                report.pace_percent,
            )
            for target, report in self._reports.items()
            if report.received_at > heard_after
            and now - report.at < REPORT_TTL_S
            and (with_relayed or not report.is_relayed)
        ]

    def estimate(self, target: str, has_peer_counts: bool, now: float) -> float:
        """Estimate how many requests a target holds.

        `has_peer_counts`: whether instances send one another their counts for such a target.
        """
        known = self.count_own(target) + self.peer_counts.count(target, now)
        report = self._reports.get(target)
        if report is None or (has_peer_counts and self.has_counts_of_all_peers(now)):
            return float(known)
        unknown = max(0, report.held - report.own - report.counted_by_peers)
        freshness = max(0.0, 1.0 - (now - report.at) / REPORT_TTL_S)
        return known + unknown * freshness

    def has_counts_of_all_peers(self, now: float) -> bool:
        """Whether the in-flight requests of all other instances are known."""
        return self.has_counts_of_fraction(1.0, now)

    def has_counts_of_fraction(self, fraction: float, now: float) -> bool:
        """Whether the in-flight requests of at least a fraction of the others are known."""
        if self.expected_peers is None:
            return False
        return self.peer_counts.count_instances(now) >= fraction * self.expected_peers

    def compute_report_age(self, target: str, now: float) -> float | None:
        """Return the age of a target's load report in seconds; None without a report."""
        report = self._reports.get(target)
        return None if report is None else now - report.at

    def forget(self, target: str) -> None:
        """Remove the load report of a target that has been removed."""
        self._reports.pop(target, None)
        self.capacity.forget(target)
