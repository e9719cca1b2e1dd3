"""Tests of requests that arrive while the ownership of a target changes, driven by events."""

from __future__ import annotations

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core._fleet import compute_rendezvous_weight
from rhubarbbend.core.messages import Heartbeat, SlotReply, SlotRequest, TargetLoad
from tests.core.core_helpers import (
    add_seed,
    answer_scan,
    filter_actions,
    make_row,
    run_timers,
    start_core,
)
from tests.core.test_service import (
    ACCOUNT,
    BOOKING_SERVICE,
    list_slot_replies,
    make_target_list,
    request_slot,
    start_owner,
)

OTHER_INSTANCE = next(
    f"s{n}"
    for n in range(99)
    if compute_rendezvous_weight("t1", f"s{n}") > compute_rendezvous_weight("t1", "e1")
)


def start_entry_instance() -> Core:
    """Start an instance of a zone in which another instance owns the target t1, which is ready."""
    core = start_core("e1")
    answer_scan(
        core,
        3.5,
        make_row(1, ("service", "booking", BOOKING_SERVICE), ("account", "desk", ACCOUNT)),
    )
    add_seed(core, start_core(OTHER_INSTANCE), 3.5)
    core.handle(make_target_list(("t1", "a", "live")), 3.6)
    deliver_owner_heartbeat(core, 3.7)
    return core


def deliver_owner_heartbeat(core: Core, now: float) -> None:
    """Deliver a heartbeat of the owner that reports t1 as ready."""
    load = TargetLoad(target="t1", boot_id="b1", limit=4, ready=True, service_name="booking")
    heartbeat = Heartbeat(
        instance=OTHER_INSTANCE, zone="a", incarnation=7, host="h", peer_port=2, loads=[load]
    )
    core.handle(events.PeerSaid(OTHER_INSTANCE, heartbeat), now)


def list_slot_requests(found: list[actions.Action]) -> list[SlotRequest]:
    return [
        a.message
        for a in filter_actions(found, actions.SendPeer)
        if isinstance(a.message, SlotRequest)
    ]


def test_request_redirected_between_two_owners_is_retried_and_not_refused() -> None:
    """Guard against a refusal while two instances disagree about the owner of the only target.

    The owner has just changed, and each instance redirects the request to the other. After two
    redirects the plan is exhausted, and the caller would be refused although the target is healthy
    and the views of the instances agree a moment later.
    """
    core = start_entry_instance()
    arrived = events.RequestArrived(
        "r1", "a" * 64, "booking", "", "POST", "/bookings", "d1", 10.0, key="k1"
    )
    found = core.handle(arrived, 4.0)
    refusal_count = 0
    while slot_requests := list_slot_requests(found):
        refusal_count += 1
        reply = SlotReply(
            attempt=slot_requests[0].attempt, target="t1", refusal="not_owner", owner=OTHER_INSTANCE
        )
        found = core.handle(events.PeerSaid(OTHER_INSTANCE, reply), 4.0)
        assert refusal_count < 10
    assert refusal_count >= 3 and not filter_actions(found, actions.Refuse)
    assert not filter_actions(found, actions.WriteRows), "a refusal was written for the key"
    retries = list_slot_requests(run_timers(core, 4.4))
    assert len(retries) == 1
    granted = SlotReply(attempt=retries[0].attempt, target="t1", boot_id="b1", limit=4)
    found = core.handle(events.PeerSaid(OTHER_INSTANCE, granted), 4.4)
    assert len(filter_actions(found, actions.WriteRows)) == 1


def test_new_owner_lets_requests_wait_for_the_targets_first_report() -> None:
    """Guard against requests that fail at each change of owner.

    A target that has been taken over has not reported its state to the new owner yet. Requests
    wait for the report instead of being refused. A target that stays silent counts as not ready
    after a second.
    """
    core = start_owner()
    add_seed(core, start_core("e2", zone="b"), 4.0)
    core.handle(make_target_list(("t1", "a", "live")), 5.0)
    assert list_slot_replies(request_slot(core, "x1", 5.1, max_wait=5.0)) == []
    found = core.handle(events.ReportRead("t1", "b1", "ready", 0, 0), 5.2)
    assert list_slot_replies(found) == [("x1", "")]

    silent = start_owner()
    add_seed(silent, start_core("e2", zone="b"), 4.0)
    silent.handle(make_target_list(("t1", "a", "live")), 5.0)
    assert list_slot_replies(request_slot(silent, "x1", 5.1, max_wait=5.0)) == []
    assert list_slot_replies(run_timers(silent, 7.0)) == [("x1", "not_ready")]


def test_target_taken_over_is_not_reported_unready_before_its_first_report() -> None:
    """Guard against a target that is not used for a whole heartbeat interval after a takeover.

    The new owner's next heartbeat is sent before the target's first report has arrived. If it
    reported the target as not ready, the zone would skip it until the heartbeat after that.
    """
    core = start_entry_instance()
    leave_heartbeat = Heartbeat(
        instance=OTHER_INSTANCE, zone="a", incarnation=7, host="h", leaving=True
    )
    core.handle(events.PeerSaid(OTHER_INSTANCE, leave_heartbeat), 4.0)
    assert core.owner.owns("t1")
    assert [load.ready for load in core.owner.list_loads()] == [True]
