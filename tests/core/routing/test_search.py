"""Routing through the whole core when targets differ or the view of them is outdated."""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.core import CoreOptions, actions, events
from rhubarbbend.core.configuration import Account, Model, Service, Zone
from rhubarbbend.core.messages import SlotReply, SlotRequest, ZoneReply
from rhubarbbend.core.owners._grants import REFUSAL_FULL, REFUSAL_NOT_OWNER, REFUSAL_NOT_READY
from rhubarbbend.core.routing._tickets import ContextLocation, Ticket, encode_ticket
from tests.core.core_driver import KINDS, SERVICE, Driver, make_target_entry

OTHER_ZONE = "almaty-b"
ENGINES = ("engine-b1", "engine-b2", "engine-b3")
KINDS |= {Model: "model", Zone: "zone"}


def start(*targets: str, zone: str = OTHER_ZONE) -> Driver:
    """Return the driver of a core with an account, a model and targets of a zone."""
    entries = [make_target_entry(name, zone) for name in targets]
    driver = Driver(entries, Service(SERVICE))
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    return driver


def send_chat(driver: Driver, request: str = "r1", ticket: str = "") -> list[actions.Action]:
    """Pass a caller's chat request to the core and return the resulting actions."""
    return driver.handle(
        events.RequestArrived(
            request=request,
            key_digest="agents",
            service_name="",
            model="camp-large",
            method="POST",
            path="/v1/chat/completions",
            body_digest=request,
            time_left=10.0,
            chat="c1",
            tokens=400,
            ticket=ticket,
        )
    )


def make_ticket(driver: Driver, target: str, boot_id: str) -> str:
    """Make a ticket for the chat of `send_chat`."""
    secret = driver.core.context.identity.secret
    held = Ticket((ContextLocation(target, boot_id, 0.0, 400),))
    return encode_ticket(secret, "agents", "c1", held)


def find_slot_request(driver: Driver) -> tuple[str, SlotRequest]:
    """Return the last slot request and the instance that it was sent to."""
    found = [(peer, m) for peer, m in driver.sent if isinstance(m, SlotRequest)]
    return found[-1]


def answer_slot_request(
    driver: Driver, refusal: str, current_owner: str = ""
) -> list[actions.Action]:
    """Answer the last slot request; `current_owner` is the owner named in the reply."""
    owner, slot_request = find_slot_request(driver)
    reply = SlotReply(
        attempt=slot_request.attempt,
        target=slot_request.target,
        refusal=refusal,
        owner=current_owner,
    )
    return driver.handle(events.PeerSaid(owner, reply))


def count_slot_requests(driver: Driver) -> int:
    """Return the number of slot requests sent."""
    return len(driver.list_sent(SlotRequest))


def test_request_is_not_refused_while_its_zone_leaves() -> None:
    # An operator takes targets out of service, and their owner learns it first. This instance still
    # plans with them: the others are full for a moment, and the last choice is a target whose owner
    # grants no more slots. The request must not be refused but wait for a target with room.
    driver = start(*ENGINES)
    send_chat(driver)
    _, first = find_slot_request(driver)
    answer_slot_request(driver, REFUSAL_NOT_READY)
    for _ in range(2):
        answer_slot_request(driver, REFUSAL_FULL)
    done = answer_slot_request(driver, REFUSAL_NOT_READY)
    assert not [action for action in done if isinstance(action, actions.Refuse)]
    _, slot_request = find_slot_request(driver)
    assert slot_request.target != first.target
    done = answer_slot_request(driver, "")
    assert [action for action in done if isinstance(action, actions.Dispatch)]


def test_request_is_refused_if_no_target_is_ready() -> None:
    # No target is ready. Repeated planning must end: each target is asked once, and then the
    # request is refused with the verdict that it did not run.
    driver = start(*ENGINES)
    done = send_chat(driver)
    while not [action for action in done if isinstance(action, actions.Refuse)]:
        done = answer_slot_request(driver, REFUSAL_NOT_READY)
        assert count_slot_requests(driver) <= len(ENGINES)
    refusals = [action for action in done if isinstance(action, actions.Refuse)]
    assert [(r.code, r.verdict) for r in refusals] == [(codes.NO_TARGET.name, "not_run")]


def test_owner_refuses_an_adapter_that_its_target_has_not_loaded() -> None:
    # An instance of another zone does not know which targets have an adapter loaded, and asks the
    # owner of one that does not have it. If the owner granted a slot, the request would fail at the
    # target; after a refusal it moves on to a target that has the adapter.
    driver = start("engine-a1", zone="almaty-a")
    report = events.ReportRead("engine-a1", "b1", "ready", 0, 8, 0.0, ["camp-large"])
    for _ in range(8):
        driver.advance(0.5, 0.5)
        driver.handle(report)
    for model, refusal in (("camp-adapter", REFUSAL_NOT_READY), ("camp-large", "")):
        slot_request = SlotRequest(
            attempt=f"x-{model}",
            instance="entry-b9",
            incarnation=1,
            target="engine-a1",
            account="agents",
            service_name=SERVICE,
            model=model,
        )
        driver.receive("entry-b9", slot_request)
        replies = driver.find_replies(slot_request.attempt)
        assert [reply.refusal for reply in replies] == [refusal]


