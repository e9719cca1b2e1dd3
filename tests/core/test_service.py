"""Tests of availability zones and targets that go out of service.

They drive owners and entry instances (those that receive a request) by events.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core.messages import Heartbeat, SlotRelease, SlotReply, SlotRequest
from tests.core.core_helpers import (
    add_seed,
    answer_scan,
    filter_actions,
    make_row,
    make_zone,
    run_timers,
    start_core,
)

BOOKING_SERVICE = msgspec.json.encode(
    {
        "name": "booking",
        "kind": "plain",
        "bound": 2.0,
        "floor": 1,
        "cold_slots": 1,
        "cold_requests": 2,
        "operations": [{"path": "/bookings", "method": "POST", "idempotent": False}],
    }
)
ACCOUNT = msgspec.json.encode({"name": "desk", "key_digest": "a" * 64})


def make_target_list(*targets: tuple[str, str, str]) -> events.ListRead:
    """Make the platform's list from the name, zone and state of each target."""
    return events.ListRead(
        [
            events.Listed(name, "target", zone, "h", 80, service_name="booking", state=state)
            for name, zone, state in targets
        ]
    )


def start_owner(*targets: tuple[str, str, str], **options: float) -> Core:
    """Start the only instance of zone a, which owns the targets; they have reported ready."""
    core = start_core("e1", **options)
    row = make_row(1, ("service", "booking", BOOKING_SERVICE), ("account", "desk", ACCOUNT))
    answer_scan(core, 3.5, row)
    core.handle(make_target_list(*targets), 3.6)
    for name, _, _ in targets:
        report_ready(core, name, 4.0)
    return core


def report_ready(core: Core, target: str, now: float, boot_id: str = "b1") -> None:
    """Handle a report that a target is ready and idle."""
    core.handle(events.ReportRead(target, boot_id, "ready", 0, 0), now)


def request_slot(
    core: Core, attempt: str, now: float, max_wait: float = 0.0
) -> list[actions.Action]:
    """Request a slot of target t1 on behalf of another instance."""
    request = SlotRequest(
        attempt=attempt, instance="e2", target="t1", account="desk", max_wait=max_wait
    )
    return core.handle(events.PeerSaid("e2", request), now)


def list_slot_replies(emitted: list[actions.Action]) -> list[tuple[str, str]]:
    """Return attempt and refusal of each reply to a slot request; no refusal is a grant."""
    replies = [action.message for action in filter_actions(emitted, actions.SendPeer)]
    return [(r.attempt, r.refusal) for r in replies if isinstance(r, SlotReply)]


def start_owner_with_peer() -> Core:
    """Start the owner of t1, which knows instance e2 of another zone."""
    core = start_owner(("t1", "a", "live"))
    add_seed(core, start_core("e2", zone="b"), 3.6)
    return core


def test_owner_refuses_slot_in_out_of_service_zone_to_instance_with_old_configuration() -> None:
    """Zone a is out of service; an entry instance with an old configuration requests a slot there.

    The instance is cut off from the platform and its peers, but can reach the target's owner. If
    the owner granted the slot, the zone would get new work until the partition heals.
    """
    core = start_owner_with_peer()
    assert list_slot_replies(request_slot(core, "x1", 4.1)) == [("x1", "")]
    answer_scan(core, 5.0, make_row(2, make_zone("a", False)))
    assert list_slot_replies(request_slot(core, "x2", 5.1)) == [("x2", "not_ready")]


def test_queued_slot_requests_are_refused_when_their_target_goes_out_of_service() -> None:
    """A slot request is queued at a busy target when the target goes out of service.

    It can get no slot there. Left in the queue, the request would miss its deadline although other
    targets have free slots.
    """
    core = start_owner_with_peer()
    request_slot(core, "x1", 4.1)
    assert list_slot_replies(request_slot(core, "x2", 4.2, max_wait=8.0)) == []
    answer_scan(core, 5.0, make_row(2, make_zone("a", False)))
    assert list_slot_replies(run_timers(core, 5.6)) == [("x2", "not_ready")]


def test_a_target_back_in_service_gets_the_limit_of_a_cold_target() -> None:
    """A zone returns to service after its engines lost their caches without a restart.

    The boot id is unchanged, so the owner could take the target for warm, fill it at once with the
    requests of waiting callers and overload it. Until it has done some work, the target must get
    no more slots than a cold one.
    """
    core = start_owner_with_peer()
    for number in range(400):
        request_slot(core, f"w{number}", 4.1)
        release = {"attempt": f"w{number}", "target": "t1", "completed": True, "first_byte": 0.01}
        core.handle(events.PeerSaid("e2", SlotRelease(**release)), 4.2)
    assert not core.context.fleet.targets["t1"].cold
    answer_scan(core, 5.0, make_row(2, make_zone("a", False)))
    run_timers(core, 6.0)
    answer_scan(core, 7.0, make_row(3, make_zone("a", True)))
    # The first slot request arrives before any timer has run.
    assert list_slot_replies(request_slot(core, "x1", 7.01)) == [("x1", "")]
    assert list_slot_replies(request_slot(core, "x2", 7.02)) == [("x2", "full")]
    assert core.context.fleet.targets["t1"].cold
    assert core.context.fleet.targets["t1"].limit == 1


def test_a_claimed_command_is_not_sent_to_a_target_that_went_out_of_service() -> None:
    """A zone goes out of service while a command with a slot there waits for its claim.

    Writing the claim to a slow table takes seconds. Dispatching the command after that would give
    the zone new work. It must go to a target of another zone, under the claim that it already has.
    """
    core = start_owner(("t1", "a", "live"), ("t2", "b", "live"))
    core.context.configuration.apply(2, [])
    answer_scan(core, 4.5, make_row(3, make_zone("b", False)))
    arrived = events.RequestArrived(
        "r1", "a" * 64, "booking", "", "POST", "/bookings", "d1", 20.0, key="k1"
    )
    emitted = core.handle(arrived, 5.0)
    write = filter_actions(emitted, actions.WriteRows)[0]
    answer_scan(core, 7.0, make_row(4, make_zone("a", False), make_zone("b", True)))
    report_ready(core, "t2", 7.1)
    rows: list[events.Row | None] = [events.Row(w.key, w.value, 1) for w in write.writes]
    emitted = core.handle(events.WriteDone(write.op, "done", [True], rows), 8.0)
    assert [action.target for action in filter_actions(emitted, actions.Dispatch)] == ["t2"]


def test_an_owner_learns_of_a_leaving_target_from_a_peer_when_it_cannot_read_the_list() -> None:
    """One instance reads in the list that a target is leaving; then the platform goes down.

    The owner's copy of the list still says "live". If it ignored its peer's heartbeat, it would
    grant slots of the target until the platform is back.
    """
    core = start_owner_with_peer()
    heartbeat = Heartbeat(
        instance="e3", zone="a", host="h", peer_port=1, leaving_targets=["t1"], config_version=1
    )
    core.handle(events.PeerSaid("e3", heartbeat), 4.5)
    assert list_slot_replies(request_slot(core, "x1", 4.6)) == [("x1", "not_ready")]


def test_heartbeats_name_the_leaving_targets() -> None:
    core = start_owner_with_peer()
    add_seed(core, start_core("e3"), 4.0)
    core.handle(make_target_list(("t1", "a", "leaving")), 4.5)
    emitted = run_timers(core, 6.0)
    heartbeats = [
        a.message
        for a in filter_actions(emitted, actions.SendPeer)
        if isinstance(a.message, Heartbeat)
    ]
    assert heartbeats[-1].leaving_targets == ["t1"]
