"""Holds or refuses requests under which targets were lost, before each attempt."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.crashes import Judgement
from rhubarbbend.gateway._crash_detector import CrashDetector
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State

# A caller may repeat a request here before the notice of its last crash elsewhere arrives. One that
# is known to have lost a target waits for such a notice before it is sent.
NOTICE_DELAY_S: Final = 0.05

# For this long after the start, requests wait for what the other instances know. They reply within
# some ms once this instance has read their addresses.
START_WAIT_S: Final = 0.8


class CrashGate:
    """Lets requests pass. Invariant: a content that is on trial has one attempt in progress."""

    def __init__(self, state: State, detector: CrashDetector, clock: Clock) -> None:
        self._state = state
        self._detector = detector
        self._clock = clock
        # Set when the attempt of a digest that is on trial has ended.
        self._trials: dict[str, asyncio.Event] = {}

    async def admit(self, request: OpenRequest) -> bool:
        """Wait until it is known whether a request may be sent, and return whether it may.

        If it is on trial, `end_attempt` has to follow, whether it was sent or not.
        """
        if request.is_on_trial:
            return True
        await self._wait_for_start()
        if self._judge(request) is Judgement.CLEAR:
            return True
        self._state.metrics.increment_counter(codes.SUSPECTS_HELD)
        if request.progress.sends == 0:
            await asyncio.sleep(NOTICE_DELAY_S)
        await self._await_verdict(request)
        while self._judge(request) is Judgement.ON_TRIAL:
            trial = self._trials.get(request.digest)
            if trial is None:
                self._trials[request.digest] = asyncio.Event()
                request.is_on_trial = True
                return True
            await trial.wait()
        return self._judge(request) is not Judgement.REFUSED

    async def _await_verdict(self, request: OpenRequest) -> None:
        """Wait until it is known what became of the lost targets, as far as it can be found out.

        Meanwhile the request may lose further ones at other instances.
        """
        settled: list[str] = []
        while self._judge(request) is Judgement.UNDECIDED:
            lost = self._state.crashes.list_undecided(request.digest, self._clock())
            if lost == settled:
                return
            settled = lost
            await self._detector.settle(request)

    async def _wait_for_start(self) -> None:
        """Wait, shortly after the start, until the other instances have told what they know."""
        learned = self._state.crashes_learned
        left = self._state.started_at + START_WAIT_S - self._clock()
        if not learned.is_set() and left > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await learned.wait()

    def end_attempt(self, request: OpenRequest) -> None:
        """Let the next attempt of a request that is on trial begin."""
        if request.is_on_trial:
            request.is_on_trial = False
            self._trials.pop(request.digest).set()

    def _judge(self, request: OpenRequest) -> Judgement:
        return self._state.crashes.judge(request.digest, self._clock())
