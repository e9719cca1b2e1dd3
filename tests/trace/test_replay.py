"""Tests that traces replay, that differences are reported, and that traces hold nothing private."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rhubarbbend.cli import main
from rhubarbbend.trace import TraceInvalid, replay_trace
from tests.trace.random_driver import PRIVATE_BODY, SECRET, SET_UP_EVENTS, RandomDriver

STEPS = 2500


def _record(path: Path, seed: int = 1, steps: int = STEPS) -> list[bytes]:
    RandomDriver(path, Random(seed)).run(steps)
    return path.read_bytes().splitlines(keepends=True)


@settings(
    max_examples=40, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(rng=st.randoms(use_true_random=False), steps=st.integers(0, 120))
def test_replay_of_random_events_gives_the_same_actions(
    tmp_path: Path, rng: Random, steps: int
) -> None:
    path = tmp_path / "trace"
    RandomDriver(path, rng).run(steps)
    report = replay_trace(path)
    assert report.difference is None, str(report.difference)
    assert report.events == steps + SET_UP_EVENTS


@pytest.mark.parametrize("hash_seed", ["1", "2", "3"])
def test_replay_in_a_process_with_other_string_hashes_gives_the_same_actions(
    tmp_path: Path, hash_seed: str
) -> None:
    """Each process iterates over sets of strings in another order; no action may depend on it."""
    path = tmp_path / "trace"
    lines = _record(path, seed=int(hash_seed))
    kinds = Counter(msgspec.json.decode(line).get("event", {}).get("type") for line in lines)
    assert kinds["AttemptDone"] > 5 and kinds["WriteDone"] > 5
    command = [sys.executable, "-m", "rhubarbbend", "replay", str(path)]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    completed = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=60, check=False
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert f"{STEPS + SET_UP_EVENTS} events" in completed.stdout


def test_a_trace_holds_no_private_contents(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    driver = RandomDriver(path, Random(3))
    driver.run(STEPS)
    data = path.read_bytes()
    assert driver.ticket and len(driver.keys) > 4
    private_texts = [PRIVATE_BODY, SECRET, driver.ticket.encode(), b'"k1"', b"/k1"]
    private_texts += [key.encode() for key in driver.keys[4:]]
    assert [entry for entry in private_texts if entry in data] == []


def test_the_first_difference_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "trace"
    _record(path, steps=300)
    monkeypatch.setattr(
        "rhubarbbend.core.owners._owned_target.OwnedTarget.count_load", lambda owned: 0
    )
    assert main(["replay", str(path)]) == 1
    output = capsys.readouterr().out
    assert "the actions differ" in output and "recorded:" in output and "replayed:" in output


def test_an_exception_of_the_core_is_recorded_and_replayed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The exception that ended a process is recorded, so that a replay can reproduce the fault."""
    path = tmp_path / "trace"
    with monkeypatch.context() as patch:
        patch.setattr("rhubarbbend.core.owners._owned_target.OwnedTarget.record_report", None)
        with pytest.raises(TypeError):
            RandomDriver(path, Random(1)).run(1)
        report = replay_trace(path)
        assert report.difference is None and 5 <= report.events <= SET_UP_EVENTS
    report_without_fault = replay_trace(path)
    assert (
        report_without_fault.difference is not None
        and report_without_fault.difference.recorded.raised == "TypeError"
    )


def test_a_full_file_ends_the_recording_and_nothing_else(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    RandomDriver(path, Random(1), max_bytes=20_000).run(STEPS)
    assert path.stat().st_size <= 20_000
    report = replay_trace(path)
    assert report.difference is None and report.events > 10 and not report.truncated


def test_a_line_truncated_by_a_kill_is_left_out(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    lines = _record(path, steps=50)
    path.write_bytes(b"".join(lines[:-1]) + lines[-1][:20])
    report = replay_trace(path)
    assert report.truncated and report.events == 49 + SET_UP_EVENTS and report.difference is None


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda lines: b"",
        lambda lines: b"garbage\n",
        lambda lines: b"\xff\xfe\x00" * 100,
        lambda lines: lines[1],
        lambda lines: lines[0].replace(b'"version":1', b'"version":2'),
        lambda lines: lines[0].replace(b'"max_moves"', b'"moves"'),
        lambda lines: lines[0] + b'{"at":1}\n',
        lambda lines: lines[0] + lines[1].replace(b'"Started"', b'"Ended"'),
    ],
)
def test_an_invalid_trace_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], corrupt: object
) -> None:
    path = tmp_path / "trace"
    lines = _record(path, steps=1)
    assert callable(corrupt)
    path.write_bytes(corrupt(lines))
    with pytest.raises(TraceInvalid):
        replay_trace(path)
    assert main(["replay", str(path)]) == 2
    assert "line " in capsys.readouterr().err
