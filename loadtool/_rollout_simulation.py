"""Plays one seeded roll-out of the core alone, in virtual time and without a network.

Callers, targets of two versions and instances are simulated; the instances' participants and the
coordinator are the real ones. The play is judged from what callers and targets see.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec

from loadtool._rollout_scenario import Badness, Play, Route, Site, Trouble
from rhubarbbend.core.rollouts import (
    Assignment,
    ExposureOptions,
    Outcome,
    RolloutCoordinator,
    RolloutOrder,
    RolloutParticipant,
    RolloutPhase,
    Ruling,
    Speed,
    TargetCounts,
    name_target,
)

DURATION_S: Final = 12.0
REPORT_INTERVAL_S: Final = 0.5
SHIFT_REPORT_INTERVAL_S: Final = 0.25
MESSAGE_DELAY_S: Final = 0.004
# An instance learns of the order within this time.
MAX_ORDER_DELAY_S: Final = 0.4
STOP_BAD_ANSWERS: Final = 50
# A restarted instance is away for this time.
RESTART_S: Final = 1.5
TRIAL_TARGETS_SHARE: Final = 0.1
# The objective of an answer; a late one counts as bad from this multiple of its usual duration.
BAD_SLOWDOWN: Final = 2.0


class StagedParticipant(RolloutParticipant):
    """The other way: stages that grow with time as long as no evidence speaks against them."""

    STAGES: Final = ((0.75, 1.0), (0.5, 0.5), (0.25, 0.25), (0.0, 0.05))

    def assign(
        self, route: str, idempotent: bool, fraction: float | None, now: float
    ) -> Assignment:
        """Return to which version a request goes: a share to the new that depends on the age."""
        self.evidence.record_request(route, idempotent)
        self.sequence += 1
        if self.is_stopped or self.ruling is None:
            return Assignment(False)
        passed = self.compute_age(now) / self.order.duration_s
        share = next(share for from_fraction, share in self.STAGES if passed >= from_fraction)
        is_candidate = (self._random.random() if fraction is None else fraction) < share
        self.evidence.exposed += is_candidate
        return Assignment(is_candidate)


Make = Callable[[RolloutOrder, ExposureOptions, int, bool, Random, float], RolloutParticipant]
DESIGNS: Final[dict[str, Make]] = {"capped": RolloutParticipant, "staged": StagedParticipant}


class _Instance:
    """One simulated instance."""

    __slots__ = ("name", "participant", "restarts", "up_at")

    def __init__(self, name: str) -> None:
        self.name = name
        self.participant: RolloutParticipant | None = None
        self.restarts = 0
        self.up_at = 0.0


def _name(target: str) -> str:
    return name_target(f"zone-{int(target.partition('-')[2]) % 3}", target)


class Simulation:
    """One roll-out. Invariant: events are handled in the order of their times."""

    def __init__(
        self, site: Site, badness: Badness, trouble: Trouble, design: str, seed: int
    ) -> None:
        self._site = site
        self._badness = badness
        self._trouble = trouble
        self._make = DESIGNS[design]
        self._random = Random(f"{seed}/{site.name}/{badness}/{trouble.value}")
        self._order = RolloutOrder("service", "new", DURATION_S, 1)
        self._instances = [_Instance(f"i{number}") for number in range(site.instances)]
        self._coordinator: RolloutCoordinator | None = None
        self._ruling: Ruling | None = None
        self._number = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._loads: dict[str, int] = {}
        self._old_in_flight = {route.name: 0 for route in site.routes}
        trials = max(2, round(TRIAL_TARGETS_SHARE * site.targets))
        self._trial_targets = [f"new-{number}" for number in range(trials)]
        self._begin_s = self._random.uniform(2.0, 9.0)
        self.play = Play()

    def run(self) -> Play:
        """Play the roll-out to its deadline and return what was seen."""
        for route in self._site.routes:
            self._at(self._random.expovariate(route.per_s), self._make_arrival(route))
        for instance in self._instances:
            delay = self._random.uniform(0.02, MAX_ORDER_DELAY_S)
            self._at(delay, self._make_start(instance, True))
        self._at(MAX_ORDER_DELAY_S, self._decide)
        self._schedule_trouble()
        while self._events:
            now, _, handle = heapq.heappop(self._events)
            if now > DURATION_S:
                break
            handle(now)
        return self.play

    def _at(self, time_s: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._number), handle))

    def _schedule_trouble(self) -> None:
        if self._trouble is Trouble.COORDINATOR_KILLED:
            for time_s in (self._begin_s, self._random.uniform(9.0, 11.2)):
                self._at(time_s, self._kill_coordinator)
        if self._trouble is Trouble.INSTANCES_RESTART:
            for instance in self._instances[::3]:
                self._at(self._random.uniform(1.0, 11.0), self._make_restart(instance))

    # Instances.

    def _make_start(self, instance: _Instance, was_running: bool) -> Callable[[float], None]:
        def start(now: float) -> None:
            options, count = self._site.options, len(self._instances)
            instance.participant = self._make(
                self._order, options, count, was_running, self._random, now
            )
            self._at(
                now + self._random.uniform(0.0, REPORT_INTERVAL_S), self._make_report(instance)
            )

        return start

    def _make_restart(self, instance: _Instance) -> Callable[[float], None]:
        def restart(now: float) -> None:
            instance.participant = None
            instance.restarts += 1
            instance.up_at = now + RESTART_S
            self._at(instance.up_at, self._make_start(instance, False))

        return restart

    def _make_report(self, instance: _Instance) -> Callable[[float], None]:
        process = instance.restarts

        def report(now: float) -> None:
            participant = instance.participant
            if participant is None or instance.restarts != process:
                return
            if self._coordinator is not None:
                copy = msgspec.msgpack.decode(
                    msgspec.msgpack.encode(participant.evidence), type=type(participant.evidence)
                )
                self._coordinator.record_age(participant.compute_age(now), now)
                sender = f"{instance.name}/{process}"
                self._coordinator.record_evidence(sender, participant.sequence, copy, now)
                if self._ruling is not None:
                    age_s = now - self._coordinator.ordered_at
                    ruling = msgspec.structs.replace(self._ruling, age_s=age_s)
                    participant.record_ruling(ruling, now + MESSAGE_DELAY_S)
            is_shifting = self._ruling is not None and (self._ruling.phase is RolloutPhase.SHIFTING)
            interval_s = SHIFT_REPORT_INTERVAL_S if is_shifting else REPORT_INTERVAL_S
            self._at(now + interval_s, report)

        return report

    # The coordinator.

    def _kill_coordinator(self, now: float) -> None:
        self._coordinator = None
        self._ruling = None

    def _decide(self, now: float) -> None:
        if self.play.phase.is_final:
            return
        if self._coordinator is None:
            self._coordinator = RolloutCoordinator(self._order, self._site.options, now)
        targets = TargetCounts(self._site.targets, self._site.targets)
        ruling = self._coordinator.decide(targets, len(self._instances), now)
        if ruling.phase.is_final:
            self._end(ruling, now)
        if ruling.phase is RolloutPhase.SUCCEEDED:
            ruling = msgspec.structs.replace(ruling, phase=RolloutPhase.SHIFTING)
        self._ruling = ruling
        self._at(now + self._coordinator.compute_pause(now), self._decide)

    def _end(self, ruling: Ruling, now: float) -> None:
        self.play.phase = ruling.phase
        self.play.ended_at = now
        self.play.reason = ruling.reason
        if ruling.phase is RolloutPhase.SUCCEEDED:
            for route in self._site.routes:
                count = self._old_in_flight[route.name]
                if route.idempotent:
                    self.play.repeated += count
                else:
                    self.play.lost += count

    # Requests.

    def _make_arrival(self, route: Route) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            rate = route.per_s
            if self._trouble is Trouble.BURST and self._begin_s <= now < self._begin_s + 3.0:
                rate *= 2.5
            self._at(now + self._random.expovariate(rate), arrive)
            instance = self._random.choice(self._instances)
            if now < instance.up_at:
                return
            self.play.requests += 1
            self._send(instance, route, now)

        return arrive

    def _send(self, instance: _Instance, route: Route, now: float) -> None:
        participant = instance.participant
        is_new = self.play.phase is RolloutPhase.SUCCEEDED
        chat = self._random.randrange(max(1, route.chats))
        fraction = Random(chat).random() if route.chats else None
        if participant is not None and not self.play.phase.is_final:
            assignment = participant.assign(route.name, route.idempotent, fraction, now)
            is_new = assignment.is_candidate
            if assignment.hold_s > 0.0:
                self.play.held += 1
                self._at(now + assignment.hold_s, self._make_held(instance, route))
                return
        self._run(instance, route, is_new, now)

    def _make_held(self, instance: _Instance, route: Route) -> Callable[[float], None]:
        def go_on(now: float) -> None:
            self._run(instance, route, self.play.phase is RolloutPhase.SUCCEEDED, now)

        return go_on

    def _run(self, instance: _Instance, route: Route, is_new: bool, now: float) -> None:
        participant = instance.participant
        target = self._choose_target(is_new, participant, route, now)
        if is_new:
            self.play.exposed += 1
            self.play.last_sent_at = now
        else:
            self._old_in_flight[route.name] += 1
        self._loads[target] = self._loads.get(target, 0) + 1
        outcome, took_s = self._work(route, target, is_new, now)

        def finish(later: float) -> None:
            self._loads[target] -= 1
            if not is_new:
                self._old_in_flight[route.name] -= 1
            elif outcome.failed or took_s > BAD_SLOWDOWN * route.mean_s * math.exp(route.spread):
                self._count_bad(later)
            if participant is not None and instance.participant is participant:
                participant.record_outcome(
                    route.name, route.idempotent, _name(target) if is_new else None, outcome
                )

        self._at(now + took_s, finish)

    def _choose_target(
        self, is_new: bool, participant: RolloutParticipant | None, route: Route, now: float
    ) -> str:
        if not is_new:
            return f"old-{self._random.randrange(self._site.targets)}"
        if participant is not None and not participant.has_shifted(route.name, now):
            return self._random.choice(self._trial_targets)
        return f"new-{self._random.randrange(self._site.targets)}"

    def _work(self, route: Route, target: str, is_new: bool, now: float) -> tuple[Outcome, float]:
        """Return how a request ends at a target, and when."""
        draw = self._random
        normal_s = route.mean_s * math.exp(draw.gauss(-route.spread**2 / 2.0, route.spread))
        failing, slow = route.failing, 1.0
        bad = self._badness
        if (
            is_new
            and now >= bad.after_s
            and self._loads[target] > bad.above_load
            and bad.route in ("", route.name)
        ):
            failing, slow = failing + (1.0 - failing) * bad.failing, bad.slow
        failing = max(failing, self._find_fault(target, now))
        took_s = slow * normal_s
        if draw.random() < failing:
            return Outcome(True, took_s, {}), took_s * draw.random()
        if not route.events:
            return Outcome(False, took_s, {Speed.RESPONSE: took_s}), took_s
        first_s = slow * 0.1 * route.mean_s * math.exp(draw.gauss(0.0, 0.4))
        speeds = {Speed.READING: first_s / 1_000.0}
        events = max(1, round(route.events * normal_s / route.mean_s))
        if events > 1:
            pace_s = slow * route.mean_s / route.events * math.exp(draw.gauss(0.0, 0.3))
            speeds[Speed.PAUSE] = pace_s
            took_s = first_s + pace_s * (events - 1)
        return Outcome(False, took_s, speeds), took_s

    def _find_fault(self, target: str, now: float) -> float:
        """Return the share of its requests that a target fails because of a trouble."""
        number = int(target.partition("-")[2])
        if self._trouble is Trouble.ZONE_CUT:
            is_cut = self._begin_s <= now < self._begin_s + 2.0
            return 0.9 if is_cut and number % 3 == 0 else 0.0
        if self._trouble is Trouble.GREY_TARGETS:
            is_grey = target == "new-0" or target.startswith("old-") and number % 15 == 1
            return 0.4 if is_grey else 0.0
        return 0.0

    def _count_bad(self, now: float) -> None:
        self.play.bad_answers += 1
        if self.play.bad_answers == STOP_BAD_ANSWERS:
            self.play.fiftieth_bad_at = now
