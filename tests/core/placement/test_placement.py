"""Placement: homes, bounds and what a request is told when it has to move."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.catalog import Engine, Service
from rhubarbbend.core.directory import Directory, TargetRecord, TargetState
from rhubarbbend.core.placement import (
    Choice,
    HealthBook,
    LoadBook,
    Placement,
    PlacementOptions,
    Prompt,
    PromptPart,
    Reason,
    SourceOptions,
)
from rhubarbbend.core.shares import ColdAllowance

ENGINES = Service("llm", 360, 3.0, 11.0, Engine(64, 480_000, 163_840))
BOOKINGS = Service("bookings", 96, 0.0, 0.0)
INSTANCES = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"]
CHAT = Prompt((PromptPart("common", 500), PromptPart("chat-7", 10_000), PromptPart("own", 300)))


def make_record(target: str, service: str, zone: str, **fields: object) -> TargetRecord:
    record = TargetRecord(target, service, "10.0.0.1", 8000, zone, 64, TargetState.READY)
    return msgspec.structs.replace(record, **fields)


class World:
    """Nine engines and three plain targets in three zones, as one instance sees them."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.loads = LoadBook()
        self.health = HealthBook()
        self.cold = ColdAllowance("a-1", 1.5, 5.0)
        options = PlacementOptions("a", 2.0)
        self.placement = Placement(options, self.directory, self.loads, self.health, self.cold)
        self.engines = [f"engine-{number}" for number in range(9)]
        for number, engine in enumerate(self.engines):
            self.directory.register(make_record(engine, "llm", "abc"[number % 3]), -100.0)
        for zone in "abc":
            self.directory.register(make_record(f"plain-{zone}", "bookings", zone), -100.0)

    def choose(
        self,
        prompt: Prompt | None = CHAT,
        now: float = 10.0,
        excluded: set[str] | None = None,
        random: Random | None = None,
    ) -> Choice | None:
        service = BOOKINGS if prompt is None else ENGINES
        random = random or Random(7)
        return self.placement.choose(service, prompt, excluded or set(), INSTANCES, random, now)

    def load(self, target: str, requests: int) -> None:
        for _ in range(requests):
            self.loads.begin(target)

    @property
    def home(self) -> str:
        return rank_names(CHAT.affinity_key, self.engines)[0]


def test_requests_of_a_chat_go_to_one_home_from_every_instance() -> None:
    other = Prompt((*CHAT.parts[:2], PromptPart("another-own", 20)))
    for world in (World(), World()):
        for prompt in (CHAT, other):
            choice = world.choose(prompt)
            assert choice is not None
            assert (choice.target.id, choice.reason) == (world.home, Reason.HOME)


def test_a_home_above_the_bound_is_passed_over_and_named_as_the_source() -> None:
    # A key gets much of the traffic: its home holds more than the bound allows, so the next
    # engine in the order takes the request and fetches the shared parts from the home.
    world = World()
    world.load(world.home, 12)
    choice = world.choose()
    assert choice is not None
    assert choice.target.id == rank_names(CHAT.affinity_key, world.engines)[1]
    assert choice.reason is Reason.MOVED
    assert choice.source is not None and choice.source.id == world.home


def test_the_bound_counts_the_idle_targets_of_a_zone_that_is_out() -> None:
    # Operators take a zone out. Its engines stand idle but belong to the service, so the mean is
    # lower than that of the working ones; measured against theirs alone, the home of a hot key
    # would get requests at over twice the mean.
    world = World()
    for engine in world.engines:
        target = world.directory.find(engine)
        assert target is not None
        if target.zone != "b":
            world.load(engine, 6)
    world.directory.take_zone_out("b", 0.0)
    home = next(
        name for name in rank_names(CHAT.affinity_key, world.engines) if name[-1] not in "147"
    )
    world.load(home, 3)
    # Mean of all nine: 39 / 9 = 4.3, so the home's nine are above 1.5 x 4.3 + 3 = 9.5 with one
    # more; the mean of the six working ones, 6.5, would allow 12.
    world.load(home, 1)
    choice = world.choose()
    assert choice is not None and choice.target.id != home


def test_a_cold_home_is_passed_over_while_warm_targets_fit() -> None:
    world = World()
    world.directory.register(make_record(world.home, "llm", "a", boot=5, cold_left=3.0), 9.0)
    choice = world.choose(now=10.0)
    assert choice is not None and choice.target.id != world.home
    later = world.choose(now=13.0)
    assert later is not None and later.target.id == world.home


def test_cold_targets_get_no_more_than_this_instance_s_part() -> None:
    # After a power loss every engine comes back cold at once. The bound of 11 x 1.5 + 5 = 21
    # requests a second is split among six instances, so each sends three.
    world = World()
    for engine in world.engines[1:]:
        world.directory.unregister(engine, 0.0)
    only = world.engines[0]
    world.directory.register(make_record(only, "llm", "a", boot=5, cold_left=30.0), 9.0)
    sent = 0
    for step in range(100):
        now = 10.0 + step * 0.01
        choice = world.choose(now=now)
        if choice is not None:
            world.placement.note_chosen(choice.target, now)
            sent += 1
    assert sent == 3


