"""How targets have answered of late: which are unreachable, and which fail while they look well."""

from __future__ import annotations

import math
from typing import Final

# A target that takes no connection is left alone for so long, doubled with each further failure.
# The request that tries it next loses a connect time-out; while it is held others go elsewhere.
FIRST_HOLD: Final = 0.25
LONGEST_HOLD: Final = 0.6
# A connection that times out once may have lost a packet; so many seconds after another one, to
# this target or with none taken in between by any, it says that the target is away.
SECOND_TIMEOUT: Final = 2.0
# One request at a time tries a target again that took no connection, for so many seconds: somewhat
# longer than a connection may take. Before, all that came in that time waited with it.
TRIAL: Final = 0.12
# Failures and successes lose half of their weight in this time: a fault of some seconds is seen
# within one of them, and a target that is well again is used again soon after.
HALF_LIFE: Final = 3.0
# A target is avoided if it fails so large a share of its requests, with so much evidence,
FAILING_SHARE: Final = 0.25
LEAST_EVIDENCE: Final = 3.0
# and so many times the share of the service's other targets: what all fail alike is no fault of
# one of them, and avoiding it gains nothing.
FAILING_FACTOR: Final = 2.0


# The targets of a zone in which one was lost are tried by one request each, but for those heard of
# within so many seconds.
ZONE_SILENCE: Final = 0.25


class _Record:
    """One target's recent past. Invariant: weights are as of `at`."""

    __slots__ = (
        "failed",
        "total",
        "at",
        "hold",
        "down_until",
        "trial_until",
        "down_since",
        "timed_out_at",
        "heard_at",
    )

    def __init__(self, now: float) -> None:
        self.failed = 0.0
        self.total = 0.0
        self.at = now
        self.hold = 0.0
        self.down_until = 0.0
        # Until when a request tries it, alone.
        self.trial_until = 0.0
        # Since when it has taken no connection.
        self.down_since: float | None = None
        self.timed_out_at: float | None = None
        # When it last answered or took a connection.
        self.heard_at = -math.inf

    def fade(self, now: float) -> None:
        """Let what is known lose its weight."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE)
        self.failed *= factor
        self.total *= factor
        self.at = now

    def open(self) -> None:
        """Let everyone go there."""
        self.down_until = 0.0
        self.trial_until = 0.0
        self.down_since = None
        self.timed_out_at = None


class HealthBook:
    """Judges targets by the answers to callers' requests. No probe is sent for it."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        # Since the last connection that any target took: when one timed out, and where.
        self._last_timeout: tuple[str, float] | None = None

    def note_answer(self, target: str, failed: bool, now: float) -> None:
        """Count an answer, or a request that got none."""
        record = self._find(target, now)
        record.fade(now)
        record.total += 1.0
        record.failed += 1.0 if failed else 0.0
        if not failed:
            record.heard_at = now
            record.hold = 0.0
            record.open()
            self._last_timeout = None

    def note_timeout(self, target: str, now: float) -> float:
        """Note a connection that timed out; gives until when the target is held down."""
        record = self._find(target, now)
        before, record.timed_out_at = record.timed_out_at, now
        others, self._last_timeout = self._last_timeout, (target, now)
        again = before is not None and now - before <= SECOND_TIMEOUT
        after_others = others is not None and now - others[1] <= SECOND_TIMEOUT
        if again or after_others or record.down_since is not None:
            return self.note_unreachable(target, now)
        return record.down_until

    def begin_trial(self, target: str, now: float) -> bool:
        """Let a request try a target that took no connection, and no other until it has.

        False if the target is not one of these, and anyone may go there.
        """
        if not self.is_lost(target):
            return False
        self._records[target].trial_until = now + TRIAL
        return True

    def note_connected(self, target: str, now: float) -> None:
        """Note that a target has taken a connection: it is there for everyone."""
        self._last_timeout = None
        record = self._records.get(target)
        if record is not None:
            record.heard_at = now
            record.open()

    def suspect_zone(self, targets: list[str], now: float) -> list[str]:
        """Doubt the other targets of a zone in which one was lost; gives those.

        A cut takes all of a zone's targets at once, and connections that were open before stay
        open: each request sent over one of them would wait for an answer that cannot come. Tried
        over a new connection first, a target that is there is open again within a round trip.
        """
        doubted: list[str] = []
        for target in targets:
            record = self._find(target, now)
            if record.down_since is None and now - record.heard_at > ZONE_SILENCE:
                record.down_since = now
                doubted.append(target)
        return doubted

    def is_lost(self, target: str) -> bool:
        """Whether a target has taken no connection since one failed."""
        record = self._records.get(target)
        return record is not None and record.down_since is not None

    def list_lost(self) -> set[str]:
        """List the targets that have taken no connection since one failed."""
        return {target for target in self._records if self.is_lost(target)}

    def note_unreachable(self, target: str, now: float) -> float:
        """Hold a target down that refused a connection; gives until when."""
        record = self._find(target, now)
        if record.down_since is None:
            record.down_since = now
        if now >= record.down_until:
            record.hold = min(LONGEST_HOLD, max(FIRST_HOLD, 2.0 * record.hold))
            record.down_until = now + record.hold
        record.trial_until = 0.0
        return record.down_until

    def count_lost_since(self, at: float) -> int:
        """Count the targets that have taken no connection since some time after `at`."""
        records = self._records.values()
        return sum(r.down_since is not None and r.down_since >= at for r in records)

    def is_down(self, target: str, now: float) -> bool:
        """Whether a target is held down."""
        record = self._records.get(target)
        return record is not None and now < max(record.down_until, record.trial_until)

    def compute_failing_share(self, target: str, now: float) -> float:
        """Give the recent share of failures; 0 with too little evidence."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        record.fade(now)
        if record.total < LEAST_EVIDENCE:
            return 0.0
        return record.failed / record.total

    def list_failing(self, targets: list[str], now: float) -> set[str]:
        """List those that fail much more often than the others of their service."""
        shares = {target: self.compute_failing_share(target, now) for target in targets}
        failing: set[str] = set()
        for target, share in shares.items():
            if share < FAILING_SHARE:
                continue
            others = [s for other, s in shares.items() if other != target]
            typical = sorted(others)[len(others) // 2] if others else share
            if share > FAILING_FACTOR * typical:
                failing.add(target)
        return failing

    def forget(self, target: str) -> None:
        """Forget a target that has gone."""
        self._records.pop(target, None)

    def _find(self, target: str, now: float) -> _Record:
        record = self._records.get(target)
        if record is None:
            record = self._records[target] = _Record(now)
        return record
