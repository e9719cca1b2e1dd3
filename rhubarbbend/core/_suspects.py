"""Requests that were running when their target crashed.

A crash makes every request that ran on the target a suspect with a count of one. A suspect's next
attempt gets a slot only where no other suspect runs, so the second crash has a single suspect
beside requests that have no count yet: the request that crashes targets reaches the limit and the
ones that were beside it do not.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from rhubarbbend import codes
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.messages import CrashCount, CrashNotice, Message

# A request that comes with one crash against it is held for so many seconds before it is sent. Its
# caller may have been refused a moment ago by the instance that saw the second crash, and overtake
# that instance's word, which took up to 7 ms between two zones on a crowded machine; sent at once,
# the request took a third engine down in 3 of 18 runs there. It costs an innocent request, after a
# crash beside it, as much as it takes an engine to begin an answer.
NOTICE_WAIT: Final = 0.05

OnRefused = Callable[[str, float], None]


@attrs.define(slots=True)
class Suspicion:
    """How often a digest was running at a crash; `targets` counts each boot id once."""

    boots: set[str]
    count: int
    at: float


@attrs.define(slots=True, frozen=True)
class Crash:
    """A crash as an attempt saw it: when it was sent, and when its connection failed."""

    boot_id: str
    dispatched_at: float
    failed_at: float


class SuspectDuty:
    """Counts crashes by request digest. Invariant: a digest is forgotten after suspect_hold."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._suspicions: dict[str, Suspicion] = {}
        # Since when each boot of a target is known to have ended.
        self._ended: dict[str, float] = {}
        self._on_refused: OnRefused = lambda digest, now: None

    def set_listener(self, on_refused: OnRefused) -> None:
        """Set what is told of a digest that has just reached the limit, with the present time."""
        self._on_refused = on_refused

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start."""
        return {events.Started: self._start}

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle notices of other instances."""
        return {CrashNotice: self._handle_notice}

    def count_crashes(self, digest: str) -> int:
        """Give the number of crashes counted against a digest."""
        suspicion = self._suspicions.get(digest)
        return 0 if suspicion is None else suspicion.count

    def is_refused(self, digest: str) -> bool:
        """Whether a digest has reached the limit."""
        return self.count_crashes(digest) >= self._context.options.suspect_limit

    def record_crash(self, digest: str, crash: Crash, now: float) -> None:
        """Count a crash against a digest and tell every instance known.

        A dead target is still chosen until its owner notices. Where something in between takes the
        connection and then closes it, a request that came after the crash looks as if it had been
        there; sent to two dead targets it would be refused for crashes of another's making.
        """
        boot_id = crash.boot_id
        since = self._ended.setdefault(boot_id, crash.failed_at)
        if crash.dispatched_at > since:
            return
        self._ended[boot_id] = min(since, crash.failed_at)
        if not self._add(digest, boot_id, 0.0, now):
            return
        self._context.count(codes.SUSPECTS)
        suspicion = self._suspicions[digest]
        notice = CrashNotice(
            crashes=[CrashCount(digest=digest, count=suspicion.count, last_target=boot_id)]
        )
        for peer in self._context.fleet.instances:
            if peer != self._context.identity.instance:
                self._context.send(peer, notice)

    def clear(self, digest: str) -> None:
        """Forget a digest that has run to its end."""
        self._suspicions.pop(digest, None)

    def list_crashes(self, now: float) -> list[CrashCount]:
        """List what is known, for another zone that asks."""
        return [
            CrashCount(digest=digest, count=entry.count, age=now - entry.at, last_target=boot)
            for digest, entry in self._suspicions.items()
            # A set of strings has another order in each process; a replay needs one.
            for boot in sorted(entry.boots)
        ]

    def merge(self, crashes: list[CrashCount], now: float) -> None:
        """Take over what another instance knows."""
        for crash in crashes:
            self._ended.setdefault(crash.last_target, now - crash.age)
            self._add(crash.digest, crash.last_target, crash.age, now)

    def _add(self, digest: str, boot_id: str, age: float, now: float) -> bool:
        if age >= self._context.options.suspect_hold:
            return False
        suspicion = self._suspicions.get(digest)
        if suspicion is None:
            suspicion = self._suspicions[digest] = Suspicion(set(), 0, now - age)
        if boot_id in suspicion.boots:
            return False
        suspicion.boots.add(boot_id)
        suspicion.count = len(suspicion.boots)
        suspicion.at = max(suspicion.at, now - age)
        if self.is_refused(digest):
            self._on_refused(digest, now)
        return True

    def _handle_notice(self, sender: str, notice: CrashNotice, now: float) -> None:
        self.merge(notice.crashes, now)

    def _start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.suspect_hold / 10, self._expire, now)

    def _expire(self, now: float) -> None:
        oldest = now - self._context.options.suspect_hold
        for digest in [d for d, entry in self._suspicions.items() if entry.at <= oldest]:
            del self._suspicions[digest]
        for boot_id in [b for b, since in self._ended.items() if since <= oldest]:
            del self._ended[boot_id]
