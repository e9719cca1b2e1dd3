"""KNOWN-RED.txt lets its tests fail and nothing else, and shows what became of them."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tools.binary import ROOT
from tools.known_red import KnownRedInvalid, parse_known_red

TESTS = """
def test_red(): assert False
def test_green(): pass
def test_other(): assert {other}
"""


def _run(folder: Path, listed: str, other: bool = True) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = test_it.py\n")
    (folder / "conftest.py").write_text(
        "from tools.known_red import register\ndef pytest_configure(config): register(config)\n"
    )
    (folder / "test_it.py").write_text(TESTS.format(other=other))
    if listed:
        (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-n", "2"],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_failure_does_not_fail_the_run(tmp_path: Path) -> None:
    status, shown = _run(tmp_path, "test_it.py::test_red | 7 | it is red | #1\n")
    assert status == 0, shown
    assert "failed: test_it.py::test_red | 7 | it is red | #1" in shown


def test_an_unlisted_failure_fails_the_run(tmp_path: Path) -> None:
    assert _run(tmp_path, "")[0] == 1
    status, _ = _run(tmp_path, "test_it.py::test_red | 7 | it is red | #1\n", other=False)
    assert status == 1


def test_a_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    lines = "test_it.py::test_red | - | red | #1\ntest_it.py::test_green | - | was red | #2\n"
    status, shown = _run(tmp_path, lines)
    assert status == 0 and "PASSED; take it off the list: test_it.py::test_green" in shown


def test_a_listed_test_that_does_not_exist_fails_the_run(tmp_path: Path) -> None:
    lines = "test_it.py::test_red | - | red | #1\ntest_it.py::test_gone | - | gone | #2\n"
    status, shown = _run(tmp_path, lines)
    assert status == 1 and "not run: test_it.py::test_gone" in shown


@pytest.mark.parametrize(
    "text",
    [
        "test_it.py::test_red\n",
        "test | seed | cause\n",
        "test | | cause | issue\n",
        "t | s | c | i\n" * 2,
        "".join(f"t{n} | s | c | i\n" for n in range(4)),
    ],
)
def test_refuses_a_file_that_breaks_the_rules(text: str) -> None:
    with pytest.raises(KnownRedInvalid):
        parse_known_red(text)


def test_an_empty_file_is_normal() -> None:
    assert parse_known_red("\n") == []
