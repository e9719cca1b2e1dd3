"""Tests of the selection of the instance that is asked to send a request."""

from __future__ import annotations

import pytest

from rhubarbbend.core.detours import HelperCounts, HelperSelector

# Instances by zone; the one that asks is a-1.
ZONES = {f"{zone}-{number}": f"zone-{zone}" for zone in "abc" for number in (1, 2, 3)}
OTHERS = sorted(ZONES.keys() - {"a-1"})


def make_selector() -> HelperSelector:
    return HelperSelector("a-1", "zone-a")


def ask_all(selector: HelperSelector, reaching: set[str], now: float) -> list[str]:
    """Ask helpers for one request until one of those that reach the targets is asked."""
    asked: list[str] = []
    while (helper := selector.select("llm", ZONES, OTHERS, asked, now)) is not None:
        asked.append(helper)
        if helper in reaching:
            selector.record_answered("llm", helper, now)
            break
        selector.record_declined("llm", helper, now)
    return asked


# Guards against asking again what declined just before, at each request.
@pytest.mark.parametrize(
    ("reaching", "first", "zone"),
    [({"a-3", "c-1"}, "c", "a"), ({"c-1"}, "c", "c"), (set(OTHERS), "a", "a")],
)
def test_requests_after_the_first_go_straight_to_a_helper_that_answers(
    reaching: set[str], first: str, zone: str
) -> None:
    selector = make_selector()
    assert ask_all(selector, reaching, 0.0)[-1][0] == first
    assert [ask_all(selector, reaching, 0.01 * n)[-1][0] for n in range(1, 40)] == [zone] * 39
    first = ask_all(selector, reaching, 0.45)
    assert len(first) == 1


# Guards against sending each request round the fleet while the targets are down for everybody.
def test_few_instances_are_asked_while_none_reaches_the_targets() -> None:
    selector = make_selector()
    asked = [len(ask_all(selector, set(), 0.02 * n)) for n in range(50)]
    assert sum(asked) <= 9
    assert asked[0] > 0


# Guards against one helper that gets all requests while another could take a share.
def test_requests_are_divided_among_the_helpers_of_a_zone() -> None:
    selector = make_selector()
    for helper in ("a-2", "a-3"):
        selector.record_answered("llm", helper, 0.0)
    chosen = []
    for _ in range(10):
        helper = selector.select("llm", ZONES, OTHERS, (), 0.1)
        assert helper is not None
        selector.record_sent(helper)
        chosen.append(helper)
    assert sorted(chosen) == ["a-2"] * 5 + ["a-3"] * 5


# Guards against handing requests to instances that are gone or cut off from this one.
@pytest.mark.parametrize(
    ("heard", "allowed"), [(["b-1", "b-2", "c-1", "c-2"], "bc"), (["b-1"], "a")]
)
def test_instances_that_are_not_heard_are_left_out_if_most_are(
    heard: list[str], allowed: str
) -> None:
    helper = make_selector().select("llm", ZONES, heard, (), 0.0)
    assert helper is not None
    assert helper[0] in allowed


# Guards against a helper that fell silent and is asked by the next request.
def test_a_lost_helper_is_passed_over_for_a_second() -> None:
    selector = make_selector()
    for helper in OTHERS:
        if helper != "c-3":
            selector.record_lost(helper, 0.0)
    assert selector.select("llm", ZONES, OTHERS, (), 0.9) == "c-3"
    assert selector.select("llm", ZONES, OTHERS, (), 1.1) in ("a-2", "a-3")


# Guards against a search among instances that lost their links by the same fault (RECOVER).
def test_after_a_decline_an_instance_of_another_zone_is_asked() -> None:
    zones = {f"{zone}-{number}": f"zone-{zone}" for zone in "abc" for number in range(20)}
    selector = HelperSelector("a-0", "zone-a")
    asked: list[str] = []
    for _ in range(3):
        helper = selector.select("llm", zones, (), asked, 0.0)
        assert helper is not None
        selector.record_declined("llm", helper, 0.0)
        asked.append(helper)
    assert [name[0] for name in asked][0] == "a"
    assert {name[0] for name in asked} == set("abc")


# Guards against asking one instance after the other, each of which is known not to reach them.
def test_only_instances_that_may_reach_the_destination_are_asked() -> None:
    selector = make_selector()
    unreached = set(OTHERS) - {"c-2"}
    assert selector.select("llm", ZONES, OTHERS, (), 0.0, unreached) == "c-2"
    assert selector.select("llm", ZONES, OTHERS, (), 0.0, OTHERS) is None
    assert selector.has_other(ZONES, unreached, 0.0)
    assert not selector.has_other(ZONES, OTHERS, 0.0)


# Guards against the last instance of a zone that gets the requests of the whole zone.
def test_other_zones_help_as_well_where_most_of_the_own_zone_cannot() -> None:
    zones = {f"{zone}-{number}": f"zone-{zone}" for zone in "ab" for number in range(9)}
    selector = HelperSelector("a-0", "zone-a")
    unreached = {f"a-{number}" for number in range(1, 8)}
    chosen = []
    for _ in range(10):
        helper = selector.select("llm", zones, (), (), 0.0, unreached)
        assert helper is not None
        selector.record_sent(helper)
        chosen.append(helper)
    assert sorted(set(chosen)) == ["a-8", *(f"b-{number}" for number in range(9))]
    # Each instance of the zone begins with one of its own.
    first = {
        HelperSelector(f"a-{number}", "zone-a").select("llm", zones, (), (), 0.0, unreached)
        for number in range(8)
    }
    assert len(first) > 3


# Guards against asking a helper that has no room again and again.
def test_a_helper_without_room_is_asked_after_the_others_for_a_moment() -> None:
    selector = make_selector()
    selector.record_answered("llm", "a-2", 0.0)
    selector.record_busy("llm", "a-2", 0.1)
    assert selector.select("llm", ZONES, OTHERS, (), 0.2) == "a-3"
    assert selector.select("llm", ZONES, OTHERS, (), 0.2, set(OTHERS) - {"a-2"}) == "a-2"
    assert selector.select("llm", ZONES, OTHERS, (), 0.4) == "a-2"


# Guards against refusals of which nobody can tell why no other instance was asked.
def test_instances_that_are_passed_over_are_counted_by_reason() -> None:
    selector = make_selector()
    selector.record_lost("a-2", 0.0)
    selector.record_declined("llm", "a-3", 0.0)
    heard = [name for name in OTHERS if name != "b-1"]
    counts = selector.count("llm", ZONES, heard, 0.1, {"c-1", "c-2"})
    assert counts == HelperCounts(not_heard=1, unreached=2, lost=1, declined=1, available=3)


# Guards against requests that are taken for direct ones, or the other way round.
def test_helpers_are_in_use_for_some_time_after_an_answer_and_by_service() -> None:
    selector = make_selector()
    selector.record_answered("llm", "a-2", 0.0)
    assert selector.is_in_use("llm", 1.9)
    assert not selector.is_in_use("llm", 2.1)
    assert not selector.is_in_use("plain", 0.1)
