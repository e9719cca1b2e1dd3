"""Tests of the checks of the soak under hard load on made-up records, and a short run."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from pathlib import Path

import pytest

from loadtool._soak import SoakOptions, format_result, run_soak
from loadtool._soak_checks import Period, RequestOutcome, RunRecord
from loadtool._soak_load import ACCOUNTS, ROUTES, LoadPlan
from loadtool._soak_load_checks import LoadRecord, find_load_violations
from loadtool._soak_schedule import ScheduledSoakFault, SoakFault
from standins._worker_types import Arrival

STARTED = 100.0
LOAD_AT, CALM_AT, AFTER_AT, TOO_EARLY_AT = 107.0, 102.0, 118.0, 116.0
COUNT = 80
ZONES = {"front-0": "zone-a", "front-1": "zone-b"}


def make_load() -> LoadRecord:
    calm, load = Period("calm", 101.0, 105.0), Period("load", 105.0, 115.0)
    accounts = {"key-a": "millers", "key-b": "weavers"}
    return LoadRecord(calm, load, 125.0, dict(ROUTES), accounts, ZONES)


def make_outcomes(served: int, count: int = COUNT, **fields: object) -> Iterable[RequestOutcome]:
    """Return `count` requests with these fields, of which so many were served."""
    for number in range(count):
        outcome = RequestOutcome("", "chat", "front-0", "key-a", "/chat/1/stream", b"", LOAD_AT)
        for name, value in fields.items():
            setattr(outcome, name, value)
        outcome.id = "-".join(str(value) for value in (*fields.values(), number))
        outcome.ended_at = outcome.ended_at or outcome.sent_at + 0.4
        outcome.status, outcome.complete = (200 if number < served else 502), True
        yield outcome


def list_guarantees(
    outcomes: Iterable[RequestOutcome],
    arrivals: tuple[Arrival, ...] = (),
    faults: tuple[ScheduledSoakFault, ...] = (),
) -> list[str]:
    record = RunRecord(STARTED, list(outcomes), list(faults))
    lines = find_load_violations(record, make_load(), arrivals)
    return [line.partition(" served")[0].rpartition(": ")[0] for line in lines]


# Guards against a run in which one of these gets almost nothing while the others are served.
@pytest.mark.parametrize(
    ("few", "others", "found"),
    [
        ({"kind": "plan"}, {"kind": "chat"}, "starved: route plan"),
        ({"key": "key-b"}, {"key": "key-a"}, "starved: account weavers"),
        ({"instance": "front-1"}, {"instance": "front-0"}, "starved: zone zone-b"),
        ({"prompt": "common:300,7:900,1:50"}, {"prompt": "common:300,8:900,1:50"}, "session 7"),
    ],
)
def test_groups_that_are_served_less_than_a_quarter_as_often_are_found(
    few: dict[str, object], others: dict[str, object], found: str
) -> None:
    def find(served: int) -> list[str]:
        served_often = make_outcomes(300, 320, **others)
        return list_guarantees([*make_outcomes(served, **few), *served_often])

    # All are served in 0.75 + s / 400 of the cases, of which a quarter is about 15 of 80.
    assert [line.endswith(found) for line in find(14)] == [True]
    assert find(17) == []


def test_largest_requests_that_are_not_served_are_found() -> None:
    small = list(make_outcomes(400, 400, prompt="common:300,7:900,1:50"))
    large = list(make_outcomes(2, 44, prompt="common:300,8:900,1:4000"))
    assert "starved: largest of chat" in list_guarantees([*small, *large])
    large = list(make_outcomes(30, 44, prompt="common:300,8:900,1:4000"))
    assert list_guarantees([*small, *large]) == []


def test_small_groups_and_instances_with_faults_are_not_judged() -> None:
    usual = list(make_outcomes(300, 320))
    assert list_guarantees([*usual, *make_outcomes(0, 39, key="key-b")]) == []
    lost = [*usual, *make_outcomes(0, instance="front-1")]
    assert list_guarantees(lost) == ["starved: zone zone-b"]
    killed = ScheduledSoakFault(5.0, 6.0, SoakFault.KILL, "front-1")
    assert list_guarantees(lost, faults=(killed,)) == []


# Guards against urgent requests that are served worst, as on the heavy days of the specification.
@pytest.mark.parametrize(
    ("urgent", "less_urgent", "urgent_served", "found"),
    [
        ("chat", "plan", 50, ["urgent"]),
        ("chat", "plan", 53, []),
        ("read", "book", 50, ["urgent"]),
        ("plan", "chat", 50, []),
        ("chat", "book", 50, []),
    ],
)
def test_routes_that_are_served_worse_than_less_urgent_ones_are_found(
    urgent: str, less_urgent: str, urgent_served: int, found: list[str]
) -> None:
    outcomes = [*make_outcomes(urgent_served, kind=urgent), *make_outcomes(60, kind=less_urgent)]
    lines = list_guarantees(outcomes)
    assert [line.partition(":")[0] for line in lines] == found


# Guards against a load that lasts on in queues after its end.
@pytest.mark.parametrize(
    ("after", "found"),
    [
        ({"sent_at": AFTER_AT}, []),
        ({"sent_at": AFTER_AT, "ended_at": AFTER_AT + 1.1}, ["calm: llm"]),
        ({"sent_at": TOO_EARLY_AT, "ended_at": TOO_EARLY_AT + 1.1}, []),
    ],
)
def test_requests_that_are_still_late_after_the_load_are_found(
    after: dict[str, object], found: list[str]
) -> None:
    calm = make_outcomes(COUNT, sent_at=CALM_AT)
    assert list_guarantees([*calm, *make_outcomes(COUNT, **after)]) == found
    failing = [*make_outcomes(COUNT, sent_at=CALM_AT), *make_outcomes(60, sent_at=AFTER_AT)]
    assert list_guarantees(failing) == ["calm: llm"]


# Guards against refusals that say "not run" of reads and streams that may be resumed.
def test_refused_requests_that_ran_are_found() -> None:
    (outcome,) = make_outcomes(0, 1)
    outcome.status = 503
    ran = Arrival(outcome.id, "w1", LOAD_AT, True, "POST", outcome.path, "millers")
    assert [line.partition(":")[0] for line in list_guarantees([outcome], (ran,))] == ["refused"]
    ran.ran = False
    assert list_guarantees([outcome], (ran,)) == []


def test_a_plan_has_its_surge_and_its_flood_within_the_load() -> None:
    plans = [LoadPlan.make(random.Random(seed), STARTED, 25.0) for seed in range(20)]
    assert {plan.takes_engines_away for plan in plans} == {False, True}
    assert {plan.flood.name for plan in plans} == set(ROUTES)
    for plan in plans:
        assert plan.load.since == plan.surge.since < plan.flood.since < plan.surge.until
        assert plan.flood.until == plan.load.until
        calm_rates = {plan.find_rate(key, kind, 103.0) for key in ACCOUNTS for kind in ROUTES}
        assert calm_rates == {2.0}
        assert plan.find_rate(plan.surge.name, "chat", plan.surge.since) == 12.0
        assert plan.find_rate(next(iter(ACCOUNTS)), plan.flood.name, 115.0) == 42.0


# 1: a flood of `chat`; 2: a flood of `read`.
@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize("seed", [1, 2])
def test_all_guarantees_hold_under_hard_load(seed: int, tmp_path: Path) -> None:
    """An account surges and a route floods while instances, targets, store and paths fail."""
    run = run_soak(seed, 25.0, 4, tmp_path, SoakOptions(has_load=True))
    result = asyncio.run(run)
    print(format_result(result))
    assert result.violations == []
    # Guards against an empty run: the targets rejected requests or left them waiting.
    statuses = [outcome.status for outcome in result.record.outcomes]
    assert sum(status in (429, 502, 503, 504) for status in statuses) > 50
