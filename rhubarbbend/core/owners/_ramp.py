"""How a target's limit rises: after a cold start, and after a change of owner."""

from __future__ import annotations

from typing import Final

# A cold target's limit doubles this often before it counts as warm.
RAMP_ROUNDS: Final = 6
# So many reports without load of others, in a row, are no mere lull of another owner.
STEADY_REPORTS: Final = 3
# So many say that nobody else grants.
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

    @property
    def raised(self) -> bool:
        """Whether the target may have more than at the begin of a cold start."""
        return self._rounds > 0

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

    def show_bearing(self, running: int) -> None:
        """Take over what the target is seen to run: it bears that much.

        After a restart of every instance nobody remembers which targets are warm; held to a cold
        start, a busy fleet would refuse most of what it had carried a moment before.
        """
        while self.cold and self.allowed < running:
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
    that it cannot account for, and then has at most `cold_slots` out. The owner before counts
    those as load of others and stays within the bound, so that both together exceed it by no more
    than `cold_slots`. Once a few reports in a row show no load of others, the slots out that no
    report shows yet may double with each further one.
    """

    def __init__(self, cold_slots: int) -> None:
        self._cold_slots = max(1, cold_slots)
        self._allowed = 0
        self._clean = 0
        self._foreign = 0
        self._reported_at = 0.0
        self._granted: dict[str, float] = {}
        self.passed = False

    def may_grant(self) -> bool:
        """Whether one more slot may be granted before the next report."""
        if self.passed:
            return True
        if self._clean < STEADY_REPORTS:
            return len(self._granted) < self._allowed
        unreported = sum(since >= self._reported_at for since in self._granted.values())
        return unreported < self._allowed

    def note_grant(self, attempt: str, now: float) -> None:
        """Count a grant."""
        if not self.passed:
            self._granted[attempt] = now

    def note_end(self, attempt: str) -> None:
        """Count a grant no more: its slot was given back."""
        self._granted.pop(attempt, None)

    def take_report(self, at: float, foreign: int) -> None:
        """Judge a report made at `at`, after the take-over."""
        if self.passed:
            return
        self._reported_at = at
        if foreign:
            self._clean = 0
            self._foreign += 1
            patient = self._foreign < FOREIGN_PATIENCE and not self._allowed
            self._allowed = 0 if patient else self._cold_slots
            return
        self._clean += 1
        steady = self._clean > STEADY_REPORTS
        self._allowed = 2 * self._allowed if steady else self._cold_slots
        if self._clean >= CLEAN_REPORTS:
            self.finish()

    def finish(self) -> None:
        """End the probation: nobody else grants."""
        self.passed = True
        self._granted.clear()
