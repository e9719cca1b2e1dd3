"""Plays requests whose prompts share parts that crash engines: the judgement alone, virtual time.

Callers, engines and the messages between instances are simulated; the ledgers that judge are the
real ones. Ways to judge are compared on the same seeds.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import math
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import attrs

from rhubarbbend.core._rendezvous import hash_to_unit_interval
from rhubarbbend.core.crashes import (
    BEGIN_S,
    Content,
    CrashLedger,
    Judgement,
    Loss,
    RefusalRules,
    TrialTable,
)

# From the users' rules.
CONTACT_S: Final = 3.0
CRASHES_BEFORE_BOUND: Final = 5
DOWN_S: Final = (2.0, 7.0)
MESSAGE_DELAY_S: Final = (0.005, 0.06)
# Time from the sending to the beginning of an answer, from there to its end, and to a crash.
BEGIN_DELAY_S: Final = (0.05, 0.4)
ANSWER_S: Final = (0.03, 3.0)
CRASH_DELAY_S: Final = (0.03, 0.15)
FIRST_PARTS: Final = 3
SUBJECTS: Final = 60
# For how long a request that is on trial is kept from others with the same cause.
MAX_WAIT_S: Final = 1.5
RETRY_DELAY_S: Final = 0.05
# A question to the coordinator of trials and its reply.
TRIAL_QUERY_S: Final = (0.002, 0.02)


class Judge(abc.ABC):
    """Judges requests at one instance."""

    # Whether a cause has one trial at a time in the fleet, and not one in each instance.
    has_fleet_trials = False

    @abc.abstractmethod
    def judge(self, content: Content, now: float) -> tuple[str, Judgement]:
        """Return whether a request may be sent, and the cause that this is about."""

    @abc.abstractmethod
    def record_loss(self, content: Content, loss: Loss, has_gone_on: bool) -> None:
        """Record that a target has ended under a request."""

    def record_answering(self, content: Content, now: float) -> bool:
        """Record that an answer to a request goes on; return whether others have to know."""
        return False

    @abc.abstractmethod
    def record_run(self, content: Content, began_at: float, now: float) -> bool:
        """Record that a request ran on or completed; return whether others have to know."""


class LedgerJudge(Judge):
    """The product's ledger."""

    def __init__(self, rules: RefusalRules) -> None:
        self.ledger = CrashLedger(rules)

    def judge(self, content: Content, now: float) -> tuple[str, Judgement]:
        return self.ledger.find_cause(content, now)

    def record_answering(self, content: Content, now: float) -> bool:
        parts = self.ledger.list_suspect_parts(content)
        return sum(self.ledger.record_completion(part, now) for part in parts) > 0

    def record_loss(self, content: Content, loss: Loss, has_gone_on: bool) -> None:
        parts = () if has_gone_on else content.parts
        self.ledger.record_request_loss(content.digest, parts, loss)
        self.ledger.record_end(loss.target, is_certain=True)

    def record_run(self, content: Content, began_at: float, now: float) -> bool:
        parts = self.ledger.list_suspect_parts(content)
        return sum(self.ledger.record_completion(part, began_at) for part in parts) > 0


class DigestJudge(LedgerJudge):
    """The ledger before parts were judged."""

    def judge(self, content: Content, now: float) -> tuple[str, Judgement]:
        return content.digest, self.ledger.judge(content.digest, now)


class CountJudge(Judge):
    """Counts, by part, the targets that ended and the requests that went on."""

    MIN_SCORE: Final = 3.0
    # How many requests that went on outweigh a target that has ended.
    RUNS_PER_CRASH: Final = 4.0
    REFUSAL_S: Final = 30.0

    def __init__(self, rules: RefusalRules) -> None:
        self._rules = rules
        self._ended: dict[str, dict[str, float]] = defaultdict(dict)
        self._runs: dict[str, float] = defaultdict(float)

    def judge(self, content: Content, now: float) -> tuple[str, Judgement]:
        for part in content.parts:
            ended = self._ended.get(part, {})
            score = len(ended) - self._runs[part] / self.RUNS_PER_CRASH
            latest = max(ended.values(), default=-math.inf)
            repeated = len(ended) > self.MIN_SCORE
            refusal_s = self._rules.repeated_s if repeated else self.REFUSAL_S
            if score >= self.MIN_SCORE and now < latest + refusal_s + self._rules.stagger_s:
                return part, Judgement.REFUSED
        return content.digest, Judgement.CLEAR

    def record_loss(self, content: Content, loss: Loss, has_gone_on: bool) -> None:
        for part in () if has_gone_on else content.parts:
            self._ended[part].setdefault(loss.target, loss.lost_at)

    def record_run(self, content: Content, began_at: float, now: float) -> bool:
        counted = [part for part in content.parts if part in self._ended]
        for part in counted:
            self._runs[part] += 1.0
        return bool(counted)


