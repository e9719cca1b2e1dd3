"""How a target's limit rises: after a cold start, and after a change of owner."""

from __future__ import annotations

from typing import Final

# A cold target's limit doubles this often before it counts as warm.
RAMP_ROUNDS: Final = 6
# So many reports without load of others, in a row, say that nobody else grants.
CLEAN_REPORTS: Final = 6
# After so many reports the load of others is taken for lasting, and not for a former owner's.
FOREIGN_PATIENCE: Final = 4


class ColdRamp:
    """The limit of a target in a cold start, raised by work done and by nothing else.

    Time alone does not warm a target: one that got no work is as cold as it was. Invariant:
    `allowed` is `cold_slots` until `cold_requests` have ended, and then doubles once for as many
    ended requests as are allowed at once.
    """

    def __init__(self, cold_slots: int, cold_requests: int, now: float) -> None:
        self.since = now
        self.allowed = max(1, cold_slots)
        self.work = 0
        self._rounds = 0
        self._left = max(1, cold_requests)

    @property
    def cold(self) -> bool:
        """Whether the ramp still limits the target."""
        return self._rounds < RAMP_ROUNDS

    def add_work(self) -> None:
        """Count a request that ran to its end."""
        self.work += 1
        self._left -= 1
        if self.cold and self._left <= 0:
            self._rounds += 1
            self.allowed *= 2
            self._left = self.allowed

    def restore(self, work: int) -> None:
        """Take over the work that the owner before has counted."""
        while self.cold and self.work < work:
            self.add_work()

    def finish(self) -> None:
        """Take the target as warm, on the word of the owner before."""
        while self.cold:
            self.add_work()


class Probation:
    """How many slots a new owner may grant while the one before may still be granting.

    Two instances whose lists differ both believe that they own a target. Granting from the limit
    alone, each would fill the room that the other fills too, and the target would carry twice its
    bound. So a new owner grants nothing until a report made after its take-over shows no load
    that it cannot account for, and then has at most `cold_slots` out that no report shows yet,
    twice as many after each clean one. The owner before counts those few as load of others and
    stays within the bound.
    """

    def __init__(self, cold_slots: int) -> None:
        self._cold_slots = max(1, cold_slots)
        self._allowed = 0
        self._clean = 0
        self._foreign = 0
        self._unreported: dict[str, float] = {}
        self.passed = False

    def may_grant(self) -> bool:
        """Whether one more slot may be granted before the next report."""
        return self.passed or len(self._unreported) < self._allowed

    def note_grant(self, attempt: str, now: float) -> None:
        """Count a grant that no report shows yet."""
        if not self.passed:
            self._unreported[attempt] = now

    def note_end(self, attempt: str) -> None:
        """Count a granted slot no more: it ended before a report showed it."""
        self._unreported.pop(attempt, None)

    def take_report(self, at: float, foreign: int) -> None:
        """Judge a report made at `at`, after the take-over."""
        if self.passed:
            return
        self._unreported = {a: since for a, since in self._unreported.items() if since > at}
        if foreign:
            self._clean = 0
            self._foreign += 1
            patient = self._foreign < FOREIGN_PATIENCE and not self._allowed
            self._allowed = 0 if patient else self._cold_slots
            return
        self._clean += 1
        self._allowed = 2 * self._allowed if self._allowed else self._cold_slots
        if self._clean >= CLEAN_REPORTS:
            self.finish()

    def finish(self) -> None:
        """End the probation: nobody else grants."""
        self.passed = True
        self._unreported.clear()
