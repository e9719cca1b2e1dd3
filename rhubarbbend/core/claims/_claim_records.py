"""In-memory records of the keys that this instance has claimed, and its replies about them."""

from __future__ import annotations

from typing import Final

from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_queries import (
    STATE_DONE,
    STATE_NEVER_DISPATCHED,
    STATE_RUNNING,
    STATE_UNKNOWN,
)
from rhubarbbend.core.claims._claim_rows import (
    ClaimRow,
    KeyRecord,
    Outcome,
    PendingWrite,
    RecordState,
    RowState,
    make_table_key,
)
from rhubarbbend.core.claims._keys import has_reserved_prefix
from rhubarbbend.core.messages import ClaimQuery, ClaimReply
from rhubarbbend.core.requests._request import Request

# Largest assumed difference between the wall clocks of two instances, in seconds. Only the finality
# of "not run" verdicts depends on it.
MAX_CLOCK_SKEW_S: Final = 0.5

_REPLY_STATES: Final = {
    RecordState.CLAIMING: STATE_RUNNING,
    RecordState.RUNNING: STATE_RUNNING,
    RecordState.DONE: STATE_DONE,
    RecordState.UNKNOWN: STATE_UNKNOWN,
    RecordState.NOT_RUN: STATE_NEVER_DISPATCHED,
}


def make_request_key(request: Request) -> str:
    """Return the key of a request's row in the claim table."""
    return make_table_key(request.account.name, request.arrival.key)


class ClaimRecords:
    """The records of this incarnation by table key, and the attempts that will never be dispatched.

    Invariant: an attempt marked as never dispatched stays marked until it is evicted.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._records: dict[str, KeyRecord] = {}
        # Attempts of this incarnation that were never dispatched and never will be, with the local
        # time at which they were marked.
        self._never_dispatched: dict[str, float] = {}

    def find(self, request: Request) -> KeyRecord | None:
        """Return the record of a request's key, None if there is none."""
        return self._records.get(make_request_key(request))

    def find_own_claim(self, request: Request) -> KeyRecord | None:
        """Return the record of a request's key if the request itself made the claim."""
        record = self._records.get(make_request_key(request))
        if record is None or record.attempt != request.claim_id:
            return None
        return record

    def find_for_write(self, write: PendingWrite) -> KeyRecord | None:
        """Return the record that a row was written for, None if a newer attempt has replaced it."""
        record = self._records.get(write.key)
        if record is None or record.attempt != write.row.attempt:
            return None
        return record

    def find_never_dispatched(self, attempt: str) -> float | None:
        """Return the local time at which an attempt was marked as never dispatched, or None."""
        return self._never_dispatched.get(attempt)

    def create(self, request: Request, now: float) -> KeyRecord:
        """Create the record of a request's current attempt and store it under the request's key."""
        reserved = has_reserved_prefix(request.arrival.key)
        record = KeyRecord(
            make_request_key(request),
            request.arrival.body_digest,
            request.attempt,
            RecordState.CLAIMING,
            now,
            generation=max(1, request.claim_generation),
            reserved=reserved,
            exclusive=reserved,
        )
        request.claim_id = request.attempt
        self._records[record.key] = record
        return record

    def mark_never_dispatched(self, record: KeyRecord, now: float) -> None:
        """Mark a record's attempt as one that this instance will never dispatch."""
        record.state = RecordState.NOT_RUN
        record.updated_at = now
        self._never_dispatched[record.attempt] = now

    def remove(self, record: KeyRecord) -> None:
        """Remove a record."""
        del self._records[record.key]

    def make_row(self, record: KeyRecord, state: RowState, now: float) -> ClaimRow:
        """Return a claim row in the given state for a record's key."""
        identity = self._context.identity
        outcome = record.outcome or Outcome(0, "", b"", True)
        return ClaimRow(
            record.digest,
            record.attempt,
            identity.instance,
            identity.incarnation,
            record.generation,
            state,
            self._context.to_unix_time(now),
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
            kept=outcome.kept,
        )

    def handle_query(self, sender: str, message: ClaimQuery, now: float) -> None:
        """Reply with the state of an attempt, and again when an attempt that is open has ended."""
        reply = ClaimReply(attempt=message.attempt, key=message.key, state=STATE_UNKNOWN)
        since = self._never_dispatched.get(message.attempt)
        record = self._records.get(message.key)
        if since is not None:
            reply.state = STATE_NEVER_DISPATCHED
            reply.age = now - since
            self._context.send(sender, reply)
        elif record is not None and record.attempt == message.attempt:
            if record.is_open:
                record.querying_peers.add(sender)
            self._send_reply(sender, record, now)
        else:
            self._context.send(sender, reply)

    def reply_to_querying_peers(self, record: KeyRecord, now: float) -> None:
        """Send a record's state to the peers that have queried it."""
        # Sorted to be deterministic: the iteration order of a set of strings differs by process.
        for peer in sorted(record.querying_peers):
            self._send_reply(peer, record, now)
        record.querying_peers.clear()

    def evict_old_records(self, now: float) -> None:
        """Evict records that are closed and awaited by nobody, if they are too old or too many.

        The record of a reserved key is the only proof that the key has run. It is therefore kept
        for as long as the key is valid, even beyond `max_records`.
        """
        options = self._context.options
        lifetime = max(options.record_lifetime, options.reserved_lifetime) + MAX_CLOCK_SKEW_S
        for key, record in list(self._records.items()):
            if record.is_open or record.querying_peers or record.waiting_requests:
                continue
            too_many = len(self._records) > options.max_records and not record.reserved
            if now - record.updated_at > lifetime or too_many:
                del self._records[key]
        for attempt in [a for a, since in self._never_dispatched.items() if now - since > lifetime]:
            del self._never_dispatched[attempt]

    def _send_reply(self, peer: str, record: KeyRecord, now: float) -> None:
        reply = ClaimReply(
            attempt=record.attempt, key=record.key, state=_REPLY_STATES[record.state]
        )
        if record.state is RecordState.NOT_RUN:
            reply.age = now - record.updated_at
        if record.outcome is not None:
            reply.status = record.outcome.status
            reply.content_type = record.outcome.content_type
            reply.body = record.outcome.body
            reply.kept = record.outcome.kept
        self._context.send(peer, reply)
