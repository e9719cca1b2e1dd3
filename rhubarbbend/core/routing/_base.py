"""The interface of routing policies and the types that they work on."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from random import Random
from typing import Final

import attrs

from rhubarbbend.core._rendezvous import weigh_names
from rhubarbbend.core.routing._tickets import Ticket
from rhubarbbend.kernel import Registry


class Reason(enum.Enum):
    """Why a target was chosen; counted."""

    TICKET = "ticket"
    HOME = "home"
    MOVED = "moved"


@attrs.define(slots=True, frozen=True)
class Candidate:
    """A target that may be asked for a slot.

    `load` and `limit` are as last heard, those of other zones' targets some seconds ago; `known`
    says whether they have been heard at all.
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
        """Whether the target was at its limit when last heard."""
        return self.known and self.load >= self.limit


@attrs.define(slots=True, frozen=True)
class RoutedRequest:
    """What a policy may know of a request.

    `tokens` is the prompt's length, `time_left` the seconds to its deadline, `prefill_rate` how
    many tokens a second a target reads, `wall` Unix time.
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
    """Ask the owner of this target, and wait in its queue for at most `max_wait` seconds."""

    target: str
    max_wait: float
    reason: Reason


def rank_candidates(chat: str, candidates: Sequence[Candidate]) -> list[int]:
    """Give each candidate's rendezvous weight for a chat; every instance computes the same."""
    return weigh_names(chat, [candidate.target for candidate in candidates])


class RoutingPolicy(abc.ABC):
    """Puts candidates in the order in which their owners are asked for a slot.

    Hooks: `plan` is called once for each routing of a request, with at least one candidate; the
    entry duty asks the choices in order until one grants. A policy keeps no state of requests
    and draws random numbers only from the generator passed in.
    """

    @abc.abstractmethod
    def plan(
        self, request: RoutedRequest, candidates: Sequence[Candidate], random: Random
    ) -> list[Choice]:
        """Give the choices, best first."""


POLICIES: Final[Registry[RoutingPolicy]] = Registry("routing policy")
