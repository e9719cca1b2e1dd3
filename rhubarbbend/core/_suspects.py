"""Tracking of requests that were running on a target when it crashed: the product's own interface.

`CrashLedger` judges them, as on the users' platform; the parts of a chat are its messages. A crash
makes every request that ran on the target a suspect. The next attempt of a suspect gets a slot only
on a target where no other suspect is running. A second crash therefore involves one suspect at
most: the request that causes the crashes reaches the limit, and requests that merely ran beside it
do not.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from rhubarbbend import codes
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.crashes import Content, CrashLedger, Judgement, Loss, RefusalRules
from rhubarbbend.core.messages import CrashCleared, CrashCount, CrashNotice, Message

# A request with one crash counted against it is delayed by this many seconds before it is sent. Its
# caller may have just been refused by the instance that saw the second crash, and the repeated
# request may arrive here before that instance's crash notice, which took up to 7 ms between two
# zones on an overloaded machine. Without the delay the request crashed a third engine in 3 of 18
# runs there. A request that merely ran beside a crash is delayed by about as long as an engine
# takes to begin an answer.
CRASH_NOTICE_DELAY_S: Final = 0.05

LimitListener = Callable[[float], None]


@attrs.define(slots=True, frozen=True)
class ObservedCrash:
    """A crash as observed by one attempt; times are local times.

    `dispatched_at` is when the attempt was sent and `failed_at` when its connection failed.
    """

    boot_id: str
    dispatched_at: float
    failed_at: float


class CrashSuspectTracker:
    """Records crashes, tells the other instances, and judges requests by what they hold.

    Invariant: a digest with one crash is removed once it is older than `suspect_hold`. One with
    several stays suspect until a request with it completes.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        hold = context.options.suspect_hold
        rules = RefusalRules()
        self._ledger = CrashLedger(
            RefusalRules(
                context.options.suspect_limit, first_s=min(rules.first_s, hold), repeated_s=hold
            )
        )
        self._limit_listener: LimitListener = lambda now: None

    def set_limit_listener(self, listener: LimitListener) -> None:
        """Set the callback for a crash by which requests have just reached the limit.

        It is called with the current local time.
        """
        self._limit_listener = listener

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handler of `Started`."""
        return {events.Started: self._handle_start}

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handler of crash notices from other instances."""
        return {CrashNotice: self._handle_notice}

    def get_crash_count(self, digest: str, now: float) -> int:
        """Return the number of crashes counted against a digest."""
        return self._ledger.count_crashes(digest, now)

    def has_reached_limit(self, content: Content, now: float) -> bool:
        """Return whether a request has reached the crash limit, so that it is refused."""
        return self._ledger.judge_content(content, now) is Judgement.REFUSED

    def is_suspect(self, content: Content, now: float) -> bool:
        """Return whether a request gets a slot only where no other suspect runs.

        Something that many requests hold is suspect only once several targets have ended under it.
        """
        if self._ledger.is_empty:
            return False
        is_on_trial = self._ledger.judge_content(content, now) is Judgement.ON_TRIAL
        return is_on_trial or self.get_crash_count(content.digest, now) > 0

    def find_trial_cause(self, content: Content, now: float) -> str | None:
        """Return the cause for which a request is tried by one instance at a time, if there is one.

        A request under which a single target was lost is not tried, but sent.
        """
        if self._ledger.is_empty:
            return None
        cause, judgement = self._ledger.find_cause(content, now)
        return cause if judgement in (Judgement.ON_TRIAL, Judgement.UNDECIDED) else None

    def get_last_loss(self, cause: str) -> float:
        """Return when a target was last lost under a cause."""
        return self._ledger.get_last_loss(cause)

    def record_crash(self, content: Content, crash: ObservedCrash, now: float) -> None:
        """Count a crash against a request and notify every known instance.

        A probe has shown that the target has ended. No crash is counted if the attempt was sent
        after that: a dead target can be selected until its owner detects the failure.
        """
        times = crash.dispatched_at, crash.failed_at
        loss = self._ledger.make_loss(content, crash.boot_id, *times)
        if not self._add_crash(content, loss, now):
            return
        self._context.count(codes.SUSPECTS)
        count = self._make_crash_count(content.digest, loss, now, content.parts)
        self._notify(CrashNotice(crashes=[count]))

    def record_completion(self, content: Content, began_at: float, now: float) -> None:
        """Remove the crashes of what cannot be their cause, here and at the other instances.

        The request ran to completion. Parts are cleared of the crashes before its target began to
        answer.
        """
        if self._ledger.is_empty:
            return
        cleared = [
            CrashCleared(cause=part, age=now - began_at)
            for part in self._ledger.list_suspect_parts(content)
            if self._ledger.record_completion(part, began_at)
        ]
        if self._ledger.record_completion(content.digest, now):
            cleared.append(CrashCleared(cause=content.digest))
        if cleared:
            self._notify(CrashNotice(cleared=cleared))

    def _notify(self, notice: CrashNotice) -> None:
        for peer in self._context.fleet.instances:
            if peer != self._context.identity.instance:
                self._context.send(peer, notice)

    def list_crash_counts(self, now: float) -> list[CrashCount]:
        """Return all crash counts, to be sent to a zone that queries them."""
        return [
            self._make_crash_count(digest, loss, now)
            for digest, loss in self._ledger.list_losses(now)
        ]

    def _make_crash_count(
        self, digest: str, loss: Loss, now: float, parts: tuple[str, ...] = ()
    ) -> CrashCount:
        return CrashCount(
            digest=digest,
            count=self.get_crash_count(digest, now),
            age=now - loss.lost_at,
            last_target=loss.target,
            ran=loss.lost_at - loss.sent_at,
            follows=list(loss.follows),
            parts=list(parts),
            accounts=list(loss.accounts),
        )

    def merge_crash_counts(self, crashes: list[CrashCount], now: float) -> None:
        """Merge the crash counts of another instance."""
        for crash in crashes:
            lost_at = now - crash.age
            follows = tuple(crash.follows)
            times = lost_at - crash.ran, lost_at
            loss = Loss(crash.last_target, *times, follows, tuple(crash.accounts))
            self._add_crash(Content(crash.digest, tuple(crash.parts)), loss, now)

    def _add_crash(self, content: Content, loss: Loss, now: float) -> bool:
        if now - loss.lost_at >= self._context.options.suspect_hold:
            return False
        before = self.get_crash_count(content.digest, now)
        self._ledger.record_request_loss(content.digest, content.parts, loss)
        self._ledger.record_end(loss.target, is_certain=True)
        is_counted = self.get_crash_count(content.digest, now) > before
        if is_counted and self.has_reached_limit(content, now):
            self._limit_listener(now)
        return is_counted

    def _handle_notice(self, sender: str, notice: CrashNotice, now: float) -> None:
        self.merge_crash_counts(notice.crashes, now)
        for cleared in notice.cleared:
            self._ledger.record_completion(cleared.cause, now - cleared.age)

    def _handle_start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.suspect_hold / 10, self._expire, now)

    def _expire(self, now: float) -> None:
        self._ledger.expire(now)