class FirstLedgerJudge(LedgerJudge):
    """The ledger without what is known of answers that went on."""

    def record_answering(self, content: Content, now: float) -> bool:
        return False


class FleetTrialJudge(LedgerJudge):
    """The ledger, with one trial of a cause at a time in the fleet."""

    has_fleet_trials = True


WAYS: Final[dict[str, Callable[[RefusalRules], Judge]]] = {
    "digest": DigestJudge,
    "trial": FirstLedgerJudge,
    "answering": LedgerJudge,
    "fleet": FleetTrialJudge,
    "counts": CountJudge,
}


@attrs.define(slots=True, frozen=True)
class Setup:
    """What is played: the size, the requests a second, and how many parts crash engines."""

    instances: int = 8
    engines: int = 9
    rate: float = 70.0
    bad_rate: float = 1.5
    bad_parts: int = 1
    kills: int = 0
    duration_s: float = 90.0


@attrs.define(slots=True)
class Result:
    """What callers and engines saw of one play."""

    crashes: int = 0
    # Later than `CONTACT_S` after the fifth crash of a part.
    late_runs: int = 0
    sound: int = 0
    sound_refused: int = 0
    sound_lost: int = 0
    sound_waited_s: float = 0.0
    # From the first crash of a part to its last.
    verdict_s: float = 0.0


@attrs.define(slots=True, eq=False)
class _Run:
    """A request at an engine."""

    content: Content
    instance: int
    bad: str
    sent_at: float
    began_at: float
    ends_at: float


