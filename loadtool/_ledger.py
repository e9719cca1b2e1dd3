"""What callers were told of each command, to be compared with what the services ran."""

from __future__ import annotations

from collections import Counter

import attrs

from loadtool._caller import Answer

NOT_RUN = "not_run"
RAN = "ran"


@attrs.define(slots=True)
class CommandRecord:
    """The answers that one key got, in order of sending."""

    key: str
    answers: list[Answer] = attrs.Factory(list)
    # Copies sent at the same time through different instances.
    doubled: bool = False

    @property
    def told_run(self) -> bool:
        """Whether a caller was given the whole answer."""
        return any(answer.good for answer in self.answers)

    @property
    def told_not_run_last(self) -> bool:
        """Whether "not run" was the last word on the key, so that it is final."""
        return bool(self.answers) and self.answers[-1].verdict == NOT_RUN


@attrs.define(slots=True)
class Ledger:
    """Every answer of a run."""

    commands: dict[str, CommandRecord] = attrs.Factory(dict)
    requests: int = 0
    good: int = 0
    wrong: list[Answer] = attrs.Factory(list)
    refusals: Counter[str] = attrs.Factory(Counter)
    failures: Counter[str] = attrs.Factory(Counter)

    def add(self, answer: Answer) -> None:
        """Count an answer."""
        self.requests += 1
        if answer.good:
            self.good += 1
        elif answer.wrong:
            self.wrong.append(answer)
        elif answer.code:
            self.refusals[answer.code] += 1
        else:
            self.failures[answer.failure or f"status {answer.status}, not whole"] += 1

    def add_command(self, key: str, answer: Answer) -> None:
        """Count an answer of a command."""
        self.add(answer)
        self.commands.setdefault(key, CommandRecord(key)).answers.append(answer)

    def find_broken(self, runs: dict[str, int]) -> list[str]:
        """Compare what was told with what was run; gives a line for each broken promise."""
        broken = [f"a wrong answer was given as whole: {answer}" for answer in self.wrong]
        for key, count in runs.items():
            if count > 1:
                broken.append(f"{key} was run {count} times: {self._describe(key)}")
        for key, record in self.commands.items():
            count = runs.get(key, 0)
            if record.told_run and count != 1:
                broken.append(f"{key} was answered and run {count} times: {self._describe(key)}")
            elif record.told_not_run_last and count:
                broken.append(f'{key} ran after a final "not run": {self._describe(key)}')
        return broken

    def _describe(self, key: str) -> str:
        record = self.commands.get(key)
        if record is None:
            return "no caller has sent it"
        told = [f"{a.status}/{a.code or a.failure or 'ok'}/{a.verdict}" for a in record.answers]
        return ", ".join(told)
