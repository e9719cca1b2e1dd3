"""The stop duty by events: signals at any time, hand-over, keys that the instance has issued."""

from __future__ import annotations

from rhubarbbend.core import actions, events
from rhubarbbend.core._fleet import rank
from rhubarbbend.core.claims._key_issuer import KeyIssuer
from rhubarbbend.core.messages import Handover, Heartbeat, ZoneQuery
from tests.core.drive import introduce, pick, run_timers, scan, start_core
from tests.core.test_service import ask, read_refusals, start_owner

STOP = events.StopRequested()


def test_a_second_signal_changes_nothing() -> None:
    """An impatient script sends SIGTERM twice; nothing may be cut or begun again for that."""
    core = start_owner(("t1", "a", "live"))
    found = core.handle(STOP, 10.0)
    assert pick(found, actions.SetReady) == [actions.SetReady(False)]
    run_timers(core, 10.5)
    assert core.handle(STOP, 10.5) == []
    found = run_timers(core, 20.0)
    assert len(pick(found, actions.StopAccepting)) == 1
    assert len(pick(found, actions.Exit)) == 1


def test_a_stop_during_the_start_ends_at_once_and_never_gets_ready() -> None:
    """SIGTERM comes while the platform is down and no configuration has been read.

    The balancer does not know the instance, so there is no lag to wait for; an answer that comes
    late must not make it ready again.
    """
    core = start_core("e1")
    core.handle(STOP, 0.5)
    found = scan(core, 0.51, status="failed") + run_timers(core, 0.8)
    assert len(pick(found, actions.Exit)) == 1
    later = scan(core, 0.9) + run_timers(core, 5.0)
    assert pick(later, actions.SetReady) == []


def test_the_only_instance_goes_on_granting_until_it_ends() -> None:
    """The fleet has no other instance: nobody could grant the slots that this one gave up."""
    core = start_owner(("t1", "a", "live"))
    core.handle(STOP, 10.0)
    assert core.owner.owns("t1")
    request = events.RequestArrived("r1", "a" * 64, "booking", "", "POST", "/bookings", "d", 5.0)
    request.key = "k1"
    found = core.handle(request, 10.1)
    assert len(pick(found, actions.WriteRows)) == 1 and not pick(found, actions.Refuse)


def test_an_owner_tells_its_leave_before_it_hands_over() -> None:
    """A target has a running slot when its owner stops.

    The successor has to know that it owns the target before the count comes, or it would drop
    the count, grant as if nothing ran there, and redirect callers back.
    """
    core = start_owner(("t1", "a", "live"))
    # One that comes after it in the rendezvous order of the target.
    name = next(f"s{n}" for n in range(99) if rank("t1", f"s{n}") < rank("t1", "e1"))
    introduce(core, start_core(name), 3.6)
    core.handle(events.PeerSaid(name, Heartbeat(instance=name, zone="a", host="h")), 4.0)
    introduce(core, start_core("e2", zone="b"), 4.0)
    assert read_refusals(ask(core, "x1", 4.1)) == [("x1", "")]
    sent = [action.message for action in pick(core.handle(STOP, 10.0), actions.SendPeer)]
    leaves = [n for n, m in enumerate(sent) if isinstance(m, Heartbeat) and m.leaving]
    handovers = [n for n, m in enumerate(sent) if isinstance(m, Handover)]
    assert min(leaves) < min(handovers)
    handover = next(message for message in sent if isinstance(message, Handover))
    assert [slot.attempt for holder in handover.holders for slot in holder.slots] == ["x1"]


def test_reserved_keys_of_a_stopping_instance_still_run_there() -> None:
    """A caller holds a reserved key of an instance that is stopping.

    Only its issuer may run it. It gives no new keys, but runs what it has issued to the end.
    """
    core = start_owner(("t1", "a", "live"))
    keys = KeyIssuer(core.context).issue("desk", 1, 9.0)
    core.handle(STOP, 10.0)
    refused = pick(core.handle(events.KeysRequested("q1", "a" * 64, 1), 10.1), actions.Refuse)
    assert [action.code for action in refused] == ["stopping"]
    request = events.RequestArrived("r1", "a" * 64, "booking", "", "POST", "/bookings", "d", 5.0)
    request.key = keys[0]
    found = core.handle(request, 10.2)
    dispatched = pick(found, actions.Dispatch)
    assert [action.target for action in dispatched] == ["t1"]
    assert pick(run_timers(core, 13.0), actions.Exit) == []
    core.handle(events.AttemptDone(dispatched[0].attempt, 200, 1.0), 13.1)
    assert len(pick(run_timers(core, 14.0), actions.Exit)) == 1


def test_a_stopping_instance_says_so_whenever_it_asks() -> None:
    """While it stops it asks a zone that it had lost whether it can be reached again.

    That question did not say that it leaves, and whoever had been told before took the word back:
    its targets were its own again while it gave them up.
    """
    core = start_core("e1", "a")
    listed = [events.Listed(name, "instance", zone, "h", 1, 2) for name, zone in (("e2", "b"),)]
    core.handle(events.ListRead(listed), 1.0)
    core.handle(STOP, 2.0)
    core.handle(events.PeerLost("e2"), 2.1)
    asked = [
        action.message
        for action in pick(run_timers(core, 8.0), actions.SendPeer)
        if isinstance(action.message, ZoneQuery)
    ]
    assert asked and all(query.leaving for query in asked)
