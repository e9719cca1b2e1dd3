"""Which targets are held for unreachable, and who may try them again. Times are seconds."""

from __future__ import annotations

from rhubarbbend.core.placement import HealthBook

TARGETS = ("t1", "t2", "t3", "t4")


def test_targets_that_time_out_one_after_the_other_are_away_at_once() -> None:
    # An instance is cut off. One time-out may be a lost packet; the second in a row, at whatever
    # target, is not. Each target had to time out twice before, and each request that came in the
    # meantime waited for all of them in turn, 0.3 s, before it was refused.
    health = HealthBook()
    health.note_timeout("t1", 0.0)
    assert not health.is_down("t1", 0.1)
    health.note_timeout("t2", 0.1)
    assert health.is_down("t2", 0.2)
    health.note_timeout("t3", 0.2)
    assert health.is_down("t3", 0.3)


def test_a_connection_between_two_time_outs_shows_that_the_way_is_open() -> None:
    # Links lose packets: now and then a connection to one or another target times out.
    health = HealthBook()
    health.note_timeout("t1", 0.0)
    health.note_connected("t3", 0.05)
    health.note_timeout("t2", 0.1)
    assert not health.is_down("t2", 0.2)


def test_one_request_at_a_time_tries_a_target_that_was_away() -> None:
    # A target is dark for seconds. Whenever its hold ends, all requests of that moment went there
    # and waited for the time-out; now the first one does, and the others go elsewhere meanwhile.
    health = HealthBook()
    until = health.note_unreachable("t1", 0.0)
    assert not health.is_down("t1", until)
    assert health.begin_trial("t1", until)
    assert health.is_down("t1", until + 0.05)
    health.note_timeout("t1", until + 0.08)
    assert health.is_down("t1", until + 0.2)


def test_a_target_that_takes_a_connection_again_is_open_to_all() -> None:
    health = HealthBook()
    until = health.note_unreachable("t1", 0.0)
    health.begin_trial("t1", until)
    health.note_connected("t1", until)
    assert not health.is_down("t1", until + 0.01)
    assert not health.begin_trial("t1", until + 0.01)


def test_targets_that_are_away_are_listed_until_they_take_a_connection() -> None:
    # A request that has waited for one of them in vain tries none of the others.
    health = HealthBook()
    for target in TARGETS:
        health.note_unreachable(target, 0.0)
    health.note_connected("t2", 0.0)
    assert health.list_lost() == {"t1", "t3", "t4"}


def test_a_lost_target_casts_doubt_on_its_zone_but_for_who_was_just_heard() -> None:
    """A zone is cut off; connections to its targets stay open and silent.

    One target is found out. Each request that is sent over an open connection to another one would
    find that out for itself, after its own patience; doubted, it is tried by one new connection.
    """
    health = HealthBook()
    for target in TARGETS:
        health.note_answer(target, False, 0.0)
    health.note_answer("t3", False, 0.9)
    health.note_unreachable("t1", 1.0)
    assert health.suspect_zone(["t2", "t3"], 1.0) == ["t2"]
    assert health.list_lost() == {"t1", "t2"}
    # Nobody is kept from trying it, one at a time.
    assert not health.is_down("t2", 1.0)
    assert health.begin_trial("t2", 1.0) and health.is_down("t2", 1.05)
    health.note_connected("t2", 1.06)
    assert health.list_lost() == {"t1"}
