"""Log lines on attempts: what was sent on which grounds, and what the target said of its end."""

from __future__ import annotations

from typing import Final

from rhubarbbend.core.delivery import AttemptOutcome
from rhubarbbend.core.directory import Target
from rhubarbbend.core.placement import Choice
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._interfaces import TargetResponseHead
from rhubarbbend.gateway._requests import OpenRequest

# Parts of a prompt that a log line names.
MAX_LOGGED_PARTS: Final = 12
# Outcomes that the target itself has stated.
LOGGED_OUTCOMES: Final = frozenset(
    {AttemptOutcome.REJECTED, AttemptOutcome.MISDIRECTED, AttemptOutcome.FAILED}
)


def log_sent(
    log: EventLog, request: OpenRequest, choice: Choice, is_reused: bool, pause_left: float
) -> None:
    """Log that a request was sent. `is_reused` is whether it was over an idle connection."""
    now = request.sent_at
    prompt = request.caller.prompt
    log.write(
        "sent",
        now,
        id=request.id,
        target=choice.target.id,
        send=request.progress.sends + 1,
        reason=choice.reason.value,
        load=choice.load,
        own=choice.own,
        mean=choice.mean,
        load_age=None if choice.report_age is None else round(choice.report_age, 3),
        estimate=None if choice.estimate is None else round(choice.estimate, 3),
        pace=None if choice.pace is None else round(choice.pace, 2),
        cold=choice.cold,
        source=None if choice.source is None else choice.source.id,
        prompt=None if prompt is None else prompt.affinity_key,
        shared=None if prompt is None else prompt.shared_tokens,
        reused=is_reused,
        config=request.config_version,
        time_left=round(request.compute_time_left(now), 3),
        resume_after=request.relay.last_id or None,
        resumes=request.caller.resumes or None,
        version=choice.target.version,
        pause_left=round(pause_left, 3) or None,
        content=request.digest if pause_left > 0.0 else None,
    )


def log_ended(
    log: EventLog,
    request: OpenRequest,
    target: Target,
    outcome: AttemptOutcome,
    answer: TargetResponseHead | None,
    now: float,
) -> None:
    """Log an attempt of which the target itself said that it failed or did not run."""
    if answer is None or outcome not in LOGGED_OUTCOMES:
        return
    log.write(
        "attempt_ended",
        now,
        id=request.id,
        target=target.id,
        end=outcome.value,
        status=answer.status,
        held=None if answer.load is None else answer.load.held,
        pause=answer.pause_s,
        leaving=answer.is_leaving or None,
        after=round(now - request.arrived_at, 4),
    )


def list_logged_parts(request: OpenRequest) -> list[str] | None:
    """Return the ids of the first and the last of the shared parts of a prompt, for log lines."""
    prompt = request.caller.prompt
    if prompt is None:
        return None
    ids = [part.id for part in prompt.parts[:-1]]
    return ids if len(ids) <= MAX_LOGGED_PARTS else [*ids[:4], "...", *ids[4 - MAX_LOGGED_PARTS :]]
