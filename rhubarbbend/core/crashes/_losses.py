"""Losses of targets under requests: what is recorded of one, and how many came in sequence."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Final

import msgspec

# Losses of a request that are put in order; more change nothing in the judgement.
MAX_LOSSES: Final = 6


class Fate(enum.Enum):
    """What became of a target whose connection broke under a request."""

    UNKNOWN = "unknown"
    # The same start of the target has been met since, so that its link was lost, not the target.
    ALIVE = "alive"
    ENDED = "ended"


class Judgement(enum.Enum):
    """What the losses of targets say of the request that they were running."""

    CLEAR = "clear"
    # A target was lost under it.
    SUSPECT = "suspect"
    # Targets ended under it at the same time: under several of its repeats, or for another reason.
    ON_TRIAL = "on trial"
    # Targets were lost under it one after the other, and it is not known whether they have ended.
    UNDECIDED = "undecided"
    # Targets ended under it one after the other.
    REFUSED = "refused"

    @property
    def gravity(self) -> int:
        """The rank of the judgement, 0 for `CLEAR`."""
        return _ORDER.index(self)


_ORDER: Final = (
    Judgement.CLEAR,
    Judgement.SUSPECT,
    Judgement.ON_TRIAL,
    Judgement.UNDECIDED,
    Judgement.REFUSED,
)


class Loss(msgspec.Struct, frozen=True):
    """A connection on which a target was running a request broke; local times in seconds.

    `target` identifies one start of a target. `follows` holds the targets that were known to be
    lost, where this loss was seen, when the request was sent. `accounts` are those of up to two
    client accounts that sent it.
    """

    target: str
    sent_at: float
    lost_at: float
    follows: tuple[str, ...] = ()
    accounts: tuple[str, ...] = ()

    def merge(self, other: Loss) -> Loss:
        """Return one loss for two requests that hold the same cause, at the same target.

        The later one tells what had been lost before; both were lost at the earlier time.
        """
        if other == self:
            return self
        return Loss(
            self.target,
            max(self.sent_at, other.sent_at),
            min(self.lost_at, other.lost_at),
            tuple(dict.fromkeys((*self.follows, *other.follows))),
            tuple(dict.fromkeys((*self.accounts, *other.accounts)))[:2],
        )

    def comes_after(self, other: Loss) -> bool:
        """Return whether the request was sent here after another loss.

        Reports may take longer than repeats, so what an instance saw itself goes before times.
        """
        if other.target in self.follows or self.target in other.follows:
            return other.target in self.follows
        return self.sent_at >= other.lost_at


class LossCounts(msgspec.Struct, frozen=True):
    """The losses under a cause that count; `in_sequence` as in `count_in_sequence`."""

    lost: int
    ended: int
    in_sequence: int


def count_in_sequence(losses: Sequence[Loss]) -> int:
    """Return the largest number of losses of which each came after the one before.

    A network partition or a loss of power takes targets at the same time, whatever runs there. Only
    a request that crashes targets loses the next one because it was sent there.
    """
    latest = sorted(losses, key=lambda loss: loss.lost_at)[-MAX_LOSSES:]
    lengths = [1] * len(latest)
    for _ in latest:
        for number, loss in enumerate(latest):
            before = [
                lengths[other]
                for other in range(len(latest))
                if other != number and loss.comes_after(latest[other])
            ]
            lengths[number] = min(len(latest), 1 + max(before, default=0))
    return max(lengths, default=0)
