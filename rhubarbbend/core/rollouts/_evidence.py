"""What an instance has seen of the answers of both versions during a roll-out.

Counts are cumulative, so a message that is lost, repeated or late changes nothing, and a new
coordinator adds the same counts up again.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

# Durations are counted in buckets; each is this many times as long as the one before.
BUCKET_RATIO: Final = 2.0**0.25
_LOG_BUCKET_RATIO: Final = math.log(BUCKET_RATIO)
MIN_DURATION_S: Final = 1e-7

# The number of answers by bucket of their duration.
Histogram = dict[int, int]


def name_target(zone: str, target: str) -> str:
    """Return the name under which the outcomes of a candidate's target are counted."""
    return f"{zone}/{target}"


def find_zone(name: str) -> str:
    """Return the zone of a target from the name under which its outcomes are counted."""
    return name.partition("/")[0]


def find_bucket(duration_s: float) -> int:
    """Return the bucket of a duration."""
    return math.floor(math.log(max(MIN_DURATION_S, duration_s)) / _LOG_BUCKET_RATIO)


def get_bucket_end(bucket: int) -> float:
    """Return the upper end of a bucket in seconds."""
    return BUCKET_RATIO ** (bucket + 1)


def find_quantile_bucket(histogram: Mapping[int, int], fraction: float) -> int:
    """Return the bucket below whose end a fraction of all durations lie."""
    needed = fraction * sum(histogram.values())
    for bucket in sorted(histogram):
        needed -= histogram[bucket]
        if needed <= 0.0:
            return bucket
    return max(histogram)


def count_above(histogram: Mapping[int, int], bucket: int) -> int:
    """Return the number of durations in the buckets above one."""
    return sum(count for b, count in histogram.items() if b > bucket)


class Speed(enum.IntEnum):
    """A measure of how fast a target works, by which answers of two versions are compared."""

    # From sending a request to the end of its answer.
    RESPONSE = 0
    # From sending a request to the first event, per token of the prompt that has to be read.
    READING = 1
    # Between two events of a stream.
    PAUSE = 2


class Outcome(msgspec.Struct, frozen=True):
    """How one request ended at a target, and its speeds in seconds."""

    failed: bool
    duration_s: float
    speeds: Mapping[Speed, float]


class Outcomes(msgspec.Struct, array_like=True):
    """Cumulative counts of requests that ended at some targets, and their durations and speeds."""

    trials: int = 0
    failures: int = 0
    durations: Histogram = {}
    speeds: dict[int, Histogram] = {}

    def record(self, outcome: Outcome) -> None:
        """Count one request."""
        self.trials += 1
        if outcome.failed:
            self.failures += 1
            return
        _increment(self.durations, find_bucket(outcome.duration_s))
        for speed, seconds in outcome.speeds.items():
            _increment(self.speeds.setdefault(int(speed), {}), find_bucket(seconds))

    def add(self, other: Outcomes) -> None:
        """Add the counts of others."""
        self.trials += other.trials
        self.failures += other.failures
        _add_histogram(self.durations, other.durations)
        for speed, histogram in other.speeds.items():
            _add_histogram(self.speeds.setdefault(speed, {}), histogram)

    def subtract(self, other: Outcomes) -> Outcomes:
        """Return the counts that these have more than others."""
        return Outcomes(
            self.trials - other.trials,
            self.failures - other.failures,
            _subtract_histogram(self.durations, other.durations),
            {
                speed: _subtract_histogram(histogram, other.speeds.get(speed, {}))
                for speed, histogram in self.speeds.items()
            },
        )


class RouteEvidence(msgspec.Struct, array_like=True):
    """The outcomes of one route.

    `candidate` holds them by the name of the target as `name_target` gives it, so that a bad target
    or a partitioned zone can be told from a bad version.
    `idempotent` is whether its requests can be repeated at another target.
    """

    idempotent: bool
    requests: int = 0
    stable: Outcomes = msgspec.field(default_factory=Outcomes)
    candidate: dict[str, Outcomes] = {}


class Evidence(msgspec.Struct, array_like=True):
    """All that an instance has seen of a roll-out.

    `exposed` is the number of requests that it has sent to the candidate.
    """

    exposed: int = 0
    routes: dict[str, RouteEvidence] = {}

    def record_request(self, route: str, idempotent: bool) -> None:
        """Count a caller's request."""
        self._find_route(route, idempotent).requests += 1

    def record_stable(self, route: str, idempotent: bool, outcome: Outcome) -> None:
        """Count a request that ended at a target of the stable version."""
        self._find_route(route, idempotent).stable.record(outcome)

    def record_candidate(self, route: str, idempotent: bool, target: str, outcome: Outcome) -> None:
        """Count a request that ended at a target of the candidate."""
        by_target = self._find_route(route, idempotent).candidate
        by_target.setdefault(target, Outcomes()).record(outcome)

    def _find_route(self, route: str, idempotent: bool) -> RouteEvidence:
        return self.routes.setdefault(route, RouteEvidence(idempotent))


def add_up(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of the evidence of several instances."""
    total = Evidence()
    for part in parts:
        total.exposed += part.exposed
        for name, route in part.routes.items():
            known = total.routes.setdefault(name, RouteEvidence(route.idempotent))
            known.requests += route.requests
            known.stable.add(route.stable)
            for target, outcomes in route.candidate.items():
                known.candidate.setdefault(target, Outcomes()).add(outcomes)
    return total


def subtract(total: Evidence, earlier: Evidence) -> Evidence:
    """Return what has been added to the evidence of the same instances since an earlier time."""
    routes: dict[str, RouteEvidence] = {}
    for name, route in total.routes.items():
        known = earlier.routes.get(name) or RouteEvidence(route.idempotent)
        routes[name] = RouteEvidence(
            route.idempotent,
            route.requests - known.requests,
            route.stable.subtract(known.stable),
            {t: o.subtract(known.candidate.get(t, Outcomes())) for t, o in route.candidate.items()},
        )
    return Evidence(total.exposed - earlier.exposed, routes)


def _increment(histogram: Histogram, bucket: int) -> None:
    histogram[bucket] = histogram.get(bucket, 0) + 1


def _add_histogram(histogram: Histogram, other: Mapping[int, int]) -> None:
    for bucket, count in other.items():
        histogram[bucket] = histogram.get(bucket, 0) + count


def _subtract_histogram(histogram: Mapping[int, int], other: Mapping[int, int]) -> Histogram:
    counts = {bucket: count - other.get(bucket, 0) for bucket, count in histogram.items()}
    return {bucket: count for bucket, count in counts.items() if count}
