"""Zones and targets that go out of service, at owners and at entry instances, by events."""

from __future__ import annotations

import msgspec

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core.messages import Heartbeat, SlotRelease, SlotReply, SlotRequest
from tests.core.drive import introduce, make_row, make_zone, pick, run_timers, scan, start_core

BOOKING = msgspec.json.encode(
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


def make_list(*targets: tuple[str, str, str]) -> events.ListRead:
    """Make the platform's list of targets: name, zone and state."""
    return events.ListRead(
        [
            events.Listed(name, "target", zone, "h", 80, service_name="booking", state=state)
            for name, zone, state in targets
        ]
    )


def start_owner(*targets: tuple[str, str, str]) -> Core:
    """Start the one instance of zone a, which owns the targets and knows them to be ready."""
    core = start_core("e1")
    row = make_row(1, ("service", "booking", BOOKING), ("account", "desk", ACCOUNT))
    scan(core, 3.5, row)
    core.handle(make_list(*targets), 3.6)
    for name, _, _ in targets:
        report(core, name, 4.0)
    return core


def report(core: Core, target: str, now: float, boot_id: str = "b1") -> None:
    """Let a target report that it is ready and idle."""
    core.handle(events.ReportRead(target, boot_id, "ready", 0, 0), now)


def ask(core: Core, attempt: str, now: float, max_wait: float = 0.0) -> list[actions.Action]:
    """Ask for a slot of target t1 as another instance does."""
    request = SlotRequest(
        attempt=attempt, instance="e2", target="t1", account="desk", max_wait=max_wait
    )
    return core.handle(events.PeerSaid("e2", request), now)


def read_refusals(found: list[actions.Action]) -> list[tuple[str, str]]:
    """Read the answers to slot requests: attempt and refusal."""
    replies = [action.message for action in pick(found, actions.SendPeer)]
    return [(r.attempt, r.refusal) for r in replies if isinstance(r, SlotReply)]


def start_owner_with_peer() -> Core:
    """Start an owner of t1 that knows the instance e2 of another zone."""
    core = start_owner(("t1", "a", "live"))
    introduce(core, start_core("e2", zone="b"), 3.6)
    return core


def test_an_owner_refuses_for_an_entry_instance_with_an_old_configuration() -> None:
    """Zone a is out; an entry instance that has not heard of it asks for a slot there.

    It was cut off from the platform and its peers, but reaches the target's owner. Granting the
    slot would send new work into the zone for as long as the cut lasts.
    """
    core = start_owner_with_peer()
    assert read_refusals(ask(core, "x1", 4.1)) == [("x1", "")]
    scan(core, 5.0, make_row(2, make_zone("a", False)))
    assert read_refusals(ask(core, "x2", 5.1)) == [("x2", "not_ready")]


def test_waiters_are_sent_on_when_their_target_goes_out() -> None:
    """A request waits for a slot of a busy target when the target goes out of service.

    No slot will come. Kept waiting, it would miss its deadline while other targets are free.
    """
    core = start_owner_with_peer()
    ask(core, "x1", 4.1)
    assert read_refusals(ask(core, "x2", 4.2, max_wait=8.0)) == []
    scan(core, 5.0, make_row(2, make_zone("a", False)))
    assert read_refusals(run_timers(core, 5.6)) == [("x2", "not_ready")]


def test_a_target_that_comes_back_is_refilled_as_a_cold_one() -> None:
    """The zone comes back after its engines were emptied without a sign; callers rush in.

    Under its boot id of before the owner takes the target for warm and fills it at once, and it
    falls over. It is given what a cold one bears until it has done some work.
    """
    core = start_owner_with_peer()
    for number in range(400):
        ask(core, f"w{number}", 4.1)
        done = {"attempt": f"w{number}", "target": "t1", "completed": True, "first_byte": 0.01}
        core.handle(events.PeerSaid("e2", SlotRelease(**done)), 4.2)
    assert not core.context.fleet.targets["t1"].cold
    scan(core, 5.0, make_row(2, make_zone("a", False)))
    run_timers(core, 6.0)
    scan(core, 7.0, make_row(3, make_zone("a", True)))
    # The first request comes before any timer has run.
    assert read_refusals(ask(core, "x1", 7.01)) == [("x1", "")]
    assert read_refusals(ask(core, "x2", 7.02)) == [("x2", "full")]
    assert core.context.fleet.targets["t1"].cold
    assert core.context.fleet.targets["t1"].limit == 1


def test_a_claimed_command_is_not_sent_to_a_target_that_went_out() -> None:
    """A slot is granted, the claim takes seconds on a slow table, and the zone goes out meanwhile.

    Dispatched then, the command would be new work in the zone long after. It goes to a target of
    another zone under the claim that it has.
    """
    core = start_owner(("t1", "a", "live"), ("t2", "b", "live"))
    core.context.configuration.apply(2, [])
    scan(core, 4.5, make_row(3, make_zone("b", False)))
    arrived = events.RequestArrived(
        "r1", "a" * 64, "booking", "", "POST", "/bookings", "d1", 20.0, key="k1"
    )
    found = core.handle(arrived, 5.0)
    write = pick(found, actions.WriteRows)[0]
    scan(core, 7.0, make_row(4, make_zone("a", False), make_zone("b", True)))
    report(core, "t2", 7.1)
    rows: list[events.Row | None] = [events.Row(w.key, w.value, 1) for w in write.writes]
    found = core.handle(events.WriteDone(write.op, "done", [True], rows), 8.0)
    assert [action.target for action in pick(found, actions.Dispatch)] == ["t2"]


def test_a_peer_tells_of_a_leaving_target_when_the_list_is_away() -> None:
    """The list says that a target leaves; one instance reads it, then the platform goes down.

    The owner's copy still says "live". Without its peer's word it would grant the target's slots
    until the platform is back.
    """
    core = start_owner_with_peer()
    beat = Heartbeat(
        instance="e3", zone="a", host="h", peer_port=1, leaving_targets=["t1"], config_version=1
    )
    core.handle(events.PeerSaid("e3", beat), 4.5)
    assert read_refusals(ask(core, "x1", 4.6)) == [("x1", "not_ready")]


def test_the_list_of_leaving_targets_is_told_to_peers() -> None:
    core = start_owner_with_peer()
    introduce(core, start_core("e3"), 4.0)
    core.handle(make_list(("t1", "a", "leaving")), 4.5)
    found = run_timers(core, 6.0)
    beats = [a.message for a in pick(found, actions.SendPeer) if isinstance(a.message, Heartbeat)]
    assert beats[-1].leaving_targets == ["t1"]
