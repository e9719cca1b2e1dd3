"""The soak's schedule and its checks; and short runs of it.

Each check is shown the smallest record that breaks its promise, so that a run that finds nothing
says something. A seed that has failed stays in SEEDS unchanged, with a line on the cause.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool._soak import make_soak_layout, run_soak, show_result
from loadtool._soak_checks import Outcome, Period, Record, find_broken
from loadtool._soak_schedule import SoakFault, SoakStep, make_soak_schedule
from standins._worker import Arrival, make_body

DURATION = 25.0
SIZE = 6
# 1: no fault; series of draining and failing targets, a path that is mute.
# 2: a resumed stream that was answered by a failure was given a second head.
# 200: one more order to stop, just before the end of a planned stop, killed the instance.
# 202: an order to stop came 0.1 s after a start, before any of the program had run; allowed since.
# The schedules of the first four are without faults of paths between instances.
SEEDS = [(1, False), (2, False), (200, False), (202, False), (3, True)]
BODY = b"book 7"
PATH = "/book/7"


def make_outcome(**changes: object) -> Outcome:
    outcome = Outcome("r1", "book", "front-0", "key", PATH, BODY, 110.0, 110.1)
    outcome.status, outcome.sealed, outcome.whole = 200, True, True
    outcome.answer = make_body(BODY, PATH)
    for name, value in changes.items():
        setattr(outcome, name, value)
    return outcome


def make_arrival(at: float = 110.05, worker: str = "w1", request: str = "r1") -> Arrival:
    return Arrival(request, worker, at, True, "POST", PATH, "pilgrims")


def make_record(outcome: Outcome, **fields: object) -> Record:
    return Record(100.0, [outcome], zone_of={"w1": "zone-a", "w2": "zone-b"}, **fields)


def test_a_record_without_fault_breaks_nothing() -> None:
    assert find_broken(make_record(make_outcome()), [make_arrival()]) == []


@pytest.mark.parametrize(
    ("promise", "outcome", "arrivals", "fields"),
    [
        ("mixed", {"answer": b"of another"}, [make_arrival()], {}),
        ("mixed", {"sealed": False}, [make_arrival()], {}),
        ("twice", {}, [make_arrival(), make_arrival(worker="w2")], {}),
        ("refused", {"status": 503}, [make_arrival()], {}),
        ("unasked", {}, [make_arrival(request="nobody's")], {}),
        ("denied", {"status": 401}, [], {}),
        ("config", {}, [make_arrival()], {"revoked": [Period("key", 105.0)]}),
        ("drain", {}, [make_arrival()], {"leaving": [Period("w1", 107.0)]}),
        ("zone", {}, [make_arrival()], {"zones_out": [Period("zone-a", 104.0)]}),
        (
            "lost",
            {"whole": False, "status": 0},
            [make_arrival()],
            {"stops": [(Period("front-0", 109.0, 112.0), 0)]},
        ),
        ("stop", {}, [make_arrival()], {"stops": [(Period("front-0", 105.0, 106.0), 1)]}),
    ],
)
def test_a_broken_promise_is_found(
    promise: str,
    outcome: dict[str, object],
    arrivals: list[Arrival],
    fields: dict[str, object],
) -> None:
    broken = find_broken(make_record(make_outcome(**outcome), **fields), arrivals)
    assert [line.partition(":")[0] for line in broken] == [promise]


def test_a_cold_target_that_gets_too_much_is_found() -> None:
    arrivals = [make_arrival(110.0 + n / 20, request="r1") for n in range(9)]
    record = make_record(make_outcome(kind="read"), cold=[Period("w1", 109.0, 112.0)])
    assert find_broken(record, arrivals) == [
        "cold: w1 got 9 requests in a second while it was cold"
    ]
    record.cold[0].until = 110.0
    assert find_broken(record, arrivals) == []


def test_bounds_hold_only_where_nothing_disturbs() -> None:
    # The instance was cut off from the store when the target began to leave, and could not know.
    step = SoakStep(6.0, 9.0, SoakFault.STORE_PATH_LOST, "front-0")
    record = make_record(make_outcome(), leaving=[Period("w1", 107.0)], steps=[step])
    assert find_broken(record, [make_arrival()]) == []
    record.outcomes[0].instance = "front-1"
    assert len(find_broken(record, [make_arrival()])) == 1


def test_the_same_seed_gives_the_same_schedule() -> None:
    layout = make_soak_layout(SIZE)
    schedule = make_soak_schedule(7, DURATION, layout)
    assert schedule == make_soak_schedule(7, DURATION, layout)
    assert schedule != make_soak_schedule(8, DURATION, layout)


# One at a time: each keeps a core or two busy, and what runs beside it has bounds in time.
@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize(("seed", "between"), SEEDS)
def test_every_promise_holds_through_a_soak(seed: int, between: bool, tmp_path: Path) -> None:
    result = asyncio.run(run_soak(seed, DURATION, SIZE, tmp_path, between))
    print(show_result(result))
    assert result.broken == []
    served = sum(outcome.status == 200 and outcome.whole for outcome in result.record.outcomes)
    # The run was one: callers got most of what they asked for while the faults went on.
    assert served > 0.7 * len(result.record.outcomes)
