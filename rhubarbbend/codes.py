"""Registry of verdicts, error codes and counters.

All refusals visible to callers, all retry reasons and all counters are declared here and nowhere
else, so that docs/OPERATIONS.md and docs/INTERFACES.md can be checked against them.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec


class Verdict(enum.Enum):
    """Whether the work named by a request's idempotency key has run.

    NOT_RUN is returned only if no attempt made so far under the key has started or ever will. RAN
    is returned with the complete answer. All uncertain cases are MAY_HAVE_RUN.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class ErrorCode(msgspec.Struct, frozen=True):
    """A refusal or failure reported to the caller.

    `status` is the HTTP status. `retry_after` is in seconds; 0 if the caller should not retry.
    """

    name: str
    status: int
    message: str
    retry_after: float = 0.0


_ERRORS: dict[str, ErrorCode] = {}
_COUNTERS: dict[str, str] = {}


def _declare_error(name: str, status: int, message: str, retry_after: float = 0.0) -> ErrorCode:
    code = ErrorCode(name, status, message, retry_after)
    _ERRORS[name] = code
    _declare_counter(f"refused.{name}", f"requests answered with {name}: {message}")
    return code


def _declare_counter(name: str, meaning: str) -> str:
    _COUNTERS[name] = meaning
    return name


def list_errors() -> list[ErrorCode]:
    """Return all declared error codes."""
    return list(_ERRORS.values())


def list_counters() -> dict[str, str]:
    """Return the meaning of each declared counter by counter name."""
    return dict(_COUNTERS)


def find_error(name: str) -> ErrorCode:
    """Return the error code declared under a name, or INTERNAL if there is none."""
    return _ERRORS.get(name, INTERNAL)


# Refusals; no attempt has run.
BAD_REQUEST: Final = _declare_error("bad_request", 400, "the request cannot be understood")
KEY_REQUIRED: Final = _declare_error(
    "idempotency_key_required", 400, "this operation is not idempotent; send an Idempotency-Key"
)
KEY_INVALID: Final = _declare_error(
    "idempotency_key_invalid", 400, "the Idempotency-Key is malformed, forged or too long"
)
UNAUTHORIZED: Final = _declare_error("unauthorized", 401, "no client account has this bearer key")
UNKNOWN_SERVICE: Final = _declare_error("unknown_service", 404, "no such service")
UNKNOWN_MODEL: Final = _declare_error("unknown_model", 404, "no such model")
UNKNOWN_PATH: Final = _declare_error("unknown_path", 404, "no such path")
KEY_REUSED: Final = _declare_error(
    "idempotency_key_reused", 422, "the Idempotency-Key was used with another body or operation"
)
SUSPECT: Final = _declare_error(
    "request_crashes_targets", 422, "this request crashed the targets that ran it", 30.0
)
CRASHES_TARGETS: Final = _declare_error(
    "crashes_targets", 503, "targets crashed when they ran this request; it was not sent", 30.0
)
PART_CRASHES_TARGETS: Final = _declare_error(
    "part_crashes_targets",
    503,
    "targets crashed when they answered on a part of this prompt; it was not sent",
    30.0,
)
ACCOUNT_LIMIT: Final = _declare_error(
    "account_limit", 429, "the client account is at its limit", 1.0
)
OVERLOADED: Final = _declare_error("overloaded", 503, "every fitting target is at its limit", 1.0)
MEMORY_SHORT: Final = _declare_error(
    "memory_short", 503, "this instance has no memory for the request; it was not sent", 1.0
)
QUEUE_FULL: Final = _declare_error("queue_full", 503, "the queue for a slot is full", 1.0)
WAIT_TOO_LONG: Final = _declare_error(
    "wait_too_long", 503, "no slot can be had before the deadline", 1.0
)
NO_ROOM: Final = _declare_error(
    "no_room", 503, "the service has no room for this request at the moment", 1.0
)
OVER_SHARE: Final = _declare_error(
    "over_share", 503, "the service is full and the client account is beyond its share", 1.0
)
NO_TARGET: Final = _declare_error("no_target", 503, "no target of the service is ready", 0.6)
NOT_READY: Final = _declare_error("not_ready", 503, "this instance has no configuration yet", 1.0)
STOPPING: Final = _declare_error("stopping", 503, "this instance is stopping", 0.2)
PLATFORM_DOWN: Final = _declare_error(
    "platform_down", 503, "the table service is down; use a reserved key", 2.0
)
STREAM_UNKNOWN: Final = _declare_error(
    "stream_unknown", 503, "nobody knows which version of the service began this stream"
)
STREAM_VERSION_GONE: Final = _declare_error(
    "stream_version_gone", 503, "the version of the service that began this stream has no target"
)
TARGETS_PAUSED: Final = _declare_error(
    "targets_paused", 503, "every fitting target has asked for a pause", 1.0
)
RETRY_BUDGET: Final = _declare_error(
    "retry_budget_spent", 503, "the attempt failed and the retry budget is spent", 1.0
)
DEADLINE: Final = _declare_error("deadline_exceeded", 504, "the deadline passed", 0.0)

