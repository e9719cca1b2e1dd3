"""A bounded queue for slots that is fair among client accounts by weight."""

from __future__ import annotations

import heapq
from collections import deque

import attrs

from rhubarbbend.core.messages import SlotRequest


@attrs.define(slots=True)
class Waiter:
    """A slot request in the queue; `deadline` in local time."""

    request: SlotRequest
    sender: str
    since: float
    deadline: float
    gone: bool = False


class FairQueue:
    """Waiters by account, served by weighted fair queueing.

    Each account has a finish time in virtual time that grows by one over its weight with each
    waiter served; the least is served next. Invariants: an account that surges delays only
    itself, as another account's first waiter is served after at most one waiter of each other
    account (for equal weights); a full queue takes from the account that has most of it for its
    weight, so a surge cannot lock the others out either.

    Waiters that leave are marked and dropped when met, so that each step costs the logarithm of
    the length and no scan.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = max(1, capacity)
        self._lines: dict[str, deque[Waiter]] = {}
        self._counts: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self._by_attempt: dict[str, Waiter] = {}
        self._finish: dict[str, float] = {}
        self._order: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._virtual = 0.0

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, waiter: Waiter) -> Waiter | None:
        """Add a waiter; gives the one that has no place for it, this or another, if any."""
        evicted: Waiter | None = None
        if len(self) >= self._capacity:
            evicted = self._evict_for(waiter)
            if evicted is None:
                return waiter
        self._push(waiter)
        return evicted

    def take(self, skip_suspects: bool) -> Waiter | None:
        """Take the next waiter in fair order, passing over suspects if asked."""
        passed: list[tuple[float, str]] = []
        found: Waiter | None = None
        while self._order and found is None:
            entry = heapq.heappop(self._order)
            finish, account = entry
            if not self._counts.get(account) or finish != self._finish[account]:
                continue
            found = self._find_first(account, skip_suspects)
            if found is None:
                passed.append(entry)
                continue
            self._virtual = max(self._virtual, finish)
            self._finish[account] = finish + 1.0 / self._weights[account]
            self._drop(found)
            if self._counts.get(account):
                heapq.heappush(self._order, (self._finish[account], account))
        for entry in passed:
            heapq.heappush(self._order, entry)
        return found

    def remove(self, attempt: str) -> Waiter | None:
        """Remove a waiter that withdrew."""
        waiter = self._by_attempt.get(attempt)
        if waiter is not None:
            self._drop(waiter)
        return waiter

    def take_expired(self, now: float) -> list[Waiter]:
        """Remove the waiters whose deadline has come."""
        expired: list[Waiter] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            waiter = self.remove(heapq.heappop(self._deadlines)[1])
            if waiter is not None:
                expired.append(waiter)
        return expired

    def take_of(self, sender: str) -> list[Waiter]:
        """Remove the waiters of an instance."""
        gone = [waiter for waiter in self._by_attempt.values() if waiter.sender == sender]
        for waiter in gone:
            self._drop(waiter)
        return gone

    def take_all(self) -> list[Waiter]:
        """Empty the queue."""
        gone = list(self._by_attempt.values())
        for waiter in gone:
            self._drop(waiter)
        return gone

    def count_ahead(self, account: str, weight: int) -> int:
        """Count the waiters that fair order serves before a new one of an account."""
        own = self._counts.get(account, 0)
        ahead = own
        for other, count in self._counts.items():
            if other != account:
                share = (own + 1) * self._weights[other] / max(1, weight)
                ahead += min(count, int(share))
        return ahead

    def _push(self, waiter: Waiter) -> None:
        account = waiter.request.account
        attempt = waiter.request.attempt
        self._weights[account] = max(1, waiter.request.weight)
        self._lines.setdefault(account, deque()).append(waiter)
        self._by_attempt[attempt] = waiter
        heapq.heappush(self._deadlines, (waiter.deadline, attempt))
        count = self._counts.get(account, 0)
        self._counts[account] = count + 1
        if count == 0:
            # An account that was away gets no credit for the time that it did not ask.
            self._finish[account] = max(self._virtual, self._finish.get(account, 0.0))
            heapq.heappush(self._order, (self._finish[account], account))

    def _evict_for(self, waiter: Waiter) -> Waiter | None:
        """Make room by the newest waiter of the account that has most of the queue, if another."""
        most = max(self._counts, key=lambda name: (self._counts[name] / self._weights[name], name))
        account = waiter.request.account
        own = (self._counts.get(account, 0) + 1) / max(1, waiter.request.weight)
        if most == account or self._counts[most] / self._weights[most] <= own:
            return None
        line = self._lines[most]
        while line[-1].gone:
            line.pop()
        newest = line[-1]
        self._drop(newest)
        return newest

    def _find_first(self, account: str, skip_suspects: bool) -> Waiter | None:
        line = self._lines[account]
        while line and line[0].gone:
            line.popleft()
        for waiter in line:
            if not waiter.gone and not (skip_suspects and waiter.request.suspect):
                return waiter
        return None

    def _drop(self, waiter: Waiter) -> None:
        account = waiter.request.account
        waiter.gone = True
        del self._by_attempt[waiter.request.attempt]
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
            del self._lines[account]
        if not self._by_attempt:
            self._forget_all()

    def _forget_all(self) -> None:
        """Start afresh once nobody waits, so that accounts of long ago are not kept."""
        self._finish.clear()
        self._weights.clear()
        self._order.clear()
        self._deadlines.clear()
        self._virtual = 0.0
