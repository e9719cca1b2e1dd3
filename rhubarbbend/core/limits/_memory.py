"""Counts the bytes that an instance holds for others, against its limit of memory.

Load handled here: callers that read their answers slowly or not at all, many large requests at
once, and more of both than fits into the memory of the process.

The process itself takes a part of the limit that nothing here counts: the program, its tables, its
connections, and copies of the held bytes. The resident size is therefore measured, when what is
held has changed or some time has passed. What may be held is what is held now and what the process
may still grow by. Memory that is freed is often not returned to the system but used again, so what
was held a while ago may be held again as far as the process has not shrunk since. Some bytes may
always be held, since refusing requests cannot make the process itself smaller.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import Final

# Of the limit: what held bytes and the process may take together. The rest is for what arrives
# between two measurements and for copies that exist only while data is parsed or sent.
USABLE_SHARE: Final = 0.8
# Each resident byte above the usable share lowers the bound on held bytes by so many, since
# fragmentation keeps freed memory in the process.
EXCESS_WEIGHT: Final = 3
# Of the limit: what may be held however much the process itself takes.
MIN_BUDGET_SHARE: Final = 0.0625
# Of the budget: above the first, answers that are not read are given up; above the second, no new
# request is accepted. What is left is for the answers of the accepted ones.
SHED_SHARE: Final = 0.75
ADMIT_SHARE: Final = 0.85
# What has made progress within this time is given up only if the whole budget is used.
MIN_STALL_S: Final = 0.5
# The resident size is read again when this share of the limit has been added to what is held, less
# or more of which may have been released since; at most every `MIN_MEASURE_INTERVAL_S`, and in any
# case after `MAX_MEASURE_INTERVAL_S`.
MEASURED_GROWTH_SHARE: Final = 0.01
MIN_MEASURE_INTERVAL_S: Final = 0.05
MAX_MEASURE_INTERVAL_S: Final = 2.0
# How long memory that was freed counts as usable again.
MEASURE_LIFETIME_S: Final = 30
# Weight of one more answer in the mean size of answers.
ANSWER_WEIGHT: Final = 0.05


class HeldKind(enum.Enum):
    """What bytes are held for."""

    REQUEST = "requests"  # Requests that are being read or run.
    ANSWER = "answers"  # Whole answers that are being received or not sent yet.
    STREAM = "streams"  # Events of streams that are not sent yet.
    DETOUR = "detours"  # Requests and answers of other instances.


class Holding:
    """Bytes that are held for one purpose.

    `stalled_since` is when its peer last made progress; None while nothing waits for the peer.
    `shed` gives the bytes up; it is called at most once.
    """

    __slots__ = ("kind", "size", "stalled_since", "shed", "is_shed")

    def __init__(self, kind: HeldKind, shed: Callable[[], None]) -> None:
        self.kind = kind
        self.size = 0
        self.stalled_since: float | None = None
        self.shed = shed
        self.is_shed = False


class MemoryLedger:
    """Counts holdings. Invariant: `held` is the sum of the sizes of all open holdings."""

    def __init__(self, limit: float = math.inf, measure: Callable[[], int] | None = None) -> None:
        """Count against `limit` bytes; `measure` returns the resident size of the process."""
        self.held = 0
        self._limit = limit
        self._measure = measure or (lambda: 0)
        self._holdings: dict[Holding, None] = {}
        self._budget = limit
        # What was held and the resident size then: of each of the last seconds, the most held.
        self._peaks: dict[int, tuple[int, int]] = {}
        self._measured_at = -math.inf
        # Bytes added since the last measurement, to what is held or to the process itself.
        self._grown = 0
        self._mean_answer = 0.0
        # Requests that are open; each may still have an answer of the mean size to come.
        self._awaited_answers = 0

    @property
    def budget(self) -> float:
        """Return how many bytes may be held, as of the last measurement."""
        return self._budget

    def set_limit(self, limit: float) -> None:
        """Replace the limit, in bytes."""
        if limit != self._limit:
            self._limit = limit
            self._measured_at = -math.inf

    def count_held(self, kind: HeldKind) -> int:
        """Return how many bytes are held for a purpose."""
        return sum(holding.size for holding in self._holdings if holding.kind is kind)

    def open(self, kind: HeldKind, shed: Callable[[], None]) -> Holding:
        """Start to count bytes held for a purpose."""
        holding = Holding(kind, shed)
        self._holdings[holding] = None
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Record how many bytes a holding has; without effect once it is closed."""
        if holding in self._holdings:
            growth = size - holding.size
            self.held += growth
            holding.size = size
            if growth > 0:
                self._grown += growth

    def close(self, holding: Holding) -> None:
        """Stop counting a holding."""
        if holding in self._holdings:
            self.held -= holding.size
            holding.size = 0
            del self._holdings[holding]

    def record_growth(self, size: int) -> None:
        """Record that the process itself has grown, so that it is measured again in time."""
        self._grown += size

    def record_awaited(self, change: int) -> None:
        """Change the number of open requests: 1 when one begins, -1 when it has ended.

        Some memory is kept for their answers.
        """
        self._awaited_answers += change

    def record_answer(self, size: int) -> None:
        """Record the size of a whole answer."""
        self._mean_answer += ANSWER_WEIGHT * (size - self._mean_answer)

    def can_admit(self, size: int, now: float) -> bool:
        """Return whether a new request of `size` bytes may be accepted."""
        self._update_budget(now)
        return self._count_expected() + size <= ADMIT_SHARE * self._budget

    def is_exhausted(self, now: float) -> bool:
        """Return whether all that may be held is held."""
        self._update_budget(now)
        return self.held > self._budget

    def select_shed(self, now: float) -> list[Holding]:
        """Return the holdings to be given up now, the largest and slowest first.

        The order is that of size times stall: many small ones that are nearly done are worth more
        to callers than the one that nobody reads.
        """
        self._update_budget(now)
        excess = self._count_expected() - SHED_SHARE * self._budget
        if excess <= 0.0:
            return []
        min_stall_s = 0.0 if self.held > self._budget else MIN_STALL_S
        stalled = [
            (holding.size * (now - holding.stalled_since), holding)
            for holding in self._holdings
            if holding.stalled_since is not None and now - holding.stalled_since >= min_stall_s
        ]
        stalled.sort(key=lambda entry: entry[0], reverse=True)
        selected: list[Holding] = []
        for _, holding in stalled:
            if excess <= 0.0:
                break
            if holding.size and not holding.is_shed:
                holding.is_shed = True
                selected.append(holding)
                excess -= holding.size
        return selected

    def _count_expected(self) -> float:
        """Return how many bytes will be held when the awaited answers have arrived."""
        return self.held + self._awaited_answers * self._mean_answer

    def _update_budget(self, now: float) -> None:
        """Measure the process again if that is due, and derive what may be held from it."""
        if math.isinf(self._limit):
            return
        age = now - self._measured_at
        if age < MIN_MEASURE_INTERVAL_S or (
            age < MAX_MEASURE_INTERVAL_S and self._grown < MEASURED_GROWTH_SHARE * self._limit
        ):
            return
        self._measured_at = now
        self._grown = 0
        resident = self._measure()
        second = int(now)
        if self.held >= self._peaks.get(second, (0, 0))[0]:
            self._peaks[second] = (self.held, resident)
        for past in [past for past in self._peaks if past <= second - MEASURE_LIFETIME_S]:
            del self._peaks[past]
        # A peak counts for less as far as the process has returned memory since.
        usable = max(
            self.held,
            *(held - max(0, then - resident) for held, then in self._peaks.values()),
        )
        free = USABLE_SHARE * self._limit - resident
        if free < 0.0:
            free *= EXCESS_WEIGHT
        self._budget = max(MIN_BUDGET_SHARE * self._limit, usable + free)
