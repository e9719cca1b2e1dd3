"""Tests of timers that are due together with events, after a stall of the process."""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.core import CoreOptions, actions, events
from rhubarbbend.core.configuration import Account, Model, Service
from rhubarbbend.core.messages import SlotReply
from tests.core.core_driver import SERVICE, Driver, make_target_entry
from tests.core.owners.test_owner import make_owner
from tests.core.routing.test_search import find_slot_request, send_chat

SILENCE_S = CoreOptions().peer_silence
OTHER_ZONE = "almaty-b"


def ask_for_slot() -> tuple[Driver, events.PeerSaid]:
    """Return a core that awaits a slot of another zone, and the grant that is on its way."""
    target = make_target_entry("engine-b1", OTHER_ZONE)
    driver = Driver([target], Service(SERVICE, floor=4, cold_slots=4))
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    send_chat(driver)
    owner, request = find_slot_request(driver)
    grant = SlotReply(attempt=request.attempt, target=request.target, boot_id="b1")
    return driver, events.PeerSaid(owner, grant)


# Guards against taking a pause of this process for a silence of all its peers: their slots are
# freed and their targets get other owners.
def test_peers_are_not_lost_to_timers_that_expired_during_a_pause() -> None:
    driver = make_owner(peers=("entry-a2",))
    driver.now += SILENCE_S + 2.0
    driver.handle(events.ProcessPaused(SILENCE_S + 2.0))
    driver.handle(events.TimerDue())
    assert "peers.lost" not in driver.counts


# Guards against taking a peer for silent whose message waited while the event loop was late.
def test_a_peer_whose_message_has_arrived_is_not_lost_to_a_late_timer() -> None:
    driver = make_owner(peers=("entry-a2",))
    driver.now += SILENCE_S + 0.5
    driver.receive_heartbeat("entry-a2")
    driver.handle(events.TimerDue())
    assert "peers.lost" not in driver.counts


# Guards against releasing a slot that was granted in time, and skipping its owner as silent.
def test_a_grant_that_has_arrived_is_used_although_its_time_out_has_expired() -> None:
    driver, grant = ask_for_slot()
    driver.now += 5.0
    done = driver.handle(grant)
    assert any(isinstance(action, actions.Dispatch) for action in done)
    driver.handle(events.TimerDue())
    assert "retry.owner" not in driver.counts


# Guards against running a request after its deadline, since the timer that ends it is late.
def test_a_grant_after_the_deadline_is_not_used() -> None:
    driver, grant = ask_for_slot()
    driver.now += 100.0
    done = [*driver.handle(grant), *driver.handle(events.TimerDue())]
    assert not any(isinstance(action, actions.Dispatch) for action in done)
    refusals = [action.code for action in done if isinstance(action, actions.Refuse)]
    assert refusals == [codes.DEADLINE.name]
