"""Tasks in the background of a process: their errors are reported, and loops go on after one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

# Time before a loop that ended with an error runs again, so that one that fails each time does not
# occupy the event loop.
RESTART_DELAY_S: Final = 0.5

Work = Coroutine[Any, Any, None]
# Called with the name of a task and the error that it ended with.
ReportError = Callable[[str, BaseException], None]


class BackgroundTasks:
    """The tasks of one part of a process. Invariant: no task ends with an error unreported."""

    def __init__(self, report_error: ReportError) -> None:
        self._report_error = report_error
        # In the order of their start, not that of their addresses in memory.
        self._tasks: dict[asyncio.Task[None], None] = {}

    def spawn(self, work: Work) -> asyncio.Task[None]:
        """Start a task that runs once."""
        task = asyncio.get_running_loop().create_task(work, name=_get_name(work))
        self._tasks[task] = None
        task.add_done_callback(self._handle_done)
        return task

    def spawn_loop(self, make_work: Callable[[], Work]) -> asyncio.Task[None]:
        """Start a task that lasts as long as the process; it is run again after an error."""
        return self.spawn(self._run_loop(make_work))

    def list_running(self) -> list[asyncio.Task[None]]:
        """Return the tasks that have not ended."""
        return list(self._tasks)

    def cancel(self) -> None:
        """Cancel every task."""
        for task in self.list_running():
            task.cancel()

    async def _run_loop(self, make_work: Callable[[], Work]) -> None:
        while True:
            work = make_work()
            try:
                await work
            except Exception as error:
                self._report_error(_get_name(work), error)
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return

    def _handle_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._report_error(task.get_name(), error)


def _get_name(work: Work) -> str:
    return str(getattr(work, "__qualname__", "task"))
