"""Tests of tasks in the background: errors are reported, and loops go on after one."""

from __future__ import annotations

import asyncio

import pytest

from rhubarbbend import background
from rhubarbbend.background import BackgroundTasks


class ErrorRecorder:
    """Records reported errors; `tasks` are the tasks under test."""

    def __init__(self) -> None:
        self.reported: list[tuple[str, str]] = []
        self.tasks = BackgroundTasks(self.record)

    def record(self, task: str, error: BaseException) -> None:
        self.reported.append((task.rpartition(".")[2], str(error)))


async def fail() -> None:
    raise RuntimeError("unexpected")


# Guards against a task that ends with an error that nobody hears of (review/2).
def test_the_error_of_a_task_is_reported() -> None:
    async def scenario() -> None:
        recorder = ErrorRecorder()
        await asyncio.wait([recorder.tasks.spawn(fail())])
        await asyncio.sleep(0.0)
        assert recorder.reported == [("fail", "unexpected")]
        assert recorder.tasks.list_running() == []

    asyncio.run(scenario())


# Guards against a loop that ends for good with the first unexpected error (review/2).
def test_a_loop_goes_on_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(background, "RESTART_DELAY_S", 0.01)
        recorder = ErrorRecorder()
        runs: list[int] = []

        async def follow() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise RuntimeError(f"error {len(runs)}")

        await recorder.tasks.spawn_loop(follow)
        assert runs == [0, 1, 2]
        assert recorder.reported == [("follow", "error 1"), ("follow", "error 2")]

    asyncio.run(scenario())


# Guards against a planned stop that is reported as an error, or does not end a loop.
def test_cancelled_loops_end_without_a_report() -> None:
    async def scenario() -> None:
        recorder = ErrorRecorder()
        loops = [recorder.tasks.spawn_loop(lambda: asyncio.sleep(60.0)) for _ in range(3)]
        await asyncio.sleep(0.0)
        recorder.tasks.cancel()
        await asyncio.wait(loops, timeout=1.0)
        assert all(loop.cancelled() for loop in loops) and recorder.reported == []

    asyncio.run(scenario())
