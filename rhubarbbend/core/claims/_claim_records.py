"""Records of the keys that this instance claims or has claimed, and what it says of them."""

from __future__ import annotations

from typing import Final

from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_queries import (
    STATE_DONE,
    STATE_NEVER,
    STATE_RUNNING,
    STATE_UNKNOWN,
)
from rhubarbbend.core.claims._claim_rows import (
    ClaimRow,
    Outcome,
    PendingWrite,
    Record,
    RecordState,
    RowState,
    make_key,
)
from rhubarbbend.core.claims._keys import is_reserved
from rhubarbbend.core.messages import ClaimQuery, ClaimReply
from rhubarbbend.core.requests._requests import Request

# Clocks of instances may differ by this much; only the finality of "not run" leans on it.
CLOCK_SKEW: Final = 0.5

_REPLY_STATES: Final = {
    RecordState.CLAIMING: STATE_RUNNING,
    RecordState.RUNNING: STATE_RUNNING,
    RecordState.DONE: STATE_DONE,
    RecordState.UNKNOWN: STATE_UNKNOWN,
    RecordState.NOT_RUN: STATE_NEVER,
}


def key_of(request: Request) -> str:
    """Give the table key of a request."""
    return make_key(request.account.name, request.arrived.key)


class ClaimRecords:
    """Invariant: an attempt that has been marked as never run stays so while it is remembered."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._records: dict[str, Record] = {}
        # Attempts of this incarnation that were never dispatched and never will be, and since when.
        self._never: dict[str, float] = {}

    def find(self, request: Request) -> Record | None:
        """Find the record of a request's key."""
        return self._records.get(key_of(request))

    def find_own(self, request: Request) -> Record | None:
        """Find the record of a request's own claim."""
        record = self._records.get(key_of(request))
        if record is None or record.attempt != request.claim_id:
            return None
        return record

    def find_written(self, write: PendingWrite) -> Record | None:
        """Find the record that a row was made for, unless a newer attempt has its place."""
        record = self._records.get(write.key)
        if record is None or record.attempt != write.row.attempt:
            return None
        return record

    def find_never(self, attempt: str) -> float | None:
        """Give the time since which an attempt of this incarnation is never dispatched."""
        return self._never.get(attempt)

    def open(self, request: Request, now: float) -> Record:
        """Open a record for a request's present attempt."""
        reserved = is_reserved(request.arrived.key)
        record = Record(
            key_of(request),
            request.arrived.body_digest,
            request.attempt,
            RecordState.CLAIMING,
            now,
            generation=max(1, request.generation),
            reserved=reserved,
            won=reserved,
        )
        request.claim_id = request.attempt
        self._records[record.key] = record
        return record

    def mark_never(self, record: Record, now: float) -> None:
        """Bind this instance never to dispatch a record's attempt."""
        record.state = RecordState.NOT_RUN
        record.at = now
        self._never[record.attempt] = now

    def drop(self, record: Record) -> None:
        """Forget a record."""
        del self._records[record.key]

    def make_row(self, record: Record, state: RowState, now: float) -> ClaimRow:
        """Make the row that says of a record's key what its state is."""
        identity = self._context.identity
        outcome = record.outcome or Outcome(0, "", b"", True)
        return ClaimRow(
            record.digest,
            record.attempt,
            identity.instance,
            identity.incarnation,
            record.generation,
            state,
            self._context.read_wall(now),
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
            kept=outcome.kept,
        )

    def handle_query(self, sender: str, message: ClaimQuery, now: float) -> None:
        """Say what became of an attempt, and again when an open one has ended."""
        reply = ClaimReply(attempt=message.attempt, key=message.key, state=STATE_UNKNOWN)
        since = self._never.get(message.attempt)
        record = self._records.get(message.key)
        if since is not None:
            reply.state = STATE_NEVER
            reply.age = now - since
            self._context.send(sender, reply)
        elif record is not None and record.attempt == message.attempt:
            if record.open:
                record.asking.add(sender)
            self._answer(sender, record, now)
        else:
            self._context.send(sender, reply)

    def answer_asking(self, record: Record, now: float) -> None:
        """Tell the peers that have asked about a record."""
        # Sorted, since the order of a set of strings differs from process to process.
        for peer in sorted(record.asking):
            self._answer(peer, record, now)
        record.asking.clear()

    def trim(self, now: float) -> None:
        """Forget old records.

        A reserved key's record is the only proof that the key has run; it is kept for as long as
        the key is valid, whatever their number.
        """
        options = self._context.options
        lifetime = max(options.record_lifetime, options.reserved_lifetime) + CLOCK_SKEW
        for key, record in list(self._records.items()):
            if record.open or record.asking or record.waiting:
                continue
            too_many = len(self._records) > options.max_records and not record.reserved
            if now - record.at > lifetime or too_many:
                del self._records[key]
        for attempt in [a for a, since in self._never.items() if now - since > lifetime]:
            del self._never[attempt]

    def _answer(self, peer: str, record: Record, now: float) -> None:
        reply = ClaimReply(
            attempt=record.attempt, key=record.key, state=_REPLY_STATES[record.state]
        )
        if record.state is RecordState.NOT_RUN:
            reply.age = now - record.at
        if record.outcome is not None:
            reply.status = record.outcome.status
            reply.content_type = record.outcome.content_type
            reply.body = record.outcome.body
            reply.kept = record.outcome.kept
        self._context.send(peer, reply)
