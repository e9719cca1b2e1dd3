"""The claim duty: a non-idempotent command is dispatched at most once under its key.

A claim is one conditional insert of a row that names the attempt; claims of the same few
milliseconds share a transaction. An attempt is dispatched only after its own id has been seen in
the table: an answer that was lost after the write took effect is not guessed at, the same insert
is sent again and finds its own row. A clock alone never takes a claim over, because its holder
may be paused between its check and its send; the holder is asked, and what it says binds it.
"""

from __future__ import annotations

import enum
from typing import Final, Protocol

import attrs
import msgspec
from returns.result import Success

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._keys import (
    ReservedKey,
    decode_reserved,
    encode_reserved,
    is_reserved,
)
from rhubarbbend.core._requests import Request
from rhubarbbend.core.messages import ClaimQuery, ClaimReply, Message

CLAIM_TABLE: Final = "claims"
OP_PREFIX: Final = "claim:"
MAX_TRANSACTIONS: Final = 2
OUTCOME_RETRY_INTERVAL: Final = 1.0
MAX_SILENT_QUERIES: Final = 2
# Clocks of instances may differ by this much; only the finality of "not run" leans on it.
CLOCK_SKEW: Final = 0.5


class RowState(enum.Enum):
    """State of a claim in the table."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim as stored; `at` in Unix seconds, the outcome only with state DONE."""

    digest: str
    attempt: str
    instance: str
    incarnation: int
    generation: int
    state: RowState
    at: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class Outcome(msgspec.Struct, frozen=True):
    """The kept answer of a command; not `kept` when its body was too large."""

    status: int
    content_type: str
    body: bytes
    kept: bool


class RecordState(enum.Enum):
    """State of a key in the memory of the instance that runs it."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@attrs.define(slots=True)
class Record:
    """What this instance knows of one key that it claims or has claimed.

    Invariant: once NOT_RUN, `attempt` is never dispatched.
    """

    key: str
    digest: str
    attempt: str
    state: RecordState
    at: float
    generation: int = 1
    version: int = 0
    reserved: bool = False
    outcome: Outcome | None = None
    waiting: list[str] = attrs.Factory(list)
    asking: set[str] = attrs.Factory(set)


class WritePurpose(enum.Enum):
    """Why a claim row is written."""

    CLAIM = "claim"
    REFUSE = "refuse"
    OUTCOME = "outcome"


@attrs.define(slots=True)
class PendingWrite:
    """One row on its way to the table."""

    purpose: WritePurpose
    key: str
    row: ClaimRow
    expect: int
    request: str
    since: float
    code: ErrorCode = codes.OVERLOADED


@attrs.define(slots=True)
class Query:
    """A claim's holder being asked on behalf of local requests."""

    key: str
    holder: str
    version: int
    generation: int
    requests: list[str]
    unanswered: int = 0


