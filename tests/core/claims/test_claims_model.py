"""Random orders of events against the promise: one run under a key, "not run" only if true."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.fakes import PendingRun, World

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
SKEWS = (0.0, 0.2, -0.2)
STEPS = st.lists(st.tuples(st.integers(0, 15), st.integers(0, 63)), min_size=40, max_size=140)


class Trial:
    """One order of events, and what the targets ran in it."""

    def __init__(self) -> None:
        self.world = World(ZONES, skews=SKEWS, hold_messages=True)
        self.names = list(ZONES)
        self.keys = ["k1", "k2", self.world.reserve("a1"), self.world.reserve("b1")]
        self.runs: Counter[str] = Counter()
        self.run_by: dict[str, list[int]] = {}
        self.incarnation = 1
        self.sent = 0
        self.moves: list[Callable[[int], None]] = [
            self._send,
            self._send,
            self._answer,
            self._answer,
            self._answer,
            self._apply,
            self._lose,
            self._deliver,
            self._deliver,
            self._deliver,
            self._drop,
            self._run,
            self._run,
            self._fail,
            self._pass_time,
            self._disturb,
        ]

    def do(self, move: int, choice: int) -> None:
        """Do one step and check the promise."""
        self.moves[move](choice)
        self.check()

    def check(self) -> None:
        """Check every answer given so far."""
        assert all(count == 1 for count in self.runs.values()), self.runs
        for request, answers in self.world.answers.items():
            if request not in self.world.arrived:
                continue
            assert len(answers) <= 1, (request, answers)
            key = self.world.arrived[request][1]
            for answer in answers:
                if answer.verdict == "not_run":
                    late = [at for at in self.run_by.get(key, ()) if at < answer.step]
                    assert not late, f"{request} was told not run; {key} ran"
                elif not answer.code:
                    assert answer.body == key.encode()

    def _send(self, choice: int) -> None:
        if self.sent >= 12:
            return
        self.sent += 1
        key = self.keys[choice % len(self.keys)]
        name = self.names[choice // 4 % len(self.names)]
        deadline = (1.0, 8.0, 40.0, 90.0)[choice // 12 % 4]
        self.world.send(name, f"r{self.sent}", key, body=key, deadline=deadline)

    def _answer(self, choice: int) -> None:
        if self.world.writes:
            self.world.answer(self.world.writes[choice % len(self.world.writes)])

    def _apply(self, choice: int) -> None:
        if self.world.writes:
            self.world.apply(self.world.writes[choice % len(self.world.writes)])

    def _lose(self, choice: int) -> None:
        if self.world.writes:
            self.world.lose(self.world.writes[choice % len(self.world.writes)])

    def _deliver(self, choice: int) -> None:
        if self.world.messages:
            self.world.deliver(self.world.messages[choice % len(self.world.messages)])

    def _drop(self, choice: int) -> None:
        if self.world.messages:
            self.world.messages.pop(choice % len(self.world.messages))

    def _run(self, choice: int) -> None:
        run = self._pick_run(choice)
        if run is not None:
            key = self._count(run)
            self.world.finish(run, key.encode())

    def _fail(self, choice: int) -> None:
        """Fail an attempt: before a byte went out, or after, with or without a run."""
        run = self._pick_run(choice)
        if run is None:
            return
        stage = ("connect", "sent", "sent")[choice // 8 % 3]
        if choice // 8 % 3 == 2:
            self._count(run)
        self.world.fail(run, stage)

    def _pass_time(self, choice: int) -> None:
        self.world.advance((0.3, 1.0, 2.5, 12.0)[choice % 4])

    def _disturb(self, choice: int) -> None:
        """Freeze, thaw or replace an instance, or hide the targets from it."""
        name = self.names[choice % 3]
        kind = choice // 3 % 4
        if name in self.world.frozen:
            self.world.thaw(name)
        elif kind < 2:
            self.world.freeze(name)
        elif kind == 2:
            for view in self.world.cores[name].context.fleet.targets.values():
                view.down_until = self.world.now + 4.0
        else:
            self.incarnation += 1
            self.world.start(name, self.incarnation)

    def _pick_run(self, choice: int) -> PendingRun | None:
        runs = [run for run in self.world.runs if run.instance not in self.world.frozen]
        return runs[choice % len(runs)] if runs else None

    def _count(self, run: PendingRun) -> str:
        request = run.action.request
        step, key = self.world.arrived[self.world.forwarded.get(request, request)]
        self.runs[key] += 1
        self.run_by.setdefault(key, []).append(step)
        return key


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_one_run_and_true_refusals_in_any_order(steps: list[tuple[int, int]]) -> None:
    trial = Trial()
    for move, choice in steps:
        trial.do(move, choice)
