"""Decides from the evidence of a roll-out whether the candidate version is worse than the stable.

Each route is tested by itself, for failures and for each measure of speed, with Wald's sequential
probability ratio test against a mixture of alternatives. By Ville's inequality the ratio exceeds
1 / alpha at any time with a probability of at most alpha if the candidate is no worse, so the test
may be repeated with every new count.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from rhubarbbend.core.rollouts._evidence import (
    Evidence,
    Outcomes,
    RouteEvidence,
    Speed,
    count_above,
    find_quantile_bucket,
    find_zone,
)

# Probability that a version which is no worse is rolled back, over all tests of a roll-out.
FALSE_ROLLBACK_PROBABILITY: Final = 5e-4
# The evidence without the target or zone that shows most of it must still be this strong: neither a
# sick target nor a partitioned zone is a bad version.
MIN_CORROBORATION: Final = math.log(20.0)
# If the others have less than this fraction of its trials, they cannot tell it from the version:
# their zone may be out of service.
MIN_REST_FRACTION: Final = 0.2
# The candidate's alternatives: this part of the answers that the stable version gives well go bad.
ALTERNATIVE_FRACTIONS: Final = (0.1, 0.2, 0.4, 0.8)
# A stable version's rate of bad answers is known only from samples; it is assumed to be this many
# standard errors, and this much, higher.
BASE_RATE_ERRORS: Final = 1.5
BASE_RATE_MARGIN: Final = 0.01
# An answer counts as slow if it takes longer than this fraction of the stable version's answers,
# and beyond that by this many buckets.
SLOW_FRACTION: Final = 0.9
SLOW_MARGIN_BUCKETS: Final = 1
# The name under which the sample of all routes together is reported.
ALL_ROUTES: Final = "*"
# Below this number of the stable version's answers, its speed is not known.
MIN_SPEED_SAMPLES: Final = 20


class Finding(msgspec.Struct, frozen=True):
    """Why the candidate is worse: of `trials` on a route, `bad` were bad, against `base_rate`.

    `measure` is "failures" or the name of a speed.
    """

    route: str
    measure: str
    trials: int
    bad: int
    base_rate: float
    log_ratio: float

    def describe(self) -> str:
        """Return the finding as one line for operators."""
        return (
            f"{self.measure} on route {self.route}: {self.bad} of {self.trials} bad, "
            f"stable version {self.base_rate:.3f}"
        )


class _Counts(msgspec.Struct, frozen=True):
    """Trials of the candidate, and how many of them were bad."""

    trials: int = 0
    bad: int = 0

    def add(self, other: _Counts) -> _Counts:
        """Return the sum of two counts."""
        return _Counts(self.trials + other.trials, self.bad + other.bad)


class _Sample(msgspec.Struct, frozen=True):
    """The candidate's counts of one measure on a route, by target, and the stable version's rate.

    `by_target` is keyed by the names of `name_target`.
    """

    route: str
    measure: str
    by_target: dict[str, _Counts]
    base_rate: float

    @property
    def total(self) -> _Counts:
        """The counts of all targets together."""
        return functools.reduce(_Counts.add, self.by_target.values(), _Counts())

    def add_up_zones(self) -> dict[str, _Counts]:
        """Return the counts by the zone of the targets."""
        by_zone: dict[str, _Counts] = {}
        for target, counts in self.by_target.items():
            zone = find_zone(target)
            by_zone[zone] = by_zone.get(zone, _Counts()).add(counts)
        return by_zone


def compute_log_ratio(bad: int, trials: int, base_rate: float) -> float:
    """Return the log likelihood ratio of the alternatives to a rate of bad answers."""
    ratios = []
    for fraction in ALTERNATIVE_FRACTIONS:
        rate = base_rate + (1.0 - base_rate) * fraction
        good_ratio = math.log((1.0 - rate) / (1.0 - base_rate))
        ratios.append(bad * math.log(rate / base_rate) + (trials - bad) * good_ratio)
    highest = max(ratios)
    mean = sum(math.exp(ratio - highest) for ratio in ratios) / len(ratios)
    return highest + math.log(mean)


def judge(evidence: Evidence, repetitions: int = 1) -> Finding | None:
    """Return why the candidate is worse than the stable version; None if that is not shown.

    `repetitions` is on how many parts of the evidence the tests are run.
    """
    samples = [s for name in sorted(evidence.routes) for s in _measure(name, evidence.routes[name])]
    for measure in sorted({sample.measure for sample in samples}):
        samples.append(_pool([sample for sample in samples if sample.measure == measure]))
    if not samples:
        return None
    threshold = math.log(repetitions * len(samples) / FALSE_ROLLBACK_PROBABILITY)
    findings = [found for sample in samples if (found := _test(sample, threshold)) is not None]
    return max(findings, key=lambda finding: finding.log_ratio, default=None)


def _measure(name: str, route: RouteEvidence) -> list[_Sample]:
    """Return the samples of one route: its failures, and its slow answers by each speed."""
    stable = route.stable
    failures = {t: _Counts(o.trials, o.failures) for t, o in route.candidate.items()}
    base_rate = _estimate_base_rate(stable.failures, stable.trials)
    samples = [_Sample(name, "failures", failures, base_rate)]
    for speed in Speed:
        histogram = stable.speeds.get(int(speed), {})
        count = sum(histogram.values())
        if count < MIN_SPEED_SAMPLES:
            continue
        limit = find_quantile_bucket(histogram, SLOW_FRACTION) + SLOW_MARGIN_BUCKETS
        slow = {t: _count_slow(o, speed, limit) for t, o in route.candidate.items()}
        base_rate = _estimate_base_rate(count_above(histogram, limit), count)
        samples.append(_Sample(name, speed.name.lower(), slow, base_rate))
    return samples


def _count_slow(outcomes: Outcomes, speed: Speed, limit: int) -> _Counts:
    histogram = outcomes.speeds.get(int(speed), {})
    return _Counts(sum(histogram.values()), count_above(histogram, limit))


def _pool(samples: Sequence[_Sample]) -> _Sample:
    """Return the sample of all routes together, for a version that is a little bad on each."""
    by_target: dict[str, _Counts] = {}
    for sample in samples:
        for target, counts in sample.by_target.items():
            by_target[target] = by_target.get(target, _Counts()).add(counts)
    trials = sum(sample.total.trials for sample in samples)
    expected = sum(sample.base_rate * sample.total.trials for sample in samples)
    base_rate = expected / trials if trials else samples[0].base_rate
    return _Sample(ALL_ROUTES, samples[0].measure, by_target, base_rate)


def _test(sample: _Sample, threshold: float) -> Finding | None:
    """Return what a sample shows, if it reaches the threshold; None if it does not.

    It shows nothing either if its evidence rests on a single one of several targets or zones.
    """
    total = sample.total
    log_ratio = compute_log_ratio(total.bad, total.trials, sample.base_rate)
    if log_ratio < threshold:
        return None
    for groups in (sample.by_target, sample.add_up_zones()):
        if len(groups) > 1 and not _is_corroborated(groups, sample):
            return None
    return Finding(
        sample.route,
        sample.measure,
        total.trials,
        total.bad,
        round(sample.base_rate, 4),
        round(log_ratio, 2),
    )


def _is_corroborated(groups: Mapping[str, _Counts], sample: _Sample) -> bool:
    """Return whether the evidence holds without the group that shows most of it."""
    base_rate, total = sample.base_rate, sample.total
    worst = max(groups.values(), key=lambda c: compute_log_ratio(c.bad, c.trials, base_rate))
    rest = _Counts(total.trials - worst.trials, total.bad - worst.bad)
    if rest.trials < MIN_REST_FRACTION * worst.trials:
        return True
    return compute_log_ratio(rest.bad, rest.trials, base_rate) >= MIN_CORROBORATION


def _estimate_base_rate(bad: int, trials: int) -> float:
    """Return the stable version's rate of bad answers, rather too high than too low."""
    rate = (bad + 0.5) / (trials + 1.0)
    error = math.sqrt(rate * (1.0 - rate) / (trials + 1.0))
    return min(0.9, rate + BASE_RATE_ERRORS * error + BASE_RATE_MARGIN)
