"""All roll-outs as one instance knows them."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.directory import Target
from rhubarbbend.core.rollouts._types import (
    TO_STABLE,
    ExposureOptions,
    RolloutOrder,
    RolloutRecord,
    ServiceVersions,
)
from rhubarbbend.core.rollouts._versions import VersionTracker

if TYPE_CHECKING:
    from rhubarbbend.core.rollouts._participant import RolloutParticipant

# On trial, a candidate's requests go to as many targets as carry about the load of a stable one
# each: a version may be bad under load only. At least two, to tell a sick target from a version.
MIN_TRIAL_TARGETS: Final = 2


class VersionChoice(msgspec.Struct, frozen=True):
    """The versions whose targets a request may be sent to; None if any may.

    `targets` are the only ones of them that may get it, None if all may. `participant` is the
    roll-out that the request is part of. For `hold_s` see `Assignment`.
    """

    versions: frozenset[str] | None
    targets: frozenset[str] | None = None
    participant: RolloutParticipant | None = None
    is_candidate: bool = False
    hold_s: float = 0.0

    def admits(self, target: Target) -> bool:
        """Return whether a target may get the request."""
        if self.versions is not None and target.version not in self.versions:
            return False
        return self.targets is None or target.id in self.targets


class RolloutTracker:
    """The versions of all services, and this instance's part in the roll-outs that run."""

    def __init__(self, options: ExposureOptions, random: Random) -> None:
        self.versions = VersionTracker()
        self._options = options
        self._random = random
        self._participants: dict[str, RolloutParticipant] = {}

    def set_options(self, options: ExposureOptions) -> None:
        """Replace the bounds, for roll-outs that begin from now on."""
        self._options = options

    def record_order(
        self, order: RolloutOrder, instances: int, was_running: bool, now: float
    ) -> None:
        """Record an order; `was_running` is whether it was given while this instance ran."""
        self.versions.record_order(order)
        if self.versions.find_active_order(order.service) is not order:
            return
        # Only now, since most instances never see a roll-out.
        from rhubarbbend.core.rollouts._participant import RolloutParticipant

        self._participants[order.service] = RolloutParticipant(
            order, self._options, instances, was_running, self._random, now
        )

    def withdraw_order(self, service: str) -> None:
        """Forget the order of a service: the operator has deleted it."""
        self.versions.withdraw_order(service)
        self._participants.pop(service, None)

    def record_outcome(self, service: str, record: RolloutRecord) -> None:
        """Record what the store holds of a service's roll-out."""
        self.versions.record_outcome(service, record)
        if self.versions.find_active_order(service) is None:
            self._participants.pop(service, None)

    def find_participant(self, service: str) -> RolloutParticipant | None:
        """Return this instance's part in the roll-out of a service, None if there is none."""
        return self._participants.get(service)

    def find_versions(self, service: str, registered: Mapping[str, int]) -> ServiceVersions:
        """Return the versions of a service that may get requests; see `VersionTracker`."""
        return self.versions.find_versions(service, registered)

    def choose_version(
        self,
        service: str,
        route: str,
        idempotent: bool,
        fraction: float | None,
        registered: Mapping[str, int],
        available: Sequence[Target],
        now: float,
    ) -> VersionChoice:
        """Return the versions that a caller's request goes to first.

        `registered` counts the service's registered targets by version, `available` are those that
        may get requests. See `RolloutParticipant.assign` for `fraction`.
        """
        versions = self.find_versions(service, registered)
        participant = self._participants.get(service)
        if participant is None or versions.candidate is None or versions.stable is None:
            return VersionChoice(versions.serving)
        candidates = [t for t in available if t.version == versions.candidate]
        assignment = TO_STABLE
        if candidates:
            assignment = participant.assign(route, idempotent, fraction, now)
        if not assignment.is_candidate:
            return VersionChoice(versions.serving, None, participant, hold_s=assignment.hold_s)
        targets = None
        if not participant.has_shifted(route, now):
            stable_count = sum(t.version == versions.stable for t in available)
            targets = _select_trial_targets(
                candidates, stable_count, self._options.share, participant.order.revision
            )
        return VersionChoice(frozenset({versions.candidate}), targets, participant, True)

    def revise_choice(
        self, service: str, choice: VersionChoice, registered: Mapping[str, int]
    ) -> VersionChoice:
        """Return a choice as it is now: the serving versions if it is no candidate any more."""
        versions = self.find_versions(service, registered)
        is_candidate = choice.versions is not None and versions.candidate in choice.versions
        if choice.is_candidate and is_candidate:
            return choice
        return VersionChoice(versions.serving, None, choice.participant)

    def choose_other_version(
        self, service: str, choice: VersionChoice, registered: Mapping[str, int], now: float
    ) -> VersionChoice | None:
        """Return the version for a request that the chosen one cannot serve; None if there is none.

        After a candidate that is the stable version. After the stable version it is a candidate
        whose success is due: the stable targets may have ended before the record arrived here.
        """
        versions = self.find_versions(service, registered)
        participant = choice.participant
        if choice.is_candidate:
            return VersionChoice(versions.serving, None, participant)
        if participant is not None and participant.expects_success(now) and versions.candidate:
            return VersionChoice(frozenset({versions.candidate}), None, participant, True)
        return None


def _select_trial_targets(
    candidates: Collection[Target], stable_count: int, share: float, revision: int
) -> frozenset[str]:
    """Select the targets of a candidate on trial, from as many zones as possible."""
    count = max(MIN_TRIAL_TARGETS, round(share * stable_count))
    order = rank_names(str(revision), [target.id for target in candidates])
    zones = {target.id: target.zone for target in candidates}
    ranks: dict[str, int] = {}
    by_zone: dict[str, int] = {}
    for target in order:
        ranks[target] = by_zone.setdefault(zones[target], 0)
        by_zone[zones[target]] += 1
    return frozenset(sorted(order, key=lambda target: ranks[target])[:count])
