"""The claim duty: a non-idempotent command is dispatched at most once under its key.

A claim is one conditional insert of a row that names the attempt; claims of the same few
milliseconds share a transaction. An attempt is dispatched only after its own id has been seen in
the table: an answer that was lost after the write took effect is not guessed at, the same insert
is sent again and finds its own row. A clock alone never takes a claim over, because its holder
may be paused between its check and its send; the holder is asked, and what it says binds it.
"""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.claims._claim_listener import ClaimListener
from rhubarbbend.core.claims._claim_queries import ClaimQueries, Query
from rhubarbbend.core.claims._claim_records import CLOCK_SKEW, ClaimRecords, key_of
from rhubarbbend.core.claims._claim_rows import (
    ClaimRow,
    Outcome,
    PendingWrite,
    Record,
    RecordState,
    RowState,
    WritePurpose,
    decode_row,
    judge_state,
)
from rhubarbbend.core.claims._claim_writes import ClaimWrites
from rhubarbbend.core.claims._keys import is_reserved
from rhubarbbend.core.messages import ClaimQuery, ClaimReply, Message
from rhubarbbend.core.requests._requests import Request


class ClaimDuty:
    """Claims, their outcomes and the questions about them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._listener: ClaimListener | None = None
        self._records = ClaimRecords(context)
        self._writes = ClaimWrites(context, self._settle_write, self._give_up, self._is_wanted)
        self._queries = ClaimQueries(context, self)

    def set_listener(self, listener: ClaimListener) -> None:
        """Set the entry duty, which is told what becomes of claims."""
        self._listener = listener

    @property
    def listener(self) -> ClaimListener:
        """The entry duty."""
        assert self._listener is not None
        return self._listener

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start, answers of the table and peers that fail."""
        return {
            events.Started: self._start,
            events.WriteDone: self._writes.handle_done,
            events.PeerLost: self._queries.handle_lost,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle questions and answers about claims."""
        return {ClaimQuery: self._records.handle_query, ClaimReply: self._queries.handle_reply}

    def has_pending_writes(self) -> bool:
        """Whether outcomes still wait to be written; a planned stop waits for them."""
        return self._writes.has_outcomes()

    # What the entry duty asks.

    def settle_from_memory(self, request: Request, now: float) -> bool:
        """Settle a request whose key this instance knows; False if it has to be claimed."""
        record = self._records.find(request)
        if record is None:
            return False
        if record.digest != request.arrived.body_digest:
            verdict = judge_state(record.state)
            self.listener.claim_refused(request.id, codes.KEY_REUSED, verdict, now)
        elif record.open:
            record.waiting.append(request.id)
            self.listener.claim_waits(request.id, now)
        elif record.state is RecordState.DONE and record.outcome is not None:
            self.listener.claim_replayed(request.id, record.outcome, now)
        elif record.state is RecordState.UNKNOWN:
            self._refuse_unknown(request.id, now)
        elif record.reserved and request.arrived_at <= record.at + self._hold:
            self._settle_refused_key(request, record, now)
        else:
            return False
        return True

    @property
    def _hold(self) -> float:
        """How long a refusal holds later requests back, so that "not run" can reach its caller."""
        return self._context.options.claim_timeout + CLOCK_SKEW

    def _settle_refused_key(self, request: Request, record: Record, now: float) -> None:
        """Refuse a request that may have come before a caller was told "not run"."""
        fresh = now <= record.at + self._context.options.claim_timeout
        if fresh and not request.arrived.on_behalf_of:
            self.listener.claim_refused(request.id, codes.OVERLOADED, Verdict.NOT_RUN, now)
        else:
            self._refuse_unknown(request.id, now)

    def claim(self, request: Request, now: float) -> None:
        """Claim the key for the request's present attempt."""
        if self.settle_from_memory(request, now):
            return
        record = self._records.open(request, now)
        if record.reserved:
            record.state = RecordState.RUNNING
            self._context.count(codes.RESERVED_RUNS)
            self.listener.claim_won(request.id, record.generation, now)
            return
        row = self._records.make_row(record, RowState.CLAIMED, now)
        self._write(WritePurpose.CLAIM, record.key, row, request, codes.PLATFORM_DOWN, now)

    def refuse(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request that got no slot, in a way that makes "not run" true for its key.

        Another attempt under the key may have run, or may be about to, through another instance.
        The refusal is therefore written where a claim would be: if the row is new, nothing ran,
        and requests that came before it are refused by it too.
        """
        if self.settle_from_memory(request, now):
            return
        if is_reserved(request.arrived.key):
            self._records.mark_never(self._records.open(request, now), now)
            self.listener.claim_refused(request.id, code, Verdict.NOT_RUN, now)
            return
        self._write_refusal(request, code, now)

    def finish(self, request: Request, outcome: Outcome, now: float) -> None:
        """Keep the outcome of a command that has run and tell everyone who waits for it."""
        self._end_run(request, RecordState.DONE, outcome.trim(), now)

    def finish_unknown(self, request: Request, now: float) -> None:
        """Note that a dispatched command got no answer."""
        self._end_run(request, RecordState.UNKNOWN, None, now)

    def abandon(self, request: Request, now: float) -> None:
        """Give up an attempt that was claimed, or is being claimed, and never dispatched."""
        record = self._records.find_own(request)
        if record is None or not record.open:
            return
        self._records.mark_never(record, now)
        self._tell_waiting(record, now)
        if record.won:
            self._write_outcome(record, RowState.NOT_RUN, now)

    # Writing.

    def _end_run(
        self, request: Request, state: RecordState, outcome: Outcome | None, now: float
    ) -> None:
        record = self._records.find_own(request)
        if record is None:
            return
        record.state = state
        record.outcome = outcome
        record.at = now
        self._tell_waiting(record, now)
        self._write_outcome(record, RowState(state.value), now)

    def _write(
        self,
        purpose: WritePurpose,
        key: str,
        row: ClaimRow,
        request: Request,
        code: ErrorCode,
        now: float,
    ) -> None:
        write = PendingWrite(purpose, key, row, request.retake_version, request.id, now, code)
        self._writes.add(write, now)

    def _write_refusal(self, request: Request, code: ErrorCode, now: float) -> None:
        identity = self._context.identity
        row = ClaimRow(
            request.arrived.body_digest,
            request.attempt,
            identity.instance,
            identity.incarnation,
            max(1, request.generation),
            RowState.NOT_RUN,
            self._context.read_wall(now),
        )
        self._write(WritePurpose.REFUSE, key_of(request), row, request, code, now)

    def _write_outcome(self, record: Record, state: RowState, now: float) -> None:
        if record.reserved:
            return
        row = self._records.make_row(record, state, now)
        write = PendingWrite(WritePurpose.OUTCOME, record.key, row, record.version, "", now)
        self._writes.add(write, now)

    def _is_wanted(self, write: PendingWrite) -> bool:
        return self.listener.find_request(write.request) is not None

    def _give_up(self, write: PendingWrite, now: float) -> None:
        """Answer a request whose claim cannot be confirmed.

        The write may still take effect; the attempt is never dispatched, and this instance says
        so when asked. Of the key's other attempts nothing is known.
        """
        record = self._records.find_written(write)
        if record is not None:
            self._records.mark_never(record, now)
            self._tell_waiting(record, now)
        self.listener.claim_refused(write.request, write.code, Verdict.MAY_HAVE_RUN, now)

    def _settle_write(
        self, write: PendingWrite, applied: bool, row: events.Row | None, now: float
    ) -> None:
        found = None if row is None else decode_row(row)
        # The answer to an earlier try of this write may have been lost after it took effect.
        mine = applied or (found is not None and found.attempt == write.row.attempt)
        record = self._records.find_written(write)
        if mine and record is not None and row is not None:
            record.version = row.version
        if write.purpose is WritePurpose.OUTCOME:
            return
        if mine:
            self._accept_write(write, record, now)
        elif found is None or row is None:
            self._drop_record(record, now)
            self._refuse_unknown(write.request, now)
        else:
            self._context.count(codes.CLAIMS_LOST)
            self._drop_record(record, now)
            self._settle_with_row(write, found, row.version, now)

    def _accept_write(self, write: PendingWrite, record: Record | None, now: float) -> None:
        if write.purpose is WritePurpose.REFUSE:
            self._accept_refusal(write, now)
        elif record is None:
            # A newer attempt of this instance has the record; this one is marked as never run.
            return
        elif record.state is not RecordState.CLAIMING or not self._is_wanted(write):
            record.won = True
            self._records.mark_never(record, now)
            self._tell_waiting(record, now)
            self._write_outcome(record, RowState.NOT_RUN, now)
        else:
            record.state = RecordState.RUNNING
            record.won = True
            self._context.count(codes.CLAIMS_WON)
            if record.generation > 1:
                self._context.count(codes.CLAIMS_TAKEN_OVER)
            self.listener.claim_won(write.request, record.generation, now)

    def _accept_refusal(self, write: PendingWrite, now: float) -> None:
        """Say "not run" only while no later request can have taken the refused key.

        This process may have been paused since it made the row; by now a request that came after
        the row's time may be running the key.
        """
        fresh = now - write.since <= self._context.options.claim_timeout
        verdict = Verdict.NOT_RUN if fresh else Verdict.MAY_HAVE_RUN
        self.listener.claim_refused(write.request, write.code, verdict, now)

    def _drop_record(self, record: Record | None, now: float) -> None:
        """Forget the record of an attempt that lost; those waiting on it are settled anew."""
        if record is None:
            return
        self._records.drop(record)
        for waiting in record.waiting:
            if self.listener.find_request(waiting) is not None:
                self.listener.claim_retake(waiting, 0, 1, now)

    def _settle_with_row(
        self, write: PendingWrite, row: ClaimRow, version: int, now: float
    ) -> None:
        request = self.listener.find_request(write.request)
        if request is None:
            return
        if row.digest != request.arrived.body_digest:
            verdict = judge_state(row.state)
            self.listener.claim_refused(write.request, codes.KEY_REUSED, verdict, now)
        elif row.state is RowState.DONE:
            outcome = Outcome(row.status, row.content_type, row.body, row.kept)
            self.listener.claim_replayed(write.request, outcome, now)
        elif row.state is RowState.UNKNOWN:
            self._refuse_unknown(write.request, now)
        elif row.state is RowState.NOT_RUN:
            self._settle_refused(write, request, row, version, now)
        else:
            self._ask_holder(request, row, version, now)

    def _settle_refused(
        self, write: PendingWrite, request: Request, row: ClaimRow, version: int, now: float
    ) -> None:
        """Let a key run that was refused, but only for a request that came after the refusal.

        Two requests under one key may be in the fleet at once. Once the first has been told
        "not run", a run of the second would make that false. Where the refusal is so old that a
        third may already run the key, "not run" is not said again without writing it again.
        """
        if write.purpose is WritePurpose.REFUSE:
            request.retake_version = version
            request.generation = row.generation + 1
            self._write_refusal(request, write.code, now)
        elif self._context.read_wall(request.arrived_at) > row.at + self._hold:
            self.listener.claim_retake(write.request, version, row.generation + 1, now)
        else:
            fresh = self._context.read_wall(now) <= row.at + self._context.options.claim_timeout
            verdict = Verdict.NOT_RUN if fresh else Verdict.MAY_HAVE_RUN
            self.listener.claim_refused(write.request, codes.OVERLOADED, verdict, now)

    def _refuse_unknown(self, request: str, now: float) -> None:
        self.listener.claim_refused(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)

    # Asking the holder of a claim.

    def _ask_holder(self, request: Request, row: ClaimRow, version: int, now: float) -> None:
        identity = self._context.identity
        view = self._context.fleet.instances.get(row.instance)
        restarted = view is not None and view.incarnation not in (0, row.incarnation)
        query = Query(key_of(request), row.instance, version, row.generation, [])
        never = self._records.find_never(row.attempt)
        if never is not None:
            self.holder_never(request.id, query, never, now)
        elif row.instance == identity.instance or restarted:
            # The incarnation that held it is gone, and with it what it knew.
            self._refuse_unknown(request.id, now)
        elif view is None:
            self.holder_silent(request.id, now)
        else:
            self.listener.claim_waits(request.id, now)
            self._queries.ask(request, row.attempt, query, now)

    def find_request(self, request: str) -> Request | None:
        """Find a request that is still open."""
        return self.listener.find_request(request)

    def holder_done(self, request: str, outcome: Outcome, now: float) -> None:
        """Replay what the holder says came of its attempt."""
        self.listener.claim_replayed(request, outcome, now)

    def holder_never(self, request: str, query: Query, since: float, now: float) -> None:
        """Let a key run whose attempt was given up, for a request that came after that.

        Whoever came before may be followed by one that takes the key now, so "not run" would be
        said too late to be sure.
        """
        found = self.listener.find_request(request)
        if found is None:
            return
        if found.arrived_at <= since:
            self._refuse_unknown(request, now)
        else:
            self.listener.claim_retake(request, query.version, query.generation + 1, now)

    def holder_unknown(self, request: str, now: float) -> None:
        """Leave in doubt what the holder does not know."""
        self._refuse_unknown(request, now)

    def holder_silent(self, request: str, now: float) -> None:
        """Leave in doubt what only a silent holder knows."""
        self.listener.claim_refused(request, codes.HOLDER_SILENT, Verdict.MAY_HAVE_RUN, now)

    # Keeping records.

    def _tell_waiting(self, record: Record, now: float) -> None:
        self._records.answer_asking(record, now)
        waiting, record.waiting = record.waiting, []
        for request in waiting:
            if record.state is RecordState.DONE and record.outcome is not None:
                self.listener.claim_replayed(request, record.outcome, now)
            elif record.state is RecordState.NOT_RUN and record.won:
                self.listener.claim_refused(request, codes.OVERLOADED, Verdict.NOT_RUN, now)
            else:
                # A claim that was not seen in the table says nothing of other instances' runs.
                self._refuse_unknown(request, now)

    def _start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.record_lifetime / 30, self._records.trim, now)
