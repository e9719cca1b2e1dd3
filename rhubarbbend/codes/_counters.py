"""Counters: of retry reasons, and of whatever else an instance counts."""

from __future__ import annotations

from typing import Final

from rhubarbbend.codes._registry import declare_counter

# Counters of the instance's activity.
REQUESTS: Final = declare_counter("requests", "requests received from callers")
ANSWERS: Final = declare_counter("answers", "whole answers given to callers")
ANSWERS_UNFRAMED: Final = declare_counter(
    "answers_unframed", "such answers without length and chunks, ended by their connection"
)
ANSWERS_END_UNCONFIRMED: Final = declare_counter(
    "answers_end_unconfirmed", "answers without length and chunks whose target may have ended"
)
ANSWERS_CUT: Final = declare_counter(
    "answers_cut", "answers ended so that the caller sees they are not whole"
)
CALLERS_NOT_READING: Final = declare_counter(
    "callers.not_reading", "callers that were ended since they read nothing of their answers"
)
CALLERS_SHED: Final = declare_counter(
    "callers.shed", "callers that read slowly and were ended since memory was short"
)
ANSWERS_CUT_UNREAD: Final = declare_counter(
    "answers_cut_unread", "answers that targets broke off while callers did not read them"
)
CALLER_GONE: Final = declare_counter("caller_gone", "callers that left before their answer")
CONNECTIONS_IDLE: Final = declare_counter(
    "connections.idle", "callers' connections closed because they were idle for too long"
)
CONNECTIONS_STOPPING: Final = declare_counter(
    "connections.stopping", "callers' connections closed because this process stops"
)
CONNECTIONS_CLIENT_CLOSED: Final = declare_counter(
    "connections.client_closed", "connections that callers closed, or that broke"
)
CONNECTIONS_LAST_RESPONSE: Final = declare_counter(
    "connections.last_response", "callers' connections closed after their last response"
)
CONNECTIONS_REJECTED: Final = declare_counter(
    "connections.rejected", "callers' connections closed after a request that was not accepted"
)
CONNECTIONS_TOO_MANY: Final = declare_counter(
    "connections.too_many", "connections refused because too many are open"
)
CONNECTIONS_FAILED: Final = declare_counter(
    "connections.failed", "callers' connections ended by an error of this program"
)
CONNECTIONS_UNANSWERED: Final = declare_counter(
    "connections.unanswered",
    "connections closed here, idle or at a stop, with bytes of a request not answered",
)
WAITED_FOR_START: Final = declare_counter(
    "waited_for_start", "requests that waited for the first configuration of a start"
)
REQUESTS_WHILE_STOPPING: Final = declare_counter(
    "requests_while_stopping", "requests that arrived during a planned stop of this instance"
)
REPLAYS: Final = declare_counter("replays", "kept outcomes given for a repeated key")

