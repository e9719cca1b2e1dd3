"""The default policy: which targets a request is sent to, and how long it waits for each."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs

from rhubarbbend.core.routing import POLICIES, Candidate, Choice, Reason, RoutedRequest
from rhubarbbend.core.routing._tickets import ContextLocation, Ticket

PREFILL_RATE = 10_000.0


def make_targets(count: int, zones: int = 3, own: int = 0) -> list[Candidate]:
    """Make idle, warm targets spread over zones; loads of other zones are unknown."""
    return [
        Candidate(
            target=f"engine-{n}",
            zone=f"zone-{n % zones}",
            boot_id=f"boot-{n}" if n % zones == own else "",
            load=0,
            limit=4 if n % zones == own else 0,
            known=n % zones == own,
            cold=False,
            own_zone=n % zones == own,
        )
        for n in range(count)
    ]


def make_request(
    chat: str = "chat",
    tokens: int = 4_000,
    places: tuple[ContextLocation, ...] = (),
    **changes: Any,
) -> RoutedRequest:
    """Make a request, with a ticket if there are places."""
    ticket = Ticket(places) if places else None
    request = RoutedRequest(chat, tokens, ticket, 10.0, 10.0, PREFILL_RATE, 0.0)
    return attrs.evolve(request, **changes)


def plan(request: RoutedRequest, targets: list[Candidate]) -> list[Choice]:
    """Return the default policy's choices."""
    return POLICIES.find("affinity")().plan(request, targets, Random(1))


def find_home(chat: str, targets: list[Candidate]) -> str:
    """Return the first choice for a chat without a ticket."""
    return plan(make_request(chat), targets)[0].target


def make_place(number: int, tokens: int = 4_000, boot: str | None = None) -> ContextLocation:
    """Make a place of a ticket."""
    return ContextLocation(
        f"engine-{number}", f"boot-{number}" if boot is None else boot, 0.0, tokens
    )


def test_chat_without_ticket_has_the_same_home_at_every_instance() -> None:
    # The caller lost its ticket and sends the chat to an instance of another zone, which lists the
    # targets in another order and knows other loads. Both must choose the same target.
    in_zone_0 = make_targets(9, own=0)
    in_zone_1 = list(reversed(make_targets(9, own=1)))
    for number in range(50):
        assert find_home(f"chat-{number}", in_zone_0) == find_home(f"chat-{number}", in_zone_1)


def test_ticket_of_a_restarted_target_is_ignored() -> None:
    # A target restarted under the same name and address. Its owner reports another boot id, so the
    # context that the ticket names is lost, and waiting for the target would gain nothing.
    targets = make_targets(6)
    choices = plan(make_request(places=(make_place(0, boot="boot-before"),)), targets)
    assert all(choice.reason is not Reason.TICKET for choice in choices)


def test_long_context_waits_and_short_chat_moves() -> None:
    # The targets of both chats are full. The long chat waits for a few times as long as its prefill
    # elsewhere would take; the short one moves after a negligible wait.
    targets = make_targets(6)
    long = plan(make_request(places=(make_place(0, tokens=8_000),), tokens=8_000), targets)
    short = plan(make_request(places=(make_place(0, tokens=40),), tokens=40), targets)
    assert long[0].target == short[0].target == "engine-0"
    assert 8_000 / PREFILL_RATE <= long[0].max_wait <= 3 * 8_000 / PREFILL_RATE
    assert short[0].max_wait <= 0.02
    assert short[1].target != "engine-0" and short[1].max_wait == 0.0


def test_wait_of_a_very_long_chat_leaves_time_for_another_target() -> None:
    # The prefill of this context takes a minute; the deadline is in ten seconds. Waiting for the
    # ticket's target until then would fail the request although another target could take it.
    request = make_request(places=(make_place(0, tokens=600_000),), tokens=600_000, time_left=10.0)
    assert plan(request, make_targets(6))[0].max_wait <= 5.0


