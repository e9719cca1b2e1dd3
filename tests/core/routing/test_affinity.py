"""The default policy: where a request is sent, and how long it waits there."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs

from rhubarbbend.core.routing import POLICIES, Candidate, Choice, Reason, RoutedRequest
from rhubarbbend.core.routing._tickets import Place, Ticket

RATE = 10_000.0


def make_targets(count: int, zones: int = 3, own: int = 0) -> list[Candidate]:
    """Make idle, warm targets spread over zones; those of other zones are unknown."""
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
    chat: str = "chat", tokens: int = 4_000, places: tuple[Place, ...] = (), **changes: Any
) -> RoutedRequest:
    """Make a request whose ticket, if any, names the places."""
    ticket = Ticket(places) if places else None
    request = RoutedRequest(chat, tokens, ticket, 10.0, 10.0, RATE, 0.0)
    return attrs.evolve(request, **changes)


def plan(request: RoutedRequest, targets: list[Candidate]) -> list[Choice]:
    """Plan with the default policy."""
    return POLICIES.find("affinity")().plan(request, targets, Random(1))


def find_home(chat: str, targets: list[Candidate]) -> str:
    """Find where a chat without a ticket goes first."""
    return plan(make_request(chat), targets)[0].target


def place(number: int, tokens: int = 4_000, boot: str | None = None) -> Place:
    """Make a ticket's place."""
    return Place(f"engine-{number}", f"boot-{number}" if boot is None else boot, 0.0, tokens)


def test_lost_ticket_leads_home_from_every_instance() -> None:
    # The caller lost its ticket and asks an instance of another zone, whose list is in another
    # order and which knows other loads. Both instances send the chat to the same target.
    here = make_targets(9, own=0)
    there = list(reversed(make_targets(9, own=1)))
    for number in range(50):
        assert find_home(f"chat-{number}", here) == find_home(f"chat-{number}", there)


def test_cold_target_at_same_address_is_not_followed() -> None:
    # A target restarted under its name and address. Its owner reports another boot id, so the
    # context that the ticket names is gone, and waiting for the target would gain nothing.
    targets = make_targets(6)
    choices = plan(make_request(places=(place(0, boot="boot-before"),)), targets)
    assert all(choice.reason is not Reason.TICKET for choice in choices)


def test_long_context_waits_and_short_chat_moves() -> None:
    # Both chats' targets are full. The long one waits for a few times as long as reading its
    # context elsewhere would take; the short one moves after a wait that nobody notices.
    targets = make_targets(6)
    long = plan(make_request(places=(place(0, tokens=8_000),), tokens=8_000), targets)
    short = plan(make_request(places=(place(0, tokens=40),), tokens=40), targets)
    assert long[0].target == short[0].target == "engine-0"
    assert 8_000 / RATE <= long[0].max_wait <= 3 * 8_000 / RATE
    assert short[0].max_wait <= 0.02
    assert short[1].target != "engine-0" and short[1].max_wait == 0.0


def test_much_larger_chat_leaves_time_to_be_served_elsewhere() -> None:
    # Reading this context takes a minute, its caller gives it ten seconds. Waiting for its own
    # target until the deadline would lose the request although another target could take it.
    request = make_request(places=(place(0, tokens=600_000),), tokens=600_000, time_left=10.0)
    assert plan(request, make_targets(6))[0].max_wait <= 5.0


def test_ticket_leads_to_the_longest_context_second() -> None:
    # The chat moved once and its new place holds little. When that one refuses, the place that
    # holds the longest context is asked before any that would have to read it all.
    request = make_request(places=(place(1, tokens=200), place(4, tokens=6_000)))
    choices = plan(request, make_targets(6))
    assert [choice.target for choice in choices[:2]] == ["engine-1", "engine-4"]
    assert choices[1].max_wait > choices[0].max_wait


def test_hot_chat_spreads_over_targets_with_room() -> None:
    # Many requests of one chat come at once and its target is full. The others are asked in the
    # chat's own order, known full ones last, so that its copies gather on the same few targets.
    targets = [
        attrs.evolve(t, load=4) if t.target in ("engine-0", "engine-3") else t
        for t in make_targets(9)
    ]
    for number in range(30):
        request = make_request(f"chat-{number}", places=(place(0),))
        first = [choice.target for choice in plan(request, targets)]
        second = [choice.target for choice in plan(request, list(reversed(targets)))]
        assert first == second
        assert "engine-3" not in first[1:-1]


def test_zone_out_moves_only_its_own_chats_and_evenly() -> None:
    # A zone of six targets' nine leaves. Chats at home in the others stay where they are; its own
    # are spread over all that remain, and go back home when it returns.
    targets = make_targets(9)
    rest = [target for target in targets if target.zone != "zone-2"]
    moved: dict[str, int] = {}
    for number in range(900):
        chat = f"chat-{number}"
        before = find_home(chat, targets)
        during = find_home(chat, rest)
        if any(target.target == before for target in rest):
            assert during == before
        else:
            moved[during] = moved.get(during, 0) + 1
    assert len(moved) == len(rest)
    assert max(moved.values()) < 2 * sum(moved.values()) / len(rest)


def test_chats_stay_where_they_moved_when_the_zone_returns() -> None:
    # The chat was moved while its zone was out; its ticket names the new place. The zone returns,
    # and going home would read the whole context again.
    targets = make_targets(9)
    home = find_home("chat", targets)
    other = next(t for t in targets if t.target != home and t.known)
    held = Place(other.target, other.boot_id, 0.0, 4_000)
    assert plan(make_request(places=(held,)), targets)[0].target == other.target


def test_three_targets_in_three_zones_are_all_tried() -> None:
    # One of three targets is full and one refuses: the third is in the plan, and the last choice
    # waits until the deadline allows, so that the request is not refused while one could take it.
    targets = make_targets(3)
    choices = plan(make_request(tokens=10), targets)
    assert {choice.target for choice in choices} == {"engine-0", "engine-1", "engine-2"}
    assert choices[-1].max_wait == 10.0


def test_orders_no_more_targets_than_are_asked() -> None:
    # The plan of a service with very many targets must not cost time for each of them twice.
    assert len(plan(make_request(), make_targets(950))) <= 8


def test_prompt_that_is_read_at_once_stays_in_its_zone() -> None:
    # A desk's short question without a ticket. Its home may be in another zone, two trips away;
    # reading the question costs less than one of them. A long prompt goes to its home, wherever.
    targets = make_targets(9)
    for number in range(30):
        short = plan(make_request(f"chat-{number}", tokens=30), targets)
        assert short[0].target in ("engine-0", "engine-3", "engine-6")
    homes = {plan(make_request(f"chat-{number}"), targets)[0].target for number in range(60)}
    assert len(homes) == len(targets)


def test_short_prompt_leaves_a_zone_that_is_full() -> None:
    # Every target of the own zone is full when last heard. The question goes to another zone.
    targets = [attrs.evolve(t, load=4) if t.known else t for t in make_targets(9)]
    first = plan(make_request(tokens=30), targets)[0].target
    assert first not in ("engine-0", "engine-3", "engine-6")
