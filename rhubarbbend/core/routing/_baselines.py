"""Baseline policies, to compare the default one with: none looks at where a context is."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from rhubarbbend.core._fleet import rank
from rhubarbbend.core.routing._base import (
    POLICIES,
    Candidate,
    Choice,
    Reason,
    RoutedRequest,
    RoutingPolicy,
)


def _wait_at_each(request: RoutedRequest, ordered: Sequence[Candidate]) -> list[Choice]:
    """Ask each in order without waiting, then wait at the first."""
    choices = [Choice(candidate.target, 0.0, Reason.MOVED) for candidate in ordered]
    wait = min(request.max_wait, request.time_left)
    choices.append(Choice(ordered[0].target, wait, Reason.MOVED))
    return choices


@POLICIES.register("random")
class RandomPolicy(RoutingPolicy):
    """Any order."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give the candidates in random order."""
        ordered = list(candidates)
        random.shuffle(ordered)
        return _wait_at_each(request, ordered)


@POLICIES.register("round_robin")
class RoundRobinPolicy(RoutingPolicy):
    """Each target in turn, for each instance by itself."""

    def __init__(self) -> None:
        self._next = 0

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give the candidates in name order from the next one on."""
        ordered = sorted(candidates, key=lambda c: c.target)
        start = self._next % len(ordered)
        self._next += 1
        return _wait_at_each(request, ordered[start:] + ordered[:start])


@POLICIES.register("least_loaded")
class LeastLoadedPolicy(RoutingPolicy):
    """The target with the least load as last heard; ties at random."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give the candidates by load."""
        return _wait_at_each(request, sorted(candidates, key=lambda c: (c.load, random.random())))


@POLICIES.register("rendezvous")
class RendezvousPolicy(RoutingPolicy):
    """Plain rendezvous hashing of the chat: waits at the home however loaded it is."""

    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give the candidates in rendezvous order, each with the whole wait."""
        ordered = sorted(candidates, key=lambda c: rank(request.chat, c.target), reverse=True)
        wait = min(request.max_wait, request.time_left)
        return [Choice(candidate.target, wait, Reason.HOME) for candidate in ordered]
