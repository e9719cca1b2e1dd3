"""Admission of requests when the available engines cannot take all of them within the load bound.

Pattern: operators take two of three zones out of service, and 40 requests a second of 1 s each
arrive at six instances for the three remaining engines. Their load is three times the mean of the
service, however it is distributed; only rejections keep them within twice the mean plus 3.
"""

from __future__ import annotations

import heapq
from random import Random

import pytest

from rhubarbbend.core.placement import (
    CountScope,
    InFlightPublisher,
    Prompt,
    PromptPart,
    Reason,
    Rejection,
    compute_target_hash,
)
from tests.core.placement.test_placement import ENGINES, INSTANCES, FleetView

FACTOR, SLACK = 2.0, 3.0
# The requirement: at most this fraction of the requests may reach an engine above the bound.
MAX_OVER_BOUND_FRACTION = 0.03
REQUESTS_PER_S, DURATION_S, REQUEST_TIME_S = 40.0, 10.0, 1.0
# How often instances send one another their in-flight requests.
UPDATE_INTERVAL_S = 0.05
# With 9 requests on each of three engines out of nine, each of the three is at the bound.
MAX_HELD = 27


def make_view() -> FleetView:
    """Make an instance's view of three engines that are available and six that are idle."""
    view = FleetView()
    view.loads.expected_peers = 0
    view.registry.take_zone_out_of_service("b", 0.0)
    view.registry.take_zone_out_of_service("c", 0.0)
    return view


def make_prompt(key: str) -> Prompt:
    return Prompt((PromptPart("common", 500), PromptPart(key, 9_000), PromptPart("own", 100)))


class LoadSimulation:
    """Sends the requests through instances that exchange their in-flight counts."""

    def __init__(self) -> None:
        self.fleet = {name: make_view() for name in INSTANCES}
        self.publishers = {name: InFlightPublisher(name) for name in INSTANCES}
        self.ends: list[tuple[float, str, str]] = []
        self.sent = self.over = 0

    def run(self, random: Random) -> None:
        """Send the requests; count those sent, and those sent to an engine above the bound."""
        now = update_at = 10.0
        while now < 10.0 + DURATION_S:
            now += random.expovariate(REQUESTS_PER_S)
            while self.ends and self.ends[0][0] <= now:
                _, name, engine = heapq.heappop(self.ends)
                self.fleet[name].loads.record_end(engine)
            if now >= update_at:
                self.send_updates(now)
                update_at = now + UPDATE_INTERVAL_S
            self.send(random.choice(INSTANCES), random, now)

    def send_updates(self, now: float) -> None:
        """Let each instance send its counts to all others."""
        for name, view in self.fleet.items():
            view.loads.expected_peers = len(INSTANCES) - 1
            own = {
                compute_target_hash(e): count for e, count in view.loads.get_own_counts().items()
            }
            update = self.publishers[name].prepare_update(
                "all", CountScope.SENDER_GROUP, own, 1, now
            )
            for other in self.fleet.keys() - {name}:
                if update is not None:
                    self.fleet[other].loads.record_peer_update(update, now)

    def send(self, name: str, random: Random, now: float) -> None:
        """Let an instance send or reject one request."""
        view = self.fleet[name]
        choice = view.choose(make_prompt(f"chat-{random.randrange(200)}"), now, random=random)
        if choice is None:
            assert view.placement.last_rejections == {Rejection.LOAD: 3}
            return
        engine = choice.target.id
        held = {e: sum(v.loads.count_own(e) for v in self.fleet.values()) for e in view.engines}
        self.sent += 1
        self.over += held[engine] > FACTOR * sum(held.values()) / len(held) + SLACK
        view.loads.record_start(engine)
        heapq.heappush(self.ends, (now + REQUEST_TIME_S, name, engine))


def test_remaining_engines_stay_within_the_load_bound() -> None:
    # LIMIT: guards against choosing the least loaded engine, however much it holds, when all
    # engines are above the bound.
    simulation = LoadSimulation()
    simulation.run(Random(3))
    assert simulation.over <= MAX_OVER_BOUND_FRACTION * simulation.sent
    assert simulation.sent > 0.8 * MAX_HELD * DURATION_S / REQUEST_TIME_S


def test_requests_without_a_prompt_are_rejected_as_well() -> None:
    view = make_view()
    load_available_engines(view, 30)
    assert view.placement.choose(ENGINES, None, set(), INSTANCES, Random(1), 10.0) is None
    assert view.placement.last_rejections == {Rejection.LOAD: 3}


def load_available_engines(view: FleetView, requests: int) -> None:
    for engine in ("engine-0", "engine-3", "engine-6"):
        view.start_requests(engine, requests)


@pytest.mark.parametrize("why", ["begun elsewhere", "others lost", "others silent"])
def test_requests_are_not_rejected_if_the_bound_does_not_apply(why: str) -> None:
    # No request is rejected because of load if it continues a chat after its engine crashed, if the
    # other engines are cut off, or if other instances are and their requests are not known.
    view = make_view()
    load_available_engines(view, 30)
    assert view.choose() is None
    if why == "others lost":
        for engine in view.engines[1:3] + view.engines[4:6] + view.engines[7:]:
            view.health.record_unreachable(engine, 9.0)
    elif why == "others silent":
        view.loads.expected_peers = 5
    choice = view.choose(excluded={"engine-9"} if why == "begun elsewhere" else None)
    assert choice is not None and choice.reason is not Reason.HOME