RETRY_CONNECT: Final = declare_counter("retry.connect", "attempts moved: connect failed")
RETRY_SILENT: Final = declare_counter(
    "retry.silent", "attempts repeated on a new connection: the old one was silent or closed"
)
RETRY_CRASH: Final = declare_counter("retry.crash", "attempts moved: the target crashed")
RETRY_FAILED: Final = declare_counter("retry.failed", "attempts moved: the target failed")
RETRY_FULL: Final = declare_counter("retry.full", "moved: the target was at its limit")
RETRY_OWNER: Final = declare_counter("retry.owner", "slot asked again: its owner was silent")
RETRY_REDIRECT: Final = declare_counter("retry.redirect", "slot asked again: owner redirected")
RETRY_NOT_READY: Final = declare_counter("retry.not_ready", "slot asked elsewhere: not ready")
RETRY_CLAIM: Final = declare_counter("retry.claim", "claim writes repeated: answer lost")
RETRY_REJECTED: Final = declare_counter(
    "retry.rejected", "attempts moved: the target said that it did not run the request"
)
RETRY_WITHHELD: Final = declare_counter(
    "retry.withheld", "attempts moved: the target asked for a pause before the request was sent"
)
RETRY_RESTARTED: Final = declare_counter(
    "retry.restarted", "streams moved: the target may have another version than is registered"
)
RETRY_MISDIRECTED: Final = declare_counter(
    "retry.misdirected", "attempts moved: another target answered at the address"
)
TARGETS_DISPLACED: Final = declare_counter(
    "targets.displaced", "targets held out: another one answers at their address"
)
RETRY_BROKEN: Final = declare_counter("retry.broken", "attempts moved: no whole answer came back")
IDLE_CONNECTIONS_DEAD: Final = declare_counter(
    "idle_connections_dead", "requests that met a connection which had died while it was idle"
)
IDLE_CONNECTIONS_STRAY: Final = declare_counter(
    "idle_connections_stray", "idle connections closed because targets sent bytes on them"
)
ENDLESS_ANSWERS: Final = declare_counter(
    "endless_answers", "attempts ended because what a target sent might never have ended"
)
ZONES_SUSPECTED: Final = declare_counter(
    "zones_doubted", "times that all targets of a zone were doubted, since one was lost"
)
SILENT_TARGETS_PROBED: Final = declare_counter(
    "silent_asked", "connections asked of targets from which nothing was heard"
)
RESUMES: Final = declare_counter("resumes", "cut streams resumed at their offset")
STREAMS_TAKEN_UP: Final = declare_counter(
    "streams.taken_up", "streams that callers took up and whose version was known and there"
)
STREAMS_NO_ROOM: Final = declare_counter(
    "streams.no_room", "such streams refused because no target of their version could take them"
)
STREAMS_TOLD: Final = declare_counter("streams.told", "notices of new streams to their keepers")
STREAM_NOTICES_REJECTED: Final = declare_counter(
    "streams.notices_rejected", "notices of streams that no listed instance can have sent"
)
ORIGINS_WRITTEN: Final = declare_counter(
    "streams.origins_written", "writes of the origins of streams into the store"
)
STREAM_RECORDS_READ: Final = declare_counter(
    "streams.records_read", "reads of what the store holds of streams that no instance knew"
)
STARTS_UNCONFIRMED: Final = declare_counter(
    "starts_unconfirmed", "targets that may have started again while the store was out of reach"
)
STREAMS_ASKED: Final = declare_counter("streams.asked", "queries for the version of a stream")
WRONG_ID: Final = declare_counter("wrong_id", "answers dropped: they carried another request's id")

ROUTED_TICKET: Final = declare_counter("routed.ticket", "requests sent where their ticket says")
ROUTED_HOME: Final = declare_counter("routed.home", "requests sent to their home target")
ROUTED_MOVED: Final = declare_counter("routed.moved", "requests sent past their first choice")
ROUTED_HELD: Final = declare_counter(
    "routed.held", "requests sent to the target that got their prompt last, not its home"
)
ROUTED_LEAST: Final = declare_counter(
    "routed.least_loaded", "requests sent to the least loaded target"
)
ROUTED_LAST: Final = declare_counter(
    "routed.last_resort", "requests sent above the load bound: every target was there"
)
ROUTED_SOONER: Final = declare_counter(
    "routed.sooner", "requests sent to the target with the least expected time, by its pace"
)
LOAD_REPORTS_IN_ANSWERS: Final = declare_counter(
    "loads.words", "answers in which a target told how many requests it holds"
)
LOAD_UNDERESTIMATED: Final = declare_counter(
    "loads.unseen", "requests that targets then held beyond what was estimated, added up"
)
UNFIT_TRIED: Final = declare_counter(
    "unfit.tried", "of refusals without a fitting target: targets that the request had been at"
)
UNFIT_HELD_DOWN: Final = declare_counter(
    "unfit.held_down", "the same: targets that gave no sign a short time before"
)
UNFIT_NO_NEW_WORK: Final = declare_counter(
    "unfit.no_new_work", "the same: targets that leave or are out of service"
)
UNFIT_PAUSED: Final = declare_counter(
    "unfit.paused", "the same: targets that asked for a pause, or return from one"
)
UNFIT_NOT_READY: Final = declare_counter(
    "unfit.not_ready", "the same: targets whose owner sees them not ready, or without the model"
)
TARGET_PAUSES: Final = declare_counter(
    "targets.pauses", "answers with which a target asked this instance to send nothing for a time"
)
TARGETS_LEAVING: Final = declare_counter(
    "targets.leaving", "targets that said in an answer that they leave, before the store told it"
)
SENT_DURING_PAUSE: Final = declare_counter(
    "targets.sent_during_pause", "requests sent to a target within the pause that it had asked for"
)
TICKETS_BAD: Final = declare_counter("tickets_bad", "tickets that were forged or unreadable")
TICKETS_STALE: Final = declare_counter("tickets_stale", "tickets whose target has gone or rebooted")

