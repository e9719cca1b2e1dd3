"""Decides how long a target may be silent before a request is sent elsewhere.

A way that is cut and an engine that crashes without a word look like an engine that is busy:
nothing comes. What tells them apart is whether anything else is heard from the target: the events
of other streams, or the acceptance of a new connection, which is asked for if nothing is.
"""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend.core.catalog import RequestKind, Route

# A safe read is asked for elsewhere after this part of its objective, so that the second answer
# can still come in time.
SAFE_PATIENCE: Final = 0.6
# A stream that may be resumed is asked for elsewhere after this many times its objective without
# a first event, or its longest good pause without another one, but never sooner than LEAST_LONGEST:
# below that, a busy engine is likelier than a dead one.
STREAM_PATIENCE: Final = 2.0
LEAST_LONGEST: Final = 1.0
# After what is usual on the route the target is asked whether it is there, not sooner than a lost
# packet takes to be sent again, and not later than this part of the objective, so that the next
# target can still answer in time.
LEAST_SILENCE: Final = 0.25
SILENCE_PART: Final = 0.5
# What is usual: so many mean deviations beyond the mean.
DEVIATIONS: Final = 4.0
# How fast means and deviations follow what is seen; as TCP does for its retransmission time-out.
MEAN_GAIN: Final = 0.125
DEVIATION_GAIN: Final = 0.25
# A target counts as heard if something came from it within this part of the time after which it
# is asked.
HEARD_PART: Final = 0.5
# A target that is there takes a connection within this time.
ANSWER_TIME: Final = 0.1
# Routes whose pace is kept. A fleet has some hundreds; names come and go with configurations.
MAX_ROUTES: Final = 4_096


class Wait(msgspec.Struct, frozen=True):
    """What to do about silence: wait so many seconds more, 0: give up.

    `ask`: ask the target for a connection meanwhile.
    """

    seconds: float
    ask: bool = False


class Patience(msgspec.Struct, frozen=True):
    """Seconds of silence that a request bears: `usual` until its target is asked whether it is
    there, `longest` even if it is."""

    usual: float
    longest: float

    def decide(self, silence: float, heard_ago: float, is_lost: bool) -> Wait:
        """Decide what to do after so many seconds in which nothing came for the request.

        `heard_ago` is how long ago anything came from its target, `is_lost` whether that did not
        answer when it was asked.
        """
        left = self.longest - silence
        if left <= 0.0:
            return Wait(0.0)
        if silence < self.usual:
            return Wait(self.usual - silence)
        if is_lost:
            return Wait(0.0)
        look_again = HEARD_PART * self.usual
        if heard_ago < look_again:
            return Wait(min(look_again, left))
        return Wait(min(ANSWER_TIME, left), ask=True)


class Pace:
    """How long something takes, by mean and mean deviation."""

    __slots__ = ("_mean", "_deviation", "_known")

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._known = False

    def note(self, seconds: float) -> None:
        """Take in how long it took once."""
        if not self._known:
            self._known = True
            self._mean = seconds
            self._deviation = seconds / 2.0
            return
        error = seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def compute_usual(self) -> float:
        """Give the time that it seldom takes longer than."""
        return self._mean + DEVIATIONS * self._deviation


class _RoutePace(msgspec.Struct, frozen=True):
    """The pace of a route's streams: to the first event, and the longest pause of each."""

    first: Pace
    pause: Pace


class PaceBook:
    """The pace of each route as this instance saw it, and the patience that follows from it."""

    def __init__(self) -> None:
        self._routes: dict[str, _RoutePace] = {}

    def note_first(self, route: Route, seconds: float) -> None:
        """Take in how long a stream's first event took."""
        self._find(route).first.note(seconds)

    def note_pause(self, route: Route, seconds: float) -> None:
        """Take in the longest pause of a stream that ended well."""
        self._find(route).pause.note(seconds)

    def choose_first(self, route: Route) -> Patience:
        """Choose for how long to wait for an answer, or a stream's first event."""
        if route.kind is RequestKind.SAFE:
            limit = SAFE_PATIENCE * route.objective
            return Patience(limit, limit)
        return _choose(route.objective, self._find(route).first)

    def choose_pause(self, route: Route) -> Patience:
        """Choose for how long a stream that has begun may pause."""
        return _choose(route.pause_objective, self._find(route).pause)

    def _find(self, route: Route) -> _RoutePace:
        pace = self._routes.get(route.name)
        if pace is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            pace = self._routes[route.name] = _RoutePace(Pace(), Pace())
        return pace


def _choose(objective: float, pace: Pace) -> Patience:
    longest = max(LEAST_LONGEST, STREAM_PATIENCE * objective)
    latest = max(LEAST_SILENCE, SILENCE_PART * objective)
    usual = min(latest, max(LEAST_SILENCE, pace.compute_usual()))
    return Patience(usual, longest)
