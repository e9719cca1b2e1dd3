"""Writes of claim rows: batched into few transactions, repeated while their answers are lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_rows import CLAIM_TABLE, PendingWrite, WritePurpose

OP_PREFIX: Final = "claim:"
MAX_TRANSACTIONS: Final = 2
OUTCOME_RETRY_INTERVAL: Final = 1.0

OnSettled = Callable[[PendingWrite, bool, events.Row | None, float], None]
OnGivenUp = Callable[[PendingWrite, float], None]
IsWanted = Callable[[PendingWrite], bool]


class ClaimWrites:
    """Rows that wait and rows under way. Invariant: at most MAX_TRANSACTIONS are under way."""

    def __init__(
        self, context: Context, on_settled: OnSettled, on_given_up: OnGivenUp, is_wanted: IsWanted
    ) -> None:
        self._context = context
        self._on_settled = on_settled
        self._on_given_up = on_given_up
        self._is_wanted = is_wanted
        self._waiting: list[PendingWrite] = []
        self._in_flight: dict[str, list[PendingWrite]] = {}
        self._retrying = 0
        self._next_op = 0

    def add(self, write: PendingWrite, now: float) -> None:
        """Write a row with the next transaction."""
        self._waiting.append(write)
        self._send_waiting()

    def has_outcomes(self) -> bool:
        """Whether outcomes still wait to be written."""
        pending = [*self._waiting, *(w for batch in self._in_flight.values() for w in batch)]
        return self._retrying > 0 or any(w.purpose is WritePurpose.OUTCOME for w in pending)

    def handle_done(self, event: events.WriteDone, now: float) -> None:
        """Take the answer to a transaction."""
        batch = self._in_flight.pop(event.op, None)
        if batch is None:
            return
        if event.status == "done":
            self._context.platform_worked = now
            for write, applied, row in zip(batch, event.applied, event.rows, strict=True):
                self._on_settled(write, applied, row, now)
        else:
            self._context.platform_failed = now
            self._context.count(codes.PLATFORM_ERRORS)
            for write in batch:
                self._repeat_or_give_up(write, now)
        self._send_waiting()

    def _send_waiting(self) -> None:
        """Send what waits as one transaction, unless enough are under way.

        Claims that come while a transaction is under way share the next one, so the number of
        transactions is bounded by their duration and not by the number of commands.
        """
        while self._waiting and len(self._in_flight) < MAX_TRANSACTIONS:
            batch = self._waiting[: self._context.options.claim_batch]
            del self._waiting[: len(batch)]
            self._next_op += 1
            op = f"{OP_PREFIX}{self._next_op}"
            self._in_flight[op] = batch
            writes = [
                actions.Write(CLAIM_TABLE, w.key, msgspec.json.encode(w.row), w.expect)
                for w in batch
            ]
            self._context.emit(actions.WriteRows(op, writes))

    def _repeat_or_give_up(self, write: PendingWrite, now: float) -> None:
        options = self._context.options
        if write.purpose is WritePurpose.OUTCOME:
            if now - write.since < options.record_lifetime:
                self._retrying += 1
                self._context.set_timer(
                    now + OUTCOME_RETRY_INTERVAL, lambda at: self._repeat_outcome(write, at)
                )
        elif now - write.since < options.claim_timeout and self._is_wanted(write):
            self._context.count(codes.RETRY_CLAIM)
            self._waiting.append(write)
        else:
            self._on_given_up(write, now)

    def _repeat_outcome(self, write: PendingWrite, now: float) -> None:
        self._retrying -= 1
        self.add(write, now)
