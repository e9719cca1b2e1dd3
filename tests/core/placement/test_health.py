"""When targets count as unreachable, and which request may try them. Times are in seconds."""

from __future__ import annotations

from random import Random

from rhubarbbend.core.placement import HealthTracker, TargetOutcomes

TARGETS = ("t1", "t2", "t3", "t4")


def test_second_connect_timeout_in_a_row_marks_any_target_unreachable() -> None:
    # An instance is cut off from the network. One connect timeout may be a lost packet; a second
    # one in a row, at whatever target, is not. If each target had to time out twice, each request
    # that arrives meanwhile would wait for all of them in turn, 0.3 s, before it is rejected.
    health = HealthTracker()
    health.record_connect_timeout("t1", 0.0)
    assert not health.is_blocked("t1", 0.1)
    health.record_connect_timeout("t2", 0.1)
    assert health.is_blocked("t2", 0.2)
    health.record_connect_timeout("t3", 0.2)
    assert health.is_blocked("t3", 0.3)


def test_connection_between_two_timeouts_shows_that_the_network_works() -> None:
    # Links lose packets, so now and then a connection to some target times out.
    health = HealthTracker()
    health.record_connect_timeout("t1", 0.0)
    health.record_connected("t3", 0.05)
    health.record_connect_timeout("t2", 0.1)
    assert not health.is_blocked("t2", 0.2)


def test_one_request_at_a_time_tries_an_unreachable_target() -> None:
    # A target is unreachable for seconds. Without trials, all requests that arrive when its backoff
    # ends would go there and wait for the connect timeout; with them the first one does, and the
    # others go elsewhere meanwhile.
    health = HealthTracker()
    until = health.record_unreachable("t1", 0.0)
    assert not health.is_blocked("t1", until)
    assert health.begin_trial("t1", until)
    assert health.is_blocked("t1", until + 0.05)
    health.record_connect_timeout("t1", until + 0.08)
    assert health.is_blocked("t1", until + 0.2)


def test_target_that_accepts_a_connection_is_open_to_all_requests() -> None:
    health = HealthTracker()
    until = health.record_unreachable("t1", 0.0)
    health.begin_trial("t1", until)
    health.record_connected("t1", until)
    assert not health.is_blocked("t1", until + 0.01)
    assert not health.begin_trial("t1", until + 0.01)


def test_unreachable_targets_are_listed_until_they_accept_a_connection() -> None:
    # A request that has waited for one of them without success tries none of the others.
    health = HealthTracker()
    for target in TARGETS:
        health.record_unreachable(target, 0.0)
    health.record_connected("t2", 0.0)
    assert health.list_unreachable() == {"t1", "t3", "t4"}


def test_unreachable_target_makes_its_zone_suspect_except_recent_contacts() -> None:
    """A zone is cut off; connections to its targets stay open but carry nothing.

    One target is found to be unreachable. Each request sent over an open connection to another
    target of the zone would run into its own timeout; a suspected target is tried with one new
    connection instead.
    """
    health = HealthTracker()
    for target in TARGETS:
        health.record_response(target, False, 0.0)
    health.record_response("t3", False, 0.9)
    health.record_unreachable("t1", 1.0)
    assert health.mark_suspect(["t2", "t3"], 1.0) == ["t2"]
    assert health.list_unreachable() == {"t1", "t2"}
    # A suspected target may be tried at once, by one request at a time.
    assert not health.is_blocked("t2", 1.0)
    assert health.begin_trial("t2", 1.0) and health.is_blocked("t2", 1.05)
    health.record_connected("t2", 1.06)
    assert health.list_unreachable() == {"t1"}


# Guards against targets that are tried by one request each, long after the links to them are back.
def test_marks_are_cleared_except_of_those_that_just_accepted_no_connection() -> None:
    health = HealthTracker()
    health.record_unreachable("t1", 0.0)
    health.mark_suspect(["t2"], 0.0)
    health.record_unreachable("t3", 0.9)
    health.clear_marks(TARGETS, 1.0)
    assert health.list_unreachable() == {"t3"}


def lose_requests(instances: int, shares: bool) -> int:
    """Return how many requests are lost at one of three targets that resets all for 7 s.

    Each request goes to one that its instance does not know to fail. What is
    told to the others arrives 0.3 s later.
    """
    random = Random(8)
    trackers = [HealthTracker() for _ in range(instances)]
    targets = ["t-0", "t-1", "t-2"]
    in_transit: list[tuple[float, int, list[TargetOutcomes]]] = []
    lost = 0
    for number in range(round(66.0 * 10.0)):
        now = number / 66.0
        while in_transit and in_transit[0][0] <= now:
            _, sender, outcomes = in_transit.pop(0)
            for receiver, tracker in enumerate(trackers):
                if receiver != sender:
                    tracker.merge_outcomes(outcomes, now)
        sender = random.randrange(instances)
        tracker = trackers[sender]
        failing = tracker.list_failing(targets, now)
        target = random.choice([t for t in targets if t not in failing])
        is_lost = target == "t-0" and now >= 3.0
        lost += is_lost
        tracker.record_response(target, is_lost, now, shares)
        outcomes = tracker.pop_unsent()
        if outcomes:
            in_transit.append((now + 0.3, sender, outcomes))
    return lost


def test_large_fleet_finds_a_bad_target_together() -> None:
    """Eighty instances each see a request in four seconds at each of three targets.

    One target accepts connections and resets every request. Each instance had to lose three of its
    own requests before it avoided the target, and by then the fault was over; bookings that cannot
    be repeated failed for as long as it lasted.
    """
    assert lose_requests(83, shares=False) > 100
    assert lose_requests(83, shares=True) < 40
    assert lose_requests(6, shares=True) < 40


def test_word_of_one_instance_makes_no_target_avoided() -> None:
    """A single message, forged or from behind a bad link, must not take a target out of use."""
    health = HealthTracker()
    for target in ("t-0", "t-1", "t-2"):
        health.record_response(target, False, 1.0)
    health.merge_outcomes([TargetOutcomes("t-0", 500, 500), TargetOutcomes("t-1", 3, 7)], 1.0)
    health.forget("t-0")
    health.merge_outcomes([TargetOutcomes("t-0", 500, 500)], 1.0)
    assert health.list_failing(["t-0", "t-1", "t-2"], 1.0) == set()


def test_nothing_is_told_while_no_target_fails() -> None:
    health = HealthTracker()
    health.record_response("t-0", False, 1.0, is_shared=True)
    assert health.pop_unsent() == []
    health.record_response("t-0", True, 2.0, is_shared=True)
    health.record_response("t-1", False, 2.1, is_shared=True)
    health.record_response("t-0", True, 2.2)
    assert health.pop_unsent() == [TargetOutcomes("t-0", 1, 1), TargetOutcomes("t-1", 1, 0)]


# Guards against an instance without links to sound targets that turns the others against them.
def test_failures_of_targets_that_cannot_be_reached_from_here_are_not_told() -> None:
    health = HealthTracker()
    for target in ("t-0", "t-1"):
        health.record_response(target, True, 1.0, is_shared=True)
    health.record_unreachable("t-0", 1.1)
    assert health.pop_unsent() == [TargetOutcomes("t-1", 1, 1)]


# Guards against requests for a target that has ended, since another one accepts connections there.
def test_connection_does_not_show_that_a_displaced_target_is_there() -> None:
    health = HealthTracker()
    health.record_displaced("t1", 0.0)
    health.record_connected("t1", 1.0)
    assert health.is_blocked("t1", 60.0)
    health.record_met("t1")
    assert not health.is_blocked("t1", 60.0)
