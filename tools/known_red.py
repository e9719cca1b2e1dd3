"""Pytest plugin for KNOWN-RED.txt: exactly its tests may fail without failing CI.

Each line of the file is `test id | seed | cause | issue`. Listed tests run like all others, and
their outcomes are printed at the end. A failure of any other test still fails CI, and so does a
file that breaks these rules or lists a test that a run of its folder did not execute.

A line may begin with `$ ` and a command in place of a test id, for a case that is not part of the
test run. It is printed, and `make known-red` runs it along with the listed tests.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import attrs
import pytest

FILE_NAME: Final = "KNOWN-RED.txt"
SEPARATOR: Final = "|"
FIELD_COUNT: Final = 4
COMMAND_PREFIX: Final = "$ "
TEST_ID_SEPARATOR: Final = "::"


class KnownRedInvalid(Exception):
    """KNOWN-RED.txt breaks its rules: format, an entry without an issue, or a duplicate entry."""


@attrs.define(slots=True, frozen=True)
class KnownRed:
    """An entry of the file. `name` is a test id, or a command behind `COMMAND_PREFIX`."""

    name: str
    seed: str
    cause: str
    issue: str

    @property
    def command(self) -> str | None:
        """The command to run; None if the entry names a test."""
        is_command = self.name.startswith(COMMAND_PREFIX)
        return self.name.removeprefix(COMMAND_PREFIX) if is_command else None

    def format(self) -> str:
        """Return the entry as a line of the file."""
        return f" {SEPARATOR} ".join((self.name, self.seed, self.cause, self.issue))


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the text of the file; raise `KnownRedInvalid` if it breaks the rules."""
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise KnownRedInvalid(
                f"{FILE_NAME}:{number}: expected `test id | seed | cause | issue`"
            )
        entry = KnownRed(*fields)
        if not entry.issue.removeprefix("#").isdecimal():
            raise KnownRedInvalid(f"{FILE_NAME}:{number}: the issue is its number")
        if entry.command is None and TEST_ID_SEPARATOR not in entry.name:
            raise KnownRedInvalid(
                f"{FILE_NAME}:{number}: expected a test id, or {COMMAND_PREFIX!r} and a command"
            )
        entries.append(entry)
    if len({entry.name for entry in entries}) != len(entries):
        raise KnownRedInvalid(f"{FILE_NAME}: a test or a command is listed twice")
    return entries


def read_known_red(root: Path) -> list[KnownRed]:
    """Return the entries of the file in a checkout; a missing file has none."""
    path = root / FILE_NAME
    return parse_known_red(path.read_text("utf-8")) if path.exists() else []


class KnownRedPlugin:
    """Allows the listed tests to fail, and prints their outcomes at the end of the run."""

    def __init__(self, listed: list[KnownRed], expected: frozenset[str]) -> None:
        self._listed = {entry.name: entry for entry in listed if entry.command is None}
        self._commands = [entry for entry in listed if entry.command is not None]
        # The listed tests that this run has to execute.
        self._expected = expected
        self._outcomes: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as xfail, so that their failures do not fail the run."""
        for item in items:
            entry = self._listed.get(item.nodeid)
            if entry is not None:
                reason = f"known red: {entry.cause} ({entry.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of a listed test."""
        if report.nodeid not in self._listed:
            return
        if hasattr(report, "wasxfail"):
            self._outcomes[report.nodeid] = "failed" if report.skipped else "PASSED"

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a run in which a listed test of its folders did not run."""
        is_worker = hasattr(session.config, "workerinput")
        missing = self._expected - self._outcomes.keys()
        if missing and not is_worker:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the outcome of each listed test, and the listed commands."""
        if not self._listed and not self._commands:
            return
        terminalreporter.section(FILE_NAME)
        for entry in self._listed.values():
            outcome = self._outcomes.get(entry.name, "not run")
            hint = "; take it off the list" if outcome == "PASSED" else ""
            terminalreporter.write_line(f"{outcome}{hint}: {entry.format()}")
        for entry in self._commands:
            terminalreporter.write_line(f"not part of the test run: {entry.format()}")


def register(config: pytest.Config) -> None:
    """Register the plugin with the entries of the file in pytest's root folder.

    Raise `pytest.UsageError` if the file breaks its rules.
    """
    try:
        listed = read_known_red(config.rootpath)
    except KnownRedInvalid as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(KnownRedPlugin(listed, _list_expected(config, listed)))


def _list_expected(config: pytest.Config, listed: list[KnownRed]) -> frozenset[str]:
    """Return the listed tests that a run has to execute; none if it selects single tests."""
    option = config.option
    has_selection = option.keyword or option.markexpr or getattr(option, "lf", False)
    if has_selection or any(TEST_ID_SEPARATOR in argument for argument in config.args):
        return frozenset()
    folders = [(config.rootpath / argument).resolve() for argument in config.args]
    ignored = [(config.rootpath / path).resolve() for path in option.ignore or ()]
    expected: set[str] = set()
    for entry in listed:
        path = config.rootpath / entry.name.partition(TEST_ID_SEPARATOR)[0]
        if entry.command is None and _is_within(path, folders) and not _is_within(path, ignored):
            expected.add(entry.name)
    return frozenset(expected)


def _is_within(path: Path, folders: list[Path]) -> bool:
    return any(path == folder or folder in path.parents for folder in folders)
