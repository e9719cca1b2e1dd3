"""The interface of routing policies, and the types that they use."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from random import Random
from typing import Final

import attrs

from rhubarbbend.core._rendezvous import compute_weights
from rhubarbbend.core.routing._tickets import Ticket
from rhubarbbend.kernel import Registry


class Reason(enum.Enum):
    """Why a target was chosen; the metrics count choices by reason."""

    TICKET = "ticket"
    HOME = "home"
    MOVED = "moved"


@attrs.define(slots=True, frozen=True)
class Candidate:
    """A target whose owner may be asked for a slot.

    `load` and `limit` are the last reported values, which for targets of other zones are some
    seconds old; `known` is whether any have been reported.
    """

    target: str
    zone: str
    boot_id: str
    load: int
    limit: int
    known: bool
    cold: bool
    own_zone: bool

    @property
    def full(self) -> bool:
        """Whether the target was at its limit according to its last reported load."""
        return self.known and self.load >= self.limit


@attrs.define(slots=True, frozen=True)
class RoutedRequest:
    """The properties of a request that a policy may use.

    `tokens` is the length of the prompt, `time_left` the seconds until the deadline, `max_wait` the
    longest time to wait in a queue in seconds, `prefill_rate` the number of prompt tokens that a
    target processes a second, `wall` the Unix time.
    """

    chat: str
    tokens: int
    ticket: Ticket | None
    time_left: float
    max_wait: float
    prefill_rate: float
    wall: float


@attrs.define(slots=True, frozen=True)
class Choice:
    """A target to ask for a slot, waiting in its owner's queue for at most `max_wait` seconds."""

    target: str
    max_wait: float
    reason: Reason


def rank_candidates(chat: str, candidates: Sequence[Candidate]) -> list[int]:
    """Return the candidates' rendezvous weights for a chat, the same at every instance."""
    return compute_weights(chat, [candidate.target for candidate in candidates])


class RoutingPolicy(abc.ABC):
    """Orders candidates; their owners are asked for a slot in this order.

    `plan` is called each time a request is routed, with at least one candidate. The instance that
    received the request asks the owners of the choices in order until one grants a slot. A policy
    keeps no state per request and takes random numbers only from the generator passed in.
    """

    @abc.abstractmethod
    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Return the choices, best first."""


POLICIES: Final[Registry[RoutingPolicy]] = Registry("routing policy")
