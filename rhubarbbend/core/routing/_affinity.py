"""The default policy: the target that holds the chat's context, then its home, then the rest.

A ticket names where the context was left. Waiting there costs time, moving costs reading the
context again; the policy waits for as long as the reading would take, so a long chat waits and a
short one moves at once. Without a ticket the home is the first in rendezvous order of the chat's
id, which every instance computes alike. A prompt that is read faster than another zone answers
stays in its own zone.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nlargest
from random import Random
from typing import Final

from rhubarbbend.core.routing._base import (
    POLICIES,
    Candidate,
    Choice,
    Reason,
    RoutedRequest,
    RoutingPolicy,
    rank_candidates,
)

# Of the time that reading the context again would take, this share is worth waiting.
WAIT_SHARE: Final = 1.0
# A wait never uses up more than this share of the time to the deadline.
DEADLINE_SHARE: Final = 0.5
# Targets tried beside the ticket's places. Ordering more would cost time for each target of the
# service and gain nothing, because a request moves only a few times.
MAX_MOVES: Final = 6
# A prompt that is read in this time costs less to read again than two trips to another zone, one
# for the slot and one for the answer.
NEAR_SECONDS: Final = 0.01


@POLICIES.register("affinity")
class AffinityPolicy(RoutingPolicy):
    """Ticket, home, rendezvous order; the last choice waits until the deadline allows."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give ticket places first, then the candidates in rendezvous order, the full ones last."""
        choices = self._follow_ticket(request, candidates)
        chosen = {choice.target for choice in choices}
        ranks = rank_candidates(request.chat, candidates)
        near = request.tokens < NEAR_SECONDS * request.prefill_rate
        best = max(ranks)
        # A full target is asked only after those that may have room.
        scored = [
            (not candidate.full, near and candidate.own_zone, rank, candidate.target)
            for candidate, rank in zip(candidates, ranks, strict=True)
            if candidate.target not in chosen
        ]
        for _, is_near, rank, target in nlargest(MAX_MOVES, scored):
            is_home = not choices and (is_near or rank == best)
            wait = self._compute_wait(request, request.tokens) if is_home else 0.0
            choices.append(Choice(target, wait, Reason.HOME if is_home else Reason.MOVED))
        choices.append(self._find_last_resort(request, candidates, ranks))
        return choices

    def _follow_ticket(
        self, request: RoutedRequest, candidates: Sequence[Candidate]
    ) -> list[Choice]:
        if request.ticket is None:
            return []
        by_id = {candidate.target: candidate for candidate in candidates}
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

    def _find_last_resort(
        self, request: RoutedRequest, candidates: Sequence[Candidate], ranks: Sequence[int]
    ) -> Choice:
        """When every target is full, wait for the least loaded one as long as is allowed."""
        least = min(
            (candidate.load - candidate.limit, rank, candidate.target)
            for candidate, rank in zip(candidates, ranks, strict=True)
        )
        return Choice(least[2], min(request.max_wait, request.time_left), Reason.MOVED)
