"""Tests of what instances know of the services that the others reach."""

from __future__ import annotations

import pytest

from rhubarbbend.core.detours import ReachNotice, ReachTable
from rhubarbbend.core.detours._reach import NOTICE_TTL_S, REPEAT_INTERVAL_S


def lost(instance: str, age: float = 0.0, service: str = "llm") -> ReachNotice:
    return ReachNotice(instance, service, False, age)


# Guards against asking an instance that has said that it does not reach the targets.
def test_an_instance_is_passed_over_until_it_says_that_it_reaches_a_service() -> None:
    table = ReachTable("a-1")
    table.merge_notices([lost("a-2"), lost("a-3"), lost("a-2", service="plain")], 1.0)
    assert table.list_unreached_by("llm", 1.0) == {"a-2", "a-3"}
    table.merge_notices([ReachNotice("a-2", "llm", True)], 2.0)
    assert table.list_unreached_by("llm", 2.0) == {"a-3"}
    assert table.list_unreached_by("plain", 2.0) == {"a-2"}


# Guards against a notice that came late, by another way, in place of the later one.
@pytest.mark.parametrize(("age", "expected"), [(1.5, set()), (0.5, {"a-2"})])
def test_of_two_notices_the_later_one_holds(age: float, expected: set[str]) -> None:
    table = ReachTable("a-1")
    table.merge_notices([ReachNotice("a-2", "llm", True, 1.0)], 5.0)
    table.merge_notices([lost("a-2", age)], 5.0)
    assert table.list_unreached_by("llm", 5.0) == expected


# Guards against an instance that is left out for good after it ended or its notice was lost.
def test_a_notice_that_is_not_repeated_expires() -> None:
    table = ReachTable("a-1")
    table.merge_notices([lost("a-2"), lost("a-3")], 0.0)
    table.forget("a-3")
    assert table.list_unreached_by("llm", NOTICE_TTL_S - 0.1) == {"a-2"}
    assert table.list_unreached_by("llm", NOTICE_TTL_S + 0.1) == set()


# Guards against other instances' words on what this one reaches.
def test_an_instance_believes_only_itself_of_its_own_links() -> None:
    table = ReachTable("a-1")
    table.merge_notices([lost("a-1"), ReachNotice("a-2", "llm", False, float("nan"))], 0.0)
    assert not table.is_unreached_here("llm")
    assert table.list_unreached_by("llm", 0.0) == set()
    assert table.record_unreached("llm", 0.0)
    table.merge_notices([ReachNotice("a-1", "llm", True)], 1.0)
    assert table.is_unreached_here("llm")


# Guards against a message for each request that finds no target.
def test_the_others_are_told_of_changes_and_seldom_again() -> None:
    table = ReachTable("a-1")
    told = [table.record_unreached("llm", 0.01 * n) for n in range(100)]
    assert told == [True] + [False] * 99
    assert table.pop_unsent() == [lost("a-1")]
    table.record_unreached("llm", REPEAT_INTERVAL_S)
    assert table.pop_unsent() == [lost("a-1")]
    assert table.record_reached("llm", 11.0)
    assert not table.record_reached("llm", 11.1)
    table.record_unreached("llm", 11.2)
    assert table.pop_unsent() == [lost("a-1")]


# Guards against an instance that starts during a cut and knows of none that is cut off.
def test_an_instance_that_joins_is_told_what_is_not_reached() -> None:
    table, joining = ReachTable("a-1"), ReachTable("a-4")
    table.record_unreached("llm", 0.0)
    table.merge_notices([lost("a-2"), ReachNotice("a-3", "llm", True)], 1.0)
    joining.merge_notices(table.list_notices(3.0), 3.0)
    assert joining.list_unreached_by("llm", 3.0) == {"a-1", "a-2"}
    assert joining.list_unreached_by("llm", 1.0 + NOTICE_TTL_S + 0.1) == {"a-1"}


# Guards against a finding that a relay did not get, and that is never told again.
def test_a_finding_that_was_not_delivered_is_sent_again_unless_a_later_one_exists() -> None:
    table = ReachTable("a-1")
    table.record_unreached("llm", 0.0)
    notices = table.pop_unsent()
    table.put_back(notices)
    assert table.pop_unsent() == notices
    table.record_reached("llm", 1.0)
    table.put_back(notices)
    assert table.pop_unsent() == [ReachNotice("a-1", "llm", True)]
