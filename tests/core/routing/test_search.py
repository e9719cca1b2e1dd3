"""Where a request ends up when targets differ or views lag, through the whole core."""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.core import CoreOptions, actions, events
from rhubarbbend.core.configuration import Account, Model, Service, Zone
from rhubarbbend.core.messages import SlotReply, SlotRequest, ZoneReply
from rhubarbbend.core.owners._grants import REFUSAL_FULL, REFUSAL_NOT_OWNER, REFUSAL_NOT_READY
from rhubarbbend.core.routing._tickets import Place, Ticket, encode_ticket
from tests.core.driver import KINDS, SERVICE, Driver, list_target

OTHER_ZONE = "almaty-b"
ENGINES = ("engine-b1", "engine-b2", "engine-b3")
KINDS |= {Model: "model", Zone: "zone"}


def start(*targets: str, zone: str = OTHER_ZONE) -> Driver:
    """Start a core with an account and a model, and targets of a zone."""
    entries = [list_target(name, zone) for name in targets]
    driver = Driver(entries, Service(SERVICE))
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    return driver


def arrive(driver: Driver, request: str = "r1", ticket: str = "") -> list[actions.Action]:
    """Give the core a chat of a caller."""
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
    """Make the ticket of the chat that `arrive` gives."""
    secret = driver.core.context.identity.secret
    held = Ticket((Place(target, boot_id, 0.0, 400),))
    return encode_ticket(secret, "agents", "c1", held)


def find_question(driver: Driver) -> tuple[str, SlotRequest]:
    """Find the last question for a slot and whom it was put to."""
    found = [(peer, m) for peer, m in driver.sent if isinstance(m, SlotRequest)]
    return found[-1]


def answer(driver: Driver, refusal: str, present: str = "") -> list[actions.Action]:
    """Answer the last question as its owner does; `present` is whom that takes for the owner."""
    owner, question = find_question(driver)
    reply = SlotReply(
        attempt=question.attempt, target=question.target, refusal=refusal, owner=present
    )
    return driver.handle(events.PeerSaid(owner, reply))


def count_questions(driver: Driver) -> int:
    """Count the questions for slots."""
    return len(driver.list_sent(SlotRequest))


def test_zone_leaving_under_a_request_does_not_refuse_it() -> None:
    # An operator takes targets out; their owner knows first. This instance still plans with them:
    # the others are full for a moment, and the last one that it would wait for is one that its
    # owner gives out no more. The caller is not refused: the request waits for one with room.
    driver = start(*ENGINES)
    arrive(driver)
    _, first = find_question(driver)
    answer(driver, REFUSAL_NOT_READY)
    for _ in range(2):
        answer(driver, REFUSAL_FULL)
    done = answer(driver, REFUSAL_NOT_READY)
    assert not [action for action in done if isinstance(action, actions.Refuse)]
    _, question = find_question(driver)
    assert question.target != first.target
    done = answer(driver, "")
    assert [action for action in done if isinstance(action, actions.Dispatch)]


def test_targets_that_are_all_not_ready_end_in_a_refusal() -> None:
    # No target is ready. Planning again must end: each target is asked once, and then the caller
    # is told that nothing ran.
    driver = start(*ENGINES)
    done = arrive(driver)
    while not [action for action in done if isinstance(action, actions.Refuse)]:
        done = answer(driver, REFUSAL_NOT_READY)
        assert count_questions(driver) <= len(ENGINES)
    refusals = [action for action in done if isinstance(action, actions.Refuse)]
    assert [(r.code, r.verdict) for r in refusals] == [(codes.NO_TARGET.name, "not_run")]


def test_owner_refuses_an_adapter_that_its_target_has_not_loaded() -> None:
    # An instance of another zone does not know which targets have an adapter loaded and asks the
    # owner of one that has not. Granted, the request would fail at the target; refused, it moves
    # on to a target that has it.
    driver = start("engine-a1", zone="almaty-a")
    report = events.ReportRead("engine-a1", "b1", "ready", 0, 8, 0.0, ["camp-large"])
    for _ in range(8):
        driver.pass_time(0.5, 0.5)
        driver.handle(report)
    for model, refusal in (("camp-adapter", REFUSAL_NOT_READY), ("camp-large", "")):
        question = SlotRequest(
            attempt=f"x-{model}",
            instance="entry-b9",
            incarnation=1,
            target="engine-a1",
            account="agents",
            service_name=SERVICE,
            model=model,
        )
        driver.say("entry-b9", question)
        replies = driver.find_replies(question.attempt)
        assert [reply.refusal for reply in replies] == [refusal]


