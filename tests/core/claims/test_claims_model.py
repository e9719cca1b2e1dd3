"""Property test of claims: a key runs at most once and "not run" is true in any event order.

Hypothesis generates sequences of requests, table answers, messages, runs and faults, which are
executed against the cores of three instances.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.fakes import FakeFleet, PendingRun

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
SKEWS = (0.0, 0.2, -0.2)
STEP_LISTS = st.lists(st.tuples(st.integers(0, 15), st.integers(0, 63)), min_size=40, max_size=140)


class EventSequence:
    """One sequence of events, and what the targets ran in its course."""

    def __init__(self) -> None:
        self.fleet = FakeFleet(ZONES, skews=SKEWS, hold_messages=True)
        self.names = list(ZONES)
        self.keys = ["k1", "k2", self.fleet.reserve("a1"), self.fleet.reserve("b1")]
        self.runs: Counter[str] = Counter()
        self.run_steps_by_key: dict[str, list[int]] = {}
        self.incarnation = 1
        self.sent = 0
        self.step_kinds: list[Callable[[int], None]] = [
            self._send_request,
            self._send_request,
            self._answer_write,
            self._answer_write,
            self._answer_write,
            self._apply_write,
            self._lose_write_answer,
            self._deliver_message,
            self._deliver_message,
            self._deliver_message,
            self._drop_message,
            self._finish_run,
            self._finish_run,
            self._fail_run,
            self._advance_time,
            self._disrupt_instance,
        ]

    def run_step(self, step_kind: int, choice: int) -> None:
        """Execute one step and check the guarantees."""
        self.step_kinds[step_kind](choice)
        self.check_guarantees()

    def check_guarantees(self) -> None:
        """Check every run and every answer so far."""
        assert all(count == 1 for count in self.runs.values()), self.runs
        for request, answers in self.fleet.answers.items():
            if request not in self.fleet.arrived:
                continue
            assert len(answers) <= 1, (request, answers)
            key = self.fleet.arrived[request][1]
            for answer in answers:
                if answer.verdict == "not_run":
                    earlier_runs = [
                        at for at in self.run_steps_by_key.get(key, ()) if at < answer.step
                    ]
                    assert not earlier_runs, f"{request} was told not run; {key} ran"
                elif not answer.code:
                    assert answer.body == key.encode()

    def _send_request(self, choice: int) -> None:
        if self.sent >= 12:
            return
        self.sent += 1
        key = self.keys[choice % len(self.keys)]
        name = self.names[choice // 4 % len(self.names)]
        deadline = (1.0, 8.0, 40.0, 90.0)[choice // 12 % 4]
        self.fleet.send(name, f"r{self.sent}", key, body=key, deadline=deadline)

    def _answer_write(self, choice: int) -> None:
        if self.fleet.writes:
            self.fleet.answer_write(self.fleet.writes[choice % len(self.fleet.writes)])

    def _apply_write(self, choice: int) -> None:
        if self.fleet.writes:
            self.fleet.apply_write(self.fleet.writes[choice % len(self.fleet.writes)])

    def _lose_write_answer(self, choice: int) -> None:
        if self.fleet.writes:
            self.fleet.lose_answer(self.fleet.writes[choice % len(self.fleet.writes)])

    def _deliver_message(self, choice: int) -> None:
        if self.fleet.messages:
            self.fleet.deliver(self.fleet.messages[choice % len(self.fleet.messages)])

    def _drop_message(self, choice: int) -> None:
        if self.fleet.messages:
            self.fleet.messages.pop(choice % len(self.fleet.messages))

    def _finish_run(self, choice: int) -> None:
        run = self._pick_run(choice)
        if run is not None:
            key = self._record_run(run)
            self.fleet.finish(run, key.encode())

    def _fail_run(self, choice: int) -> None:
        """Fail an attempt: before a byte was sent, or afterwards, with or without a run."""
        run = self._pick_run(choice)
        if run is None:
            return
        stage = ("connect", "sent", "sent")[choice // 8 % 3]
        if choice // 8 % 3 == 2:
            self._record_run(run)
        self.fleet.fail(run, stage)

    def _advance_time(self, choice: int) -> None:
        self.fleet.advance((0.3, 1.0, 2.5, 12.0)[choice % 4])

    def _disrupt_instance(self, choice: int) -> None:
        """Freeze, thaw or replace an instance, or mark the targets as down in its view."""
        name = self.names[choice % 3]
        fault_kind = choice // 3 % 4
        if name in self.fleet.frozen:
            self.fleet.unfreeze(name)
        elif fault_kind < 2:
            self.fleet.freeze(name)
        elif fault_kind == 2:
            for view in self.fleet.cores[name].context.fleet.targets.values():
                view.down_until = self.fleet.now + 4.0
        else:
            self.incarnation += 1
            self.fleet.start(name, self.incarnation)

    def _pick_run(self, choice: int) -> PendingRun | None:
        runs = [run for run in self.fleet.runs if run.instance not in self.fleet.frozen]
        return runs[choice % len(runs)] if runs else None

    def _record_run(self, run: PendingRun) -> str:
        request = run.action.request
        step, key = self.fleet.arrived[self.fleet.forwarded.get(request, request)]
        self.runs[key] += 1
        self.run_steps_by_key.setdefault(key, []).append(step)
        return key


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEP_LISTS)
def test_at_most_one_run_and_true_refusals_in_any_order(steps: list[tuple[int, int]]) -> None:
    sequence = EventSequence()
    for step_kind, choice in steps:
        sequence.run_step(step_kind, choice)
