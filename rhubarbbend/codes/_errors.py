"""Error codes: all refusals and failures that callers see."""

from __future__ import annotations

from typing import Final

from rhubarbbend.codes._registry import ErrorCode, declare_error, get_error

# Refusals; no attempt has run.
BAD_REQUEST: Final = declare_error("bad_request", 400, "the request cannot be understood")
KEY_REQUIRED: Final = declare_error(
    "idempotency_key_required", 400, "this operation is not idempotent; send an Idempotency-Key"
)
KEY_INVALID: Final = declare_error(
    "idempotency_key_invalid", 400, "the Idempotency-Key is malformed, forged or too long"
)
UNAUTHORIZED: Final = declare_error("unauthorized", 401, "no client account has this bearer key")
UNKNOWN_SERVICE: Final = declare_error("unknown_service", 404, "no such service")
UNKNOWN_MODEL: Final = declare_error("unknown_model", 404, "no such model")
UNKNOWN_PATH: Final = declare_error("unknown_path", 404, "no such path")
KEY_REUSED: Final = declare_error(
    "idempotency_key_reused", 422, "the Idempotency-Key was used with another body or operation"
)
SUSPECT: Final = declare_error(
    "request_crashes_targets", 422, "this request crashed the targets that ran it", 30.0
)
CRASHES_TARGETS: Final = declare_error(
    "crashes_targets", 503, "targets crashed when they ran this request; it was not sent", 30.0
)
PART_CRASHES_TARGETS: Final = declare_error(
    "part_crashes_targets",
    503,
    "targets crashed when they answered on a part of this prompt; it was not sent",
    30.0,
)
ACCOUNT_LIMIT: Final = declare_error(
    "account_limit", 429, "the client account is at its limit", 1.0
)
OVERLOADED: Final = declare_error("overloaded", 503, "every fitting target is at its limit", 1.0)
MEMORY_SHORT: Final = declare_error(
    "memory_short", 503, "this instance has no memory for the request; it was not sent", 1.0
)
QUEUE_FULL: Final = declare_error("queue_full", 503, "the queue for a slot is full", 1.0)
WAIT_TOO_LONG: Final = declare_error(
    "wait_too_long", 503, "no slot can be had before the deadline", 1.0
)
NO_ROOM: Final = declare_error(
    "no_room", 503, "the service has no room for this request at the moment", 1.0
)
OVER_SHARE: Final = declare_error(
    "over_share", 503, "the service is full and the client account is beyond its share", 1.0
)
NO_TARGET: Final = declare_error("no_target", 503, "no target of the service is ready", 0.6)
NOT_READY: Final = declare_error("not_ready", 503, "this instance has no configuration yet", 1.0)
STOPPING: Final = declare_error("stopping", 503, "this instance is stopping", 0.2)
PLATFORM_DOWN: Final = declare_error(
    "platform_down", 503, "the table service is down; use a reserved key", 2.0
)
STREAM_UNKNOWN: Final = declare_error(
    "stream_unknown", 503, "nobody knows which version of the service began this stream"
)
STREAM_VERSION_GONE: Final = declare_error(
    "stream_version_gone", 503, "the version of the service that began this stream has no target"
)
TARGETS_PAUSED: Final = declare_error(
    "targets_paused", 503, "every fitting target has asked for a pause", 1.0
)
RETRY_BUDGET: Final = declare_error(
    "retry_budget_spent", 503, "the attempt failed and the retry budget is spent", 1.0
)
DEADLINE: Final = declare_error("deadline_exceeded", 504, "the deadline passed", 0.0)

# Failures; an attempt may have run.
TARGET_FAILED: Final = declare_error(
    "target_failed", 502, "the target failed before the answer was whole", 1.0
)
OUTCOME_UNKNOWN: Final = declare_error(
    "outcome_unknown", 504, "whether the command ran is not known", 2.0
)
IN_PROGRESS: Final = declare_error(
    "in_progress", 409, "a request with this Idempotency-Key is still running", 1.0
)
HOLDER_SILENT: Final = declare_error(
    "claim_holder_silent", 504, "the instance that holds this key does not answer", 2.0
)
ISSUER_GONE: Final = declare_error(
    "reserved_key_issuer_gone", 504, "the instance that issued this reserved key is gone"
)
OUTCOME_NOT_KEPT: Final = declare_error(
    "outcome_not_kept", 410, "the command ran; its answer was too large to keep"
)
INTERNAL: Final = declare_error("internal", 500, "an internal error", 1.0)


def find_error(name: str) -> ErrorCode:
    """Return the error code declared under a name, or INTERNAL if there is none."""
    return get_error(name) or INTERNAL
