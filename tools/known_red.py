"""KNOWN-RED.txt: at most three tests that fail for a known fault and don't fail CI.

A line is `test id | seed | cause | issue`. Listed tests run like all others; their outcome is
printed at the end. A test that is not listed fails CI as ever, and so does a file that breaks
these rules or names a test that a whole run does not know.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import attrs
import pytest

FILE: Final = "KNOWN-RED.txt"
MAX_LINES: Final = 3
SEPARATOR: Final = "|"
FIELDS: Final = 4


class KnownRedInvalid(Exception):
    """A file that breaks the rules."""


@attrs.define(slots=True, frozen=True)
class KnownRed:
    """One listed test."""

    test: str
    seed: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the file; raises `KnownRedInvalid`."""
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELDS or not all(fields):
            raise KnownRedInvalid(f"{FILE}:{number}: expected `test id | seed | cause | issue`")
        found.append(KnownRed(*fields))
    if len(found) > MAX_LINES:
        raise KnownRedInvalid(f"{FILE}: {len(found)} tests listed, {MAX_LINES} are allowed")
    if len({entry.test for entry in found}) != len(found):
        raise KnownRedInvalid(f"{FILE}: a test is listed twice")
    return found


def read_known_red(root: Path) -> list[KnownRed]:
    """Read the file of a checkout; a missing one lists nothing."""
    path = root / FILE
    return parse_known_red(path.read_text("utf-8")) if path.exists() else []


class KnownRedPlugin:
    """Marks the listed tests, then prints what became of them."""

    def __init__(self, listed: list[KnownRed], whole_run: bool) -> None:
        self._listed = {entry.test: entry for entry in listed}
        self._whole_run = whole_run
        self._outcomes: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Let a listed test fail without failing the run."""
        for item in items:
            entry = self._listed.get(item.nodeid)
            if entry is not None:
                reason = f"known red: {entry.cause} ({entry.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note the outcome of a listed test."""
        if report.nodeid not in self._listed:
            return
        if hasattr(report, "wasxfail"):
            self._outcomes[report.nodeid] = "failed" if report.skipped else "PASSED"

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a whole run that did not run a listed test."""
        is_worker = hasattr(session.config, "workerinput")
        missing = self._listed.keys() - self._outcomes.keys()
        if missing and self._whole_run and not is_worker:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each listed test."""
        if not self._listed:
            return
        terminalreporter.section(FILE)
        for entry in self._listed.values():
            outcome = self._outcomes.get(entry.test, "not run")
            hint = "; take it off the list" if outcome == "PASSED" else ""
            terminalreporter.write_line(
                f"{outcome}{hint}: {entry.test} | {entry.seed} | {entry.cause} | {entry.issue}"
            )


def register(config: pytest.Config) -> None:
    """Make a run honour the file at its root."""
    try:
        listed = read_known_red(config.rootpath)
    except KnownRedInvalid as error:
        raise pytest.UsageError(str(error)) from error
    option = config.option
    chosen = bool(option.keyword or option.markexpr or getattr(option, "lf", False))
    from_settings = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    config.pluginmanager.register(KnownRedPlugin(listed, from_settings and not chosen))
