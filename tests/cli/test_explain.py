"""Tests of `explain`: a request's timeline holds its lines and related ones, ordered by time."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from rhubarbbend.cli import main
from rhubarbbend.cli._explain import explain_request, read_lines


def make_line(event: str, time: float, instance: str, **fields: object) -> str:
    return json.dumps({"event": event, "time": time, "mono": 1.0, "instance": instance, **fields})


LINES = [
    make_line("ended", 12.0, "front-2", id="r-1", outcome="answered"),
    make_line("store_lost", 9.5, "front-1", reason="status 503"),
    make_line("store_lost", 9.6, "front-3", reason="status 503"),
    make_line("config_applied", 1.0, "front-1", version=1),
    "  12.1 front-1 " + make_line("sent", 10.0, "front-1", id="r-1", target="t-1", source=None),
    make_line("sent", 10.1, "front-1", id="r-2", target="t-1"),
    "Traceback (most recent call last):",
    '{"cut',
]


def test_timeline_holds_lines_of_the_request_and_earlier_ones_of_its_instances() -> None:
    timeline = explain_request("r-1", read_lines(LINES))
    assert [line.split()[:5] for line in timeline] == [
        ["-500.0", "ms", "front-1", "store_lost", "reason=status"],
        ["*", "+0.0", "ms", "front-1", "sent"],
        ["*", "+2000.0", "ms", "front-2", "ended"],
    ]
    assert "target=t-1" in timeline[1] and "source" not in timeline[1]


def test_sends_show_the_expected_time_and_the_pace_on_which_the_choice_rested() -> None:
    # Without them it cannot be told whether a late request was sent to a target known to be slow.
    sent = make_line("sent", 1.0, "front-1", id="r-1", target="t-1", estimate=0.212, pace=2.31)
    (line,) = explain_request("r-1", read_lines([sent]))
    assert "estimate=0.212" in line and "pace=2.31" in line


def test_timeline_says_why_memory_ended_or_refused_a_request() -> None:
    """Guards against a caller that was ended after its answer and of whom no line tells why."""
    lines = [
        make_line("ended", 10.0, "front-1", id="r-1", outcome="answered"),
        make_line("caller_ended", 12.5, "front-1", id="r-1", reason="memory_short", held=9),
        make_line("rejected", 12.6, "front-1", id="r-2", code="memory_short", detail="9 of 8"),
    ]
    assert "reason=memory_short held=9" in explain_request("r-1", read_lines(lines))[-1]
    refused = explain_request("r-2", read_lines(lines))[-1]
    assert "code=memory_short detail=9 of 8" in refused


def test_timeline_of_a_refused_request_holds_the_crashes_of_the_same_content() -> None:
    lines = [
        make_line("attempt_failed", 10.0, "front-2", id="r-3", target="t-1", content="c-1"),
        make_line("crash_counted", 10.3, "front-3", id="r-4", target="t-1", digest="c-1"),
        make_line("crash_doubted", 10.4, "front-3", id="r-5", target="t-2", digest="c-2"),
        make_line("ended", 90.0, "front-1", id="r-9", outcome="refused", content="c-1"),
    ]
    timeline = explain_request("r-9", read_lines(lines))
    assert [line.split()[-4:] for line in timeline[:2]] == [
        ["attempt_failed", "id=r-3", "target=t-1", "content=c-1"],
        ["crash_counted", "id=r-4", "target=t-1", "digest=c-1"],
    ]
    assert len(timeline) == 3


def test_timeline_of_a_request_with_a_refused_part_holds_the_crashes_under_it() -> None:
    lines = [
        make_line("attempt_failed", 10.0, "front-2", id="r-3", target="t-1", parts=["aa", "bad"]),
        make_line("attempt_failed", 11.0, "front-2", id="r-4", target="t-1", parts=["aa"]),
        make_line("crash_counted", 12.0, "front-3", id="r-5", target="t-2", part="llm/bad"),
        make_line("ended", 90.0, "front-1", id="r-9", outcome="refused", part="llm/bad"),
    ]
    timeline = explain_request("r-9", read_lines(lines))
    assert len(timeline) == 3
    assert "attempt_failed" in timeline[0] and "crash_counted" in timeline[1]
    assert not any("r-4" in line for line in timeline)


def test_timeline_of_a_stream_that_goes_on_holds_its_beginning() -> None:
    lines = [
        make_line("sent", 10.0, "front-2", id="r-1", target="t-1", version="v1"),
        make_line("stream_taken_up", 14.0, "front-1", id="r-2", resumes="r-1", source="front-3"),
        make_line("sent", 14.1, "front-1", id="r-3", target="t-1"),
    ]
    timeline = explain_request("r-2", read_lines(lines))
    assert len(timeline) == 2
    assert timeline[0].split()[-3:] == ["id=r-1", "target=t-1", "version=v1"]
    assert timeline[1].split()[-2:] == ["resumes=r-1", "source=front-3"]


def test_command_reads_several_logs_and_fails_if_no_line_matches(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(LINES[:4]), "utf-8")
    second.write_text("\n".join(LINES[4:]), "utf-8")
    assert main(["explain", "r-1", str(first), str(second)]) == 0
    assert capsys.readouterr().out.count("* ") == 2
    assert main(["explain", "r-9", str(first)]) == 1
    assert "no line about r-9" in capsys.readouterr().err
    assert main(["explain", "r-1", str(tmp_path / "missing.log")]) == 1


# Guards against a timeline that does not say why a request went past a target that is full.
def test_timeline_holds_the_targets_that_were_full_shortly_before() -> None:
    lines = [
        make_line("target_full", 10.0, "front-1", target="t-1", cause="r-1", limit=2),
        make_line("target_full", 11.0, "front-1", target="t-2", told_by="front-2", age=0.1),
        make_line("target_full", 11.0, "front-2", target="t-3", cause="r-3", limit=0),
        make_line("ended", 12.0, "front-1", id="r-9", outcome="refused", shut={"full": 2}),
    ]
    timeline = explain_request("r-9", read_lines(lines))
    assert len(timeline) == 3
    assert "target=t-1" in timeline[0] and "limit=2" in timeline[0]
    assert "told_by=front-2" in timeline[1]
