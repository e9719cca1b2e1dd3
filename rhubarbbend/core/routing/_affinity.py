"""The default policy: the target that holds the chat's context, then its home, then the rest.

A ticket names where the context was left. Waiting there costs time, moving costs reading the
context again; the policy waits for as long as the reading would take, so a long chat waits and a
short one moves at once. Without a ticket the home is the first in rendezvous order of the chat's
id, which every instance computes alike.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Final

from rhubarbbend.core._fleet import rank
from rhubarbbend.core.routing._base import (
    POLICIES,
    Candidate,
    Choice,
    Reason,
    RoutedRequest,
    RoutingPolicy,
)

# Of the time that reading the context again would take, this share is worth waiting.
WAIT_SHARE: Final = 1.0
# A wait never uses up more than this share of the time to the deadline.
DEADLINE_SHARE: Final = 0.5


@POLICIES.register("affinity")
class AffinityPolicy(RoutingPolicy):
    """Ticket, home, rendezvous order; the last choice waits until the deadline allows."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give ticket places first, then the candidates in rendezvous order, the full ones last."""
        by_id = {candidate.target: candidate for candidate in candidates}
        choices = self._follow_ticket(request, by_id)
        chosen = {choice.target for choice in choices}
        ordered = sorted(candidates, key=lambda c: rank(request.chat, c.target), reverse=True)
        rest = [candidate for candidate in ordered if candidate.target not in chosen]
        # A full target is asked only after those that may have room.
        open_first = [c for c in rest if not c.full] + [c for c in rest if c.full]
        home = ordered[0].target
        for candidate in open_first:
            is_home = candidate.target == home and not choices
            wait = self._compute_wait(request, request.tokens) if is_home else 0.0
            reason = Reason.HOME if is_home else Reason.MOVED
            choices.append(Choice(candidate.target, wait, reason))
        return self._add_last_resort(request, choices, candidates)

    def _follow_ticket(self, request: RoutedRequest, by_id: dict[str, Candidate]) -> list[Choice]:
        if request.ticket is None:
            return []
        choices: list[Choice] = []
        for place in request.ticket.places:
            candidate = by_id.get(place.target)
            if candidate is None or (candidate.boot_id and candidate.boot_id != place.boot_id):
                continue
            wait = self._compute_wait(request, place.tokens)
            choices.append(Choice(place.target, wait, Reason.TICKET))
        return choices

    def _compute_wait(self, request: RoutedRequest, tokens: int) -> float:
        reread = WAIT_SHARE * tokens / request.prefill_rate
        return min(reread, request.max_wait, DEADLINE_SHARE * request.time_left)

    def _add_last_resort(
        self, request: RoutedRequest, choices: list[Choice], candidates: Sequence[Candidate]
    ) -> list[Choice]:
        """When every target is full, wait for the least loaded one as long as is allowed."""
        least = min(candidates, key=lambda c: (c.load - c.limit, rank(request.chat, c.target)))
        wait = min(request.max_wait, request.time_left)
        return [*choices, Choice(least.target, wait, Reason.MOVED)]
