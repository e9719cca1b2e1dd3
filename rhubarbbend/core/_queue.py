"""A bounded queue for slots that is fair among client accounts by weight."""

from __future__ import annotations

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


class FairQueue:
    """Waiters by account, served by weighted fair queueing.

    Invariant: an account that surges delays only itself; another account's first waiter is served
    after at most one waiter of each other account (for equal weights).
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._waiters: dict[str, deque[Waiter]] = {}
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, waiter: Waiter) -> bool:
        """Add a waiter; False if the queue, or the account's share of it, is full."""
        account = waiter.request.account
        line = self._waiters.get(account)
        share = self._capacity // max(1, len(self._waiters) + (line is None))
        if self._size >= self._capacity or (line is not None and len(line) >= max(1, share)):
            return False
        if line is None:
            line = self._waiters[account] = deque()
            self._finish[account] = max(self._virtual, self._finish.get(account, 0.0))
        line.append(waiter)
        self._size += 1
        return True

    def take(self, skip_suspects: bool) -> Waiter | None:
        """Take the next waiter in fair order, passing over suspects if asked."""
        for account in sorted(self._waiters, key=lambda name: (self._finish[name], name)):
            line = self._waiters[account]
            for index, waiter in enumerate(line):
                if skip_suspects and waiter.request.suspect:
                    continue
                del line[index]
                self._size -= 1
                self._virtual = self._finish[account]
                self._finish[account] += 1.0 / max(1, waiter.request.weight)
                self._drop_if_empty(account)
                return waiter
        return None

    def remove(self, attempt: str) -> Waiter | None:
        """Remove a waiter that withdrew."""
        for account, line in self._waiters.items():
            for waiter in line:
                if waiter.request.attempt == attempt:
                    line.remove(waiter)
                    self._size -= 1
                    self._drop_if_empty(account)
                    return waiter
        return None

    def take_expired(self, now: float) -> list[Waiter]:
        """Remove the waiters whose deadline has come."""
        return self._take_where(lambda waiter: waiter.deadline <= now)

    def take_all(self) -> list[Waiter]:
        """Empty the queue."""
        return self._take_where(lambda waiter: True)

    def _take_where(self, test: object) -> list[Waiter]:
        assert callable(test)
        taken: list[Waiter] = []
        for account in list(self._waiters):
            line = self._waiters[account]
            gone = [waiter for waiter in line if test(waiter)]
            for waiter in gone:
                line.remove(waiter)
            taken.extend(gone)
            self._drop_if_empty(account)
        self._size -= len(taken)
        return taken

    def _drop_if_empty(self, account: str) -> None:
        if not self._waiters[account]:
            del self._waiters[account]
            # Accounts that return keep no debt older than the present round.
            if self._finish[account] <= self._virtual:
                del self._finish[account]
