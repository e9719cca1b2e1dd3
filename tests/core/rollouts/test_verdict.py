"""What counts as evidence against a new version, and what does not."""

from __future__ import annotations

from random import Random

import pytest

from rhubarbbend.core.rollouts import Evidence, Outcome, Speed, judge, name_target

ZONES = ("a", "b", "c")


def make_evidence(
    stable: tuple[int, int],
    candidate: list[tuple[int, int]],
    stable_s: float = 0.05,
    candidate_s: float = 0.05,
) -> Evidence:
    """Return evidence of one route: (requests, failures) of the stable version and by target.

    Times are the medians of the answers.
    """
    random = Random(1)
    evidence = Evidence()
    for number in range(stable[0]):
        taken_s = stable_s * random.lognormvariate(0.0, 0.5)
        outcome = Outcome(number < stable[1], taken_s, {Speed.RESPONSE: taken_s})
        evidence.record_stable("read", True, outcome)
    for index, (requests, failures) in enumerate(candidate):
        target = name_target(ZONES[index % len(ZONES)], f"new-{index}")
        for number in range(requests):
            taken_s = candidate_s * random.lognormvariate(0.0, 0.5)
            outcome = Outcome(number < failures, taken_s, {Speed.RESPONSE: taken_s})
            evidence.record_candidate("read", True, target, outcome)
    return evidence


@pytest.mark.parametrize(
    ("stable", "candidate", "is_bad"),
    [
        ((400, 2), [(20, 0), (20, 0)], False),
        ((400, 2), [(20, 6), (20, 7)], True),
        ((400, 2), [(5, 5), (5, 5)], True),
        # As bad as the stable version, which fails too: a partition, or a route that often fails.
        ((400, 120), [(20, 6), (20, 7)], False),
        # One target of two or three is sick, or its zone is partitioned.
        ((400, 2), [(20, 20), (20, 0)], False),
        ((400, 2), [(20, 18), (20, 1), (20, 0)], False),
        ((400, 2), [(10, 9), (10, 0), (10, 0), (10, 8)], False),
        # All other targets are out of service: there is nothing to compare the sick one with.
        ((400, 2), [(20, 20), (1, 0)], True),
        ((400, 2), [(20, 1), (1, 0)], False),
        # Nothing is known of the stable version.
        ((0, 0), [(2, 1), (2, 1)], False),
        ((400, 2), [], False),
    ],
)
def test_failures(stable: tuple[int, int], candidate: list[tuple[int, int]], is_bad: bool) -> None:
    finding = judge(make_evidence(stable, candidate))
    assert (finding is not None) is is_bad
    assert finding is None or finding.measure == "failures"


@pytest.mark.parametrize(
    ("slowdown", "is_bad"), [(1.0, False), (1.2, False), (3.0, True), (8.0, True)]
)
def test_slow_answers(slowdown: float, is_bad: bool) -> None:
    evidence = make_evidence((300, 0), [(12, 0), (12, 0)], candidate_s=0.05 * slowdown)
    finding = judge(evidence)
    assert (finding is not None) is is_bad
    assert finding is None or finding.measure == "response"


def test_good_version_is_rarely_found_bad_however_often_it_is_judged() -> None:
    """The test is repeated with every answer; a fixed threshold would be passed sooner or later."""
    false_findings = 0
    for seed in range(200):
        random = Random(seed)
        evidence = make_evidence((300, 15), [])
        for number in range(120):
            target = name_target(ZONES[number % 3], f"new-{number % 3}")
            taken_s = 0.05 * random.lognormvariate(0.0, 0.5)
            outcome = Outcome(random.random() < 0.05, taken_s, {Speed.RESPONSE: taken_s})
            evidence.record_candidate("read", True, target, outcome)
            if judge(evidence) is not None:
                false_findings += 1
                break
    assert false_findings <= 1
