"""The ramp of a cold target and the probation of a new owner."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.owners._ramp import RAMP_ROUNDS, ColdRamp, Probation


@given(slots=st.integers(1, 8), requests=st.integers(1, 40), done=st.integers(0, 400))
def test_the_ramp_rises_only_by_work_done(slots: int, requests: int, done: int) -> None:
    ramp = ColdRamp(slots, requests, 0.0)
    needed = requests
    allowed = slots
    for _ in range(done):
        ramp.add_work()
    for _ in range(RAMP_ROUNDS):
        if done < needed:
            break
        allowed *= 2
        needed += allowed
    assert ramp.allowed == allowed
    assert ramp.cold == (ramp.allowed < slots << RAMP_ROUNDS)


@given(work=st.integers(0, 400))
def test_a_successor_goes_on_where_the_owner_before_was(work: int) -> None:
    former, successor = ColdRamp(2, 8, 0.0), ColdRamp(2, 8, 5.0)
    for _ in range(work):
        former.add_work()
    successor.restore(former.work)
    assert successor.allowed == former.allowed
    assert successor.cold == former.cold


def test_probation_grants_nothing_before_a_clean_report() -> None:
    probation = Probation(1)
    assert not probation.may_grant()
    probation.take_report(1.0, foreign=3)
    assert not probation.may_grant()
    probation.take_report(2.0, foreign=0)
    assert probation.may_grant()
    probation.note_grant("t1", 2.1)
    assert not probation.may_grant()


@given(reports=st.lists(st.integers(0, 2), max_size=30))
def test_probation_never_has_more_unreported_than_clean_reports_allow(reports: list[int]) -> None:
    probation = Probation(1)
    clean = 0
    for number, foreign in enumerate(reports):
        probation.take_report(float(number), foreign)
        clean = 0 if foreign else clean + 1
        granted = 0
        while probation.may_grant() and granted < 1_000:
            granted += 1
            probation.note_grant(f"{number}-{granted}", number + 0.5)
        if not probation.passed:
            assert granted <= max(1, 2**clean)
        elif foreign == 0:
            return


def test_load_that_lasts_does_not_stop_an_owner_for_ever() -> None:
    # The target is also used by others than this fleet: its reports never come clean.
    probation = Probation(2)
    for number in range(4):
        probation.take_report(float(number), foreign=5)
    assert probation.may_grant()
