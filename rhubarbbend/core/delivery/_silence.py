"""Decides how long a target may be silent before a request is retried at another target.

A network partition and an engine that crashes silently look the same as a busy engine: nothing
arrives. They are told apart by whether anything else is received from the target: events of other
streams or, if there are none, the acceptance of a new connection, which is opened as a probe.
"""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend.core.catalog import RequestKind, Route

# A safe read is retried at another target after this fraction of its objective, so that the second
# answer can still arrive in time.
SAFE_TIMEOUT_FRACTION: Final = 0.6
# A resumable stream is retried after this many times its objective without a first event, or its
# longest acceptable pause without another event, but not before MIN_STREAM_TIMEOUT_S: below that, a
# busy engine is likelier than a dead one.
STREAM_TIMEOUT_FACTOR: Final = 2.0
MIN_STREAM_TIMEOUT_S: Final = 1.0
# The target is probed once it has been silent for longer than is usual on the route: not before a
# lost packet would have been retransmitted, and not later than this fraction of the objective, so
# that the next target can still answer in time.
MIN_PROBE_DELAY_S: Final = 0.25
PROBE_DELAY_FRACTION: Final = 0.5
# The upper bound of usual latencies lies this many mean deviations above the mean.
DEVIATION_FACTOR: Final = 4.0
# Weight of each new sample in the mean and in the deviation, as in TCP's retransmission time-out.
MEAN_GAIN_FACTOR: Final = 0.125
DEVIATION_GAIN_FACTOR: Final = 0.25
# A target counts as recently heard if something arrived from it within this fraction of the delay
# after which it is probed.
RECENTLY_HEARD_FRACTION: Final = 0.5
# A live target accepts a connection within this time.
PROBE_TIMEOUT_S: Final = 0.1
# Routes whose latency is tracked. A fleet has some hundreds; names change with the configuration.
MAX_ROUTES: Final = 4_096


class SilenceDecision(msgspec.Struct, frozen=True):
    """What to do about a silent target.

    `seconds` is how much longer to wait, 0 to give up. `probe` is whether to probe the target
    meanwhile by opening a connection to it.
    """

    seconds: float
    probe: bool = False


class SilenceTimeouts(msgspec.Struct, frozen=True):
    """How long a target may be silent for a request, in seconds.

    After `probe_after` the target is probed, unless it was recently heard; after `give_up_after`
    the request is given up there even if the target is alive.
    """

    probe_after: float
    give_up_after: float

    def decide(self, silence: float, heard_ago: float, probe_failed: bool) -> SilenceDecision:
        """Decide what to do after `silence` seconds in which nothing arrived for the request.

        `heard_ago` is how long ago anything arrived from its target, `probe_failed` whether the
        target did not answer a probe.
        """
        remaining = self.give_up_after - silence
        if remaining <= 0.0:
            return SilenceDecision(0.0)
        if silence < self.probe_after:
            return SilenceDecision(self.probe_after - silence)
        if probe_failed:
            return SilenceDecision(0.0)
        recheck_delay = RECENTLY_HEARD_FRACTION * self.probe_after
        if heard_ago < recheck_delay:
            return SilenceDecision(min(recheck_delay, remaining))
        return SilenceDecision(min(PROBE_TIMEOUT_S, remaining), probe=True)


class LatencyEstimator:
    """Moving averages of a latency and of its deviation from the mean."""

    __slots__ = ("_mean", "_deviation", "_has_samples")

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._has_samples = False

    def record(self, seconds: float) -> None:
        """Record one latency."""
        if not self._has_samples:
            self._has_samples = True
            self._mean = seconds
            self._deviation = seconds / 2.0
            return
        error = seconds - self._mean
        self._mean += MEAN_GAIN_FACTOR * error
        self._deviation += DEVIATION_GAIN_FACTOR * (abs(error) - self._deviation)

    def estimate_upper_bound(self) -> float:
        """Return the number of seconds that the latency seldom exceeds."""
        return self._mean + DEVIATION_FACTOR * self._deviation


class _RouteLatency(msgspec.Struct, frozen=True):
    """The latency of a route's first events, and the longest pause of each of its streams."""

    first_event: LatencyEstimator
    longest_pause: LatencyEstimator


class LatencyTracker:
    """Tracks the latency of each route at this instance and derives silence time-outs from it."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteLatency] = {}

    def record_first_event(self, route: Route, seconds: float) -> None:
        """Record how long a stream took to its first event."""
        self._find_latency(route).first_event.record(seconds)

    def record_longest_pause(self, route: Route, seconds: float) -> None:
        """Record the longest pause of a stream that ended successfully."""
        self._find_latency(route).longest_pause.record(seconds)

    def compute_first_event_timeouts(self, route: Route) -> SilenceTimeouts:
        """Return the time-outs for an answer, or for a stream's first event."""
        if route.kind is RequestKind.SAFE:
            timeout = SAFE_TIMEOUT_FRACTION * route.objective
            return SilenceTimeouts(timeout, timeout)
        return _compute_timeouts(route.objective, self._find_latency(route).first_event)

    def compute_pause_timeouts(self, route: Route) -> SilenceTimeouts:
        """Return the time-outs for a pause of a stream that has started."""
        return _compute_timeouts(route.pause_objective, self._find_latency(route).longest_pause)

    def _find_latency(self, route: Route) -> _RouteLatency:
        latency = self._routes.get(route.name)
        if latency is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            latency = self._routes[route.name] = _RouteLatency(
                LatencyEstimator(), LatencyEstimator()
            )
        return latency


def _compute_timeouts(objective: float, estimator: LatencyEstimator) -> SilenceTimeouts:
    give_up_after = max(MIN_STREAM_TIMEOUT_S, STREAM_TIMEOUT_FACTOR * objective)
    latest = max(MIN_PROBE_DELAY_S, PROBE_DELAY_FRACTION * objective)
    probe_after = min(latest, max(MIN_PROBE_DELAY_S, estimator.estimate_upper_bound()))
    return SilenceTimeouts(probe_after, give_up_after)
