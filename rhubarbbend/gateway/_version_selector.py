"""Selects the version of a service that a request goes to while one is rolled out."""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.core._rendezvous import hash_to_unit_interval
from rhubarbbend.core.rollouts import VersionChoice
from rhubarbbend.core.streams import compute_origin
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State

# The choice of a stream that may not go on; it is not revised.
NO_VERSIONS: Final = frozenset[str]()


class VersionSelector:
    """Applies the decisions of `core.rollouts` to requests.

    Invariant: a request is only sent to a version that may get requests at that moment.
    """

    def __init__(self, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        state.rollouts.versions.on_stable_change = self._log_stable

    def _log_stable(self, service: str, before: str | None, after: str) -> None:
        self._state.event_log.write(
            "stable_version", self._clock(), service=service, before=before, version=after
        )

    def choose(self, request: OpenRequest, now: float) -> VersionChoice:
        """Return the version of the service that the request goes to first."""
        name = request.service.name
        registry, rollouts = self._state.registry, self._state.rollouts
        participant = rollouts.find_participant(name)
        registered = registry.count_versions(name)
        if participant is None:
            return VersionChoice(rollouts.find_versions(name, registered).serving)
        prompt = request.caller.prompt
        fraction = None
        if prompt is not None:
            # Each roll-out selects other chats.
            revision = participant.order.revision
            fraction = hash_to_unit_interval(f"{revision}/{prompt.affinity_key}")
        choice = rollouts.choose_version(
            name,
            request.route.name,
            request.route.idempotent,
            fraction,
            registered,
            registry.list_available(name, now),
            now,
        )
        if choice.is_candidate:
            self._state.metrics.increment_counter(codes.ROLLOUT_CANDIDATE_REQUESTS)
        return choice

    async def hold(self, request: OpenRequest) -> None:
        """Wait until the stable version of a request's service changes, for a limited time."""
        self._state.metrics.increment_counter(codes.ROLLOUT_HELD)
        held = request.version.versions
        ends_at = self._clock() + request.version.hold_s
        while request.version.versions == held and (now := self._clock()) < ends_at:
            await self._state.changed.wait(ends_at - now)
            self.revise(request)

    def revise(self, request: OpenRequest) -> None:
        """Replace the version that a request was to go to if it may not be used any more."""
        name = request.service.name
        if request.origin is not None:
            if request.version.versions != NO_VERSIONS:
                self._follow_origin(request)
            return
        registered = self._state.registry.count_versions(name)
        request.version = self._state.rollouts.revise_choice(name, request.version, registered)

    def switch(self, request: OpenRequest) -> bool:
        """Let a request go to the other version of its service; return whether there is one."""
        name = request.service.name
        if request.origin is not None:
            # A stream does not change its version.
            self._admit_again(request)
            return False
        registered = self._state.registry.count_versions(name)
        other = self._state.rollouts.choose_other_version(
            name, request.version, registered, self._clock()
        )
        if other is None:
            return False
        request.version = other
        return True

    def follow_origin(self, request: OpenRequest) -> None:
        """Choose the version for a request that continues a stream, in place of any choice."""
        self._follow_origin(request)
        if not request.is_detour:
            self._admit_again(request)

    def _follow_origin(self, request: OpenRequest) -> None:
        """Let a request that continues a stream go to the version that began it, if that may be."""
        name = request.service.name
        rollouts = self._state.rollouts
        registered = self._state.registry.count_versions(name)
        candidate = rollouts.find_versions(name, registered).candidate
        participant = rollouts.find_participant(name)
        origins = {compute_origin(name, version): version for version in registered}
        version = origins.get(request.origin or 0)
        if version is None or not rollouts.versions.may_continue(name, version, registered):
            request.version = VersionChoice(NO_VERSIONS, None, participant)
        else:
            is_candidate = version == candidate
            request.version = VersionChoice(frozenset({version}), None, participant, is_candidate)

    def _admit_again(self, request: OpenRequest) -> None:
        """Let a stream go on at a candidate only as far as the bound on its requests allows."""
        participant = request.version.participant
        if request.version.is_candidate and not (participant and participant.try_admit_again()):
            request.version = VersionChoice(NO_VERSIONS, None, participant)
