"""The state of one request at its entry instance."""

from __future__ import annotations

import enum

import attrs

from rhubarbbend.codes import Verdict
from rhubarbbend.core.configuration import Account, Service
from rhubarbbend.core.crashes import BEGIN_S, Content, make_part_key
from rhubarbbend.core.events import RequestArrived
from rhubarbbend.core.routing import Choice


class RequestPhase(enum.Enum):
    """What a request is waiting for."""

    SLOT = "slot"  # The reply of a target's owner to the slot request.
    CLAIM = "claim"  # The confirmation of its claim in the claim table.
    SETTLING = "settling"  # The outcome of another attempt under its key.
    RUNNING = "running"  # The response of its target.
    PROBING = "probing"  # The probe of the target whose attempt failed.
    FORWARDED = "forwarded"  # The reply of its reserved key's issuer, which runs it.


@attrs.define(slots=True)
class Request:
    """One request, from its arrival to its final response. Times are local seconds.

    Invariants: `attempt` is the id of the only attempt whose events may still change the request;
    `sent` is set before the first byte is sent to a target and reset only if it is certain that no
    byte was sent.
    """

    arrival: RequestArrived
    account: Account
    service: Service
    idempotent: bool
    arrived_at: float
    deadline: float
    phase: RequestPhase = RequestPhase.SLOT
    plan: list[Choice] = attrs.Factory(list)
    # The index in `plan` of the target whose owner is being asked; -1 before the first.
    plan_index: int = -1
    attempt: str = ""
    # The instance that was asked for a slot last, or to run a command under a key that it issued.
    asked_instance: str = ""
    redirect_count: int = 0
    # Whether instances disagree about which of them owns a planned target, and how often the
    # targets were planned again because of that.
    ownership_disputed: bool = False
    ownership_replan_count: int = 0
    # Whether the owner of a planned target replied that the target is not ready.
    plan_outdated: bool = False
    target: str = ""
    boot_id: str = ""
    excluded_targets: set[str] = attrs.Factory(set)
    has_slot: bool = False
    # How often the request was given a slot and dispatched, and how often a run was resumed or
    # sent again to the same target.
    attempt_count: int = 0
    resume_count: int = 0
    sent: bool = False
    response_started: bool = False
    dispatched_at: float = 0.0
    failed_at: float = 0.0
    # Seconds from the dispatch to the first byte of the response.
    time_to_first_byte: float = 0.0
    # Bytes of the response body that the caller has been sent.
    relayed_bytes: int = 0
    last_refusal: str = ""
    # By how many seconds the wait for a slot would exceed the allowed wait, as estimated by the
    # owner that refused last.
    owner_retry_after: float = 0.0
    # Whether a target crashed while the request ran. A target runs at most one such request at a
    # time.
    is_suspect: bool = False
    # The cause of crashes whose trial was asked for, since when, and whether it was granted, and
    # when.
    trial: str = ""
    trial_asked_at: float | None = None
    has_trial: bool = False
    trial_began_at: float = 0.0
    # How often a run that had sent no byte was requested again over a new connection.
    silence_check_count: int = 0
    # The caller got its response or left; the command runs on so that its outcome is kept.
    detached: bool = False
    # The state of the claim, for operations that are not idempotent.
    claimed: bool = False
    claim_id: str = ""
    claim_generation: int = 0
    expected_row_version: int = 0
    _content: Content | None = None

    @property
    def id(self) -> str:
        """Return the id by which the shell (the I/O layer) refers to the request."""
        return self.arrival.request

    @property
    def content(self) -> Content:
        """What of the request may crash targets; made when it is first needed."""
        if self._content is None:
            arrival = self.arrival
            parts = dict.fromkeys(make_part_key(self.service.name, part) for part in arrival.parts)
            self._content = Content(arrival.body_digest, tuple(parts), self.account.name)
        return self._content

    @property
    def awaits_slot(self) -> bool:
        """Whether the request waits for a slot and has none."""
        return self.phase is RequestPhase.SLOT and not self.has_slot

    @property
    def has_gone_on(self) -> bool:
        """Whether its target had been answering for a while when it was lost."""
        began_at = self.dispatched_at + self.time_to_first_byte
        return self.response_started and self.failed_at - began_at > BEGIN_S

    @property
    def choice(self) -> Choice:
        """Return the planned target whose owner is being asked for a slot."""
        return self.plan[self.plan_index]

    def time_left(self, now: float) -> float:
        """Return the seconds that remain until the deadline."""
        return self.deadline - now

    def compute_verdict(self) -> Verdict:
        """Return the verdict on this request, judged only by its own attempts."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
