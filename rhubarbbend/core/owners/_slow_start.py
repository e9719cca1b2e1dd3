"""Limits of a target that rise step by step: slow start, and probation after a change of owner."""

from __future__ import annotations

from typing import Final

# A target counts as warm after its limit has doubled this many times.
SLOW_START_DOUBLINGS: Final = 6
# Consecutive clean reports (without foreign load) after which the absence of foreign load is no
# longer taken for a lull in another owner's grants.
MIN_REPORTS_TO_GROW: Final = 3
# Consecutive clean reports after which no other owner is assumed to grant.
MIN_REPORTS_TO_FINISH: Final = 6
# After this many reports with foreign load it is assumed to be permanent and not to come from a
# former owner.
FOREIGN_REPORT_LIMIT: Final = 4


class SlowStart:
    """The load limit of a cold target, which only completed requests raise.

    Time alone does not warm a target: one that got no work is as cold as before. Invariant: `limit`
    is `cold_slots` until `cold_requests` requests have completed. After that it doubles each time
    as many requests have completed as the current limit.
    """

    def __init__(self, cold_slots: int, cold_requests: int, now: float) -> None:
        self.started_at = now
        self.limit = max(1, cold_slots)
        self.completed_requests = 0
        self._doublings = 0
        self._remaining_requests = max(1, cold_requests)

    @property
    def is_cold(self) -> bool:
        """Whether slow start still limits the target."""
        return self._doublings < SLOW_START_DOUBLINGS

    @property
    def has_grown(self) -> bool:
        """Whether the limit has been raised since the cold start began."""
        return self._doublings > 0

    def record_completion(self) -> None:
        """Record a completed request."""
        self.completed_requests += 1
        self._remaining_requests -= 1
        if self.is_cold and self._remaining_requests <= 0:
            self._doublings += 1
            self.limit *= 2
            self._remaining_requests = self.limit

    def restore(self, completed_requests: int) -> None:
        """Advance to the number of completed requests that the former owner counted."""
        while self.is_cold and self.completed_requests < completed_requests:
            self.record_completion()

    def raise_limit_to(self, running: int) -> None:
        """Raise the limit until it covers the number of requests that the target is seen to run.

        After a restart of all instances none of them knows which targets are warm. With a full slow
        start, a busy fleet would refuse most of the load that it had carried a moment before.
        """
        while self.is_cold and self.limit < running:
            self.record_completion()

    def mark_warm(self) -> None:
        """End slow start, because the former owner reported the target as warm."""
        while self.is_cold:
            self.record_completion()


class Probation:
    """Limits the slots that a new owner grants while the former owner may still grant.

    Two instances whose lists differ may both believe that they own a target. If each granted up to
    the target's limit, both would fill the same free capacity and the target would carry twice its
    bound. A new owner therefore grants nothing until a report made after the takeover shows no
    foreign load, and then has at most `cold_slots` granted. The former owner counts those as
    foreign load and stays within the bound, so that both together exceed it by at most
    `cold_slots`. After a few consecutive reports without foreign load, the number of granted slots
    that no report covers yet may double with each further report.
    """

    def __init__(self, cold_slots: int) -> None:
        self._cold_slots = max(1, cold_slots)
        self._limit = 0
        self._clean_reports = 0
        self._foreign_reports = 0
        self._last_report_at = 0.0
        self._granted: dict[str, float] = {}
        self.finished = False

    def can_grant(self) -> bool:
        """Return whether one more slot may be granted before the next report."""
        if self.finished:
            return True
        if self._clean_reports < MIN_REPORTS_TO_GROW:
            return len(self._granted) < self._limit
        unreported_count = sum(since >= self._last_report_at for since in self._granted.values())
        return unreported_count < self._limit

    def record_grant(self, attempt: str, now: float) -> None:
        """Record a granted slot."""
        if not self.finished:
            self._granted[attempt] = now

    def record_release(self, attempt: str) -> None:
        """Record that a granted slot was released."""
        self._granted.pop(attempt, None)

    def record_report(self, made_at: float, foreign_load: int) -> None:
        """Update the limit from a report made at `made_at`, which is after the takeover."""
        if self.finished:
            return
        self._last_report_at = made_at
        if foreign_load:
            self._clean_reports = 0
            self._foreign_reports += 1
            is_waiting = self._foreign_reports < FOREIGN_REPORT_LIMIT and not self._limit
            self._limit = 0 if is_waiting else self._cold_slots
            return
        self._clean_reports += 1
        can_grow = self._clean_reports > MIN_REPORTS_TO_GROW
        self._limit = 2 * self._limit if can_grow else self._cold_slots
        if self._clean_reports >= MIN_REPORTS_TO_FINISH:
            self.finish()

    def finish(self) -> None:
        """End the probation: no other owner grants."""
        self.finished = True
        self._granted.clear()