# Failures; an attempt may have run.
TARGET_FAILED: Final = _declare_error(
    "target_failed", 502, "the target failed before the answer was whole", 1.0
)
OUTCOME_UNKNOWN: Final = _declare_error(
    "outcome_unknown", 504, "whether the command ran is not known", 2.0
)
IN_PROGRESS: Final = _declare_error(
    "in_progress", 409, "a request with this Idempotency-Key is still running", 1.0
)
HOLDER_SILENT: Final = _declare_error(
    "claim_holder_silent", 504, "the instance that holds this key does not answer", 2.0
)
ISSUER_GONE: Final = _declare_error(
    "reserved_key_issuer_gone", 504, "the instance that issued this reserved key is gone"
)
OUTCOME_NOT_KEPT: Final = _declare_error(
    "outcome_not_kept", 410, "the command ran; its answer was too large to keep"
)
INTERNAL: Final = _declare_error("internal", 500, "an internal error", 1.0)

# Counters of the instance's activity.
REQUESTS: Final = _declare_counter("requests", "requests received from callers")
ANSWERS: Final = _declare_counter("answers", "whole answers given to callers")
ANSWERS_UNFRAMED: Final = _declare_counter(
    "answers_unframed", "such answers without length and chunks, ended by their connection"
)
ANSWERS_END_UNCONFIRMED: Final = _declare_counter(
    "answers_end_unconfirmed", "answers without length and chunks whose target may have ended"
)
ANSWERS_CUT: Final = _declare_counter(
    "answers_cut", "answers ended so that the caller sees they are not whole"
)
CALLERS_NOT_READING: Final = _declare_counter(
    "callers.not_reading", "callers that were ended since they read nothing of their answers"
)
CALLERS_SHED: Final = _declare_counter(
    "callers.shed", "callers that read slowly and were ended since memory was short"
)
ANSWERS_CUT_UNREAD: Final = _declare_counter(
    "answers_cut_unread", "answers that targets broke off while callers did not read them"
)
CALLER_GONE: Final = _declare_counter("caller_gone", "callers that left before their answer")
CONNECTIONS_IDLE: Final = _declare_counter(
    "connections.idle", "callers' connections closed because they were idle for too long"
)
CONNECTIONS_STOPPING: Final = _declare_counter(
    "connections.stopping", "callers' connections closed because this process stops"
)
CONNECTIONS_CLIENT_CLOSED: Final = _declare_counter(
    "connections.client_closed", "connections that callers closed, or that broke"
)
CONNECTIONS_LAST_RESPONSE: Final = _declare_counter(
    "connections.last_response", "callers' connections closed after their last response"
)
CONNECTIONS_REJECTED: Final = _declare_counter(
    "connections.rejected", "callers' connections closed after a request that was not accepted"
)
CONNECTIONS_TOO_MANY: Final = _declare_counter(
    "connections.too_many", "connections refused because too many are open"
)
CONNECTIONS_FAILED: Final = _declare_counter(
    "connections.failed", "callers' connections ended by an error of this program"
)
CONNECTIONS_UNANSWERED: Final = _declare_counter(
    "connections.unanswered",
    "connections closed here, idle or at a stop, with bytes of a request not answered",
)
WAITED_FOR_START: Final = _declare_counter(
    "waited_for_start", "requests that waited for the first configuration of a start"
)
REQUESTS_WHILE_STOPPING: Final = _declare_counter(
    "requests_while_stopping", "requests that arrived during a planned stop of this instance"
)
REPLAYS: Final = _declare_counter("replays", "kept outcomes given for a repeated key")

