"""Decides the course of one roll-out from the evidence of all instances.

Any instance can coordinate. What it knows is summed up from the others' messages, so another can
take over at any time. It only decides; writing the outcome is the caller's part.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from rhubarbbend.core.rollouts._evidence import Evidence, add_up, subtract
from rhubarbbend.core.rollouts._plan import ShiftPlan, compute_success_time, plan_shift
from rhubarbbend.core.rollouts._types import ExposureOptions, RolloutOrder, RolloutPhase, Ruling
from rhubarbbend.core.rollouts._verdict import Finding, judge

# A roll-out succeeds only if this fraction of the instances has sent evidence lately: one that is
# partitioned from most of them has not seen enough.
MIN_HEARD_FRACTION: Final = 0.5
HEARD_TTL_S: Final = 3.0
# The candidate must have at least this fraction of the stable version's ready targets.
MIN_TARGET_FRACTION: Final = 0.5
# A version may turn bad late. Its answers are therefore also judged by themselves since each of the
# last few snapshots of the evidence, taken at this interval.
SNAPSHOT_INTERVAL_S: Final = 1.5
MAX_SNAPSHOTS: Final = 5
# How often a coordinator decides; more often once the success is due, which must be recorded before
# the deadline.
DECISION_INTERVAL_S: Final = 0.25
MIN_DECISION_INTERVAL_S: Final = 0.05
# Below this duration there is no time for a verdict.
MIN_DURATION_S: Final = 2.0

REASON_TOO_SHORT: Final = "the ordered duration is too short for a verdict"
REASON_TOO_FEW_TARGETS: Final = "too few targets of the new version are ready"
REASON_TOO_FEW_INSTANCES: Final = "too few instances were heard to tell that the version is good"
REASON_FORMER_COORDINATOR: Final = "a former coordinator found the version bad"
REASON_WITHDRAWN: Final = "the order was withdrawn"


class TargetCounts(msgspec.Struct, frozen=True):
    """The number of ready targets of both versions."""

    stable: int
    candidate: int

    @property
    def has_enough(self) -> bool:
        """Whether the candidate's targets can take over."""
        return self.candidate > 0 and self.candidate >= MIN_TARGET_FRACTION * self.stable


class _Report(msgspec.Struct):
    """The latest evidence of one process of an instance, and when it was received."""

    sequence: int
    evidence: Evidence
    received_at: float


class RolloutCoordinator:
    """Coordinates one roll-out.

    Invariant: once it has ruled that the candidate is rolled back, it never rules otherwise.
    """

    def __init__(self, order: RolloutOrder, options: ExposureOptions, ordered_at: float) -> None:
        self.order = order
        self._options = options
        # The earliest time at which any instance knows the order to have been given.
        self.ordered_at = ordered_at
        self._reports: dict[str, _Report] = {}
        self._snapshots: deque[Evidence] = deque(maxlen=MAX_SNAPSHOTS)
        self._next_snapshot_at = ordered_at
        self._plan = ShiftPlan(compute_success_time(order.duration_s), {})
        self._is_shifting = False
        self._stopped_for = ""
        self.finding: Finding | None = None

    def record_age(self, age_s: float, now: float) -> None:
        """Record the age of the order as another instance knows it."""
        self.ordered_at = min(self.ordered_at, now - age_s)

    def record_evidence(self, sender: str, sequence: int, evidence: Evidence, now: float) -> None:
        """Record the cumulative evidence of a process, identified by `sender`.

        Evidence that arrives out of order is ignored. That of processes that have ended is kept.
        """
        known = self._reports.get(sender)
        if known is None or sequence > known.sequence:
            self._reports[sender] = _Report(sequence, evidence, now)
        else:
            known.received_at = now

    def record_former_stop(self) -> None:
        """Record that a former coordinator has ruled that the candidate is rolled back.

        What it rested on may not show in the evidence added up anew: it judged parts of it as they
        came in.
        """
        self._stopped_for = self._stopped_for or REASON_FORMER_COORDINATOR

    def add_up_evidence(self) -> Evidence:
        """Return the evidence of all instances."""
        return add_up(report.evidence for report in self._reports.values())

    def decide(self, targets: TargetCounts, instances: int, now: float) -> Ruling:
        """Return how the roll-out is to go on. A final phase is still to be recorded."""
        age_s = now - self.ordered_at
        evidence = self.add_up_evidence()
        if not self._stopped_for:
            self._stopped_for = self._find_reason_to_stop(evidence, targets, instances, now)
        if self._stopped_for:
            return self._make_ruling(RolloutPhase.ROLLED_BACK, age_s)
        succeed_at_s = compute_success_time(self.order.duration_s)
        if age_s >= succeed_at_s and self._is_well_informed(instances, now):
            return self._make_ruling(RolloutPhase.SUCCEEDED, age_s)
        if not self._is_shifting:
            self._plan = plan_shift(evidence, self._options, self.order.duration_s, age_s)
            # Once requests move, the plan stays.
            self._is_shifting = age_s >= self._plan.starts_at_s
        phase = RolloutPhase.SHIFTING if self._is_shifting else RolloutPhase.RUNNING
        return self._make_ruling(phase, age_s)

    def compute_pause(self, now: float) -> float:
        """Return for how many seconds nothing has to be decided, unless evidence arrives."""
        until_success_s = self.ordered_at + compute_success_time(self.order.duration_s) - now
        if until_success_s <= 0.0:
            return MIN_DECISION_INTERVAL_S
        return min(DECISION_INTERVAL_S, max(MIN_DECISION_INTERVAL_S, until_success_s))

    def _find_reason_to_stop(
        self, evidence: Evidence, targets: TargetCounts, instances: int, now: float
    ) -> str:
        """Return why the roll-out has to be rolled back now; empty if it need not be."""
        if not self.order.duration_s >= MIN_DURATION_S:
            return REASON_TOO_SHORT
        self.finding = self._judge(evidence, now)
        if self.finding is not None:
            return self.finding.describe()
        age_s = now - self.ordered_at
        if age_s < compute_success_time(self.order.duration_s):
            return ""
        if not targets.has_enough:
            return REASON_TOO_FEW_TARGETS
        is_overdue = age_s >= self.order.duration_s
        if is_overdue and not self._is_well_informed(instances, now):
            return REASON_TOO_FEW_INSTANCES
        return ""

    def _judge(self, total: Evidence, now: float) -> Finding | None:
        """Judge all evidence, and that since each snapshot."""
        periods = [total, *(subtract(total, snapshot) for snapshot in self._snapshots)]
        if now >= self._next_snapshot_at:
            self._next_snapshot_at = now + SNAPSHOT_INTERVAL_S
            self._snapshots.append(total)
        findings = (judge(period, 1 + MAX_SNAPSHOTS) for period in periods)
        return next((finding for finding in findings if finding is not None), None)

    def _is_well_informed(self, instances: int, now: float) -> bool:
        heard = sum(now - r.received_at < HEARD_TTL_S for r in self._reports.values())
        return heard >= MIN_HEARD_FRACTION * instances

    def _make_ruling(self, phase: RolloutPhase, age_s: float) -> Ruling:
        plan = self._plan
        return Ruling(
            self.order.revision,
            phase,
            age_s,
            plan.succeed_at_s,
            plan.leads,
            plan.trial_fraction,
            self._stopped_for,
        )
