"""Tracks the health of targets from the responses and connections of callers' requests.

It knows which targets are unreachable, which ones fail many requests while they accept connections,
and which ones were not met at their addresses, where others answer.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

# Backoff for a target that accepts no connection, doubled with each further failure. The request
# that tries the target next loses a connect timeout; during the backoff requests go elsewhere.
INITIAL_BACKOFF_S: Final = 0.25
MAX_BACKOFF_S: Final = 0.6
# A single connect timeout may be a lost packet. A second one within this time means that the target
# is unreachable: either at the same target, or at any target if none has accepted a connection or
# responded in between.
REPEATED_TIMEOUT_WINDOW_S: Final = 2.0
# While one request tries an unreachable target, no other request is sent there for this time, which
# is somewhat longer than a connection may take. Otherwise every request that arrives in that time
# would wait for the same connect timeout.
TRIAL_TIMEOUT_S: Final = 0.12
# Failures and successes lose half of their weight in this time. A fault that lasts some seconds is
# detected within one of them, and a target that has recovered is used again soon after.
HALF_LIFE_S: Final = 3.0
# A target is avoided only if it fails at least this fraction of its requests, out of at least this
# many requests (weighted by age).
MIN_FAILING_FRACTION: Final = 0.25
MIN_REQUESTS: Final = 3.0
# A target is avoided only if its fraction of failures is more than this many times the median of
# the service's other targets. If all targets fail alike, the fault is not in one of them and
# avoiding it gains nothing.
FAILING_FACTOR: Final = 2.0
# For this long after a failure, instances send one another what came of their requests.
SHARING_PERIOD_S: Final = 3.0
# Requests that one message of another instance counts for at most. It is less than `MIN_REQUESTS`:
# no target is avoided on the word of a single instance.
MAX_REPORTED_REQUESTS: Final = 2.0
# When one target of a zone becomes unreachable, the other targets of the zone are suspected, except
# those that responded or accepted a connection within this time.
RECENT_CONTACT_S: Final = 0.25


class TargetOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """How many requests of an instance a target answered or lost, and how many of them failed."""

    target: str
    total: int
    failed: int


class _HealthRecord:
    """The recent results of one target. Invariant: `failed` and `total` are as of `decayed_at`."""

    __slots__ = (
        "failed",
        "total",
        "decayed_at",
        "backoff",
        "backoff_until",
        "trial_until",
        "unreachable_since",
        "timed_out_at",
        "last_contact_at",
        "last_unreachable_at",
        "is_displaced",
    )

    def __init__(self, now: float) -> None:
        self.failed = 0.0
        self.total = 0.0
        self.decayed_at = now
        self.backoff = 0.0
        self.backoff_until = 0.0
        # Until when one request tries the target and no other may be sent there.
        self.trial_until = 0.0
        # Since when the target has accepted no connection; None if it is reachable.
        self.unreachable_since: float | None = None
        self.timed_out_at: float | None = None
        # When the target last responded without a failure or accepted a connection.
        self.last_contact_at = -math.inf
        # When the target was last seen to accept no connection.
        self.last_unreachable_at = -math.inf
        # Whether another target answered at its address. A connection does not end that.
        self.is_displaced = False

    def decay(self, now: float) -> None:
        """Reduce the weights of earlier results by their age."""
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.failed *= factor
        self.total *= factor
        self.decayed_at = now

    def mark_reachable(self) -> None:
        """End the backoff and any trial, so that every request may be sent to the target."""
        self.backoff_until = 0.0
        self.trial_until = 0.0
        self.unreachable_since = None
        self.timed_out_at = None


class HealthTracker:
    """Judges targets by the responses to callers' requests, without health check probes."""

    def __init__(self) -> None:
        self._records: dict[str, _HealthRecord] = {}
        # The last connect timeout (target and time) since any target responded or was connected.
        self._last_timeout: tuple[str, float] | None = None
        # What the other instances have not been sent yet: (total, failed) by target.
        self._unsent: dict[str, tuple[int, int]] = {}
        self._failure_seen_at = -math.inf
        # Called when there is something to send to the other instances; set by the instance.
        self.on_unsent: Callable[[], None] = lambda: None

    def record_response(
        self, target: str, failed: bool, now: float, is_shared: bool = False
    ) -> None:
        """Record a response, or a request that failed without one.

        `is_shared` is whether the other instances are sent it too, if a target has failed lately.
        """
        if is_shared:
            self._add_unsent(target, failed, now)
        record = self._get_or_create(target, now)
        record.decay(now)
        record.total += 1.0
        record.failed += 1.0 if failed else 0.0
        if not failed:
            record.last_contact_at = now
            record.backoff = 0.0
            record.mark_reachable()
            self._last_timeout = None

    def _add_unsent(self, target: str, failed: bool, now: float) -> None:
        if failed:
            self._failure_seen_at = now
        if now - self._failure_seen_at < SHARING_PERIOD_S:
            total, failures = self._unsent.get(target, (0, 0))
            self._unsent[target] = (total + 1, failures + failed)
            self.on_unsent()

    def pop_unsent(self) -> list[TargetOutcomes]:
        """Return what came of requests since the last call, for the other instances.

        Targets that this instance cannot reach are left out: its own links may be lost, and the
        others find out by themselves whether they can connect.
        """
        unsent, self._unsent = self._unsent, {}
        return [
            TargetOutcomes(target, *counts)
            for target, counts in unsent.items()
            if not self.is_unreachable(target)
        ]

    def merge_outcomes(self, outcomes: Iterable[TargetOutcomes], now: float) -> None:
        """Record what came of another instance's requests.

        Of many instances, each sees few requests at a target. If each had to find a bad target by
        itself, each would lose some of its requests there.
        """
        for outcome in outcomes:
            if not 0 <= outcome.failed <= outcome.total or not outcome.total:
                continue
            if outcome.failed:
                self._failure_seen_at = max(self._failure_seen_at, now)
            weight = min(1.0, MAX_REPORTED_REQUESTS / outcome.total)
            record = self._get_or_create(outcome.target, now)
            record.decay(now)
            record.total += weight * outcome.total
            record.failed += weight * outcome.failed

    def record_connect_timeout(self, target: str, now: float) -> float:
        """Record a connect timeout and return when the target's backoff ends."""
        record = self._get_or_create(target, now)
        previous, record.timed_out_at = record.timed_out_at, now
        last, self._last_timeout = self._last_timeout, (target, now)
        is_repeated = previous is not None and now - previous <= REPEATED_TIMEOUT_WINDOW_S
        follows_any = last is not None and now - last[1] <= REPEATED_TIMEOUT_WINDOW_S
        if is_repeated or follows_any or record.unreachable_since is not None:
            return self.record_unreachable(target, now)
        return record.backoff_until

    def begin_trial(self, target: str, now: float) -> bool:
        """Reserve an unreachable target for one request that tries a connection.

        Until the trial times out or the connection is made, no other request is sent there. Return
        False if the target is not unreachable and needs no trial.
        """
        if not self.is_unreachable(target):
            return False
        self._records[target].trial_until = now + TRIAL_TIMEOUT_S
        return True

    def record_connected(self, target: str, now: float) -> None:
        """Record that a target has accepted a connection, which makes it reachable."""
        self._last_timeout = None
        record = self._records.get(target)
        if record is not None:
            record.last_contact_at = now
            record.mark_reachable()

    def mark_suspect(self, targets: list[str], now: float) -> list[str]:
        """Mark targets of a zone or a service as unreachable after others of it became so.

        Targets with a recent contact are left out. Return the targets that were marked.

        A network partition cuts off all targets of a zone at once, or all targets from here, and
        connections that are already open stay open: each request sent over one of them would wait
        for a response that cannot arrive. A suspected target is tried over a new connection first,
        so one that is reachable is in use again within a round trip.
        """
        suspected: list[str] = []
        for target in targets:
            record = self._get_or_create(target, now)
            if record.unreachable_since is None and now - record.last_contact_at > RECENT_CONTACT_S:
                record.unreachable_since = now
                suspected.append(target)
        return suspected

    def clear_marks(self, targets: list[str], now: float) -> None:
        """Take back that targets are unreachable, after most others of their service are reached.

        One that is still unreachable costs the next request there a connect timeout, and one that
        has just accepted no connection keeps its backoff.
        """
        for target in targets:
            record = self._records.get(target)
            if record is not None and now >= max(record.backoff_until, record.trial_until):
                record.mark_reachable()

    def is_unreachable(self, target: str) -> bool:
        """Whether a target has accepted no connection since one failed."""
        record = self._records.get(target)
        return record is not None and record.unreachable_since is not None

    def list_unreachable(self) -> set[str]:
        """Return the targets that have accepted no connection since one failed."""
        return {target for target in self._records if self.is_unreachable(target)}

    def record_unreachable(self, target: str, now: float) -> float:
        """Record that a target is unreachable and return when its backoff ends."""
        record = self._get_or_create(target, now)
        if record.unreachable_since is None:
            record.unreachable_since = now
        if now >= record.backoff_until:
            record.backoff = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2.0 * record.backoff))
            record.backoff_until = now + record.backoff
        record.trial_until = 0.0
        record.last_unreachable_at = now
        return record.backoff_until

    def was_unreachable_since(self, target: str, at: float) -> bool:
        """Return whether a target accepted no connection at some time since `at`."""
        record = self._records.get(target)
        return record is not None and record.last_unreachable_at >= at

    def count_unreachable_since(self, at: float) -> int:
        """Count the unreachable targets that became so at `at` or later."""
        records = self._records.values()
        return sum(r.unreachable_since is not None and r.unreachable_since >= at for r in records)

    def record_displaced(self, target: str, now: float) -> None:
        """Record that another target answered at a target's address."""
        self._get_or_create(target, now).is_displaced = True

    def record_met(self, target: str) -> None:
        """Record that a target itself answers at its address, or is registered anew."""
        record = self._records.get(target)
        if record is not None:
            record.is_displaced = False

    def is_displaced(self, target: str) -> bool:
        """Whether another target answered at a target's address, and it was not met since."""
        record = self._records.get(target)
        return record is not None and record.is_displaced

    def is_on_trial(self, target: str, now: float) -> bool:
        """Whether a connection to an unreachable target is being tried."""
        record = self._records.get(target)
        return record is not None and now < record.trial_until

    def is_blocked(self, target: str, now: float) -> bool:
        """Whether no request may be sent to a target now.

        It is displaced, in its backoff, or tried by another request.
        """
        record = self._records.get(target)
        if record is None:
            return False
        return record.is_displaced or now < max(record.backoff_until, record.trial_until)

    def compute_failure_fraction(self, target: str, now: float) -> float:
        """Return the recent fraction of failed requests; 0 with fewer than `MIN_REQUESTS`."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        record.decay(now)
        if record.total < MIN_REQUESTS:
            return 0.0
        return record.failed / record.total

    def list_failing(self, targets: list[str], now: float) -> set[str]:
        """Return the targets that fail much more often than the other targets of their service."""
        fractions = {target: self.compute_failure_fraction(target, now) for target in targets}
        failing: set[str] = set()
        for target, fraction in fractions.items():
            if fraction < MIN_FAILING_FRACTION:
                continue
            others = [f for other, f in fractions.items() if other != target]
            typical = sorted(others)[len(others) // 2] if others else fraction
            if fraction > FAILING_FACTOR * typical:
                failing.add(target)
        return failing

    def forget(self, target: str) -> None:
        """Remove the record of a target that has been removed."""
        self._records.pop(target, None)

    def _get_or_create(self, target: str, now: float) -> _HealthRecord:
        record = self._records.get(target)
        if record is None:
            record = self._records[target] = _HealthRecord(now)
        return record
