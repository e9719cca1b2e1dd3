"""How many requests each target holds, as far as one instance can tell."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from rhubarbbend.core.placement._in_flight import InFlight, OthersBook

# What a target said of its load counts less as it ages and nothing after so many seconds: most of
# the requests that it counted have ended by then.
REPORT_LIFE: Final = 3.0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a target said of itself, as told to others: requests held, and how many seconds ago."""

    target: str
    held: int
    age: float


class LoadReport(msgspec.Struct, frozen=True):
    """What a target said: requests running and waiting there.

    Of these, `own` were this instance's and `told` those that other instances had told of. It was
    said at `at` and known here from `heard_at` on; `is_relayed` if this instance has it from one
    that passes on what others heard, and need not tell it again.
    """

    held: int
    own: int
    told: int
    at: float
    heard_at: float
    is_relayed: bool = False


class LoadBook:
    """Own requests under way, and those that other instances tell. No probe is sent for it.

    What instances have that are not heard, and what plain targets hold, is known from the targets'
    answers. Among many instances each has few of those, so they tell one another of them.
    """

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._reports: dict[str, LoadReport] = {}
        self.others = OthersBook()
        # How many other instances there are; None while that is not known.
        self.expected: int | None = None
        # Called when a count of its own changes; set by the instance.
        self.on_change: Callable[[], None] = lambda: None

    def begin(self, target: str) -> None:
        """Count a request that is being sent to a target."""
        self._own[target] = self._own.get(target, 0) + 1
        self.on_change()

    def end(self, target: str) -> None:
        """Count it no more."""
        left = self._own.get(target, 0) - 1
        if left > 0:
            self._own[target] = left
        else:
            self._own.pop(target, None)
        self.on_change()

    def list_own(self) -> dict[str, int]:
        """Give how many requests this instance has at each target."""
        return dict(self._own)

    def hear_instance(self, told: InFlight, now: float) -> None:
        """Take in what another instance has under way."""
        self.others.hear(told, now)

    def count_own(self, target: str) -> int:
        """Give how many requests this instance has at a target."""
        return self._own.get(target, 0)

    def take_report(self, target: str, held: int, now: float) -> None:
        """Take in what a target's answer says of its load."""
        told = self.others.count(target, now)
        self._reports[target] = LoadReport(held, self.count_own(target), told, now, now)

    def hear(self, loads: Iterable[TargetLoad], is_relayed: bool, now: float) -> None:
        """Take in what others were told, as far as it is newer than what is known."""
        for load in loads:
            at = now - load.age
            known = self._reports.get(load.target)
            if known is None or known.at < at:
                own = self.count_own(load.target)
                told = self.others.count(load.target, now)
                report = LoadReport(load.held, own, told, at, now, is_relayed)
                self._reports[load.target] = report

    def list_since(self, heard_after: float, with_relayed: bool, now: float) -> list[TargetLoad]:
        """List what has been heard since a time and still says something."""
        return [
            TargetLoad(target, report.held, round(now - report.at, 3))
            for target, report in self._reports.items()
            if report.heard_at > heard_after
            and now - report.at < REPORT_LIFE
            and (with_relayed or not report.is_relayed)
        ]

    def estimate(self, target: str, is_told: bool, now: float) -> float:
        """Estimate how many requests a target holds; `is_told` if instances tell of such ones."""
        known = self.count_own(target) + self.others.count(target, now)
        report = self._reports.get(target)
        if report is None or (is_told and self.hears_all(now)):
            return float(known)
        unknown = max(0, report.held - report.own - report.told)
        freshness = max(0.0, 1.0 - (now - report.at) / REPORT_LIFE)
        return known + unknown * freshness

    def hears_all(self, now: float) -> bool:
        """Whether the requests of all other instances are known."""
        return self.hears_part(1.0, now)

    def hears_part(self, part: float, now: float) -> bool:
        """Whether the requests of at least a part of the other instances are known."""
        if self.expected is None:
            return False
        return self.others.count_instances(now) >= part * self.expected

    def read_age(self, target: str, now: float) -> float | None:
        """Give the age of a target's report in seconds; None without one."""
        report = self._reports.get(target)
        return None if report is None else now - report.at

    def forget(self, target: str) -> None:
        """Forget the reports of a target that has gone."""
        self._reports.pop(target, None)
