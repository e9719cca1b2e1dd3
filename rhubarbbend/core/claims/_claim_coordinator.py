"""Coordinates claims, so that a command is dispatched at most once under its idempotency key.

A claim is one conditional insert of a row that names the attempt; claims made within the same few
milliseconds share a transaction. An attempt is dispatched only after its own id has been read back
from the table. If the answer to the insert is lost, the insert may or may not have been applied;
it is sent again, and finds its own row if the first was applied.

A claim never expires by time alone, because its holder may be paused between checking the claim
and sending the command. The holder is queried instead, and is bound by its reply: an attempt that
it reports as never dispatched is never dispatched later.
"""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.claims._claim_listener import ClaimListener
from rhubarbbend.core.claims._claim_queries import ClaimQueries, Query
from rhubarbbend.core.claims._claim_records import MAX_CLOCK_SKEW_S, ClaimRecords, make_request_key
from rhubarbbend.core.claims._claim_rows import (
    ClaimRow,
    KeyRecord,
    Outcome,
    PendingWrite,
    RecordState,
    RowState,
    WritePurpose,
    compute_conflict_verdict,
    decode_row,
)
from rhubarbbend.core.claims._claim_writes import ClaimWrites
from rhubarbbend.core.claims._keys import has_reserved_prefix
from rhubarbbend.core.messages import ClaimQuery, ClaimReply, Message
from rhubarbbend.core.requests._request import Request


