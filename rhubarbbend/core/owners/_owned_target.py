"""The state that the owner keeps of one target: slots, queue, limits and the last load report."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

from rhubarbbend.core.configuration import Service
from rhubarbbend.core.messages import HeldSlot, SlotRelease
from rhubarbbend.core.owners._queue import FairQueue
from rhubarbbend.core.owners._slow_start import Probation, SlowStart

# A target is taken as cold after CONSECUTIVE_SLOW_LIMIT first bytes in a row that each took more
# than SLOW_FACTOR times the expected time plus SLOW_MARGIN_S.
SLOW_FACTOR: Final = 4.0
SLOW_MARGIN_S: Final = 0.25
CONSECUTIVE_SLOW_LIMIT: Final = 3
# A target is also taken as cold after this many attempts failed at it with no completed attempt in
# between.
CONSECUTIVE_FAILURE_LIMIT: Final = 2
# Weight of a new sample in the moving averages of the baseline and the request duration.
SMOOTHING_FACTOR: Final = 0.1
MAX_SLOT_SAMPLES: Final = 512


@attrs.define(slots=True)
class Slot:
    """A slot, granted at `granted_at` and last confirmed at `renewed_at`."""

    attempt: str
    holder: str
    incarnation: int
    account: str
    granted_at: float
    renewed_at: float
    suspect: bool


class ColdDetector:
    """Detects a target that has turned cold without a new boot id.

    A cold target still accepts work but serves it slowly, and it fails under full load. The
    detector compares the time to first byte with the target's own baseline. The expected time to
    read the prompt is left out of the baseline and allowed in addition to it, so that a few long
    prompts do not look like a cold target.
    """

    def __init__(self) -> None:
        self._baseline = -1.0
        self._consecutive_slow = 0
        self._consecutive_failures = 0

    def record_first_byte(self, first_byte: float, prefill_time: float) -> bool:
        """Record the time to first byte of a completed attempt; return whether the target is cold.

        Both times are in seconds; `prefill_time` is the expected time to read the prompt.
        """
        self._consecutive_failures = 0
        excess = max(0.0, first_byte - prefill_time)
        if self._baseline < 0:
            self._baseline = excess
        if first_byte > SLOW_FACTOR * (self._baseline + prefill_time) + SLOW_MARGIN_S:
            self._consecutive_slow += 1
            return self._consecutive_slow >= CONSECUTIVE_SLOW_LIMIT
        self._consecutive_slow = 0
        self._baseline += SMOOTHING_FACTOR * (excess - self._baseline)
        return False

    def record_failure(self) -> bool:
        """Record an attempt that failed at the target; return whether the target counts as cold."""
        self._consecutive_failures += 1
        return self._consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT


class OwnedTarget:
    """The owner's state of one target.

    Invariants: `slots` holds every grant that has not been released. `in_doubt` maps attempts that
    the target may still run, although their slot was released or their holder was lost, to the time
    of the release or loss; a report made after that time removes them. The load is the number of
    both plus the foreign load: requests that reports show but this owner did not grant.
    """

    def __init__(self, target: str, service: Service, now: float) -> None:
        self.target = target
        self.taken_over_at = now
        self.slots: dict[str, Slot] = {}
        self.in_doubt: dict[str, float] = {}
        self.queue = FairQueue(service.max_queue)
        self.slow_start = SlowStart(service.cold_slots, service.cold_requests, now)
        self.probation = Probation(service.cold_slots)
        self.cold_detector = ColdDetector()
        self.boot_id = ""
        self.ready = False
        self.out_of_service = False
        self.last_report_at = -1.0
        self.foreign_load = 0
        self.reported_limit = 0
        self.mean_duration = 0.0
        self._last_report_made_at = -1.0
        self._slot_samples: deque[tuple[float, int]] = deque(maxlen=MAX_SLOT_SAMPLES)

    def count_load(self) -> int:
        """Return the load in requests: granted slots, attempts in doubt and foreign load."""
        return len(self.slots) + len(self.in_doubt) + self.foreign_load

    def has_suspect(self) -> bool:
        """Return whether a request that was running when a target crashed runs on this target."""
        return any(slot.suspect for slot in self.slots.values())

    def compute_limit(self, service: Service, total_load: int, target_count: int) -> int:
        """Return the maximum load in requests that the target may have.

        `total_load` and `target_count` cover the ready targets of the service, including this one.
        The mean includes the request that is being decided on, so that a fleet at its bound can
        still grow.
        """
        mean = (total_load + 1) / max(1, target_count)
        limit = max(service.floor, math.ceil(service.bound * mean))
        if self.reported_limit:
            limit = min(limit, self.reported_limit)
        if self.slow_start.is_cold:
            limit = min(limit, self.slow_start.limit)
        return limit

    def add_slot(self, slot: Slot, now: float) -> None:
        """Add a granted slot."""
        self.slots[slot.attempt] = slot
        self.probation.record_grant(slot.attempt, now)
        self.record_slot_count(now)

    def register_slot(self, held: HeldSlot, holder: str, incarnation: int, now: float) -> bool:
        """Add a slot that another owner granted, or renew it; return whether it was unknown."""
        slot = self.slots.get(held.attempt)
        if slot is not None:
            slot.renewed_at = now
            return False
        if self.in_doubt.pop(held.attempt, None) is None:
            # Reports showed this request as foreign load; it must not be counted twice.
            self.foreign_load = max(0, self.foreign_load - 1)
        self.slots[held.attempt] = Slot(
            held.attempt, holder, incarnation, held.account, now, now, held.suspect
        )
        self.record_slot_count(now)
        return True

    def release_slot(self, message: SlotRelease, now: float) -> Slot | None:
        """Release the slot of an attempt and return it, or None if it was not held.

        An attempt that did not complete may go on running at the target for a while, because its
        connection was cut or its caller left. It stays part of the load, in doubt, until a later
        report.
        """
        slot = self.slots.pop(message.attempt, None)
        if message.completed:
            self.in_doubt.pop(message.attempt, None)
        elif slot is not None and message.sent:
            self.in_doubt[message.attempt] = now
        self.probation.record_release(message.attempt)
        if slot is not None:
            if message.completed:
                self._record_duration(now - slot.granted_at)
            self.record_slot_count(now)
        return slot

    def mark_in_doubt(self, slot: Slot, now: float) -> None:
        """Release a slot that its holder no longer confirms; keep its attempt in doubt."""
        del self.slots[slot.attempt]
        self.probation.record_release(slot.attempt)
        self.in_doubt[slot.attempt] = now
        self.record_slot_count(now)

    def record_slot_count(self, now: float) -> None:
        """Record the current number of slots, for comparison with reports that arrive later."""
        self._slot_samples.append((now, len(self.slots)))

    def record_report(self, running: int, age: float, now: float) -> None:
        """Update the foreign load from a load report.

        `running` is the number of requests that the target ran, `age` the seconds since the report
        was made. Reports lag: compared with the current slots, a report would show foreign load
        after each burst of releases and hide it after each burst of grants. It is therefore
        compared with the number of slots at the time when it was made. A request ends at the target
        before its slot is released, so the target never runs more of this owner's requests than
        that number.
        """
        made_at = now - age
        if made_at < self._last_report_made_at:
            return
        self._last_report_made_at = made_at
        self.last_report_at = now
        for attempt, since in list(self.in_doubt.items()):
            # An attempt released after the report was made still held a slot at that time.
            if since < made_at:
                del self.in_doubt[attempt]
        self.foreign_load = max(0, running - self._find_slot_count(made_at))
        if made_at >= self.taken_over_at:
            self.probation.record_report(made_at, self.foreign_load)

    def estimate_first_completion(self, now: float) -> float:
        """Return the seconds until the longest-running request is expected to complete.

        The estimate is the mean duration minus the time that this request has run, and at least 0.
        """
        longest = max((now - slot.granted_at for slot in self.slots.values()), default=0.0)
        return max(0.0, self.mean_duration - longest)

    def _find_slot_count(self, at: float) -> int:
        """Return the number of slots at a past time."""
        count = 0
        for recorded_at, slots in self._slot_samples:
            if recorded_at > at:
                break
            count = slots
        return count

    def _record_duration(self, seconds: float) -> None:
        if not self.mean_duration:
            self.mean_duration = seconds
        self.mean_duration += SMOOTHING_FACTOR * (seconds - self.mean_duration)
