"""The updates that an instance broadcasts to all others.

Times are sent as ages, since clocks differ; a relay adds the time that an update waited there.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.core.crashes import CrashLedger, Loss
from rhubarbbend.core.detours import ReachNotice
from rhubarbbend.core.directory import get_target_id
from rhubarbbend.core.placement import (
    BrittleNotice,
    FullTargetNotice,
    PromptLocation,
    TargetLoad,
    TargetOutcomes,
)
from rhubarbbend.core.rollouts import RolloutRecord
from rhubarbbend.gateway._settings import Address


class LossReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a target was lost while it ran a request.

    `digest` identifies the request's content, `target` one start of the target. The request was
    sent `sent_age` seconds ago and the connection broke `lost_age` seconds ago. `follows` and
    `accounts` are as in `Loss`. `parts` are the keys of the parts on which the target had not begun
    to answer, or only just.
    """

    digest: str
    target: str
    sent_age: float = 0.0
    lost_age: float = 0.0
    follows: tuple[str, ...] = ()
    accounts: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()

    def add_age(self, seconds: float) -> LossReport:
        """Return the report with a time added to its ages."""
        return msgspec.structs.replace(
            self, sent_age=self.sent_age + seconds, lost_age=self.lost_age + seconds
        )


class TargetMet(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a lost target was running `age` seconds ago."""

    target: str
    age: float


class Completion(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a request under which a target was lost ran to completion `age` seconds ago.

    `cause` is its digest, or a part on which a target then began to answer and went on, or was
    going on with an answer.
    """

    cause: str
    age: float


class CrashFindings(msgspec.Struct, frozen=True, array_like=True):
    """What was found out about losses: targets that ended or were met, requests that completed.

    `unreachable` holds the ids of targets that the sender cannot reach, though it reaches others.
    """

    ended: list[str] = []
    met: list[TargetMet] = []
    completed: list[Completion] = []
    unreachable: list[str] = []

    def add_age(self, seconds: float) -> CrashFindings:
        """Return the findings with a time added to their ages."""
        met = [TargetMet(item.target, item.age + seconds) for item in self.met]
        completed = [Completion(item.cause, item.age + seconds) for item in self.completed]
        return CrashFindings(self.ended, met, completed, self.unreachable)


class ServiceRollout(msgspec.Struct, frozen=True, array_like=True):
    """Reports what has been recorded of a service's roll-out."""

    service: str
    record: RolloutRecord


class DisplacedTarget(msgspec.Struct, frozen=True, array_like=True):
    """Reports that another target answered at an address of one start of a target."""

    target: str
    address: Address


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update that an instance sends to all others.

    `outcomes` are those of requests of `sender`, which may get its own update back from a relay.
    `received_at` is the local time at which it was received. Load reports are not kept with the
    update: an instance that waits at this one gets the latest report of each target. One that
    `is_urgent` is relayed at once: a caller may repeat its request elsewhere meanwhile.
    """

    locations: list[PromptLocation] = []
    crashes: list[LossReport] = []
    loads: list[TargetLoad] = []
    received_at: float | None = None
    rollouts: list[ServiceRollout] = []
    outcomes: list[TargetOutcomes] = []
    sender: str = ""
    brittle: list[BrittleNotice] = []
    findings: CrashFindings | None = None
    is_urgent: bool = False
    full: list[FullTargetNotice] = []
    displaced: list[DisplacedTarget] = []
    reach: list[ReachNotice] = []

    def add_age(self, now: float) -> PeerUpdate:
        """Return the update to relay now; the time since its receipt is added to its ages."""
        waited = 0.0 if self.received_at is None else now - self.received_at
        return msgspec.structs.replace(
            self,
            locations=[location.add_age(waited) for location in self.locations],
            crashes=[loss.add_age(waited) for loss in self.crashes],
            findings=None if self.findings is None else self.findings.add_age(waited),
            full=[notice.add_age(waited) for notice in self.full],
            reach=[notice.add_age(waited) for notice in self.reach],
            loads=[],
            received_at=None,
        )


def make_loss_report(
    digest: str, loss: Loss, now: float, parts: tuple[str, ...] = ()
) -> LossReport:
    """Return a loss as it is told to other instances."""
    ages = now - loss.sent_at, now - loss.lost_at
    return LossReport(digest, loss.target, *ages, loss.follows, loss.accounts, parts)


def make_crash_update(ledger: CrashLedger, now: float) -> PeerUpdate:
    """Return all that is known of losses, for an instance that missed the updates until now."""
    crashes = [make_loss_report(cause, loss, now) for cause, loss in ledger.list_losses(now)]
    return PeerUpdate(crashes=crashes, findings=CrashFindings(ledger.list_ended()))


def apply_crash_findings(ledger: CrashLedger, update: PeerUpdate, now: float) -> set[str]:
    """Record another instance's losses and findings; return the targets that are unreachable."""
    for report in update.crashes:
        times = now - report.sent_age, now - report.lost_age
        loss = Loss(report.target, *times, report.follows, report.accounts)
        ledger.record_request_loss(report.digest, report.parts, loss)
    findings = update.findings
    if findings is None:
        return set()
    for target in findings.ended:
        ledger.record_end(target)
    for met in findings.met:
        ledger.record_met(met.target, now - met.age)
    for completion in findings.completed:
        ledger.record_completion(completion.cause, now - completion.age)
    return {*findings.unreachable, *map(get_target_id, findings.ended)}