class ClaimCoordinator:
    """The claims of this instance, their outcomes, and queries about other instances' claims."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._listener: ClaimListener | None = None
        self._records = ClaimRecords(context)
        self._writes = ClaimWrites(
            context, self._handle_write_result, self._handle_write_given_up, self._is_request_open
        )
        self._queries = ClaimQueries(context, self)

    def set_listener(self, listener: ClaimListener) -> None:
        """Set the listener, which receives the result of each claim."""
        self._listener = listener

    @property
    def listener(self) -> ClaimListener:
        """The listener; it must have been set."""
        assert self._listener is not None
        return self._listener

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handlers of startup, results of table writes and lost peers."""
        return {
            events.Started: self._handle_started,
            events.WriteDone: self._writes.handle_write_done,
            events.PeerLost: self._queries.handle_peer_lost,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handlers of queries about claims and of the replies to them."""
        return {ClaimQuery: self._records.handle_query, ClaimReply: self._queries.handle_reply}

    def has_pending_writes(self) -> bool:
        """Whether outcomes are not yet written; a planned stop waits for them."""
        return self._writes.has_pending_outcomes()

    # Operations that `RequestCoordinator` calls.

    def resolve_from_record(self, request: Request, now: float) -> bool:
        """Resolve a request from the record of its key.

        Return False if there is no such record or it does not decide the request, which then has
        to claim its key.
        """
        record = self._records.find(request)
        if record is None:
            return False
        if record.digest != request.arrival.body_digest:
            verdict = compute_conflict_verdict(record.state)
            self.listener.handle_claim_refused(request.id, codes.KEY_REUSED, verdict, now)
        elif record.is_open:
            record.waiting_requests.append(request.id)
            self.listener.handle_claim_pending(request.id, now)
        elif record.state is RecordState.DONE and record.outcome is not None:
            self.listener.handle_claim_replayed(request.id, record.outcome, now)
        elif record.state is RecordState.UNKNOWN:
            self._refuse_unknown(request.id, now)
        elif record.reserved and request.arrived_at <= record.updated_at + self._refusal_hold_s:
            self._refuse_by_record(request, record, now)
        else:
            return False
        return True

    @property
    def _refusal_hold_s(self) -> float:
        """Seconds after a refusal during which arriving requests cannot claim the key.

        This gives the "not run" verdict time to reach the refused caller while it is still true.
        """
        return self._context.options.claim_timeout + MAX_CLOCK_SKEW_S

    def _refuse_by_record(self, request: Request, record: KeyRecord, now: float) -> None:
        """Refuse a request that may have arrived before another caller was told "not run"."""
        is_recent = now <= record.updated_at + self._context.options.claim_timeout
        if is_recent and not request.arrival.on_behalf_of:
            self.listener.handle_claim_refused(request.id, codes.OVERLOADED, Verdict.NOT_RUN, now)
        else:
            self._refuse_unknown(request.id, now)

    def claim(self, request: Request, now: float) -> None:
        """Claim the key for the request's current attempt, unless a record decides the request."""
        if self.resolve_from_record(request, now):
            return
        record = self._records.create(request, now)
        if record.reserved:
            record.state = RecordState.RUNNING
            self._context.count(codes.RESERVED_RUNS)
            self.listener.handle_claim_won(request.id, record.generation, now)
            return
        row = self._records.make_row(record, RowState.CLAIMED, now)
        self._enqueue_write(WritePurpose.CLAIM, record.key, row, request, codes.PLATFORM_DOWN, now)

    def refuse(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request that got no slot, and ensure that "not run" is true for its key.

        Another instance may have run an attempt under the key, or may be about to. The refusal is
        therefore written to the table in place of a claim. If the insert succeeds, no attempt has
        run, and the row also causes earlier requests under the key to be refused.
        """
        if self.resolve_from_record(request, now):
            return
        if has_reserved_prefix(request.arrival.key):
            self._records.mark_never_dispatched(self._records.create(request, now), now)
            self.listener.handle_claim_refused(request.id, code, Verdict.NOT_RUN, now)
            return
        self._write_refusal(request, code, now)

    def record_outcome(self, request: Request, outcome: Outcome, now: float) -> None:
        """Record the outcome of a command that has run and notify everyone who waits for it."""
        self._record_run_end(request, RecordState.DONE, outcome.drop_unkept_body(), now)

    def record_unknown_outcome(self, request: Request, now: float) -> None:
        """Record that a dispatched command got no answer."""
        self._record_run_end(request, RecordState.UNKNOWN, None, now)

    def abandon_attempt(self, request: Request, now: float) -> None:
        """Abandon an attempt that is claimed, or being claimed, and was never dispatched."""
        record = self._records.find_own_claim(request)
        if record is None or not record.is_open:
            return
        self._records.mark_never_dispatched(record, now)
        self._notify_waiting_requests(record, now)
        if record.exclusive:
            self._write_outcome(record, RowState.NOT_RUN, now)

    # Writing claim rows.

    def _record_run_end(
        self, request: Request, state: RecordState, outcome: Outcome | None, now: float
    ) -> None:
        record = self._records.find_own_claim(request)
        if record is None:
            return
        record.state = state
        record.outcome = outcome
        record.updated_at = now
        self._notify_waiting_requests(record, now)
        self._write_outcome(record, RowState(state.value), now)

    def _enqueue_write(
        self,
        purpose: WritePurpose,
        key: str,
        row: ClaimRow,
        request: Request,
        code: ErrorCode,
        now: float,
    ) -> None:
        write = PendingWrite(purpose, key, row, request.expected_row_version, request.id, now, code)
        self._writes.enqueue(write, now)

    def _write_refusal(self, request: Request, code: ErrorCode, now: float) -> None:
        identity = self._context.identity
        row = ClaimRow(
            request.arrival.body_digest,
            request.attempt,
            identity.instance,
            identity.incarnation,
            max(1, request.claim_generation),
            RowState.NOT_RUN,
            self._context.to_unix_time(now),
        )
        self._enqueue_write(WritePurpose.REFUSE, make_request_key(request), row, request, code, now)

    def _write_outcome(self, record: KeyRecord, state: RowState, now: float) -> None:
        if record.reserved:
            return
        row = self._records.make_row(record, state, now)
        write = PendingWrite(WritePurpose.OUTCOME, record.key, row, record.row_version, "", now)
        self._writes.enqueue(write, now)

    def _is_request_open(self, write: PendingWrite) -> bool:
        return self.listener.find_request(write.request_id) is not None

    def _handle_write_given_up(self, write: PendingWrite, now: float) -> None:
        """Refuse a request whose claim cannot be confirmed, with the verdict "may have run".

        The write may still be applied. The attempt is marked as never dispatched, and this
        instance reports that when queried. Nothing is known about other attempts under the key.
        """
        record = self._records.find_for_write(write)
        if record is not None:
            self._records.mark_never_dispatched(record, now)
            self._notify_waiting_requests(record, now)
        self.listener.handle_claim_refused(write.request_id, write.code, Verdict.MAY_HAVE_RUN, now)

    def _handle_write_result(
        self, write: PendingWrite, applied: bool, row: events.Row | None, now: float
    ) -> None:
        stored_row = None if row is None else decode_row(row)
        # An earlier try of this write may have been applied and its answer lost.
        is_own_row = applied or (stored_row is not None and stored_row.attempt == write.row.attempt)
        record = self._records.find_for_write(write)
        if is_own_row and record is not None and row is not None:
            record.row_version = row.version
        if write.purpose is WritePurpose.OUTCOME:
            return
        if is_own_row:
            self._handle_applied_write(write, record, now)
        elif stored_row is None or row is None:
            self._remove_record(record, now)
            self._refuse_unknown(write.request_id, now)
        else:
            self._context.count(codes.CLAIMS_LOST)
            self._remove_record(record, now)
            self._resolve_with_row(write, stored_row, row.version, now)

    def _handle_applied_write(
        self, write: PendingWrite, record: KeyRecord | None, now: float
    ) -> None:
        if write.purpose is WritePurpose.REFUSE:
            self._handle_applied_refusal(write, now)
        elif record is None:
            # A newer attempt of this instance has replaced the record, and this attempt is already
            # marked as never dispatched.
            return
        elif record.state is not RecordState.CLAIMING or not self._is_request_open(write):
            record.exclusive = True
            self._records.mark_never_dispatched(record, now)
            self._notify_waiting_requests(record, now)
            self._write_outcome(record, RowState.NOT_RUN, now)
        else:
            record.state = RecordState.RUNNING
            record.exclusive = True
            self._context.count(codes.CLAIMS_WON)
            if record.generation > 1:
                self._context.count(codes.CLAIMS_TAKEN_OVER)
            self.listener.handle_claim_won(write.request_id, record.generation, now)

    def _handle_applied_refusal(self, write: PendingWrite, now: float) -> None:
        """Report "not run" only while no later request can have claimed the refused key.

        This process may have been paused since it created the row. A request that arrived after
        the time in the row may by now be running under the key.
        """
        is_recent = now - write.created_at <= self._context.options.claim_timeout
        verdict = Verdict.NOT_RUN if is_recent else Verdict.MAY_HAVE_RUN
        self.listener.handle_claim_refused(write.request_id, write.code, verdict, now)

    def _remove_record(self, record: KeyRecord | None, now: float) -> None:
        """Remove the record of an attempt that lost; requests that wait for it claim again."""
        if record is None:
            return
        self._records.remove(record)
        for waiting in record.waiting_requests:
            if self.listener.find_request(waiting) is not None:
                self.listener.handle_claim_retry_needed(waiting, 0, 1, now)

    def _resolve_with_row(
        self, write: PendingWrite, row: ClaimRow, version: int, now: float
    ) -> None:
        request = self.listener.find_request(write.request_id)
        if request is None:
            return
        if row.digest != request.arrival.body_digest:
            verdict = compute_conflict_verdict(row.state)
            self.listener.handle_claim_refused(write.request_id, codes.KEY_REUSED, verdict, now)
        elif row.state is RowState.DONE:
            outcome = Outcome(row.status, row.content_type, row.body, row.kept)
            self.listener.handle_claim_replayed(write.request_id, outcome, now)
        elif row.state is RowState.UNKNOWN:
            self._refuse_unknown(write.request_id, now)
        elif row.state is RowState.NOT_RUN:
            self._resolve_refused_row(write, request, row, version, now)
        else:
            self._query_holder(request, row, version, now)

    def _resolve_refused_row(
        self, write: PendingWrite, request: Request, row: ClaimRow, version: int, now: float
    ) -> None:
        """Allow a refused key to be claimed, but only by a request that arrived after the refusal.

        Two requests under one key may be in the fleet at once. Once the first has been told
        "not run", running the second would make that false. If the refusal is so old that a third
        request may already be running under the key, "not run" is not reported again unless the
        refusal is written again.
        """
        if write.purpose is WritePurpose.REFUSE:
            request.expected_row_version = version
            request.claim_generation = row.generation + 1
            self._write_refusal(request, write.code, now)
        elif self._context.to_unix_time(request.arrived_at) > row.at + self._refusal_hold_s:
            self.listener.handle_claim_retry_needed(
                write.request_id, version, row.generation + 1, now
            )
        else:
            is_recent = (
                self._context.to_unix_time(now) <= row.at + self._context.options.claim_timeout
            )
            verdict = Verdict.NOT_RUN if is_recent else Verdict.MAY_HAVE_RUN
            self.listener.handle_claim_refused(write.request_id, codes.OVERLOADED, verdict, now)

    def _refuse_unknown(self, request_id: str, now: float) -> None:
        self.listener.handle_claim_refused(
            request_id, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now
        )

    # Querying the holder of a claim.

    def _query_holder(self, request: Request, row: ClaimRow, version: int, now: float) -> None:
        identity = self._context.identity
        view = self._context.fleet.instances.get(row.instance)
        restarted = view is not None and view.incarnation not in (0, row.incarnation)
        query = Query(make_request_key(request), row.instance, version, row.generation, [])
        never_since = self._records.find_never_dispatched(row.attempt)
        if never_since is not None:
            self.holder_reported_never_dispatched(request.id, query, never_since, now)
        elif row.instance == identity.instance or restarted:
            # The incarnation that held the claim is gone, and its records with it.
            self._refuse_unknown(request.id, now)
        elif view is None:
            self.holder_unresponsive(request.id, now)
        else:
            self.listener.handle_claim_pending(request.id, now)
            self._queries.ask(request, row.attempt, query, now)

    def find_request(self, request_id: str) -> Request | None:
        """Return a request that has no final answer yet, None if there is none of this id."""
        return self.listener.find_request(request_id)

    def holder_reported_done(self, request_id: str, outcome: Outcome, now: float) -> None:
        """Answer a request with the outcome that the holder reports."""
        self.listener.handle_claim_replayed(request_id, outcome, now)

    def holder_reported_never_dispatched(
        self, request_id: str, query: Query, since: float, now: float
    ) -> None:
        """Let a request claim the key if it arrived after the holder had abandoned its attempt.

        An earlier request is not told "not run": a later request may claim the key at any
        moment, so the verdict might no longer be true. It is refused as "may have run".
        """
        found = self.listener.find_request(request_id)
        if found is None:
            return
        if found.arrived_at <= since:
            self._refuse_unknown(request_id, now)
        else:
            self.listener.handle_claim_retry_needed(
                request_id, query.row_version, query.generation + 1, now
            )

    def holder_reported_unknown(self, request_id: str, now: float) -> None:
        """Refuse a request as "may have run", because the holder does not know the outcome."""
        self._refuse_unknown(request_id, now)

    def holder_unresponsive(self, request_id: str, now: float) -> None:
        """Refuse a request as "may have run", because the holder of the claim does not answer."""
        self.listener.handle_claim_refused(
            request_id, codes.HOLDER_SILENT, Verdict.MAY_HAVE_RUN, now
        )

    # Records and the requests that wait for them.

    def _notify_waiting_requests(self, record: KeyRecord, now: float) -> None:
        self._records.reply_to_querying_peers(record, now)
        waiting, record.waiting_requests = record.waiting_requests, []
        for request_id in waiting:
            if record.state is RecordState.DONE and record.outcome is not None:
                self.listener.handle_claim_replayed(request_id, record.outcome, now)
            elif record.state is RecordState.NOT_RUN and record.exclusive:
                self.listener.handle_claim_refused(
                    request_id, codes.OVERLOADED, Verdict.NOT_RUN, now
                )
            else:
                # Unless the claim was read back from the table, another instance may have run it.
                self._refuse_unknown(request_id, now)

    def _handle_started(self, event: events.Started, now: float) -> None:
        self._context.repeat(
            self._context.options.record_lifetime / 30, self._records.evict_old_records, now
        )
