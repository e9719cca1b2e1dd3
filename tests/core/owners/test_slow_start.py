"""Tests of the slow start of a cold target and of the probation of a new owner."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.owners._slow_start import SLOW_START_DOUBLINGS, Probation, SlowStart


@given(slots=st.integers(1, 8), requests=st.integers(1, 40), done=st.integers(0, 400))
def test_slow_start_rises_only_with_completed_requests(
    slots: int, requests: int, done: int
) -> None:
    slow_start = SlowStart(slots, requests, 0.0)
    needed = requests
    limit = slots
    for _ in range(done):
        slow_start.record_completion()
    for _ in range(SLOW_START_DOUBLINGS):
        if done < needed:
            break
        limit *= 2
        needed += limit
    assert slow_start.limit == limit
    assert slow_start.is_cold == (slow_start.limit < slots << SLOW_START_DOUBLINGS)


@given(work=st.integers(0, 400))
def test_a_new_owner_continues_where_the_former_owner_was(work: int) -> None:
    former, current = SlowStart(2, 8, 0.0), SlowStart(2, 8, 5.0)
    for _ in range(work):
        former.record_completion()
    current.restore(former.completed_requests)
    assert current.limit == former.limit
    assert current.is_cold == former.is_cold


def test_probation_grants_nothing_before_a_clean_report() -> None:
    probation = Probation(1)
    assert not probation.can_grant()
    probation.record_report(1.0, foreign_load=3)
    assert not probation.can_grant()
    probation.record_report(2.0, foreign_load=0)
    assert probation.can_grant()
    probation.record_grant("t1", 2.1)
    assert not probation.can_grant()


@given(reports=st.lists(st.integers(0, 2), max_size=30))
def test_probation_never_has_more_unreported_slots_than_clean_reports_allow(
    reports: list[int],
) -> None:
    probation = Probation(1)
    clean = 0
    for number, foreign in enumerate(reports):
        probation.record_report(float(number), foreign)
        clean = 0 if foreign else clean + 1
        granted = 0
        while probation.can_grant() and granted < 1_000:
            granted += 1
            probation.record_grant(f"{number}-{granted}", number + 0.5)
        if not probation.finished:
            assert granted <= max(1, 2**clean)
        elif foreign == 0:
            return


def test_permanent_foreign_load_does_not_block_an_owner_for_ever() -> None:
    # The target also serves clients other than this fleet, so its reports always show foreign load.
    probation = Probation(2)
    for number in range(4):
        probation.record_report(float(number), foreign_load=5)
    assert probation.can_grant()
