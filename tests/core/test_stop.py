"""Tests of the planned stop: stop requests at any time, handover, and reserved keys."""

from __future__ import annotations

import pytest

from rhubarbbend.core import actions, events
from rhubarbbend.core._fleet import compute_rendezvous_weight
from rhubarbbend.core.claims._key_issuer import KeyIssuer
from rhubarbbend.core.messages import Handover, Heartbeat, ZoneQuery
from tests.core.core_helpers import add_seed, answer_scan, filter_actions, run_timers, start_core
from tests.core.test_service import list_slot_replies, request_slot, start_owner

STOP = events.StopRequested()


def test_second_stop_request_is_ignored() -> None:
    """Guard against a second SIGTERM that interrupts requests or restarts the planned stop."""
    core = start_owner(("t1", "a", "live"))
    found = core.handle(STOP, 10.0)
    assert filter_actions(found, actions.SetReady) == [actions.SetReady(False)]
    run_timers(core, 10.5)
    assert core.handle(STOP, 10.5) == []
    found = run_timers(core, 20.0)
    assert len(filter_actions(found, actions.StopAccepting)) == 1
    assert len(filter_actions(found, actions.Exit)) == 1


def test_stop_during_startup_exits_at_once_and_never_becomes_ready() -> None:
    """SIGTERM arrives while the platform is down and no configuration has been read.

    The balancer does not know the instance yet, so the stop need not wait for the balancer lag. A
    configuration that arrives late must not make the instance ready.
    """
    core = start_core("e1")
    core.handle(STOP, 0.5)
    found = answer_scan(core, 0.51, status="failed") + run_timers(core, 0.8)
    assert len(filter_actions(found, actions.Exit)) == 1
    later = answer_scan(core, 0.9) + run_timers(core, 5.0)
    assert filter_actions(later, actions.SetReady) == []


def test_only_instance_grants_slots_until_it_exits() -> None:
    """Without another instance in the fleet, nobody could grant slots for targets handed over."""
    core = start_owner(("t1", "a", "live"))
    core.handle(STOP, 10.0)
    assert core.owner.owns("t1")
    request = events.RequestArrived("r1", "a" * 64, "booking", "", "POST", "/bookings", "d", 5.0)
    request.key = "k1"
    found = core.handle(request, 10.1)
    assert len(filter_actions(found, actions.WriteRows)) == 1 and not filter_actions(
        found, actions.Refuse
    )


def test_owner_announces_leaving_before_handover() -> None:
    """Guard against a handover that arrives before the message that the owner is leaving.

    A slot is in use when the owner stops. If the successor did not know yet that it owns the
    target, it would drop the handover, grant slots as if the target were idle, and redirect slot
    requests back to the former owner.
    """
    core = start_owner(("t1", "a", "live"))
    # An instance that ranks after e1 in the rendezvous order of the target.
    name = next(
        f"s{n}"
        for n in range(99)
        if compute_rendezvous_weight("t1", f"s{n}") < compute_rendezvous_weight("t1", "e1")
    )
    add_seed(core, start_core(name), 3.6)
    core.handle(events.PeerSaid(name, Heartbeat(instance=name, zone="a", host="h")), 4.0)
    add_seed(core, start_core("e2", zone="b"), 4.0)
    assert list_slot_replies(request_slot(core, "x1", 4.1)) == [("x1", "")]
    sent = [action.message for action in filter_actions(core.handle(STOP, 10.0), actions.SendPeer)]
    leaving_heartbeats = [n for n, m in enumerate(sent) if isinstance(m, Heartbeat) and m.leaving]
    handovers = [n for n, m in enumerate(sent) if isinstance(m, Handover)]
    assert min(leaving_heartbeats) < min(handovers)
    handover = next(message for message in sent if isinstance(message, Handover))
    assert [slot.attempt for holder in handover.holders for slot in holder.slots] == ["x1"]


def test_reserved_keys_of_a_stopping_instance_still_run_there() -> None:
    """A caller holds a reserved key issued by an instance that is stopping.

    Only the issuer may run a command under the key. A stopping instance issues no new keys, but
    completes commands under the keys that it has issued.
    """
    core = start_owner(("t1", "a", "live"))
    keys = KeyIssuer(core.context).issue("desk", 1, 9.0)
    core.handle(STOP, 10.0)
    refused = filter_actions(
        core.handle(events.KeysRequested("q1", "a" * 64, 1), 10.1), actions.Refuse
    )
    assert [action.code for action in refused] == ["stopping"]
    request = events.RequestArrived("r1", "a" * 64, "booking", "", "POST", "/bookings", "d", 5.0)
    request.key = keys[0]
    found = core.handle(request, 10.2)
    dispatched = filter_actions(found, actions.Dispatch)
    assert [action.target for action in dispatched] == ["t1"]
    assert filter_actions(run_timers(core, 13.0), actions.Exit) == []
    core.handle(events.AttemptDone(dispatched[0].attempt, 200, 1.0), 13.1)
    assert len(filter_actions(run_timers(core, 14.0), actions.Exit)) == 1


def test_zone_queries_of_a_stopping_instance_are_marked_leaving() -> None:
    """Guard against a stopping instance that appears to be staying.

    While stopping, it queries an unreachable zone. When the query did not say that the instance was
    leaving, the receiver reset the leaving state and again took it for the owner of targets that it
    was handing over.
    """
    core = start_core("e1", "a")
    listed = [events.Listed(name, "instance", zone, "h", 1, 2) for name, zone in (("e2", "b"),)]
    core.handle(events.ListRead(listed), 1.0)
    core.handle(STOP, 2.0)
    core.handle(events.PeerLost("e2"), 2.1)
    queries = [
        action.message
        for action in filter_actions(run_timers(core, 8.0), actions.SendPeer)
        if isinstance(action.message, ZoneQuery)
    ]
    assert queries and all(query.leaving for query in queries)


# Guards against a request that is accepted late in a planned stop and cut by its limit. Without a
# limit the instance waits for it.
@pytest.mark.parametrize(
    ("stop_limit", "arrived_at", "time_left", "is_refused"),
    [
        (8.0, 11.9, 60.0, False),
        (8.0, 12.5, 5.0, False),
        (8.0, 12.5, 6.0, True),
        (0.0, 12.5, 60.0, False),
    ],
)
def test_a_late_request_that_the_limit_of_a_stop_could_cut_is_refused(
    stop_limit: float, arrived_at: float, time_left: float, is_refused: bool
) -> None:
    core = start_owner(("t1", "a", "live"), stop_limit=stop_limit)
    core.handle(STOP, 10.0)
    # Keeps the instance from ending once it accepts no connections.
    first = events.RequestArrived("r1", "a" * 64, "booking", "", "POST", "/bookings", "d", 9.0)
    first.key = "k1"
    core.handle(first, 10.1)
    run_timers(core, arrived_at)
    late = events.RequestArrived("r2", "a" * 64, "booking", "", "POST", "/bookings", "d", time_left)
    late.key = "k2"
    refusals = filter_actions(core.handle(late, arrived_at), actions.Refuse)
    assert [action.code for action in refusals] == (["stopping"] if is_refused else [])
