"""Simulates targets that work at an uneven pace, in virtual time and with the product's placement.

Each of 45 targets is 2.5 times slower for 0.6 s at a time, a fifth of the time in all. 69 instances
choose a target for each request, by reports that are 20 to 300 ms old. Work that is expected at a
target but not reported yet is unknown to the other instances.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_right
from collections import Counter
from random import Random
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.capacity import SentWork
from rhubarbbend.core.catalog import Engine, Service
from rhubarbbend.core.directory import TargetRecord, TargetRegistry, TargetState
from rhubarbbend.core.placement import (
    BrittleTracker,
    HealthTracker,
    LoadTracker,
    PauseTracker,
    Placement,
    PlacementOptions,
    Prompt,
    PromptPart,
    TargetLoad,
)
from rhubarbbend.core.shares import ColdTargetShare

TARGETS: Final = 45
INSTANCES: Final = 69
ZONES: Final = "abcd"
SLOW_PACE: Final = 2.5
SLOW_S: Final = 0.6
USUAL_S: Final = 2.4
REPORT_AGES_S: Final = (0.02, 0.3)
# Between zones, there and back.
CROSSING_S: Final = 0.007
WARM_UP_S: Final = 2.0
# Requests to one target are counted by windows of this length, to see whether it is herded to.
WINDOW_S: Final = 0.2


class SimulatedRoute(msgspec.Struct, frozen=True):
    """A kind of request: its rate, prompt, events, step, objective and number of prompts."""

    name: str
    rate: float
    shared_tokens: int
    own_tokens: int
    events: int
    step_s: float
    objective_s: float
    prompts: int = 1


PROMPT_ROUTES: Final = (
    SimulatedRoute("report", 60.0, 10_512, 1_300, 42, 0.025, 0.645, 300),
    SimulatedRoute("summary", 90.0, 699, 130, 32, 0.025, 0.419, 300),
    SimulatedRoute("flag", 90.0, 2_041, 360, 3, 0.025, 0.422, 300),
)
PLAIN_ROUTES: Final = (SimulatedRoute("command", 900.0, 0, 0, 1, 0.08, 0.193),)
SECONDS_PER_TOKEN: Final = 0.00011
FETCH_FRACTION: Final = 1.0 / 3.0
ENGINES: Final = Service("llm", 610, 0.0, 0.0, Engine(32, 524_260, 163_840))
PLAIN: Final = Service("plain", 470, 0.0, 0.0)
SLOTS: Final = 32
PLAIN_SLOTS: Final = 6


class UnevenResult(msgspec.Struct, frozen=True):
    """What came of one run.

    `late` is the fraction of requests beyond their objective, `peak_share` the largest fraction of
    all requests of a window that went to one target, `over_bound` the fraction that was sent to a
    target above 2 x the mean + 3, `prefilled` the tokens read by request.
    """

    late: float
    peak_share: float
    over_bound: float
    prefilled: float
    sooner: float


class SimulatedTarget:
    """A target that works at an uneven pace, reads prompts one after another, and has slots."""

    def __init__(self, zone: str, slots: int, duration: float, random: Random) -> None:
        self.zone = zone
        self.slots = slots
        # Times at which the pace changes, slow from every odd one on.
        self._changes = [0.0]
        at = random.uniform(0.0, USUAL_S)
        while at < 4.0 * duration:
            self._changes += [at, at + SLOW_S]
            at += SLOW_S + random.expovariate(1.0 / USUAL_S)
        self._reading_until = 0.0
        self.ends: list[float] = []
        self._times = [-math.inf]
        self._counts = [0]
        self.cached: set[str] = set()

    def get_pace(self, at: float) -> float:
        """Return the pace at a time."""
        return 1.0 if bisect_right(self._changes, at) % 2 else SLOW_PACE

    def finish(self, start: float, work_s: float) -> float:
        """Return when work that takes so long at the usual pace ends if it starts then."""
        index = bisect_right(self._changes, start)
        while True:
            pace = 1.0 if index % 2 else SLOW_PACE
            end = self._changes[index] if index < len(self._changes) else math.inf
            if start + work_s * pace <= end:
                return start + work_s * pace
            work_s -= (end - start) / pace
            start = end
            index += 1

    def record_held(self, now: float) -> None:
        """Keep the number of requests held as of now."""
        self._times.append(now)
        self._counts.append(len(self.ends))

    def get_held(self, at: float) -> int:
        """Return the number of requests that it held at a time."""
        return self._counts[bisect_right(self._times, at) - 1]

    def run(self, route: SimulatedRoute, tokens: float, now: float) -> tuple[float, float]:
        """Run a request; return when its first and its last event come."""
        running = sorted(self.ends)
        begin = now if len(running) < self.slots else max(now, running[-self.slots])
        if tokens:
            begin = max(begin, self._reading_until)
            begin = self._reading_until = self.finish(begin, tokens * SECONDS_PER_TOKEN)
        first = self.finish(begin, route.step_s)
        last = self.finish(first, route.step_s * (route.events - 1))
        self.ends.append(last)
        self.record_held(now)
        return first, last


class SimulatedInstance:
    """One instance's view of the targets."""

    def __init__(self, number: int, targets: dict[str, SimulatedTarget], service: Service) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.loads = LoadTracker()
        registry = TargetRegistry()
        for name, target in targets.items():
            record = TargetRecord(
                name, service.name, "10.0.0.1", 80, target.zone, target.slots, TargetState.READY
            )
            registry.register(record, -100.0)
        registry.mark_initial_read_complete(0.0)
        self.placement = Placement(
            PlacementOptions(self.zone),
            registry,
            self.loads,
            HealthTracker(),
            ColdTargetShare(str(number), 1.5, 5.0),
            PauseTracker(),
            BrittleTracker(str(number), Random(number)),
        )