RETRY_CONNECT: Final = _declare_counter("retry.connect", "attempts moved: connect failed")
RETRY_SILENT: Final = _declare_counter(
    "retry.silent", "attempts repeated on a new connection: the old one was silent or closed"
)
RETRY_CRASH: Final = _declare_counter("retry.crash", "attempts moved: the target crashed")
RETRY_FAILED: Final = _declare_counter("retry.failed", "attempts moved: the target failed")
RETRY_FULL: Final = _declare_counter("retry.full", "moved: the target was at its limit")
RETRY_OWNER: Final = _declare_counter("retry.owner", "slot asked again: its owner was silent")
RETRY_REDIRECT: Final = _declare_counter("retry.redirect", "slot asked again: owner redirected")
RETRY_NOT_READY: Final = _declare_counter("retry.not_ready", "slot asked elsewhere: not ready")
RETRY_CLAIM: Final = _declare_counter("retry.claim", "claim writes repeated: answer lost")
RETRY_REJECTED: Final = _declare_counter(
    "retry.rejected", "attempts moved: the target said that it did not run the request"
)
RETRY_WITHHELD: Final = _declare_counter(
    "retry.withheld", "attempts moved: the target asked for a pause before the request was sent"
)
RETRY_RESTARTED: Final = _declare_counter(
    "retry.restarted", "streams moved: the target may have another version than is registered"
)
RETRY_MISDIRECTED: Final = _declare_counter(
    "retry.misdirected", "attempts moved: another target answered at the address"
)
TARGETS_DISPLACED: Final = _declare_counter(
    "targets.displaced", "targets held out: another one answers at their address"
)
RETRY_BROKEN: Final = _declare_counter("retry.broken", "attempts moved: no whole answer came back")
IDLE_CONNECTIONS_DEAD: Final = _declare_counter(
    "idle_connections_dead", "requests that met a connection which had died while it was idle"
)
IDLE_CONNECTIONS_STRAY: Final = _declare_counter(
    "idle_connections_stray", "idle connections closed because targets sent bytes on them"
)
ENDLESS_ANSWERS: Final = _declare_counter(
    "endless_answers", "attempts ended because what a target sent might never have ended"
)
ZONES_SUSPECTED: Final = _declare_counter(
    "zones_doubted", "times that all targets of a zone were doubted, since one was lost"
)
SILENT_TARGETS_PROBED: Final = _declare_counter(
    "silent_asked", "connections asked of targets from which nothing was heard"
)
RESUMES: Final = _declare_counter("resumes", "cut streams resumed at their offset")
STREAMS_TAKEN_UP: Final = _declare_counter(
    "streams.taken_up", "streams that callers took up and whose version was known and there"
)
STREAMS_NO_ROOM: Final = _declare_counter(
    "streams.no_room", "such streams refused because no target of their version could take them"
)
STREAMS_TOLD: Final = _declare_counter("streams.told", "notices of new streams to their keepers")
STREAM_NOTICES_REJECTED: Final = _declare_counter(
    "streams.notices_rejected", "notices of streams that no listed instance can have sent"
)
ORIGINS_WRITTEN: Final = _declare_counter(
    "streams.origins_written", "writes of the origins of streams into the store"
)
STREAM_RECORDS_READ: Final = _declare_counter(
    "streams.records_read", "reads of what the store holds of streams that no instance knew"
)
STARTS_UNCONFIRMED: Final = _declare_counter(
    "starts_unconfirmed", "targets that may have started again while the store was out of reach"
)
STREAMS_ASKED: Final = _declare_counter("streams.asked", "queries for the version of a stream")
WRONG_ID: Final = _declare_counter("wrong_id", "answers dropped: they carried another request's id")