class CrashSimulation:
    """One seeded play."""

    def __init__(self, way: str, setup: Setup, seed: int) -> None:
        self._setup = setup
        self._random = Random(seed)
        self._result = Result()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count()
        self._now = 0.0
        make = WAYS[way]
        self._judges = [
            make(RefusalRules(stagger_s=15.0 * number / setup.instances))
            for number in range(setup.instances)
        ]
        self._runs: dict[str, set[_Run]] = {f"e{n}": set() for n in range(setup.engines)}
        self._trials: dict[tuple[int, str], _Run | None] = {}
        self._fleet_trials = TrialTable()
        self._bad_runs: dict[str, list[float]] = defaultdict(list)
        self._bad_crashes: dict[str, list[float]] = defaultdict(list)

    def run(self) -> Result:
        """Play, and return what was seen."""
        setup = self._setup
        self._at(0.0, lambda: self._arrive(False))
        self._at(5.0, lambda: self._arrive(True))
        for number in range(setup.kills):
            self._at(10.0 + 70.0 * number / setup.kills, self._kill)
        while self._queue:
            self._now, _, action = heapq.heappop(self._queue)
            if self._now > setup.duration_s:
                break
            action()
        for part, crashes in self._bad_crashes.items():
            self._result.crashes += len(crashes)
            self._result.verdict_s = max(self._result.verdict_s, crashes[-1] - crashes[0])
            if len(crashes) >= CRASHES_BEFORE_BOUND:
                bound = crashes[CRASHES_BEFORE_BOUND - 1] + CONTACT_S
                self._result.late_runs += sum(at > bound for at in self._bad_runs[part])
        return self._result

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._ids), action))

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        self._at(self._now + delay, action)

    def _arrive(self, is_bad: bool) -> None:
        setup, random = self._setup, self._random
        rate = setup.bad_rate if is_bad else setup.rate
        self._after(random.expovariate(rate), lambda: self._arrive(is_bad))
        bad = f"bad{random.randrange(setup.bad_parts)}" if is_bad else ""
        subject = f"subject{min(int(random.paretovariate(0.8)), SUBJECTS)}"
        parts = [f"llm/first{random.randrange(FIRST_PARTS)}", f"llm/{subject}"]
        if bad:
            parts.insert(random.randrange(3), f"llm/{bad}")
        content = Content(f"digest{next(self._ids)}", tuple(parts), "desk")
        self._result.sound += not is_bad
        self._offer(content, bad, self._now, 1)

    def _offer(
        self, content: Content, bad: str, arrived_at: float, tries_left: int, at: int = -1
    ) -> None:
        """Send a request to an engine, hold it for a while or refuse it; at any instance if -1."""
        instance = self._random.randrange(self._setup.instances) if at < 0 else at
        cause, judgement = self._judges[instance].judge(content, self._now)
        if judgement is Judgement.REFUSED:
            self._result.sound_refused += not bad
            return
        is_late = self._now - arrived_at >= MAX_WAIT_S
        is_free = is_late and not self._judges[instance].has_fleet_trials
        if is_free or judgement not in (Judgement.ON_TRIAL, Judgement.UNDECIDED):
            self._send(instance, content, bad)
        elif is_late:
            self._result.sound_refused += not bad
            return
        elif not self._begin_trial(instance, cause, content, bad):
            self._after(0.1, lambda: self._offer(content, bad, arrived_at, tries_left, instance))
            return
        if not bad:
            self._result.sound_waited_s += self._now - arrived_at

    def _begin_trial(self, instance: int, cause: str, content: Content, bad: str) -> bool:
        """Send a request if no other one is on trial for the same cause."""
        key = (instance, cause)
        if self._trials.get(key) is not None:
            return False
        if not self._judges[instance].has_fleet_trials:
            self._trials[key] = self._send(instance, content, bad, is_apart=True)
            return True
        if self._fleet_trials.request(cause, str(instance), self._now) > 0.0:
            return False
        delay_s = self._random.uniform(*TRIAL_QUERY_S)
        self._trials[key] = self._send(instance, content, bad, is_apart=True, delay_s=delay_s)
        return True

    def _send(
        self,
        instance: int,
        content: Content,
        bad: str,
        is_apart: bool = False,
        delay_s: float = 0.0,
    ) -> _Run | None:
        """Send a request: to the engine of others with its last part, or apart from them."""
        random = self._random
        if not self._runs:
            self._result.sound_lost += not bad
            return None
        engines = sorted(self._runs)
        if is_apart:
            engine = random.choice(engines)
        else:
            engine = max(engines, key=lambda name: hash_to_unit_interval(name + content.parts[-1]))
        began_at = self._now + delay_s + random.uniform(*BEGIN_DELAY_S)
        run = _Run(content, instance, bad, self._now, began_at, began_at)
        self._runs[engine].add(run)
        if bad:
            self._bad_runs[bad].append(self._now)
            crash_at = began_at + random.uniform(*CRASH_DELAY_S)
            self._at(crash_at, lambda: self._crash(engine, run))
            return run
        run.ends_at = began_at + random.uniform(*ANSWER_S)
        clear_at = min(run.ends_at, began_at + BEGIN_S)
        self._at(clear_at, lambda: self._record_run(engine, run))
        self._at(run.ends_at, lambda: self._finish(engine, run))
        return run

    def _finish(self, engine: str, run: _Run) -> None:
        self._runs.get(engine, set()).discard(run)
        self._end_trial(run)

    def _end_trial(self, run: _Run, was_lost: bool = False) -> None:
        for key, trial in list(self._trials.items()):
            if trial is run:
                del self._trials[key]
                self._fleet_trials.record_end(key[1], str(key[0]), was_lost, self._now)

    def _record_run(self, engine: str, run: _Run) -> None:
        if run not in self._runs.get(engine, ()):
            return
        judge = self._judges[run.instance]
        if judge.record_run(run.content, run.began_at, self._now):
            self._tell(run.instance, lambda other: _record_run(other, run, self._now))

    def _tell(self, sender: int, action: Callable[[Judge], object]) -> None:
        for number, judge in enumerate(self._judges):
            if number != sender:
                delay = self._random.uniform(*MESSAGE_DELAY_S)
                self._after(delay, partial(_apply, action, judge))

    def _crash(self, engine: str, run: _Run) -> None:
        if run in self._runs.get(engine, ()):
            self._bad_crashes[run.bad].append(self._now)
            self._end_engine(engine)

    def _learn_loss(self, instance: int, content: Content, loss: Loss, has_gone_on: bool) -> None:
        """Record a loss at an instance, and what answers of its own say of it."""
        judge = self._judges[instance]
        judge.record_loss(content, loss, has_gone_on)
        for run in list(itertools.chain.from_iterable(self._runs.values())):
            if run.instance == instance and self._now - run.began_at > BEGIN_S:
                self._tell_answering(run.instance, run.content)

    def _tell_answering(self, instance: int, content: Content) -> None:
        now = self._now
        if self._judges[instance].record_answering(content, now):
            self._tell(instance, lambda judge: judge.record_answering(content, now))

    def _kill(self) -> None:
        if self._runs:
            self._end_engine(self._random.choice(list(self._runs)))

    def _end_engine(self, engine: str) -> None:
        lost = self._runs.pop(engine)
        now = self._now
        for run in sorted(lost, key=lambda run: run.sent_at):
            self._end_trial(run, was_lost=True)
            self._result.sound_lost += not run.bad
            loss = Loss(engine, run.sent_at, now, (), (run.content.account,))
            has_gone_on = now - run.began_at > BEGIN_S
            if has_gone_on:
                self._tell_answering(run.instance, run.content)
            self._learn_loss(run.instance, run.content, loss, has_gone_on)
            content = run.content
            for other in range(self._setup.instances):
                if other != run.instance:
                    learn = partial(self._learn_loss, other, content, loss, has_gone_on)
                    self._after(self._random.uniform(*MESSAGE_DELAY_S), learn)
        started = f"{engine.partition('.')[0]}.{next(self._ids)}"
        self._after(self._random.uniform(*DOWN_S), lambda: self._runs.update({started: set()}))


def _apply(action: Callable[[Judge], object], judge: Judge) -> None:
    action(judge)


def _record_run(judge: Judge, run: _Run, now: float) -> None:
    judge.record_run(run.content, run.began_at, now)
