"""How long a request waits for a silent target, depending on what else the target sends."""

from __future__ import annotations

import pytest

from rhubarbbend.core.catalog import RequestKind, Route
from rhubarbbend.core.delivery import LatencyTracker, SilenceTimeouts

LABEL_ROUTE = Route(
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
    ("silence", "heard_ago", "probe_failed", "seconds", "probes"),
    [
        # The silence is still usual for the route.
        (0.1, 9.0, True, 0.3, False),
        # Other streams of the engine continue: it is alive but busy.
        (0.5, 0.05, False, 0.2, False),
        # Nothing is received from the engine at all: it is probed.
        (0.5, 0.5, False, 0.1, True),
        # The probe was not answered.
        (0.5, 0.5, True, 0.0, False),
        # The engine is alive, but silent for longer than the request may wait.
        (2.0, 0.0, False, 0.0, False),
    ],
)
def test_silence_decision_depends_on_other_traffic_of_the_target(
    silence: float, heard_ago: float, probe_failed: bool, seconds: float, probes: bool
) -> None:
    decision = SilenceTimeouts(0.4, 2.0).decide(silence, heard_ago, probe_failed)
    assert (round(decision.seconds, 6), decision.probe) == (seconds, probes)


def test_a_request_is_retried_while_another_target_can_still_answer_in_time() -> None:
    """A zone is partitioned; label checks have a time-out of 3 s and an objective of 1.5 s.

    If they waited for twice their objective, as long streams may, they would reach their time-out
    in the unreachable zone. After half of it, another engine can still answer in time.
    """
    timeouts = LatencyTracker().compute_first_event_timeouts(LABEL_ROUTE)
    assert timeouts.decide(0.75, 9.0, False).probe
    assert timeouts.decide(0.85, 9.0, True).seconds == 0.0


def test_probe_delay_follows_the_observed_latency() -> None:
    # Prompts that take 0.3 to 0.5 s to process must not make a live target look unreachable.
    tracker = LatencyTracker()
    for number in range(60):
        tracker.record_first_event(LABEL_ROUTE, 0.3 + 0.1 * (number % 3))
    slow = tracker.compute_first_event_timeouts(LABEL_ROUTE)
    for _ in range(60):
        tracker.record_first_event(LABEL_ROUTE, 0.05)
    quick = tracker.compute_first_event_timeouts(LABEL_ROUTE)
    assert 0.5 < slow.probe_after <= 0.75
    assert quick.probe_after == pytest.approx(0.25)
    assert slow.give_up_after == quick.give_up_after
