"""Tests of the callers of a chaos run."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from loadtool._answer_log import AnswerLog
from loadtool._caller import Answer
from loadtool._chaos import ChaosLoad


class RefusedCaller:
    """A caller whose requests are refused and may come again after ten minutes."""

    async def send_command(self, *_: object, **__: object) -> Answer:
        return Answer(status=422, code="request_crashes_targets", retry_after=600.0)

    send_chat = look_up = send_command


# Guards against a chaos run that does not end: its processes idle, and no caller connected.
def test_callers_that_are_told_to_return_after_the_run_end_with_it() -> None:
    log = AnswerLog()
    load: Any = ChaosLoad(list, log, 1)
    load.chats = load.commands = RefusedCaller()
    asyncio.run(asyncio.wait_for(load.run(time.monotonic() + 0.2), 5.0))
    assert log.refusals["request_crashes_targets"] > 0
