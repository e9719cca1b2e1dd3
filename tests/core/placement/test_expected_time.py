"""The choice of a target by expected time, where targets report their pace."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec
import pytest

from loadtool._uneven_simulation import simulate
from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.capacity import ReportedLoad, UnreadTokens
from rhubarbbend.core.catalog import Service
from rhubarbbend.core.placement import (
    Choice,
    CountScope,
    InFlightUpdate,
    Reason,
    TargetLoad,
    compute_target_hash,
)
from tests.core.placement.test_placement import BOOKINGS, CHAT, ENGINES, INSTANCES, FleetView

NOW = 10.0


class PacedView(FleetView):
    """A fleet of which this instance knows the times, and whose targets may report a pace."""

    def __init__(self, reports_pace: bool = True) -> None:
        super().__init__()
        self.reports_pace = reports_pace
        for service, target in ((ENGINES, "engine-0"), (BOOKINGS, "plain-a")):
            self.learn(service, target)

    def learn(self, service: Service, target: str) -> None:
        """Run a few attempts: 0.1 ms a token, 20 ms a step, 100 ms for a whole answer."""
        found = self.registry.find(target)
        assert found is not None
        estimator = self.placement.estimator
        for _ in range(10):
            tokens = UnreadTokens(0.0 if service.engine is None else 1_000.0, True)
            work = estimator.record_sent(service.name, "r", found, 0.0, tokens, 1.0)
            if service.engine is not None:
                estimator.record_first_event(work, 1.12)
            estimator.record_answered(work, 11, 1.32 if service.engine is not None else 1.1)

    def report(self, target: str, pace: float, held: int = 0, age: float = 0.0) -> None:
        percent = round(100 * pace) if self.reports_pace else None
        self.loads.merge_reports([TargetLoad(target, held, age, 64, percent)], True, NOW)

    def report_all(self, pace: float = 1.0, **paces: float) -> None:
        for target in (*self.engines, "plain-a", "plain-b", "plain-c"):
            self.report(target, paces.get(target.replace("-", "_"), pace))

    def pick(
        self, service: Service, random: Random | None = None, objective: float = 0.0
    ) -> Choice:
        prompt = None if service.engine is None else CHAT
        random = random or Random(7)
        placement = self.placement
        choice = placement.choose(
            service, prompt, set(), INSTANCES, random, NOW, route="r", objective=objective
        )
        assert choice is not None
        return choice


def test_slow_target_of_the_own_zone_is_passed_over() -> None:
    view = PacedView()
    view.report_all(plain_a=2.5)
    choice = view.pick(BOOKINGS)
    assert choice.target.id != "plain-a" and choice.reason is Reason.SOONER
    assert choice.pace == pytest.approx(1.0) and choice.estimate == pytest.approx(0.1, rel=0.1)


def test_crossing_to_another_zone_needs_a_gain() -> None:
    view = PacedView()
    view.report_all(plain_a=1.1, plain_b=1.0)
    assert view.pick(BOOKINGS).target.id == "plain-a"


def test_prompt_leaves_its_home_only_if_another_target_is_much_sooner() -> None:
    # CHAT has 10,500 shared tokens: reading or fetching them elsewhere takes longer than a slow
    # home takes for the 300 tokens that it lacks.
    view = PacedView()
    view.report_all(**{view.home.replace("-", "_"): 2.5})
    assert view.pick(ENGINES).target.id == view.home
    # With another engine that has them cached the slow one is left.
    holder = rank_names(CHAT.affinity_key, view.engines)[4]
    view.placement.prompt_locations.record_sent(CHAT.affinity_key, holder, False, NOW - 1.0)
    view.placement.prompt_locations.record_sent(CHAT.affinity_key, view.home, False, NOW - 0.5)
    choice = view.pick(ENGINES)
    assert (choice.target.id, choice.reason) == (holder, Reason.SOONER)
    # Guards against prompts that are read again although their callers gain nothing.
    assert view.pick(ENGINES, objective=1.0).target.id == view.home
    assert view.pick(ENGINES, objective=0.1).target.id == holder


def test_load_bound_holds_for_targets_that_are_soonest() -> None:
    view = PacedView()
    view.report_all(2.0, plain_b=0.5)
    # The mean is 20 / 3, so 14 is above the bound of 1.5 x 6.7 + 3 = 13.
    view.start_requests("plain-b", 14)
    view.start_requests("plain-a", 3)
    view.start_requests("plain-c", 3)
    assert view.pick(BOOKINGS).target.id != "plain-b"


def test_same_reports_do_not_herd_instances_to_one_target() -> None:
    # All instances know the same figures; by the least estimate all would choose engine-5.
    counts: Counter[str] = Counter()
    view = PacedView()
    view.report_all(2.0, engine_5=0.5, engine_4=0.9)
    for number in range(300):
        placement = view.placement
        choice = placement.choose(ENGINES, None, set(), INSTANCES, Random(number), NOW, route="r")
        assert choice is not None
        counts[choice.target.id] += 1
    assert counts["engine-5"] < 0.8 * 300
    assert len(counts) >= 3


@pytest.mark.parametrize("service", [ENGINES, BOOKINGS])
def test_three_figures_give_the_same_choices_as_no_estimate(service: Service) -> None:
    plain, learned = FleetView(), PacedView(reports_pace=False)
    randoms = Random(3), Random(3)
    loads = Random(4)
    sent: list[str] = []
    prompt = None if service.engine is None else CHAT
    for number in range(200):
        at = NOW + number * 0.01
        target = loads.choice([*plain.engines, "plain-a", "plain-b", "plain-c"])
        held = loads.randrange(12)
        reported = ReportedLoad(running=held, waiting=0, slots=64)
        plain.loads.record_report(target, held, at)
        learned.loads.record_report(target, held, at, reported)
        chosen = [
            view.placement.choose(service, prompt, set(), INSTANCES, random, at, route="r")
            for view, random in zip((plain, learned), randoms, strict=True)
        ]
        assert chosen[0] is not None and chosen[1] is not None
        assert chosen[0].target.id == chosen[1].target.id
        assert chosen[0].reason is chosen[1].reason
        for view in (plain, learned):
            view.loads.record_start(chosen[0].target.id)
            if number > 20:
                view.loads.record_end(sent[number - 20])
        sent.append(chosen[0].target.id)
    assert randoms[0].random() == randoms[1].random()


def test_stale_reports_of_pace_give_the_choice_by_load() -> None:
    view = PacedView()
    view.report("plain-a", 2.5, age=30.0)
    assert view.pick(BOOKINGS).target.id == "plain-a"
    assert view.pick(BOOKINGS).reason is Reason.LEAST_LOADED


def test_figures_of_half_of_the_targets_are_enough() -> None:
    # Those that do not report are taken to work as usual.
    view = PacedView()
    view.report("plain-a", 2.5)
    assert view.pick(BOOKINGS).target.id in ("plain-b", "plain-c")


def test_counts_of_half_of_the_instances_still_keep_requests_below_the_bound() -> None:
    view = PacedView()
    view.report_all()
    view.loads.expected_peers = 2
    counts = {compute_target_hash("engine-3"): 9}
    update = InFlightUpdate("a-2", CountScope.SENDER_GROUP, 1, True, counts, 1)
    view.loads.record_peer_update(update, NOW)
    for number in range(50):
        choice = view.placement.choose(
            ENGINES, None, set(), INSTANCES, Random(number), NOW, route="r"
        )
        assert choice is not None and choice.reason is Reason.SOONER
        assert choice.target.id != "engine-3"


@pytest.mark.parametrize("pace", [0.0, -2.0, 1e6])
def test_invalid_pace_does_not_attract_requests(pace: float) -> None:
    view = PacedView()
    view.report_all(plain_b=pace)
    assert view.pick(BOOKINGS).target.id == "plain-a"
    assert view.loads.capacity.invalid_count > 0


def test_estimate_is_the_least_over_the_targets_that_could_be_chosen() -> None:
    view = PacedView()
    view.pick(BOOKINGS)
    estimate = view.placement.estimate_first_event
    assert estimate(BOOKINGS, "r", None, NOW) == pytest.approx(0.1, rel=0.05)
    view.report_all(3.0, plain_c=2.0)
    assert estimate(BOOKINGS, "r", None, NOW + 0.05) == pytest.approx(0.19, rel=0.1)
    unknown = msgspec.structs.replace(BOOKINGS, name="unknown")
    assert estimate(unknown, "r", None, NOW) is None
    # Its home reads 300 tokens of the prompt.
    assert estimate(ENGINES, "r", CHAT, NOW) == pytest.approx(0.05 * 3.0, rel=0.2)


def test_reports_of_pace_are_passed_on_and_older_builds_read_them() -> None:
    view = PacedView()
    view.loads.record_report("e", 4, NOW, ReportedLoad(running=3, waiting=1, slots=12, pace=1.5))
    sent = view.loads.list_reports_since(NOW - 1.0, True, NOW + 0.1)
    assert sent == [TargetLoad("e", 4, 0.1, 12, 150)]
    data = msgspec.msgpack.encode(sent)
    assert msgspec.msgpack.decode(data, type=list[TargetLoad]) == sent

    class OldTargetLoad(msgspec.Struct, array_like=True):
        target: str
        held: int
        age: float

    assert msgspec.msgpack.decode(data, type=list[OldTargetLoad])[0].held == 4
    old = msgspec.msgpack.encode([OldTargetLoad("e", 4, 0.1)])
    assert msgspec.msgpack.decode(old, type=list[TargetLoad]) == [TargetLoad("e", 4, 0.1)]


@pytest.mark.parametrize(("is_plain", "fraction"), [(True, 0.65), (False, 0.8)])
def test_fewer_requests_are_late_than_by_their_number(is_plain: bool, fraction: float) -> None:
    # 45 targets that are 2.5 times slower for 0.6 s at a time, 69 instances, reports that are 20 to
    # 300 ms old.
    duration = 4.0 if is_plain else 8.0
    by_number = simulate(is_plain, False, 1, duration)
    by_time = simulate(is_plain, True, 1, duration)
    assert by_time.late < fraction * by_number.late
    # No target gets more at once or beyond the bound, and prompts are not read again.
    assert by_time.peak_share < 1.15 * by_number.peak_share
    assert by_time.over_bound < by_number.over_bound + 0.005
    assert by_time.prefilled <= 1.15 * by_number.prefilled
