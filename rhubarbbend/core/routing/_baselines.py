"""Baseline policies to compare the default policy with; they ignore where a context is held."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from rhubarbbend.core._fleet import compute_rendezvous_weight
from rhubarbbend.core.routing._base import (
    POLICIES,
    Candidate,
    Choice,
    Reason,
    RoutedRequest,
    RoutingPolicy,
)


def _try_all_then_wait(request: RoutedRequest, ordered: Sequence[Candidate]) -> list[Choice]:
    """Return choices that ask each candidate without waiting, then wait at the first."""
    choices = [Choice(candidate.target, 0.0, Reason.MOVED) for candidate in ordered]
    wait = min(request.max_wait, request.time_left)
    choices.append(Choice(ordered[0].target, wait, Reason.MOVED))
    return choices


@POLICIES.register("random")
class RandomPolicy(RoutingPolicy):
    """Orders the targets at random."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Return the candidates in random order."""
        ordered = list(candidates)
        random.shuffle(ordered)
        return _try_all_then_wait(request, ordered)


@POLICIES.register("round_robin")
class RoundRobinPolicy(RoutingPolicy):
    """Starts with each target in turn; each instance keeps its own position."""

    def __init__(self) -> None:
        self._next = 0

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Return the candidates in the order of their names, starting with the next one in turn."""
        ordered = sorted(candidates, key=lambda c: c.target)
        start = self._next % len(ordered)
        self._next += 1
        return _try_all_then_wait(request, ordered[start:] + ordered[:start])


@POLICIES.register("least_loaded")
class LeastLoadedPolicy(RoutingPolicy):
    """Starts with the target with the lowest last reported load; ties are broken at random."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Return the candidates by increasing load."""
        return _try_all_then_wait(
            request, sorted(candidates, key=lambda c: (c.load, random.random()))
        )


@POLICIES.register("rendezvous")
class RendezvousPolicy(RoutingPolicy):
    """Plain rendezvous hashing of the chat: waits at the home target regardless of its load."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Return the candidates in rendezvous order, each with the maximum wait."""
        ordered = sorted(
            candidates,
            key=lambda c: compute_rendezvous_weight(request.chat, c.target),
            reverse=True,
        )
        wait = min(request.max_wait, request.time_left)
        return [Choice(candidate.target, wait, Reason.HOME) for candidate in ordered]
