"""Tracks which services the instances cannot reach, by what each instance says of itself.

An instance finds out by its own requests that it has lost its links to the targets of a service.
It tells the others once, and again when it reaches them. Each instance so knows whom it need not
ask for help, however many lost their links by the same fault.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from typing import Final

import msgspec

# How long a notice of another instance holds. It is as a rule taken back by a later one; this is
# for an instance that has ended or whose later notice was lost.
NOTICE_TTL_S: Final = 30.0
# An instance that still does not reach a service tells the others again after this time.
REPEAT_INTERVAL_S: Final = 10.0


class ReachNotice(msgspec.Struct, frozen=True, array_like=True):
    """Says whether an instance reached the targets of a service `age` seconds ago."""

    instance: str
    service: str
    is_reached: bool
    age: float = 0.0

    def add_age(self, seconds: float) -> ReachNotice:
        """Return the notice with a time added to its age."""
        return msgspec.structs.replace(self, age=self.age + seconds)


class _Report(msgspec.Struct):
    """What an instance last said of a service, and when, by the local clock."""

    is_reached: bool
    at: float


class ReachTable:
    """What instances say of the services that they reach.

    Invariant: what is held of this instance is its own finding, never another's word. A service of
    which nothing is known counts as reached.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        # The services that this instance does not reach, and when the others were told last.
        self._unreached: set[str] = set()
        self._told_at: dict[str, float] = {}
        self._reports: dict[str, dict[str, _Report]] = {}
        self._unsent: dict[str, ReachNotice] = {}
        # Called when there is something to tell the other instances; set by the instance.
        self.on_unsent: Callable[[], None] = lambda: None

    def is_unreached_here(self, service: str) -> bool:
        """Return whether this instance has lost its links to the targets of a service."""
        return service in self._unreached

    def record_unreached(self, service: str, now: float) -> bool:
        """Record that no target of a service is reached; return whether that is new."""
        is_new = service not in self._unreached
        self._unreached.add(service)
        if is_new or now - self._told_at.get(service, -math.inf) >= REPEAT_INTERVAL_S:
            self._tell(service, is_reached=False, now=now)
        return is_new

    def record_reached(self, service: str, now: float) -> bool:
        """Record that the targets of a service are reached; return whether that is new."""
        if service not in self._unreached:
            return False
        self._unreached.discard(service)
        self._tell(service, is_reached=True, now=now)
        return True

    def _tell(self, service: str, is_reached: bool, now: float) -> None:
        self._told_at[service] = now
        self._unsent[service] = ReachNotice(self._instance, service, is_reached)
        self.on_unsent()

    def pop_unsent(self) -> list[ReachNotice]:
        """Return the latest finding on each service since the last call, for the others."""
        unsent, self._unsent = self._unsent, {}
        return list(unsent.values())

    def put_back(self, notices: Iterable[ReachNotice]) -> None:
        """Have notices sent again that not all others got, unless there are later findings."""
        for notice in notices:
            self._unsent.setdefault(notice.service, notice)
            self.on_unsent()

    def merge_notices(self, notices: Iterable[ReachNotice], now: float) -> None:
        """Record what other instances say; of two notices, the later one holds."""
        for notice in notices:
            if notice.instance == self._instance or not notice.age >= 0.0:
                continue
            reports = self._reports.setdefault(notice.service, {})
            known, at = reports.get(notice.instance), now - notice.age
            if known is None or known.at <= at:
                reports[notice.instance] = _Report(notice.is_reached, at)

    def list_unreached_by(self, service: str, now: float) -> Collection[str]:
        """Return the other instances that do not reach the targets of a service."""
        reports = self._reports.get(service, {})
        return {
            name
            for name, report in reports.items()
            if not report.is_reached and now - report.at < NOTICE_TTL_S
        }

    def list_notices(self, now: float) -> list[ReachNotice]:
        """Return what is known of services that are not reached, for an instance that joins."""
        services = sorted(self._unreached | self._reports.keys())
        return [notice for service in services for notice in self.list_service(service, now)]

    def list_service(self, service: str, now: float) -> list[ReachNotice]:
        """Return what is known of the instances that do not reach a service, this one first."""
        own = (
            [ReachNotice(self._instance, service, False)] if self.is_unreached_here(service) else []
        )
        others = [
            ReachNotice(name, service, False, now - self._reports[service][name].at)
            for name in self.list_unreached_by(service, now)
        ]
        return own + others

    def forget(self, instance: str) -> None:
        """Forget what an instance has said: it has left, or has just started."""
        for reports in self._reports.values():
            reports.pop(instance, None)

    def expire(self, now: float) -> None:
        """Drop the notices that hold no more."""
        for service, reports in list(self._reports.items()):
            kept = {n: r for n, r in reports.items() if now - r.at < NOTICE_TTL_S}
            if kept:
                self._reports[service] = kept
            else:
                del self._reports[service]