SLOTS_GRANTED: Final = declare_counter("slots.granted", "slots granted as owner")
SLOTS_QUEUED: Final = declare_counter("slots.queued", "slot requests that had to wait")
SLOTS_REFUSED: Final = declare_counter("slots.refused", "slot requests refused as owner")
SLOTS_EXPIRED: Final = declare_counter("slots.expired", "slots freed: their holder went silent")
SLOTS_LATE: Final = declare_counter("slots.late", "grants that came after the request moved on")
SLOTS_REGISTERED: Final = declare_counter("slots.registered", "running slots learned from holders")
COLD_STARTS: Final = declare_counter("cold_starts", "targets seen to start cold or turn cold")
TAKEOVERS: Final = declare_counter("takeovers", "targets taken over as owner")
HANDOVERS: Final = declare_counter("handovers", "targets handed over at a planned stop")

CLAIMS_WON: Final = declare_counter("claims.won", "claims written and seen")
CLAIMS_LOST: Final = declare_counter("claims.lost", "claims found taken by another attempt")
CLAIMS_TAKEN_OVER: Final = declare_counter("claims.taken_over", "claims of refused attempts taken")
CLAIM_QUERIES: Final = declare_counter("claims.queries", "claim holders asked for an outcome")
RESERVED_ISSUED: Final = declare_counter("reserved.issued", "reserved keys issued")
RESERVED_RUNS: Final = declare_counter("reserved.runs", "commands dispatched under reserved keys")
SUSPECTS: Final = declare_counter("suspects", "crashes counted against a request digest")
SUSPECTS_HELD: Final = declare_counter(
    "suspects.held", "requests held since a target was lost under an earlier attempt"
)
TRIALS_DENIED: Final = declare_counter(
    "suspects.trials_denied",
    "requests refused since one with the same cause of crashes was being tried",
)

