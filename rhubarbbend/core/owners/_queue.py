"""A bounded queue of slot requests that is fair among client accounts by weight."""

from __future__ import annotations

import heapq
from collections import deque

import attrs

from rhubarbbend.core.messages import SlotRequest


@attrs.define(slots=True)
class Waiter:
    """A queued slot request.

    `queued_at` and `deadline` are in local time; `is_removed` marks a request that has left the
    queue.
    """

    request: SlotRequest
    sender: str
    queued_at: float
    deadline: float
    is_removed: bool = False


class FairQueue:
    """Queued requests by account, served by weighted fair queueing.

    Each account has a finish time in virtual time, which grows by one divided by its weight with
    each request served. The account with the earliest finish time is served next. Invariants: an
    account with a surge of requests delays only itself, because another account's first request is
    served after at most one request of each other account (for equal weights). A full queue evicts
    from the account with the largest share of it relative to its weight, so that a surge cannot
    lock other accounts out either.

    Requests that leave are only marked and are dropped when they are reached, so that each
    operation costs the logarithm of the queue length without a scan.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = max(1, capacity)
        self._waiters: dict[str, deque[Waiter]] = {}
        self._counts: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self._by_attempt: dict[str, Waiter] = {}
        self._finish_times: dict[str, float] = {}
        self._schedule: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, waiter: Waiter) -> Waiter | None:
        """Add a waiter; return the waiter that is evicted for it, or itself if it gets no place."""
        evicted: Waiter | None = None
        if len(self) >= self._capacity:
            evicted = self._evict_for(waiter)
            if evicted is None:
                return waiter
        self._push(waiter)
        return evicted

    def pop_next(self, skip_suspects: bool) -> Waiter | None:
        """Remove and return the next waiter in fair order, or None if there is none.

        With `skip_suspects` waiters with suspect requests are skipped and stay in the queue.
        """
        skipped: list[tuple[float, str]] = []
        found: Waiter | None = None
        while self._schedule and found is None:
            entry = heapq.heappop(self._schedule)
            finish, account = entry
            if not self._counts.get(account) or finish != self._finish_times[account]:
                continue
            found = self._find_first(account, skip_suspects)
            if found is None:
                skipped.append(entry)
                continue
            self._virtual_time = max(self._virtual_time, finish)
            self._finish_times[account] = finish + 1.0 / self._weights[account]
            self._discard(found)
            if self._counts.get(account):
                heapq.heappush(self._schedule, (self._finish_times[account], account))
        for entry in skipped:
            heapq.heappush(self._schedule, entry)
        return found

    def remove(self, attempt: str) -> Waiter | None:
        """Remove and return the waiter of a withdrawn attempt, or None if it is not queued."""
        waiter = self._by_attempt.get(attempt)
        if waiter is not None:
            self._discard(waiter)
        return waiter

    def remove_expired(self, now: float) -> list[Waiter]:
        """Remove and return the waiters whose deadline has passed."""
        expired: list[Waiter] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            waiter = self.remove(heapq.heappop(self._deadlines)[1])
            if waiter is not None:
                expired.append(waiter)
        return expired

    def remove_sender(self, sender: str) -> list[Waiter]:
        """Remove and return the waiters of an instance."""
        removed = [waiter for waiter in self._by_attempt.values() if waiter.sender == sender]
        for waiter in removed:
            self._discard(waiter)
        return removed

    def remove_all(self) -> list[Waiter]:
        """Remove and return all waiters."""
        removed = list(self._by_attempt.values())
        for waiter in removed:
            self._discard(waiter)
        return removed

    def count_ahead(self, account: str, weight: int) -> int:
        """Return how many queued requests are served before a new one of the account."""
        own_count = self._counts.get(account, 0)
        ahead = own_count
        for other, count in self._counts.items():
            if other != account:
                share = (own_count + 1) * self._weights[other] / max(1, weight)
                ahead += min(count, int(share))
        return ahead

    def _push(self, waiter: Waiter) -> None:
        account = waiter.request.account
        attempt = waiter.request.attempt
        self._weights[account] = max(1, waiter.request.weight)
        self._waiters.setdefault(account, deque()).append(waiter)
        self._by_attempt[attempt] = waiter
        heapq.heappush(self._deadlines, (waiter.deadline, attempt))
        count = self._counts.get(account, 0)
        self._counts[account] = count + 1
        if count == 0:
            # An account gets no credit for the time in which it had no queued requests.
            self._finish_times[account] = max(
                self._virtual_time, self._finish_times.get(account, 0.0)
            )
            heapq.heappush(self._schedule, (self._finish_times[account], account))

    def _evict_for(self, waiter: Waiter) -> Waiter | None:
        """Evict the newest waiter of the account with the largest share of the queue.

        Return None if that account is the new waiter's own, or if its share would not be larger.
        """
        largest = max(
            self._counts, key=lambda name: (self._counts[name] / self._weights[name], name)
        )
        account = waiter.request.account
        own_share = (self._counts.get(account, 0) + 1) / max(1, waiter.request.weight)
        if largest == account or self._counts[largest] / self._weights[largest] <= own_share:
            return None
        waiters = self._waiters[largest]
        while waiters[-1].is_removed:
            waiters.pop()
        newest = waiters[-1]
        self._discard(newest)
        return newest

    def _find_first(self, account: str, skip_suspects: bool) -> Waiter | None:
        waiters = self._waiters[account]
        while waiters and waiters[0].is_removed:
            waiters.popleft()
        for waiter in waiters:
            if not waiter.is_removed and not (skip_suspects and waiter.request.suspect):
                return waiter
        return None

    def _discard(self, waiter: Waiter) -> None:
        account = waiter.request.account
        waiter.is_removed = True
        del self._by_attempt[waiter.request.attempt]
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
            del self._waiters[account]
        if not self._by_attempt:
            self._reset()

    def _reset(self) -> None:
        """Reset the order once the queue is empty, so that old accounts do not accumulate."""
        self._finish_times.clear()
        self._weights.clear()
        self._schedule.clear()
        self._deadlines.clear()
        self._virtual_time = 0.0