class ClaimListener(Protocol):
    """Told what became of a claim."""

    def claim_won(self, request: str, generation: int, now: float) -> None:
        """The request's own attempt is in the table: it may be dispatched."""
        ...

    def claim_retake(self, request: str, version: int, generation: int, now: float) -> None:
        """The key was refused before; claim it with this version and generation."""
        ...

    def claim_waits(self, request: str, now: float) -> None:
        """Another attempt under the key is running; its outcome will be the request's."""
        ...

    def claim_replayed(self, request: str, outcome: Outcome, now: float) -> None:
        """The key has run; this is its answer."""
        ...

    def claim_refused(self, request: str, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """The request gets no run; `verdict` speaks of the key."""
        ...

    def find_request(self, request: str) -> Request | None:
        """Find a request that is still open."""
        ...


def make_key(account: str, key: str) -> str:
    """Make the table key of an account's idempotency key."""
    return f"{account}/{key}"


class ClaimDuty:
    """Claims, their outcomes and the questions about them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._listener: ClaimListener | None = None
        self._records: dict[str, Record] = {}
        self._waiting: list[PendingWrite] = []
        self._in_flight: dict[str, list[PendingWrite]] = {}
        self._queries: dict[str, Query] = {}
        # Attempts of this incarnation that were never dispatched and never will be, and since when.
        self._never: dict[str, float] = {}
        self._next_op = 0
        self._next_number = 0

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
            events.WriteDone: self._handle_write,
            events.PeerLost: self._handle_lost,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle questions and answers about claims."""
        return {ClaimQuery: self._handle_query, ClaimReply: self._handle_reply}

    def has_pending_writes(self) -> bool:
        """Whether outcomes still wait to be written; a planned stop waits for them."""
        pending = [*self._waiting, *(w for batch in self._in_flight.values() for w in batch)]
        return any(write.purpose is WritePurpose.OUTCOME for write in pending)

    # Reserved keys.

    def issue_keys(self, account: str, count: int, now: float) -> list[str]:
        """Issue reserved keys for an account."""
        identity = self._context.identity
        lifetime = self._context.options.reserved_lifetime
        expires = int(self._context.read_wall(now) + lifetime)
        keys: list[str] = []
        for _ in range(count):
            self._next_number += 1
            key = ReservedKey(identity.instance, identity.incarnation, self._next_number, expires)
            keys.append(encode_reserved(identity.secret, account, key))
        self._context.count(codes.RESERVED_ISSUED, count)
        return keys

    def read_reserved(self, request: Request) -> ReservedKey | None:
        """Read a request's reserved key; None if it is not one of this fleet for the account."""
        found = decode_reserved(
            self._context.identity.secret, request.account.name, request.arrived.key
        )
        return found.unwrap() if isinstance(found, Success) else None

    def is_own(self, key: ReservedKey) -> bool:
        """Whether this very incarnation issued a reserved key."""
        identity = self._context.identity
        return key.issuer == identity.instance and key.incarnation == identity.incarnation

    # What the entry duty asks.

    def settle_from_memory(self, request: Request, now: float) -> bool:
        """Settle a request whose key this instance knows; False if it has to be claimed."""
        key = make_key(request.account.name, request.arrived.key)
        record = self._records.get(key)
        if record is None:
            return False
        if record.digest != request.arrived.body_digest:
            verdict = _judge_record(record)
            self.listener.claim_refused(request.id, codes.KEY_REUSED, verdict, now)
            return True
        if record.state in (RecordState.CLAIMING, RecordState.RUNNING):
            record.waiting.append(request.id)
            self.listener.claim_waits(request.id, now)
            return True
        if record.state is RecordState.DONE and record.outcome is not None:
            self.listener.claim_replayed(request.id, record.outcome, now)
            return True
        if record.state is RecordState.UNKNOWN:
            self._refuse_unknown(request.id, now)
            return True
        if record.reserved and request.arrived_at <= record.at:
            # Whoever sent the key first has been told "not run" after this request came.
            self.listener.claim_refused(request.id, codes.OVERLOADED, Verdict.NOT_RUN, now)
            return True
        return False

    def claim(self, request: Request, now: float) -> None:
        """Claim the key for the request's present attempt."""
        if self.settle_from_memory(request, now):
            return
        key = make_key(request.account.name, request.arrived.key)
        record = self._open_record(request, key, now)
        if record.reserved:
            record.state = RecordState.RUNNING
            self._context.count(codes.RESERVED_RUNS)
            self.listener.claim_won(request.id, record.generation, now)
            return
        row = self._make_row(record, RowState.CLAIMED, now)
        self._enqueue(
            PendingWrite(WritePurpose.CLAIM, key, row, request.retake_version, request.id, now),
            now,
        )

    def refuse(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request that got no slot, in a way that makes "not run" true for its key.

        Another attempt under the key may have run, or may be about to, through another instance.
        The refusal is therefore written where a claim would be: if the row is new, nothing ran,
        and requests that came before it are refused by it too.
        """
        if self.settle_from_memory(request, now):
            return
        key = make_key(request.account.name, request.arrived.key)
        record = self._open_record(request, key, now)
        self._mark_never(record, now)
        if record.reserved:
            self.listener.claim_refused(request.id, code, Verdict.NOT_RUN, now)
            return
        row = self._make_row(record, RowState.NOT_RUN, now)
        self._enqueue(
            PendingWrite(
                WritePurpose.REFUSE, key, row, request.retake_version, request.id, now, code
            ),
            now,
        )

    def finish(self, request: Request, outcome: Outcome, now: float) -> None:
        """Keep the outcome of a command that has run and tell everyone who waits for it."""
        record = self._find_own(request)
        if record is None:
            return
        record.state = RecordState.DONE
        record.outcome = outcome
        record.at = now
        self._tell_waiting(record, now)
        self._write_outcome(record, RowState.DONE, now)

    def finish_unknown(self, request: Request, now: float) -> None:
        """Note that a dispatched command got no answer."""
        record = self._find_own(request)
        if record is None:
            return
        record.state = RecordState.UNKNOWN
        record.at = now
        self._tell_waiting(record, now)
        self._write_outcome(record, RowState.UNKNOWN, now)

    def abandon(self, request: Request, now: float) -> None:
        """Give up an attempt that was claimed, or is being claimed, and never dispatched."""
        record = self._find_own(request)
        if record is None or record.state not in (RecordState.CLAIMING, RecordState.RUNNING):
            return
        won = record.state is RecordState.RUNNING
        self._mark_never(record, now)
        self._tell_waiting(record, now)
        if won:
            self._write_outcome(record, RowState.NOT_RUN, now)

    # Writing.

    def _open_record(self, request: Request, key: str, now: float) -> Record:
        reserved = is_reserved(request.arrived.key)
        record = Record(
            key,
            request.arrived.body_digest,
            request.attempt,
            RecordState.CLAIMING,
            now,
            generation=max(1, request.generation),
            reserved=reserved,
        )
        request.claim_id = request.attempt
        self._records[key] = record
        return record

    def _mark_never(self, record: Record, now: float) -> None:
        record.state = RecordState.NOT_RUN
        record.at = now
        self._never[record.attempt] = now

    def _make_row(self, record: Record, state: RowState, now: float) -> ClaimRow:
        identity = self._context.identity
        outcome = record.outcome
        return ClaimRow(
            record.digest,
            record.attempt,
            identity.instance,
            identity.incarnation,
            record.generation,
            state,
            self._context.read_wall(now),
            status=0 if outcome is None else outcome.status,
            content_type="" if outcome is None else outcome.content_type,
            body=b"" if outcome is None else outcome.body,
            kept=True if outcome is None else outcome.kept,
        )

    def _write_outcome(self, record: Record, state: RowState, now: float) -> None:
        if record.reserved:
            return
        row = self._make_row(record, state, now)
        self._enqueue(
            PendingWrite(WritePurpose.OUTCOME, record.key, row, record.version, "", now), now
        )

    def _enqueue(self, write: PendingWrite, now: float) -> None:
        self._waiting.append(write)
        self._send_waiting(now)

    def _send_waiting(self, now: float) -> None:
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

    def _handle_write(self, event: events.WriteDone, now: float) -> None:
        batch = self._in_flight.pop(event.op, None)
        if batch is None:
            return
        if event.status == "done":
            self._context.platform_worked = now
            for write, applied, row in zip(batch, event.applied, event.rows, strict=True):
                self._settle_write(write, applied, row, now)
        else:
            self._context.platform_failed = now
            self._context.count(codes.PLATFORM_ERRORS)
            for write in batch:
                self._repeat_or_give_up(write, now)
        self._send_waiting(now)

    def _repeat_or_give_up(self, write: PendingWrite, now: float) -> None:
        options = self._context.options
        if write.purpose is WritePurpose.OUTCOME:
            if now - write.since < options.record_lifetime:
                self._context.set_timer(
                    now + OUTCOME_RETRY_INTERVAL, lambda at: self._enqueue(write, at)
                )
            return
        if now - write.since < options.claim_timeout and self._is_wanted(write):
            self._context.count(codes.RETRY_CLAIM)
            self._waiting.append(write)
            return
        self._give_up(write, now)

    def _is_wanted(self, write: PendingWrite) -> bool:
        return self.listener.find_request(write.request) is not None

    def _give_up(self, write: PendingWrite, now: float) -> None:
        """Answer a request whose claim cannot be confirmed.

        The write may still take effect; the attempt is never dispatched, and this instance says
        so when asked. Of the key's other attempts nothing is known.
        """
        record = self._records.get(write.key)
        if record is not None and record.attempt == write.row.attempt:
            self._mark_never(record, now)
            self._tell_waiting(record, now)
        code = codes.PLATFORM_DOWN if write.purpose is WritePurpose.CLAIM else write.code
        self.listener.claim_refused(write.request, code, Verdict.MAY_HAVE_RUN, now)

    def _settle_write(
        self, write: PendingWrite, applied: bool, row: events.Row | None, now: float
    ) -> None:
        record = self._records.get(write.key)
        mine = record if record is not None and record.attempt == write.row.attempt else None
        if mine is not None and row is not None and applied:
            mine.version = row.version
        if write.purpose is WritePurpose.OUTCOME:
            return
        if applied or row is None:
            self._accept_write(write, mine, now)
            return
        found = _decode_row(row)
        if found is None:
            self._refuse_unknown(write.request, now)
        elif found.attempt == write.row.attempt:
            # The answer to an earlier try of this write was lost after it took effect.
            if mine is not None:
                mine.version = row.version
            self._accept_write(write, mine, now)
        else:
            self._context.count(codes.CLAIMS_LOST)
            self._drop_record(write, now)
            self._settle_with_row(write, found, row.version, now)

    def _accept_write(self, write: PendingWrite, record: Record | None, now: float) -> None:
        if write.purpose is WritePurpose.REFUSE:
            self.listener.claim_refused(write.request, write.code, Verdict.NOT_RUN, now)
            return
        if record is None or record.state is not RecordState.CLAIMING or not self._is_wanted(write):
            if record is not None:
                self._mark_never(record, now)
                self._tell_waiting(record, now)
                self._write_outcome(record, RowState.NOT_RUN, now)
            return
        record.state = RecordState.RUNNING
        self._context.count(codes.CLAIMS_WON)
        if record.generation > 1:
            self._context.count(codes.CLAIMS_TAKEN_OVER)
        self.listener.claim_won(write.request, record.generation, now)

    def _drop_record(self, write: PendingWrite, now: float) -> None:
        """Forget the record of an attempt that lost; those waiting on it are settled anew."""
        record = self._records.get(write.key)
        if record is not None and record.attempt == write.row.attempt:
            del self._records[write.key]
            for waiting in record.waiting:
                request = self.listener.find_request(waiting)
                if request is not None:
                    self.listener.claim_retake(waiting, 0, 1, now)

    def _settle_with_row(
        self, write: PendingWrite, row: ClaimRow, version: int, now: float
    ) -> None:
        request = self.listener.find_request(write.request)
        if request is None:
            return
        if row.digest != request.arrived.body_digest:
            verdict = _judge_row(row)
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
        "not run", a run of the second would make that false.
        """
        hold = self._context.options.claim_timeout + CLOCK_SKEW
        arrived = self._context.read_wall(request.arrived_at)
        if write.purpose is WritePurpose.REFUSE or arrived <= row.at + hold:
            code = write.code
            self.listener.claim_refused(write.request, code, Verdict.NOT_RUN, now)
            return
        self.listener.claim_retake(write.request, version, row.generation + 1, now)

    def _refuse_unknown(self, request: str, now: float) -> None:
        self.listener.claim_refused(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)

    # Asking the holder of a claim.

    def _ask_holder(self, request: Request, row: ClaimRow, version: int, now: float) -> None:
        identity = self._context.identity
        view = self._context.fleet.instances.get(row.instance)
        restarted = view is not None and view.incarnation not in (0, row.incarnation)
        if row.attempt in self._never:
            self._settle_never(request, row.generation, version, self._never[row.attempt], now)
            return
        if row.instance == identity.instance or restarted:
            # The incarnation that held it is gone, and with it what it knew.
            self._refuse_unknown(request.id, now)
            return
        if view is None:
            self.listener.claim_refused(request.id, codes.HOLDER_SILENT, Verdict.MAY_HAVE_RUN, now)
            return
        key = make_key(request.account.name, request.arrived.key)
        query = self._queries.get(row.attempt)
        if query is None:
            query = Query(key, row.instance, version, row.generation, [])
            self._queries[row.attempt] = query
            self._send_query(row.attempt, now)
        query.requests.append(request.id)
        self.listener.claim_waits(request.id, now)

    def _settle_never(
        self, request: Request, generation: int, version: int, since: float, now: float
    ) -> None:
        """Let a key run whose attempt was given up, for a request that came after that."""
        if request.arrived_at <= since:
            self.listener.claim_refused(request.id, codes.OVERLOADED, Verdict.NOT_RUN, now)
        else:
            self.listener.claim_retake(request.id, version, generation + 1, now)

    def _send_query(self, attempt: str, now: float) -> None:
        query = self._queries.get(attempt)
        if query is None:
            return
        open_requests = [r for r in query.requests if self.listener.find_request(r) is not None]
        if query.requests and not open_requests:
            del self._queries[attempt]
            return
        if query.unanswered >= MAX_SILENT_QUERIES:
            self._end_query(attempt, now)
            return
        query.unanswered += 1
        self._context.count(codes.CLAIM_QUERIES)
        own = self._context.identity.instance
        self._context.send(query.holder, ClaimQuery(attempt=attempt, key=query.key, instance=own))
        again = now + self._context.options.claim_query_timeout
        self._context.set_timer(again, lambda at: self._send_query(attempt, at))

    def _end_query(self, attempt: str, now: float) -> None:
        query = self._queries.pop(attempt)
        for request in query.requests:
            self.listener.claim_refused(request, codes.HOLDER_SILENT, Verdict.MAY_HAVE_RUN, now)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        for attempt, query in list(self._queries.items()):
            if query.holder == event.peer and query.unanswered >= MAX_SILENT_QUERIES:
                self._end_query(attempt, now)

    def _handle_query(self, sender: str, message: ClaimQuery, now: float) -> None:
        since = self._never.get(message.attempt)
        if since is not None:
            reply = ClaimReply(
                attempt=message.attempt, key=message.key, state="never", age=now - since
            )
            self._context.send(sender, reply)
            return
        record = self._records.get(message.key)
        if record is None or record.attempt != message.attempt:
            self._send_state(sender, message.attempt, message.key, "unknown", None)
            return
        if record.state in (RecordState.CLAIMING, RecordState.RUNNING):
            record.asking.add(sender)
        self._answer_query(sender, record)

    def _answer_query(self, peer: str, record: Record) -> None:
        states = {
            RecordState.CLAIMING: "running",
            RecordState.RUNNING: "running",
            RecordState.DONE: "done",
            RecordState.UNKNOWN: "unknown",
            RecordState.NOT_RUN: "never",
        }
        self._send_state(peer, record.attempt, record.key, states[record.state], record.outcome)

    def _send_state(
        self, peer: str, attempt: str, key: str, state: str, outcome: Outcome | None
    ) -> None:
        reply = ClaimReply(attempt=attempt, key=key, state=state)
        if outcome is not None:
            reply.status = outcome.status
            reply.content_type = outcome.content_type
            reply.body = outcome.body
            reply.kept = outcome.kept
        self._context.send(peer, reply)

    def _handle_reply(self, sender: str, message: ClaimReply, now: float) -> None:
        query = self._queries.get(message.attempt)
        if query is None or query.holder != sender:
            return
        query.unanswered = 0
        if message.state == "running":
            return
        del self._queries[message.attempt]
        for request in query.requests:
            self._settle_with_reply(request, query, message, now)

    def _settle_with_reply(
        self, request: str, query: Query, message: ClaimReply, now: float
    ) -> None:
        if message.state == "done":
            outcome = Outcome(message.status, message.content_type, message.body, message.kept)
            self.listener.claim_replayed(request, outcome, now)
        elif message.state == "never":
            found = self.listener.find_request(request)
            if found is not None:
                since = now - message.age
                self._settle_never(found, query.generation, query.version, since, now)
        else:
            self._refuse_unknown(request, now)

    # Keeping records.

    def _find_own(self, request: Request) -> Record | None:
        record = self._records.get(make_key(request.account.name, request.arrived.key))
        if record is None or record.attempt != request.claim_id:
            return None
        return record

    def _tell_waiting(self, record: Record, now: float) -> None:
        # Sorted, since the order of a set of strings differs from process to process.
        for peer in sorted(record.asking):
            self._answer_query(peer, record)
        record.asking.clear()
        waiting, record.waiting = record.waiting, []
        for request in waiting:
            if record.state is RecordState.DONE and record.outcome is not None:
                self.listener.claim_replayed(request, record.outcome, now)
            elif record.state is RecordState.NOT_RUN:
                self.listener.claim_refused(request, codes.OVERLOADED, Verdict.NOT_RUN, now)
            else:
                self._refuse_unknown(request, now)

    def _start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.record_lifetime / 30, self._trim, now)

    def _trim(self, now: float) -> None:
        """Forget old records.

        A reserved key's record is the only proof that the key has run; it is kept for as long as
        the key is valid, whatever their number.
        """
        options = self._context.options
        settled = (RecordState.DONE, RecordState.UNKNOWN, RecordState.NOT_RUN)
        lifetime = max(options.record_lifetime, options.reserved_lifetime) + CLOCK_SKEW
        for key, record in list(self._records.items()):
            if record.state not in settled or record.asking or record.waiting:
                continue
            too_many = len(self._records) > options.max_records and not record.reserved
            if now - record.at > lifetime or too_many:
                del self._records[key]
        for attempt in [a for a, since in self._never.items() if now - since > lifetime]:
            del self._never[attempt]


def _decode_row(row: events.Row) -> ClaimRow | None:
    try:
        return msgspec.json.decode(row.value, type=ClaimRow)
    except msgspec.MsgspecError:
        return None


def _judge_record(record: Record) -> Verdict:
    if record.state is RecordState.NOT_RUN:
        return Verdict.NOT_RUN
    return Verdict.RAN if record.state is RecordState.DONE else Verdict.MAY_HAVE_RUN


def _judge_row(row: ClaimRow) -> Verdict:
    if row.state is RowState.NOT_RUN:
        return Verdict.NOT_RUN
    return Verdict.RAN if row.state is RowState.DONE else Verdict.MAY_HAVE_RUN