class UnevenSimulation:
    """Runs requests of some routes. All that happens follows from the seed."""

    def __init__(self, is_plain: bool, reports_pace: bool, seed: int, duration: float) -> None:
        self.random = Random(seed)
        self.duration = duration
        self.reports_pace = reports_pace
        self.service = PLAIN if is_plain else ENGINES
        self.routes = PLAIN_ROUTES if is_plain else PROMPT_ROUTES
        slots = PLAIN_SLOTS if is_plain else SLOTS
        self.targets = {
            f"t{number:02d}": SimulatedTarget(
                ZONES[number % len(ZONES)], slots, duration, Random(1_000 * seed + number)
            )
            for number in range(TARGETS)
        }
        self.instances = [
            SimulatedInstance(number, self.targets, self.service) for number in range(INSTANCES)
        ]
        for route in self.routes:
            for number in range(route.prompts):
                # What was sent to the targets before has been read there.
                shared = f"{route.name}-{number}"
                self.targets[rank_names(shared, self.targets)[0]].cached.add(shared)
        self.names = [str(number) for number in range(INSTANCES)]
        # Ends and first events of requests, in order of time.
        self.events: list[tuple[float, int, SimulatedInstance, SentWork, int, bool]] = []
        self.numbers = 0
        self.late = self.total = self.over = self.sooner = 0
        self.prefilled = 0.0
        self.windows: Counter[tuple[int, str]] = Counter()

    def run(self) -> UnevenResult:
        """Run to the end and return the result."""
        rate = sum(route.rate for route in self.routes)
        weights = [route.rate for route in self.routes]
        now = 0.0
        while now < self.duration:
            now += self.random.expovariate(rate)
            self._end_until(now)
            route = self.random.choices(self.routes, weights)[0]
            self._serve(self.random.choice(self.instances), route, now)
        shares: list[float] = []
        for window in {number for number, _ in self.windows}:
            counts = [self.windows[window, name] for name in self.targets]
            shares.append(max(counts) / sum(counts))
        return UnevenResult(
            self.late / self.total,
            sum(shares) / len(shares),
            self.over / self.total,
            self.prefilled / self.total,
            self.sooner / self.total,
        )

    def _serve(self, instance: SimulatedInstance, route: SimulatedRoute, now: float) -> None:
        self._report(instance, now)
        prompt = None
        if route.shared_tokens:
            shared = f"{route.name}-{self.random.randrange(route.prompts)}"
            own = PromptPart(f"own-{self.numbers}", route.own_tokens)
            prompt = Prompt((PromptPart(shared, route.shared_tokens), own))
        placement = instance.placement
        choice = placement.choose(
            self.service, prompt, set(), self.names, self.random, now, route=route.name
        )
        assert choice is not None
        name, target = choice.target.id, self.targets[choice.target.id]
        tokens = 0.0 if prompt is None else self._count_tokens(target, prompt)
        crossing = 0.0 if target.zone == instance.zone else CROSSING_S
        first, last = target.run(route, tokens, now + crossing / 2)
        placement.record_sent(choice, prompt, now, now)
        instance.loads.record_start(name)
        work = placement.estimator.record_sent(
            self.service.name, route.name, choice.target, choice.load, choice.unread, now
        )
        self.numbers += 1
        if prompt is not None:
            self._push(first + crossing / 2, instance, work, 0, False)
        self._push(last + crossing / 2, instance, work, route.events, True)
        if now < WARM_UP_S:
            return
        held = [len(other.ends) for other in self.targets.values()]
        self.total += 1
        self.late += first + crossing / 2 - now > route.objective_s
        self.over += len(target.ends) - 1 > 2.0 * sum(held) / len(held) + 3.0
        self.sooner += choice.reason.value == "sooner"
        self.prefilled += tokens
        self.windows[int(now / WINDOW_S), name] += 1

    def _count_tokens(self, target: SimulatedTarget, prompt: Prompt) -> float:
        """Return the tokens that a target has to read, and have it cache the prompt."""
        shared = prompt.parts[0]
        tokens = float(prompt.parts[-1].tokens)
        if shared.id not in target.cached:
            is_elsewhere = any(shared.id in other.cached for other in self.targets.values())
            tokens += shared.tokens * (FETCH_FRACTION if is_elsewhere else 1.0)
        target.cached.add(shared.id)
        return tokens

    def _report(self, instance: SimulatedInstance, now: float) -> None:
        """Tell an instance what targets reported a while ago."""
        reports: list[TargetLoad] = []
        for name, target in self.targets.items():
            age = self.random.uniform(*REPORT_AGES_S)
            pace = round(100.0 * target.get_pace(now - age)) if self.reports_pace else None
            held = target.get_held(now - age)
            reports.append(TargetLoad(name, held, age, target.slots, pace))
        instance.loads.merge_reports(reports, True, now)

    def _push(
        self, at: float, instance: SimulatedInstance, work: SentWork, events: int, is_end: bool
    ) -> None:
        heapq.heappush(self.events, (at, 2 * self.numbers + is_end, instance, work, events, is_end))

    def _end_until(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            at, _, instance, work, events, is_end = heapq.heappop(self.events)
            estimator = instance.placement.estimator
            if not is_end:
                estimator.record_first_event(work, at)
                continue
            estimator.record_answered(work, events, at)
            instance.loads.record_end(work.target)
            target = self.targets[work.target]
            target.ends.remove(min(target.ends))
            target.record_held(at)


def simulate(is_plain: bool, reports_pace: bool, seed: int, duration: float) -> UnevenResult:
    """Run one simulation of prompts, or of a plain service."""
    return UnevenSimulation(is_plain, reports_pace, seed, duration).run()
