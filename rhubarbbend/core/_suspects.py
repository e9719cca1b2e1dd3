"""Tracking of requests that were running on a target when it crashed.

A crash makes every request that ran on the target a suspect with a crash count of one. The next
attempt of a suspect gets a slot only on a target where no other suspect is running. A second crash
therefore involves one suspect at most: the request that causes the crashes reaches the limit, and
requests that merely ran beside it do not.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from rhubarbbend import codes
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.messages import CrashCount, CrashNotice, Message

# A request with one crash counted against it is delayed by this many seconds before it is sent. Its
# caller may have just been refused by the instance that saw the second crash, and the repeated
# request may arrive here before that instance's crash notice, which took up to 7 ms between two
# zones on an overloaded machine. Without the delay the request crashed a third engine in 3 of 18
# runs there. A request that merely ran beside a crash is delayed by about as long as an engine
# takes to begin an answer.
CRASH_NOTICE_DELAY_S: Final = 0.05

LimitListener = Callable[[str, float], None]


@attrs.define(slots=True)
class CrashRecord:
    """Crashes counted against a request digest.

    `boots` holds the boot ids of the crashed targets, `count` is their number, and `at` is the
    local time of the latest crash.
    """

    boots: set[str]
    count: int
    at: float


@attrs.define(slots=True, frozen=True)
class ObservedCrash:
    """A crash as observed by one attempt; times are local times.

    `dispatched_at` is when the attempt was sent and `failed_at` when its connection failed.
    """

    boot_id: str
    dispatched_at: float
    failed_at: float


class CrashSuspectTracker:
    """Counts crashes by request digest.

    Invariant: a digest is removed once its latest crash is older than `suspect_hold`.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._crashes_by_digest: dict[str, CrashRecord] = {}
        # Local time at which each boot id of a target is known to have ended.
        self._ended_at: dict[str, float] = {}
        self._limit_listener: LimitListener = lambda digest, now: None

    def set_limit_listener(self, listener: LimitListener) -> None:
        """Set the callback for a digest that has just reached the limit.

        It is called with the digest and the current local time.
        """
        self._limit_listener = listener

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handler of `Started`."""
        return {events.Started: self._handle_start}

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handler of crash notices from other instances."""
        return {CrashNotice: self._handle_notice}

    def get_crash_count(self, digest: str) -> int:
        """Return the number of crashes counted against a digest."""
        record = self._crashes_by_digest.get(digest)
        return 0 if record is None else record.count

    def has_reached_limit(self, digest: str) -> bool:
        """Return whether a digest has reached the crash limit, so that its requests are refused."""
        return self.get_crash_count(digest) >= self._context.options.suspect_limit

    def record_crash(self, digest: str, crash: ObservedCrash, now: float) -> None:
        """Count a crash against a digest and notify every known instance.

        A crash is ignored if the attempt was sent after the target is known to have ended. A dead
        target can be selected until its owner detects the failure, and a proxy on the path may
        accept the connection and then close it, which looks like a crash during the request. A
        request sent to two dead targets would otherwise be refused for crashes that it did not
        cause.
        """
        boot_id = crash.boot_id
        ended_at = self._ended_at.setdefault(boot_id, crash.failed_at)
        if crash.dispatched_at > ended_at:
            return
        self._ended_at[boot_id] = min(ended_at, crash.failed_at)
        if not self._add_crash(digest, boot_id, 0.0, now):
            return
        self._context.count(codes.SUSPECTS)
        record = self._crashes_by_digest[digest]
        notice = CrashNotice(
            crashes=[CrashCount(digest=digest, count=record.count, last_target=boot_id)]
        )
        for peer in self._context.fleet.instances:
            if peer != self._context.identity.instance:
                self._context.send(peer, notice)

    def forget_digest(self, digest: str) -> None:
        """Remove all crashes counted against a digest, because its request has completed."""
        self._crashes_by_digest.pop(digest, None)

    def list_crash_counts(self, now: float) -> list[CrashCount]:
        """Return all crash counts, to be sent to a zone that queries them."""
        return [
            CrashCount(digest=digest, count=entry.count, age=now - entry.at, last_target=boot)
            for digest, entry in self._crashes_by_digest.items()
            # The iteration order of a set of strings differs between processes; replaying a trace
            # requires a fixed order.
            for boot in sorted(entry.boots)
        ]

    def merge_crash_counts(self, crashes: list[CrashCount], now: float) -> None:
        """Merge the crash counts of another instance."""
        for crash in crashes:
            self._ended_at.setdefault(crash.last_target, now - crash.age)
            self._add_crash(crash.digest, crash.last_target, crash.age, now)

    def _add_crash(self, digest: str, boot_id: str, age: float, now: float) -> bool:
        if age >= self._context.options.suspect_hold:
            return False
        record = self._crashes_by_digest.get(digest)
        if record is None:
            record = self._crashes_by_digest[digest] = CrashRecord(set(), 0, now - age)
        if boot_id in record.boots:
            return False
        record.boots.add(boot_id)
        record.count = len(record.boots)
        record.at = max(record.at, now - age)
        if self.has_reached_limit(digest):
            self._limit_listener(digest, now)
        return True

    def _handle_notice(self, sender: str, notice: CrashNotice, now: float) -> None:
        self.merge_crash_counts(notice.crashes, now)

    def _handle_start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.suspect_hold / 10, self._expire, now)

    def _expire(self, now: float) -> None:
        oldest = now - self._context.options.suspect_hold
        for digest in [d for d, entry in self._crashes_by_digest.items() if entry.at <= oldest]:
            del self._crashes_by_digest[digest]
        for boot_id in [b for b, ended_at in self._ended_at.items() if ended_at <= oldest]:
            del self._ended_at[boot_id]