ROUTED_TICKET: Final = _declare_counter("routed.ticket", "requests sent where their ticket says")
ROUTED_HOME: Final = _declare_counter("routed.home", "requests sent to their home target")
ROUTED_MOVED: Final = _declare_counter("routed.moved", "requests sent past their first choice")
ROUTED_HELD: Final = _declare_counter(
    "routed.held", "requests sent to the target that got their prompt last, not its home"
)
ROUTED_LEAST: Final = _declare_counter(
    "routed.least_loaded", "requests sent to the least loaded target"
)
ROUTED_LAST: Final = _declare_counter(
    "routed.last_resort", "requests sent above the load bound: every target was there"
)
ROUTED_SOONER: Final = _declare_counter(
    "routed.sooner", "requests sent to the target with the least expected time, by its pace"
)
LOAD_REPORTS_IN_ANSWERS: Final = _declare_counter(
    "loads.words", "answers in which a target told how many requests it holds"
)
LOAD_UNDERESTIMATED: Final = _declare_counter(
    "loads.unseen", "requests that targets then held beyond what was estimated, added up"
)
UNFIT_TRIED: Final = _declare_counter(
    "unfit.tried", "of refusals without a fitting target: targets that the request had been at"
)
UNFIT_HELD_DOWN: Final = _declare_counter(
    "unfit.held_down", "the same: targets that gave no sign a short time before"
)
UNFIT_NO_NEW_WORK: Final = _declare_counter(
    "unfit.no_new_work", "the same: targets that leave or are out of service"
)
UNFIT_PAUSED: Final = _declare_counter(
    "unfit.paused", "the same: targets that asked for a pause, or return from one"
)
UNFIT_NOT_READY: Final = _declare_counter(
    "unfit.not_ready", "the same: targets whose owner sees them not ready, or without the model"
)
TARGET_PAUSES: Final = _declare_counter(
    "targets.pauses", "answers with which a target asked this instance to send nothing for a time"
)
TARGETS_LEAVING: Final = _declare_counter(
    "targets.leaving", "targets that said in an answer that they leave, before the store told it"
)
SENT_DURING_PAUSE: Final = _declare_counter(
    "targets.sent_during_pause", "requests sent to a target within the pause that it had asked for"
)
TICKETS_BAD: Final = _declare_counter("tickets_bad", "tickets that were forged or unreadable")
TICKETS_STALE: Final = _declare_counter(
    "tickets_stale", "tickets whose target has gone or rebooted"
)

SLOTS_GRANTED: Final = _declare_counter("slots.granted", "slots granted as owner")
SLOTS_QUEUED: Final = _declare_counter("slots.queued", "slot requests that had to wait")
SLOTS_REFUSED: Final = _declare_counter("slots.refused", "slot requests refused as owner")
SLOTS_EXPIRED: Final = _declare_counter("slots.expired", "slots freed: their holder went silent")
SLOTS_LATE: Final = _declare_counter("slots.late", "grants that came after the request moved on")
SLOTS_REGISTERED: Final = _declare_counter("slots.registered", "running slots learned from holders")
COLD_STARTS: Final = _declare_counter("cold_starts", "targets seen to start cold or turn cold")
TAKEOVERS: Final = _declare_counter("takeovers", "targets taken over as owner")
HANDOVERS: Final = _declare_counter("handovers", "targets handed over at a planned stop")

CLAIMS_WON: Final = _declare_counter("claims.won", "claims written and seen")
CLAIMS_LOST: Final = _declare_counter("claims.lost", "claims found taken by another attempt")
CLAIMS_TAKEN_OVER: Final = _declare_counter("claims.taken_over", "claims of refused attempts taken")
CLAIM_QUERIES: Final = _declare_counter("claims.queries", "claim holders asked for an outcome")
RESERVED_ISSUED: Final = _declare_counter("reserved.issued", "reserved keys issued")
RESERVED_RUNS: Final = _declare_counter("reserved.runs", "commands dispatched under reserved keys")
SUSPECTS: Final = _declare_counter("suspects", "crashes counted against a request digest")
SUSPECTS_HELD: Final = _declare_counter(
    "suspects.held", "requests held since a target was lost under an earlier attempt"
)
TRIALS_DENIED: Final = _declare_counter(
    "suspects.trials_denied",
    "requests refused since one with the same cause of crashes was being tried",
)

