"""Records the answers to each command, to be compared with what the services ran."""

from __future__ import annotations

from collections import Counter

import attrs

from loadtool._caller import Answer

NOT_RUN = "not_run"
RAN = "ran"


@attrs.define(slots=True)
class CommandRecord:
    """The answers to the requests with one idempotency key, in the order recorded."""

    key: str
    answers: list[Answer] = attrs.Factory(list)
    # Whether copies were sent at the same time through different instances.
    doubled: bool = False

    @property
    def was_answered(self) -> bool:
        """Whether a caller got a complete, right answer."""
        return any(answer.is_correct for answer in self.answers)

    @property
    def is_final_not_run(self) -> bool:
        """Whether the last answer on the key had the verdict "not run", which makes it final."""
        return bool(self.answers) and self.answers[-1].verdict == NOT_RUN


@attrs.define(slots=True)
class AnswerLog:
    """Counts and keeps the answers of a run.

    Each answer counts as correct, incorrect, refused (by code) or failed (by reason).
    """

    commands: dict[str, CommandRecord] = attrs.Factory(dict)
    requests: int = 0
    good_count: int = 0
    wrong_answers: list[Answer] = attrs.Factory(list)
    refusals: Counter[str] = attrs.Factory(Counter)
    failures: Counter[str] = attrs.Factory(Counter)

    def record_answer(self, answer: Answer) -> None:
        """Record an answer."""
        self.requests += 1
        if answer.is_correct:
            self.good_count += 1
        elif answer.is_incorrect:
            self.wrong_answers.append(answer)
        elif answer.code:
            self.refusals[answer.code] += 1
        else:
            self.failures[answer.failure or f"status {answer.status}, not whole"] += 1

    def record_command_answer(self, key: str, answer: Answer) -> None:
        """Record an answer to the command with an idempotency key."""
        self.record_answer(answer)
        self.commands.setdefault(key, CommandRecord(key)).answers.append(answer)

    def find_violations(self, runs: dict[str, int]) -> list[str]:
        """Compare the answers with the number of runs by key; return a line for each violation.

        A command that was answered must have run exactly once, one whose final answer is "not run"
        must not have run, and none may run twice.
        """
        violations = [
            f"an answer was complete with status 200, but not the right one: {answer}"
            for answer in self.wrong_answers
        ]
        for key, count in runs.items():
            if count > 1:
                violations.append(
                    f"{key} ran {count} times, not once: {self._describe_answers(key)}"
                )
        for key, record in self.commands.items():
            count = runs.get(key, 0)
            if record.was_answered and count != 1:
                violations.append(
                    f"{key} was answered but ran {count} times: {self._describe_answers(key)}"
                )
            elif record.is_final_not_run and count:
                violations.append(
                    f'{key} ran after a final "not run": {self._describe_answers(key)}'
                )
        return violations

    def _describe_answers(self, key: str) -> str:
        record = self.commands.get(key)
        if record is None:
            return "no caller sent this key"
        answers = [f"{a.status}/{a.code or a.failure or 'ok'}/{a.verdict}" for a in record.answers]
        return ", ".join(answers)