CONNECTIONS_RESET: Final = declare_counter(
    "targets.connections_reset",
    "new connections that full targets reset right after accepting them",
)
FULL_NOTICES_INVALID: Final = declare_counter(
    "targets.full_notices_invalid", "news of full targets with an impossible age, ignored"
)
BRITTLE_REJECTIONS: Final = declare_counter(
    "targets.brittle_rejections", "requests rejected by targets that fall over if they reject many"
)
ADMISSION_WAITED: Final = declare_counter(
    "admission.waited", "requests that waited here for room at their service"
)
ADMISSION_GRANTED: Final = declare_counter(
    "admission.granted", "such requests that got room and were sent"
)
ADMISSION_OPEN: Final = declare_counter(
    "admission.open", "requests admitted because too few instances were heard or slots known"
)
ADMISSION_INVALID: Final = declare_counter(
    "admission.invalid", "numbers of slots that were not used because they are invalid"
)
DETOURS_SENT: Final = declare_counter(
    "detours.sent", "requests handed to another instance, since no target could be reached"
)
DETOURS_ANSWERED: Final = declare_counter("detours.answered", "such requests that were answered")
DETOURS_DECLINED: Final = declare_counter(
    "detours.declined", "such requests that the other instance could not send either"
)
DETOURS_FAILED: Final = declare_counter(
    "detours.failed", "such requests that may have run and got no whole answer"
)
DETOURS_LOST: Final = declare_counter(
    "detours.lost", "instances that accepted no connection for such a request"
)
SERVICES_UNREACHED: Final = declare_counter(
    "services.unreached", "times that no target of a service accepted a connection, in any zone"
)
DETOURS_NO_HELPER: Final = declare_counter(
    "detours.no_helper", "such requests for which no instance could be asked, or no further one"
)
DETOURS_SERVED: Final = declare_counter("detours.served", "requests served for other instances")
TUNNELS_OPENED: Final = declare_counter(
    "tunnels.opened", "connections to targets through another instance"
)
TUNNELS_DECLINED: Final = declare_counter(
    "tunnels.declined", "such connections that the other instance could not make either"
)
TUNNELS_SERVED: Final = declare_counter(
    "tunnels.served", "connections to targets made for other instances"
)
PEERS_LOST: Final = declare_counter("peers.lost", "peers declared silent")
PEER_FRAMES_BAD: Final = declare_counter("peers.bad_frames", "peer frames that did not decode")
PEER_COUNTS_REJECTED: Final = declare_counter(
    "peers.counts_rejected", "counts of requests with another sender's name, or that cannot be"
)
PEER_DROPPED: Final = declare_counter("peers.dropped", "peer messages dropped: link down")
REPORTS_FAILED: Final = declare_counter("reports.failed", "load reports that could not be read")
CONTROL_PEERS: Final = declare_counter("control.peer_bytes", "bytes to and from other instances")
CONTROL_PLATFORM: Final = declare_counter(
    "control.platform_bytes", "bytes to and from the platform"
)
CONTROL_TARGETS: Final = declare_counter(
    "control.target_bytes", "bytes of load reports, probes and cancellations"
)
CONTROL_METRICS: Final = declare_counter("control.statsd_bytes", "bytes of counters sent")
LISTEN_FAILURES: Final = declare_counter(
    "listen.failed", "addresses that could not be listened on at once, and are tried again"
)
INTERNAL_ERRORS: Final = declare_counter(
    "internal_errors", "events whose handling raised an error; a fault of this program"
)
PAUSES: Final = declare_counter("pauses", "pauses of this process noticed on waking")
PLATFORM_ERRORS: Final = declare_counter("platform.errors", "platform calls that failed")
DIRECT_STORE_READS_STARTED: Final = declare_counter(
    "platform.reads_begun", "times that the store was read in place of the zone's reader"
)
CONFIG_APPLIED: Final = declare_counter("config.applied", "configuration changes applied")
CONFIG_FROM_PEER: Final = declare_counter("config.from_peer", "changes learned from a peer")
CONFIG_STALE: Final = declare_counter("config.stale", "older configuration versions ignored")
CONFIG_UNREADABLE: Final = declare_counter(
    "config.unreadable", "reads of accepted changes that this program cannot decode"
)
CONFIG_PUSHED: Final = declare_counter(
    "config.pushed", "accepted changes sent to a peer before it asked"
)
ROLLOUT_CANDIDATE_REQUESTS: Final = declare_counter(
    "rollout.candidate_requests", "requests assigned to the version that is being rolled out"
)
ROLLOUT_CANDIDATE_FAILED: Final = declare_counter(
    "rollout.candidate_failed", "attempts at that version that failed"
)
ROLLOUT_HELD: Final = declare_counter(
    "rollout.held", "requests that waited for the end of a roll-out"
)
ROLLOUTS_ENDED: Final = declare_counter(
    "rollout.ended", "outcomes of roll-outs that this instance recorded"
)
CONFIG_SNAPSHOTS: Final = declare_counter("config.snapshots", "configuration snapshots stored")