def test_question_names_the_model() -> None:
    # Without the model in the question its owner could not tell.
    driver = start(*ENGINES)
    arrive(driver)
    assert find_question(driver)[1].model == "camp-large"


def test_zone_cut_off_is_not_asked_and_own_targets_serve() -> None:
    # The way to the other zone's instances is lost. Asking them would cost each request a
    # time-out; the request goes to the own zone's target although its home is in the other.
    driver = Driver(
        [list_target("engine-a1"), *(list_target(name, OTHER_ZONE) for name in ENGINES)],
        Service(SERVICE),
    )
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    driver.pass_probation("engine-a1")
    for holder in ("entry-b1", "entry-b9", "entry-c1"):
        driver.handle(events.PeerLost(holder))
    before = count_questions(driver)
    done = arrive(driver)
    dispatched = [action.target for action in done if isinstance(action, actions.Dispatch)]
    assert dispatched == ["engine-a1"]
    assert count_questions(driver) == before


def test_owner_that_does_not_answer_is_passed_over_until_it_is_heard() -> None:
    # The way to the other zone goes silent; that its link is dead shows only after 2 s. The first
    # request waits there for its time-out. Before, so did each that came in those 2 s: on a crowded
    # machine 22 slow answers in place of one for each caller. The next ones go elsewhere at once,
    # until the owner is heard of again.
    service = Service(SERVICE, floor=4, cold_slots=4)
    driver = Driver([list_target("engine-a1"), list_target("engine-b1", OTHER_ZONE)], service)
    driver.declare(2, Account("agents", "agents"), Model("camp-large", SERVICE))
    driver.pass_probation("engine-a1")
    ticket = make_ticket(driver, "engine-b1", "")
    arrive(driver, "r1", ticket)
    owner, question = find_question(driver)
    assert question.target == "engine-b1"
    ends = driver.now + question.max_wait + CoreOptions().slot_timeout + 0.3
    while driver.now < ends:
        driver.pass_time(0.5, 0.5)
        driver.report("engine-a1", 0)
    before = count_questions(driver)
    done = arrive(driver, "r2", ticket)
    assert [a.target for a in done if isinstance(a, actions.Dispatch)] == ["engine-a1"]
    assert count_questions(driver) == before
    driver.say(owner, ZoneReply(instance=owner, zone=OTHER_ZONE))
    arrive(driver, "r3", ticket)
    assert count_questions(driver) == before + 1


def test_request_outlasts_a_late_heartbeat_while_an_owner_changes() -> None:
    # The owner of a target stops. This instance sends a chat to the next one, which has not heard
    # of that: heartbeats come once a second, and on a crowded machine one came late. The chat was
    # refused after 1.0 s although the target was well; it waits for the next heartbeat as well.
    driver = start("engine-b1")
    arrive(driver)
    answered = 0
    ends = driver.now + 1.4
    while driver.now < ends:
        while count_questions(driver) > answered:
            answered = count_questions(driver)
            answer(driver, REFUSAL_NOT_OWNER, "entry-c1")
        driver.pass_time(0.05, 0.05)
    driver.pass_time(0.3, 0.05)
    assert not [name for name in driver.counts if name.startswith("refused.")]
    done = answer(driver, "")
    assert [action for action in done if isinstance(action, actions.Dispatch)]


def test_tickets_of_targets_gone_or_restarted_are_counted() -> None:
    # One ticket names a target that is gone, one a target that has restarted since, one a target
    # that still runs. The first two lead nowhere, and operators see how many such come.
    driver = start("engine-a1", zone="almaty-a")
    driver.pass_probation("engine-a1")
    for target, boot_id, stale in (
        ("engine-a9", "b1", 1),
        ("engine-a1", "b0", 2),
        ("engine-a1", "b1", 2),
    ):
        arrive(driver, f"r-{target}-{boot_id}", make_ticket(driver, target, boot_id))
        assert driver.counts.get(codes.TICKETS_STALE, 0) == stale


def test_forged_ticket_leads_nowhere() -> None:
    # A caller sends the ticket of another chat. It is counted and the chat is served all the same.
    driver = start("engine-a1", zone="almaty-a")
    driver.pass_probation("engine-a1")
    ticket = make_ticket(driver, "engine-a1", "b1")
    done = arrive(driver, ticket=ticket[:-2] + ("AA" if ticket[-2:] != "AA" else "BB"))
    assert driver.counts[codes.TICKETS_BAD] > 0
    assert [action for action in done if isinstance(action, actions.Dispatch)]
