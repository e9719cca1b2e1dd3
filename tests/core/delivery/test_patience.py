"""How long a silent target is waited for, by what else is heard from it."""

from __future__ import annotations

import pytest

from rhubarbbend.core.catalog import RequestKind, Route
from rhubarbbend.core.delivery import PaceBook, Patience

LABEL = Route(
    name="label",
    host="x",
    prefix="/x/",
    kind=RequestKind.STREAM,
    timeout=3.0,
    objective=1.5,
    priority=2,
    shares=(),
    max_attempts=2,
    resumable=True,
    pause_objective=0.5,
)


@pytest.mark.parametrize(
    ("silence", "heard_ago", "is_lost", "seconds", "asks"),
    [
        # Not unusual yet.
        (0.1, 9.0, True, 0.3, False),
        # Other streams of the engine go on: it is busy with this one.
        (0.5, 0.05, False, 0.2, False),
        # Nothing is heard at all: it is asked whether it is there.
        (0.5, 0.5, False, 0.1, True),
        # It did not answer.
        (0.5, 0.5, True, 0.0, False),
        # It is there, and silent for too long all the same.
        (2.0, 0.0, False, 0.0, False),
    ],
)
def test_silence_is_judged_by_what_else_is_heard(
    silence: float, heard_ago: float, is_lost: bool, seconds: float, asks: bool
) -> None:
    wait = Patience(0.4, 2.0).decide(silence, heard_ago, is_lost)
    assert (round(wait.seconds, 6), wait.ask) == (seconds, asks)


def test_a_request_with_little_time_is_sent_elsewhere_while_it_can_still_be_met() -> None:
    """A zone is cut off; label checks have 3 s, and 1.5 s until they count as late.

    Waited for twice their objective, as long streams may be, they would end in the zone that is
    gone. After half of it another engine still answers in time.
    """
    patience = PaceBook().choose_first(LABEL)
    assert patience.decide(0.75, 9.0, False).ask
    assert patience.decide(0.85, 9.0, True).seconds == 0.0


def test_patience_follows_the_pace_that_is_seen() -> None:
    # Prompts that take 0.3 to 0.5 s to read are no sign of a target that is gone.
    paces = PaceBook()
    for number in range(60):
        paces.note_first(LABEL, 0.3 + 0.1 * (number % 3))
    slow = paces.choose_first(LABEL)
    for _ in range(60):
        paces.note_first(LABEL, 0.05)
    quick = paces.choose_first(LABEL)
    assert 0.5 < slow.usual <= 0.75
    assert quick.usual == pytest.approx(0.25)
    assert slow.longest == quick.longest
