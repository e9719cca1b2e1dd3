"""Writes of claim rows to the platform's table.

Rows are batched into few transactions. A write whose answer was lost is retried.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_rows import CLAIM_TABLE, PendingWrite, WritePurpose

CLAIM_OP_PREFIX: Final = "claim:"
MAX_IN_FLIGHT_TRANSACTIONS: Final = 2
OUTCOME_RETRY_INTERVAL_S: Final = 1.0

OnCompleted = Callable[[PendingWrite, bool, events.Row | None, float], None]
OnGivenUp = Callable[[PendingWrite, float], None]
IsRequestOpen = Callable[[PendingWrite], bool]


class ClaimWrites:
    """The queue of rows to write and the transactions in flight.

    `on_completed` is called with the write, whether it was applied, and the row now in the table;
    `on_given_up` when a claim or refusal is no longer retried. `is_request_open` tells whether the
    request of a write still waits. Invariant: at most MAX_IN_FLIGHT_TRANSACTIONS are in flight.
    """

    def __init__(
        self,
        context: Context,
        on_completed: OnCompleted,
        on_given_up: OnGivenUp,
        is_request_open: IsRequestOpen,
    ) -> None:
        self._context = context
        self._on_completed = on_completed
        self._on_given_up = on_given_up
        self._is_request_open = is_request_open
        self._queue: list[PendingWrite] = []
        self._in_flight: dict[str, list[PendingWrite]] = {}
        self._scheduled_retries = 0
        self._next_op = 0

    def enqueue(self, write: PendingWrite, now: float) -> None:
        """Queue a row for the next transaction."""
        self._queue.append(write)
        self._send_queued()

    def has_pending_outcomes(self) -> bool:
        """Whether outcomes are queued, in flight or scheduled for a retry."""
        pending = [*self._queue, *(w for batch in self._in_flight.values() for w in batch)]
        return self._scheduled_retries > 0 or any(
            w.purpose is WritePurpose.OUTCOME for w in pending
        )

    def handle_write_done(self, event: events.WriteDone, now: float) -> None:
        """Handle the result of a transaction."""
        batch = self._in_flight.pop(event.op, None)
        if batch is None:
            return
        if event.status == "done":
            self._context.last_platform_success = now
            for write, applied, row in zip(batch, event.applied, event.rows, strict=True):
                self._on_completed(write, applied, row, now)
        else:
            self._context.last_platform_failure = now
            self._context.count(codes.PLATFORM_ERRORS)
            for write in batch:
                self._retry_or_give_up(write, now)
        self._send_queued()

    def _send_queued(self) -> None:
        """Send the queued rows in batches while fewer than the maximum transactions are in flight.

        Rows that arrive while the maximum is in flight share the next transaction. The rate of
        transactions is thus bounded by their duration and not by the number of commands.
        """
        while self._queue and len(self._in_flight) < MAX_IN_FLIGHT_TRANSACTIONS:
            batch = self._queue[: self._context.options.claim_batch]
            del self._queue[: len(batch)]
            self._next_op += 1
            op = f"{CLAIM_OP_PREFIX}{self._next_op}"
            self._in_flight[op] = batch
            writes = [
                actions.Write(CLAIM_TABLE, w.key, msgspec.json.encode(w.row), w.expected_version)
                for w in batch
            ]
            self._context.emit(actions.WriteRows(op, writes))

    def _retry_or_give_up(self, write: PendingWrite, now: float) -> None:
        options = self._context.options
        if write.purpose is WritePurpose.OUTCOME:
            if now - write.created_at < options.record_lifetime:
                self._scheduled_retries += 1
                self._context.set_timer(
                    now + OUTCOME_RETRY_INTERVAL_S, lambda at: self._retry_outcome(write, at)
                )
        elif now - write.created_at < options.claim_timeout and self._is_request_open(write):
            self._context.count(codes.RETRY_CLAIM)
            self._queue.append(write)
        else:
            self._on_given_up(write, now)

    def _retry_outcome(self, write: PendingWrite, now: float) -> None:
        self._scheduled_retries -= 1
        self.enqueue(write, now)
