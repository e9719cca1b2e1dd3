"""Requests that come while the ownership of a target changes, by events."""

from __future__ import annotations

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core._fleet import rank
from rhubarbbend.core.messages import Heartbeat, SlotReply, SlotRequest, TargetLoad
from tests.core.drive import introduce, make_row, pick, run_timers, scan, start_core
from tests.core.test_service import ACCOUNT, BOOKING, ask, make_list, read_refusals, start_owner

OTHER = next(f"s{n}" for n in range(99) if rank("t1", f"s{n}") > rank("t1", "e1"))


def start_entry() -> Core:
    """Start an instance whose zone's other instance owns t1, which is ready."""
    core = start_core("e1")
    scan(core, 3.5, make_row(1, ("service", "booking", BOOKING), ("account", "desk", ACCOUNT)))
    introduce(core, start_core(OTHER), 3.5)
    core.handle(make_list(("t1", "a", "live")), 3.6)
    hear_owner(core, 3.7)
    return core


def hear_owner(core: Core, now: float) -> None:
    """Let the owner's heartbeat say that t1 is ready."""
    load = TargetLoad(target="t1", boot_id="b1", limit=4, ready=True, service_name="booking")
    beat = Heartbeat(instance=OTHER, zone="a", incarnation=7, host="h", peer_port=2, loads=[load])
    core.handle(events.PeerSaid(OTHER, beat), now)


def find_asked(found: list[actions.Action]) -> list[SlotRequest]:
    return [a.message for a in pick(found, actions.SendPeer) if isinstance(a.message, SlotRequest)]


def test_a_request_between_two_owners_is_asked_again_and_not_refused() -> None:
    """The owner of the only target has just changed and the two instances disagree.

    Each sends the request to the other. After two redirects nothing is left of the plan, and the
    caller would be refused although the target is well and the views agree a moment later.
    """
    core = start_entry()
    arrived = events.RequestArrived(
        "r1", "a" * 64, "booking", "", "POST", "/bookings", "d1", 10.0, key="k1"
    )
    found = core.handle(arrived, 4.0)
    refused = 0
    while asked := find_asked(found):
        refused += 1
        reply = SlotReply(attempt=asked[0].attempt, target="t1", refusal="not_owner", owner=OTHER)
        found = core.handle(events.PeerSaid(OTHER, reply), 4.0)
        assert refused < 10
    assert refused >= 3 and not pick(found, actions.Refuse)
    assert not pick(found, actions.WriteRows), "a refusal was written for the key"
    again = find_asked(run_timers(core, 4.4))
    assert len(again) == 1
    granted = SlotReply(attempt=again[0].attempt, target="t1", boot_id="b1", limit=4)
    found = core.handle(events.PeerSaid(OTHER, granted), 4.4)
    assert len(pick(found, actions.WriteRows)) == 1


def test_a_new_owner_lets_requests_wait_for_its_first_report() -> None:
    """A target has been taken over and has not told its state to the new owner yet.

    Refused as not ready, requests would fail at each change of owner. They wait; a target that
    stays silent is not ready after a second.
    """
    core = start_owner()
    introduce(core, start_core("e2", zone="b"), 4.0)
    core.handle(make_list(("t1", "a", "live")), 5.0)
    assert read_refusals(ask(core, "x1", 5.1, max_wait=5.0)) == []
    found = core.handle(events.ReportRead("t1", "b1", "ready", 0, 0), 5.2)
    assert read_refusals(found) == [("x1", "")]

    silent = start_owner()
    introduce(silent, start_core("e2", zone="b"), 4.0)
    silent.handle(make_list(("t1", "a", "live")), 5.0)
    assert read_refusals(ask(silent, "x1", 5.1, max_wait=5.0)) == []
    assert read_refusals(run_timers(silent, 7.0)) == [("x1", "not_ready")]


def test_a_target_taken_over_is_not_told_unready_before_its_first_report() -> None:
    """Its new owner's next heartbeat goes out before the target's first report has come.

    Told unready, the zone would pass the target over until the heartbeat after.
    """
    core = start_entry()
    leave = Heartbeat(instance=OTHER, zone="a", incarnation=7, host="h", leaving=True)
    core.handle(events.PeerSaid(OTHER, leave), 4.0)
    assert core.owner.owns("t1")
    assert [load.ready for load in core.owner.list_loads()] == [True]