def test_slot_request_names_the_model() -> None:
    # Without the model, the owner could not check whether the target has it loaded.
    driver = start(*ENGINES)
    send_chat(driver)
    assert find_slot_request(driver)[1].model == "camp-large"


def test_partitioned_zone_is_not_asked_and_own_targets_serve() -> None:
    # The links to the other zone's instances are lost. Asking them would cost each request a
    # time-out, so the request goes to the own zone's target although its home is in the other zone.
    driver = Driver(
        [
            make_target_entry("engine-a1"),
            *(make_target_entry(name, OTHER_ZONE) for name in ENGINES),
        ],
        Service(SERVICE),
    )
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    driver.pass_probation("engine-a1")
    for holder in ("entry-b1", "entry-b9", "entry-c1"):
        driver.handle(events.PeerLost(holder))
    before = count_slot_requests(driver)
    done = send_chat(driver)
    dispatched = [action.target for action in done if isinstance(action, actions.Dispatch)]
    assert dispatched == ["engine-a1"]
    assert count_slot_requests(driver) == before


def test_silent_owner_is_skipped_until_it_is_heard_again() -> None:
    # The link to the other zone goes silent, which is detected only after 2 s. The first request
    # waits for its time-out. Earlier, so did each request that arrived in those 2 s: on an
    # overloaded machine there were 22 slow answers instead of one per caller. Later requests must
    # go elsewhere at once until the owner is heard again.
    service = Service(SERVICE, floor=4, cold_slots=4)
    driver = Driver(
        [make_target_entry("engine-a1"), make_target_entry("engine-b1", OTHER_ZONE)], service
    )
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    driver.pass_probation("engine-a1")
    ticket = make_ticket(driver, "engine-b1", "")
    send_chat(driver, "r1", ticket)
    owner, slot_request = find_slot_request(driver)
    assert slot_request.target == "engine-b1"
    ends = driver.now + slot_request.max_wait + CoreOptions().slot_timeout + 0.3
    while driver.now < ends:
        driver.advance(0.5, 0.5)
        driver.receive_report("engine-a1", 0)
    before = count_slot_requests(driver)
    done = send_chat(driver, "r2", ticket)
    assert [a.target for a in done if isinstance(a, actions.Dispatch)] == ["engine-a1"]
    assert count_slot_requests(driver) == before
    driver.receive(owner, ZoneReply(instance=owner, zone=OTHER_ZONE))
    send_chat(driver, "r3", ticket)
    assert count_slot_requests(driver) == before + 1


def test_request_waits_for_a_late_heartbeat_while_the_owner_changes() -> None:
    # The owner of a target stops. This instance asks the next owner, which has not learned of that
    # yet: heartbeats are sent once a second, and on an overloaded machine one was late. The chat
    # was refused after 1.0 s although the target was healthy; it must wait for one more heartbeat.
    driver = start("engine-b1")
    send_chat(driver)
    answered = 0
    ends = driver.now + 1.4
    while driver.now < ends:
        while count_slot_requests(driver) > answered:
            answered = count_slot_requests(driver)
            answer_slot_request(driver, REFUSAL_NOT_OWNER, "entry-c1")
        driver.advance(0.05, 0.05)
    driver.advance(0.3, 0.05)
    assert not [name for name in driver.counts if name.startswith("refused.")]
    done = answer_slot_request(driver, "")
    assert [action for action in done if isinstance(action, actions.Dispatch)]


def test_stale_tickets_are_counted() -> None:
    # One ticket names a target that is gone, one a target that has since restarted, one a target
    # that still runs. The first two are useless, and a metric counts such tickets.
    driver = start("engine-a1", zone="almaty-a")
    driver.pass_probation("engine-a1")
    for target, boot_id, stale in (
        ("engine-a9", "b1", 1),
        ("engine-a1", "b0", 2),
        ("engine-a1", "b1", 2),
    ):
        send_chat(driver, f"r-{target}-{boot_id}", make_ticket(driver, target, boot_id))
        assert driver.counts.get(codes.TICKETS_STALE, 0) == stale


def test_forged_ticket_is_counted_and_ignored() -> None:
    # A caller sends a tampered ticket. It is counted, and the chat is served anyway.
    driver = start("engine-a1", zone="almaty-a")
    driver.pass_probation("engine-a1")
    ticket = make_ticket(driver, "engine-a1", "b1")
    done = send_chat(driver, ticket=ticket[:-2] + ("AA" if ticket[-2:] != "AA" else "BB"))
    assert driver.counts[codes.TICKETS_BAD] > 0
    assert [action for action in done if isinstance(action, actions.Dispatch)]
