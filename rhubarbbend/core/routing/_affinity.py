"""The default policy: the target that holds the chat's context, then its home, then others.

A ticket names the targets that hold the context. Waiting for one costs time; moving to another
target costs a prefill of the whole context there. The policy waits for a few times as long as the
prefill would take, so a long chat waits and a short one soon moves. Without a ticket, a chat goes
to its home target, the first in the rendezvous order of the chat's id, which is the same at every
instance. A prompt whose prefill is faster than an answer from another zone stays in its own zone.
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

# A chat waits for up to this many times as long as a new prefill of its context would take. A
# prefill delays the chat and all other chats of the engine; when all engines are near their limits,
# each chat that moves makes the next one move, and contexts are processed again everywhere.
WAIT_FACTOR: Final = 3.0
# A wait never uses more than this fraction of the time left until the deadline.
DEADLINE_FRACTION: Final = 0.5
# Targets tried in addition to the ticket's places. Ordering more would cost time for each target of
# the service and gain nothing, because a request moves only a few times.
MAX_MOVES: Final = 6
# A prompt whose prefill takes less than this costs less to process again than two round trips to
# another zone, one for the slot and one for the answer.
OWN_ZONE_PREFILL_S: Final = 0.01


@POLICIES.register("affinity")
class AffinityPolicy(RoutingPolicy):
    """Orders targets by ticket, home and rendezvous order.

    The last choice waits as long as the deadline allows.
    """

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Return the ticket's places, then other candidates in rendezvous order, full ones last."""
        choices = self._follow_ticket(request, candidates)
        chosen = {choice.target for choice in choices}
        ranks = rank_candidates(request.chat, candidates)
        prefers_own_zone = request.tokens < OWN_ZONE_PREFILL_S * request.prefill_rate
        best_rank = max(ranks)
        # A full target is asked only after those that may have room.
        scored = [
            (not candidate.full, prefers_own_zone and candidate.own_zone, rank, candidate.target)
            for candidate, rank in zip(candidates, ranks, strict=True)
            if candidate.target not in chosen
        ]
        for _, is_preferred, rank, target in nlargest(MAX_MOVES, scored):
            is_home = not choices and (is_preferred or rank == best_rank)
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
        prefill_wait = WAIT_FACTOR * tokens / request.prefill_rate
        return min(prefill_wait, request.max_wait, DEADLINE_FRACTION * request.time_left)

    def _find_last_resort(
        self, request: RoutedRequest, candidates: Sequence[Candidate], ranks: Sequence[int]
    ) -> Choice:
        """Return the least loaded target with the longest wait, for when every target is full."""
        least_loaded = min(
            (candidate.load - candidate.limit, rank, candidate.target)
            for candidate, rank in zip(candidates, ranks, strict=True)
        )
        return Choice(least_loaded[2], min(request.max_wait, request.time_left), Reason.MOVED)
