"""Plays requests that crash targets and come back: the judgement and the trials, in virtual time.

Callers, targets and the messages between instances are simulated; ledgers and trials are the real
ones. A popular sound request is sent beside them, and zones lose power with it in flight.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import math
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import attrs

from rhubarbbend.core.crashes import (
    Content,
    CrashLedger,
    Judgement,
    Loss,
    TrialTable,
    list_coordinators,
)

# From the users' rule on requests that crash the targets that run them.
CONTACT_S: Final = 3.0
CRASHES_BEFORE_BOUND: Final = 3
ZONES: Final = 3
# Times of the incident: a run until the crash, and until a target is replaced.
CRASH_DELAY_S: Final = 0.1
RETURN_S: Final = 3.2
RUN_S: Final = (0.05, 0.2)
MESSAGE_DELAY_S: Final = (0.005, 0.06)
# From a loss until it is known that its target has ended.
FATE_DELAY_S: Final = (0.05, 0.4)
# A question to the coordinator of trials and its reply.
QUERY_S: Final = (0.002, 0.02)
CHECK_INTERVAL_S: Final = 0.1
MAX_WAIT_S: Final = 1.5
CRASHING: Final = Content("crashing")
POPULAR: Final = Content("popular")


@attrs.define(slots=True, frozen=True)
class Setup:
    """What is played: the size, and how often how many copies of the request come at once."""

    instances: int = 8
    targets: int = 3
    pace_s: float = 4.0
    copies: int = 1
    popular_rate: float = 20.0
    power_cuts: int = 0
    # Whether it can be found out that a target has ended.
    has_fates: bool = True
    duration_s: float = 120.0


@attrs.define(slots=True)
class Result:
    """What came of one play."""

    crashes: int = 0
    late_runs: int = 0
    popular: int = 0
    popular_refused: int = 0
    popular_lost: int = 0
    popular_waited_s: float = 0.0


@attrs.define(slots=True, eq=False)
class _Run:
    content: Content
    instance: int
    sent_at: float
    is_trial: bool


class TrialScope(abc.ABC):
    """Decides which instance may try a request that is on trial."""

    @abc.abstractmethod
    def request(self, cause: str, instance: int, now: float) -> bool:
        """Return whether an instance gets the trial of a cause."""

    @abc.abstractmethod
    def record_end(self, cause: str, instance: int, was_lost: bool, now: float) -> None:
        """Record that a trial has ended."""


class InstanceScope(TrialScope):
    """One trial at a time in each instance."""

    def __init__(self, instances: int) -> None:
        self._held: set[tuple[str, int]] = set()

    def request(self, cause: str, instance: int, now: float) -> bool:
        if (cause, instance) in self._held:
            return False
        self._held.add((cause, instance))
        return True

    def record_end(self, cause: str, instance: int, was_lost: bool, now: float) -> None:
        self._held.discard((cause, instance))


class ChosenScope(InstanceScope):
    """One trial at a time at one instance, which the cause chooses; no messages are sent."""

    def __init__(self, instances: int) -> None:
        super().__init__(instances)
        self._names = [str(number) for number in range(instances)]

    def request(self, cause: str, instance: int, now: float) -> bool:
        if list_coordinators(cause, self._names)[0] != str(instance):
            return False
        return super().request(cause, instance, now)


class FleetScope(InstanceScope):
    """One trial at a time in the fleet, granted by a coordinator."""

    def __init__(self, instances: int) -> None:
        super().__init__(instances)
        self._table = TrialTable()

    def request(self, cause: str, instance: int, now: float) -> bool:
        if (cause, instance) in self._held or self._table.request(cause, str(instance), now):
            return False
        return super().request(cause, instance, now)

    def record_end(self, cause: str, instance: int, was_lost: bool, now: float) -> None:
        super().record_end(cause, instance, was_lost, now)
        self._table.record_end(cause, str(instance), was_lost, now)


WAYS: Final[dict[str, Callable[[int], TrialScope]]] = {
    "instance": InstanceScope,
    "chosen": ChosenScope,
    "fleet": FleetScope,
}


class RecurrenceSimulation:
    """One seeded play."""

    def __init__(self, way: str, setup: Setup, seed: int) -> None:
        self._setup = setup
        self._random = Random(seed)
        self._scope = WAYS[way](setup.instances)
        self._result = Result()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count()
        self._now = 0.0
        self._ledgers = [CrashLedger() for _ in range(setup.instances)]
        self._runs: dict[str, set[_Run]] = {f"t{n}/0": set() for n in range(setup.targets)}
        self._crash_times: list[float] = []
        self._run_times: list[float] = []

    def run(self) -> Result:
        """Play, and return what came of it."""
        setup = self._setup
        if setup.copies:
            self._at(5.0, self._send_copies)
        self._at(0.0, self._send_popular)
        for number in range(setup.power_cuts):
            zone = number % ZONES
            self._at(10.0 + 15.0 * number, partial(self._cut_power, zone))
        while self._queue:
            self._now, _, action = heapq.heappop(self._queue)
            if self._now > setup.duration_s:
                break
            action()
        self._result.crashes = len(self._crash_times)
        if len(self._crash_times) >= CRASHES_BEFORE_BOUND:
            bound = self._crash_times[CRASHES_BEFORE_BOUND - 1] + CONTACT_S
            self._result.late_runs = sum(at > bound for at in self._run_times)
        return self._result

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._ids), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self._now + delay_s, action)

    def _send_copies(self) -> None:
        self._after(self._setup.pace_s, self._send_copies)
        for _ in range(self._setup.copies):
            instance = self._random.randrange(self._setup.instances)
            self._offer(CRASHING, instance, self._now)

    def _send_popular(self) -> None:
        self._after(self._random.expovariate(self._setup.popular_rate), self._send_popular)
        self._result.popular += 1
        self._offer(POPULAR, self._random.randrange(self._setup.instances), self._now)

    def _offer(self, content: Content, instance: int, arrived_at: float) -> None:
        """Send a request to a target, hold it for a while or refuse it."""
        judgement = self._ledgers[instance].judge_content(content, self._now)
        if judgement is Judgement.REFUSED or self._now - arrived_at >= MAX_WAIT_S:
            self._result.popular_refused += content is POPULAR
            return
        is_trial = judgement in (Judgement.ON_TRIAL, Judgement.UNDECIDED)
        if is_trial and not self._scope.request(content.digest, instance, self._now):
            self._after(CHECK_INTERVAL_S, lambda: self._offer(content, instance, arrived_at))
            return
        if content is POPULAR:
            self._result.popular_waited_s += self._now - arrived_at
        run = _Run(content, instance, self._now, is_trial)
        self._after(self._random.uniform(*QUERY_S) if is_trial else 0.0, lambda: self._send(run))

    def _send(self, run: _Run) -> None:
        if not self._runs:
            self._result.popular_lost += run.content is POPULAR
            self._end_trial(run, False)
            return
        run.sent_at = self._now
        target = self._random.choice(sorted(self._runs))
        self._runs[target].add(run)
        if run.content is CRASHING:
            self._run_times.append(self._now)
            self._after(CRASH_DELAY_S, lambda: self._crash(target, run))
        else:
            self._after(self._random.uniform(*RUN_S), lambda: self._finish(target, run))

    def _finish(self, target: str, run: _Run) -> None:
        if run not in self._runs.get(target, ()):
            return
        self._runs[target].discard(run)
        self._end_trial(run, False)
        now = self._now
        if self._ledgers[run.instance].record_completion(run.content.digest, now):
            self._tell(run.instance, partial(_complete, run.content.digest, now))

    def _end_trial(self, run: _Run, was_lost: bool) -> None:
        if run.is_trial:
            self._scope.record_end(run.content.digest, run.instance, was_lost, self._now)

    def _crash(self, target: str, run: _Run) -> None:
        if run in self._runs.get(target, ()):
            self._crash_times.append(self._now)
            self._end_target(target)

    def _cut_power(self, zone: int) -> None:
        for target in [t for t in self._runs if int(t[1:].partition("/")[0]) % ZONES == zone]:
            self._end_target(target)

    def _end_target(self, target: str) -> None:
        lost = self._runs.pop(target)
        for run in sorted(lost, key=lambda run: run.sent_at):
            self._end_trial(run, True)
            self._result.popular_lost += run.content is POPULAR
            ledger = self._ledgers[run.instance]
            loss = ledger.make_loss(run.content, target, run.sent_at, self._now)
            ledger.record_loss(run.content.digest, loss)
            self._tell(run.instance, partial(_lose, run.content.digest, loss))
        if self._setup.has_fates:
            self._after(self._random.uniform(*FATE_DELAY_S), lambda: self._tell(-1, _end(target)))
        number = target.partition("/")[0]
        started = f"{number}/{next(self._ids)}"
        self._after(RETURN_S, lambda: self._runs.update({started: set()}))

    def _tell(self, sender: int, action: Callable[[CrashLedger], object]) -> None:
        for number, ledger in enumerate(self._ledgers):
            if number != sender:
                delay_s = self._random.uniform(*MESSAGE_DELAY_S)
                self._after(delay_s, partial(_apply, action, ledger))


def _apply(action: Callable[[CrashLedger], object], ledger: CrashLedger) -> None:
    action(ledger)


def _complete(digest: str, at: float, ledger: CrashLedger) -> None:
    ledger.record_completion(digest, at)


def _lose(digest: str, loss: Loss, ledger: CrashLedger) -> None:
    ledger.record_loss(digest, loss)


def _end(target: str) -> Callable[[CrashLedger], object]:
    return lambda ledger: ledger.record_end(target)


def format_line(label: str, way: str, results: list[Result]) -> str:
    """Return the figures of some plays: in the mean and at most, or their sums."""
    crashes = [result.crashes for result in results]
    late = max(result.late_runs for result in results)
    popular = sum(result.popular for result in results)
    refused = sum(result.popular_refused for result in results)
    waited_ms = 1_000.0 * sum(result.popular_waited_s for result in results) / max(1, popular)
    mean = math.fsum(crashes) / len(crashes)
    return (
        f"{label:<32} {way:<9} crashes {mean:5.1f}, {max(crashes):3}  late runs {late:3}"
        f"  popular refused {refused:5} of {popular}, held {waited_ms:.2f} ms in the mean"
    )