def test_second_place_of_a_ticket_is_the_second_choice() -> None:
    # The chat moved once, and its new target holds little of the context. If that target refuses,
    # the one that holds the longest context is asked before any that would need a full prefill.
    request = make_request(places=(make_place(1, tokens=200), make_place(4, tokens=6_000)))
    choices = plan(request, make_targets(6))
    assert [choice.target for choice in choices[:2]] == ["engine-1", "engine-4"]
    assert choices[1].max_wait > choices[0].max_wait


def test_hot_chat_spreads_over_targets_with_room() -> None:
    # Many requests of one chat arrive at once and its target is full. The others are asked in the
    # chat's rendezvous order, full ones last, so that its context is copied to few targets only.
    targets = [
        attrs.evolve(t, load=4) if t.target in ("engine-0", "engine-3") else t
        for t in make_targets(9)
    ]
    for number in range(30):
        request = make_request(f"chat-{number}", places=(make_place(0),))
        first = [choice.target for choice in plan(request, targets)]
        second = [choice.target for choice in plan(request, list(reversed(targets)))]
        assert first == second
        assert "engine-3" not in first[1:-1]


def test_loss_of_a_zone_moves_only_its_own_chats_and_evenly() -> None:
    # Three zones have nine targets; one zone leaves, and six targets remain. Chats whose home is in
    # another zone keep it. The chats of the lost zone are spread over all remaining targets, and
    # have their old homes again when it returns.
    targets = make_targets(9)
    remaining = [target for target in targets if target.zone != "zone-2"]
    moved: dict[str, int] = {}
    for number in range(900):
        chat = f"chat-{number}"
        before = find_home(chat, targets)
        during = find_home(chat, remaining)
        if any(target.target == before for target in remaining):
            assert during == before
        else:
            moved[during] = moved.get(during, 0) + 1
    assert len(moved) == len(remaining)
    assert max(moved.values()) < 2 * sum(moved.values()) / len(remaining)


def test_chat_stays_at_its_new_target_when_its_zone_returns() -> None:
    # The chat moved while its zone was unavailable, and its ticket names the new target. When the
    # zone returns, moving back to the home would need a new prefill of the whole context.
    targets = make_targets(9)
    home = find_home("chat", targets)
    other = next(t for t in targets if t.target != home and t.known)
    held = ContextLocation(other.target, other.boot_id, 0.0, 4_000)
    assert plan(make_request(places=(held,)), targets)[0].target == other.target


def test_three_targets_in_three_zones_are_all_tried() -> None:
    # One of three targets is full and one refuses: the third must be among the choices, and the
    # last choice waits as long as the deadline allows, so that the request is not refused while a
    # target could take it.
    targets = make_targets(3)
    choices = plan(make_request(tokens=10), targets)
    assert {choice.target for choice in choices} == {"engine-0", "engine-1", "engine-2"}
    assert choices[-1].max_wait == 10.0


def test_number_of_choices_is_limited() -> None:
    # With very many targets, ordering all of them would cost time for each a second time.
    assert len(plan(make_request(), make_targets(950))) <= 8


def test_short_prompt_stays_in_its_zone() -> None:
    # A short prompt without a ticket. Its home may be in another zone, which costs two round trips;
    # its prefill costs less than one of them. A long prompt goes to its home in whichever zone.
    targets = make_targets(9)
    for number in range(30):
        short = plan(make_request(f"chat-{number}", tokens=30), targets)
        assert short[0].target in ("engine-0", "engine-3", "engine-6")
    homes = {plan(make_request(f"chat-{number}"), targets)[0].target for number in range(60)}
    assert len(homes) == len(targets)


def test_short_prompt_leaves_a_full_zone() -> None:
    # Every target of the own zone last reported that it is full, so the prompt goes elsewhere.
    targets = [attrs.evolve(t, load=4) if t.known else t for t in make_targets(9)]
    first = plan(make_request(tokens=30), targets)[0].target
    assert first not in ("engine-0", "engine-3", "engine-6")