CONNECTIONS_RESET: Final = _declare_counter(
    "targets.connections_reset",
    "new connections that full targets reset right after accepting them",
)
FULL_NOTICES_INVALID: Final = _declare_counter(
    "targets.full_notices_invalid", "news of full targets with an impossible age, ignored"
)
BRITTLE_REJECTIONS: Final = _declare_counter(
    "targets.brittle_rejections", "requests rejected by targets that fall over if they reject many"
)
ADMISSION_WAITED: Final = _declare_counter(
    "admission.waited", "requests that waited here for room at their service"
)
ADMISSION_GRANTED: Final = _declare_counter(
    "admission.granted", "such requests that got room and were sent"
)
ADMISSION_OPEN: Final = _declare_counter(
    "admission.open", "requests admitted because too few instances were heard or slots known"
)
ADMISSION_INVALID: Final = _declare_counter(
    "admission.invalid", "numbers of slots that were not used because they are invalid"
)
DETOURS_SENT: Final = _declare_counter(
    "detours.sent", "requests handed to another instance, since no target could be reached"
)
DETOURS_ANSWERED: Final = _declare_counter("detours.answered", "such requests that were answered")
DETOURS_DECLINED: Final = _declare_counter(
    "detours.declined", "such requests that the other instance could not send either"
)
DETOURS_FAILED: Final = _declare_counter(
    "detours.failed", "such requests that may have run and got no whole answer"
)
DETOURS_LOST: Final = _declare_counter(
    "detours.lost", "instances that accepted no connection for such a request"
)
DETOURS_SERVED: Final = _declare_counter("detours.served", "requests served for other instances")
TUNNELS_OPENED: Final = _declare_counter(
    "tunnels.opened", "connections to targets through another instance"
)
TUNNELS_DECLINED: Final = _declare_counter(
    "tunnels.declined", "such connections that the other instance could not make either"
)
TUNNELS_SERVED: Final = _declare_counter(
    "tunnels.served", "connections to targets made for other instances"
)
PEERS_LOST: Final = _declare_counter("peers.lost", "peers declared silent")
PEER_FRAMES_BAD: Final = _declare_counter("peers.bad_frames", "peer frames that did not decode")
PEER_COUNTS_REJECTED: Final = _declare_counter(
    "peers.counts_rejected", "counts of requests with another sender's name, or that cannot be"
)
PEER_DROPPED: Final = _declare_counter("peers.dropped", "peer messages dropped: link down")
REPORTS_FAILED: Final = _declare_counter("reports.failed", "load reports that could not be read")
CONTROL_PEERS: Final = _declare_counter("control.peer_bytes", "bytes to and from other instances")
CONTROL_PLATFORM: Final = _declare_counter(
    "control.platform_bytes", "bytes to and from the platform"
)
CONTROL_TARGETS: Final = _declare_counter(
    "control.target_bytes", "bytes of load reports, probes and cancellations"
)
CONTROL_METRICS: Final = _declare_counter("control.statsd_bytes", "bytes of counters sent")
LISTEN_FAILURES: Final = _declare_counter(
    "listen.failed", "addresses that could not be listened on at once, and are tried again"
)
INTERNAL_ERRORS: Final = _declare_counter(
    "internal_errors", "events whose handling raised an error; a fault of this program"
)
PAUSES: Final = _declare_counter("pauses", "pauses of this process noticed on waking")
PLATFORM_ERRORS: Final = _declare_counter("platform.errors", "platform calls that failed")
DIRECT_STORE_READS_STARTED: Final = _declare_counter(
    "platform.reads_begun", "times that the store was read in place of the zone's reader"
)
CONFIG_APPLIED: Final = _declare_counter("config.applied", "configuration changes applied")
CONFIG_FROM_PEER: Final = _declare_counter("config.from_peer", "changes learned from a peer")
CONFIG_STALE: Final = _declare_counter("config.stale", "older configuration versions ignored")
CONFIG_UNREADABLE: Final = _declare_counter(
    "config.unreadable", "reads of accepted changes that this program cannot decode"
)
CONFIG_PUSHED: Final = _declare_counter(
    "config.pushed", "accepted changes sent to a peer before it asked"
)
ROLLOUT_CANDIDATE_REQUESTS: Final = _declare_counter(
    "rollout.candidate_requests", "requests assigned to the version that is being rolled out"
)
ROLLOUT_CANDIDATE_FAILED: Final = _declare_counter(
    "rollout.candidate_failed", "attempts at that version that failed"
)
ROLLOUT_HELD: Final = _declare_counter(
    "rollout.held", "requests that waited for the end of a roll-out"
)
ROLLOUTS_ENDED: Final = _declare_counter(
    "rollout.ended", "outcomes of roll-outs that this instance recorded"
)
CONFIG_SNAPSHOTS: Final = _declare_counter("config.snapshots", "configuration snapshots stored")
