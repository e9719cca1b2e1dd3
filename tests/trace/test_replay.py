"""Traces replay with the same actions, show the first difference, and hold nothing private."""

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
from tests.trace.storm import PRIVATE, SECRET, SET_UP_EVENTS, Storm

STEPS = 2500


def _record(path: Path, seed: int = 1, steps: int = STEPS) -> list[bytes]:
    Storm(path, Random(seed)).run(steps)
    return path.read_bytes().splitlines(keepends=True)


@settings(
    max_examples=40, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(rng=st.randoms(use_true_random=False), steps=st.integers(0, 120))
def test_replays_whatever_happened(tmp_path: Path, rng: Random, steps: int) -> None:
    path = tmp_path / "trace"
    Storm(path, rng).run(steps)
    report = replay_trace(path)
    assert report.difference is None, str(report.difference)
    assert report.events == steps + SET_UP_EVENTS


@pytest.mark.parametrize("hash_seed", ["1", "2", "3"])
def test_replays_in_a_process_with_other_string_hashes(tmp_path: Path, hash_seed: str) -> None:
    """Sets of strings come in another order in each process; no action may follow that order."""
    path = tmp_path / "trace"
    lines = _record(path, seed=int(hash_seed))
    kinds = Counter(msgspec.json.decode(line).get("event", {}).get("type") for line in lines)
    assert kinds["AttemptDone"] > 5 and kinds["WriteDone"] > 5
    command = [sys.executable, "-m", "rhubarbbend", "replay", str(path)]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    done = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert f"{STEPS + SET_UP_EVENTS} events" in done.stdout


def test_a_trace_holds_nothing_private(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    storm = Storm(path, Random(3))
    storm.run(STEPS)
    data = path.read_bytes()
    assert storm.ticket and len(storm.keys) > 4
    private = [PRIVATE, SECRET, storm.ticket.encode(), b'"k1"', b"/k1"]
    private += [key.encode() for key in storm.keys[4:]]
    assert [entry for entry in private if entry in data] == []


def test_reports_the_first_difference(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "trace"
    _record(path, steps=300)
    monkeypatch.setattr(
        "rhubarbbend.core.owners._owned_target.OwnedTarget.count_load", lambda owned: 0
    )
    assert main(["replay", str(path)]) == 1
    shown = capsys.readouterr().out
    assert "the actions differ" in shown and "recorded:" in shown and "replayed:" in shown


def test_a_core_that_failed_fails_alike(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The exception that ended a process is in its trace, so that the fault can be looked at."""
    path = tmp_path / "trace"
    with monkeypatch.context() as patch:
        patch.setattr("rhubarbbend.core.owners._owned_target.OwnedTarget.record_report", None)
        with pytest.raises(TypeError):
            Storm(path, Random(1)).run(1)
        report = replay_trace(path)
        assert report.difference is None and 5 <= report.events <= SET_UP_EVENTS
    mended = replay_trace(path)
    assert mended.difference is not None and mended.difference.recorded.raised == "TypeError"


def test_a_full_file_ends_the_recording_only(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    Storm(path, Random(1), max_bytes=20_000).run(STEPS)
    assert path.stat().st_size <= 20_000
    report = replay_trace(path)
    assert report.difference is None and report.events > 10 and not report.cut


def test_a_line_cut_by_a_kill_is_left_out(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    lines = _record(path, steps=50)
    path.write_bytes(b"".join(lines[:-1]) + lines[-1][:20])
    report = replay_trace(path)
    assert report.cut and report.events == 49 + SET_UP_EVENTS and report.difference is None


@pytest.mark.parametrize(
    "change",
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
def test_refuses_what_is_no_trace(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], change: object
) -> None:
    path = tmp_path / "trace"
    lines = _record(path, steps=1)
    assert callable(change)
    path.write_bytes(change(lines))
    with pytest.raises(TraceInvalid):
        replay_trace(path)
    assert main(["replay", str(path)]) == 2
    assert "line " in capsys.readouterr().err