def test_a_new_home_fetches_from_where_the_parts_were_sent_last() -> None:
    world = World()
    first = world.choose()
    assert first is not None
    world.placement.note_sent(first, CHAT, 10.0, 10.0)
    # A new engine becomes the home of the chat, and the one that holds it leaves.
    newcomer = next(
        name
        for name in (f"new-{number}" for number in range(1_000))
        if rank_names(CHAT.affinity_key, [*world.engines, name])[0] == name
    )
    world.directory.register(make_record(newcomer, "llm", "a"), 11.0)
    stays = world.choose(now=12.0)
    assert stays is not None and (stays.target, stays.reason) == (first.target, Reason.HELD)
    leaving = make_record(first.target.id, "llm", first.target.zone, state=TargetState.DRAINING)
    world.directory.register(leaving, 12.0)
    choice = world.choose(now=12.0)
    assert choice is not None and choice.target.id == newcomer
    assert choice.source is not None and choice.source.id == first.target.id


@pytest.mark.parametrize("state", ["zone out", "draining", "unreachable", "tried"])
def test_a_target_that_may_not_get_work_is_never_chosen(state: str) -> None:
    world = World()
    excluded: set[str] = set()
    for engine in world.engines[1:]:
        world.directory.unregister(engine, 0.0)
    only = world.engines[0]
    if state == "zone out":
        world.directory.take_zone_out("a", 0.0)
    elif state == "draining":
        world.directory.register(make_record(only, "llm", "a", state=TargetState.DRAINING), 9.0)
    elif state == "unreachable":
        world.health.note_unreachable(only, 9.9)
    else:
        excluded = {only}
    assert world.choose(excluded=excluded) is None


def test_plain_requests_go_to_the_least_loaded_target_and_prefer_the_own_zone() -> None:
    world = World()
    near = world.choose(None)
    assert near is not None and near.target.id == "plain-a"
    world.load("plain-a", 2)
    world.load("plain-b", 1)
    choice = world.choose(None)
    assert choice is not None and choice.target.id == "plain-c"


def test_a_target_that_fails_while_others_do_not_is_avoided() -> None:
    # A target fails part of its requests while its own word is that it is well.
    world = World()
    for number in range(8):
        world.health.note_answer("plain-a", number % 2 == 0, 9.0)
        world.health.note_answer("plain-b", False, 9.0)
        world.health.note_answer("plain-c", False, 9.0)
    choice = world.choose(None)
    assert choice is not None and choice.target.id != "plain-a"


def test_what_all_targets_fail_alike_is_no_reason_to_avoid_one() -> None:
    health = HealthBook()
    for target in ("x", "y", "z"):
        for _ in range(8):
            health.note_answer(target, True, 9.0)
    assert health.list_failing(["x", "y", "z"], 9.0) == set()


def test_a_target_s_word_on_its_load_fades() -> None:
    loads = LoadBook()
    loads.begin("x")
    loads.take_report("x", 7, 10.0)
    assert loads.estimate("x", True, 10.0) == 7.0
    assert 1.0 < loads.estimate("x", True, 12.0) < 7.0
    assert loads.estimate("x", True, 20.0) == 1.0
    loads.end("x")
    assert loads.estimate("x", True, 20.0) == 0.0


def test_holds_on_unreachable_targets_grow_and_end() -> None:
    health = HealthBook()
    assert health.note_unreachable("x", 0.0) == pytest.approx(0.25)
    assert health.is_down("x", 0.2) and not health.is_down("x", 0.3)
    assert health.note_unreachable("x", 0.3) == pytest.approx(0.8)
    for step in range(10):
        health.note_unreachable("x", 10.0 + step * 10.0)
    assert health.note_unreachable("x", 200.0) == pytest.approx(200.6)
    health.note_answer("x", False, 200.5)
    assert not health.is_down("x", 200.55)


def test_one_lost_packet_holds_no_target_down() -> None:
    # A link loses one packet in twenty. The first of a new connection is sent again after a
    # second only, so such a connection times out although its target is well.
    health = HealthBook()
    health.note_timeout("x", 0.0)
    assert not health.is_down("x", 0.0)
    health.note_answer("x", False, 0.5)
    health.note_timeout("x", 1.0)
    assert not health.is_down("x", 1.0)
    health.note_timeout("x", 2.0)
    assert health.is_down("x", 2.1)


def test_a_target_that_has_started_anew_holds_nothing_of_before() -> None:
    # An engine crashes and comes back under its id with an empty memory. What was sent to the
    # start before is no reason to send the chat there rather than to its home.
    world = World()
    world.directory.finish_first_read()
    second = rank_names(CHAT.affinity_key, world.engines)[1]
    world.load(world.home, 12)
    moved = world.choose()
    assert moved is not None and moved.target.id == second
    world.placement.note_sent(moved, CHAT, 10.0, 10.0)
    for _ in range(12):
        world.loads.end(world.home)
    held = world.choose(now=11.0)
    assert held is not None and (held.target.id, held.reason) == (second, Reason.HELD)
    world.directory.register(make_record(second, "llm", held.target.zone, boot=9), 12.0)
    home = world.choose(now=13.0)
    assert home is not None and (home.target.id, home.reason) == (world.home, Reason.HOME)


def test_a_zone_that_goes_out_gives_up_its_prompts_within_the_grace() -> None:
    world = World()
    options = PlacementOptions("a", 2.0, SourceOptions(evacuation_grace=5.0))
    placement = Placement(options, world.directory, world.loads, world.health, world.cold)
    world.placement = placement
    first = world.choose()
    assert first is not None
    placement.note_sent(first, CHAT, 10.0, 10.0)
    world.directory.take_zone_out(first.target.zone, 10.5)
    early = world.choose(now=12.0)
    assert early is not None and early.source is first.target
    late = world.choose(now=15.0)
    assert late is not None and late.source is not first.target
