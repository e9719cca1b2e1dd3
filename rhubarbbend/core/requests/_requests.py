"""The state of one request at its entry instance."""

from __future__ import annotations

import enum

import attrs

from rhubarbbend.codes import Verdict
from rhubarbbend.core.configuration import Account, Service
from rhubarbbend.core.events import RequestArrived
from rhubarbbend.core.routing import Choice


class Phase(enum.Enum):
    """What a request is waiting for."""

    SLOT = "slot"  # The reply of a target's owner.
    CLAIM = "claim"  # Its claim to be seen in the table.
    SETTLING = "settling"  # What became of another attempt under its key.
    RUNNING = "running"  # The target's answer.
    PROBING = "probing"  # Whether the target that failed it still lives.
    FORWARDED = "forwarded"  # The issuer of its reserved key, which runs it.


@attrs.define(slots=True)
class Request:
    """One request from arrival to its final answer.

    Invariants: `attempt` names the only attempt that may still act for it; `sent` is set before
    the first byte goes to a target and never reset except by proof that no byte went out.
    """

    arrived: RequestArrived
    account: Account
    service: Service
    idempotent: bool
    arrived_at: float
    deadline: float
    phase: Phase = Phase.SLOT
    plan: list[Choice] = attrs.Factory(list)
    position: int = -1
    attempt: str = ""
    asked_owner: str = ""
    redirects: int = 0
    # Whether instances disagree about the owner of a planned target, and how often that was so.
    unsettled: bool = False
    settles: int = 0
    # Whether a planned target turned out not to be ready.
    plan_outdated: bool = False
    target: str = ""
    boot_id: str = ""
    excluded: set[str] = attrs.Factory(set)
    has_slot: bool = False
    attempts: int = 0
    resumes: int = 0
    sent: bool = False
    started: bool = False
    dispatched_at: float = 0.0
    failed_at: float = 0.0
    first_byte: float = 0.0
    relayed: int = 0
    last_refusal: str = ""
    # What the owner that refused last expects the wait to be beyond what was allowed.
    owner_retry_after: float = 0.0
    wants_suspect_slot: bool = False
    # How often a run without a first byte was asked for over a new connection.
    silent_checks: int = 0
    # The caller has its answer, or has gone; the command runs on so that its outcome is kept.
    detached: bool = False
    # The claim's state, for operations that are not idempotent.
    claimed: bool = False
    claim_id: str = ""
    generation: int = 0
    retake_version: int = 0

    @property
    def id(self) -> str:
        """The id under which the shell knows the request."""
        return self.arrived.request

    @property
    def choice(self) -> Choice:
        """The choice whose owner is being asked."""
        return self.plan[self.position]

    def time_left(self, now: float) -> float:
        """Seconds to the deadline."""
        return self.deadline - now

    def judge(self) -> Verdict:
        """Give the verdict on this request as far as its own attempts go."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
