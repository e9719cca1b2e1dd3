"""Holds or refuses requests under which targets were lost, before each attempt.

That is so for equal requests, and for those whose prompts hold a part under which they were lost.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.crashes import Judgement, is_part_key
from rhubarbbend.gateway._crash_detector import CrashDetector
from rhubarbbend.gateway._crash_trials import TrialClient
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import InputTimeout

# A caller may repeat a request here before the notice of its last crash elsewhere arrives. One that
# is known to have lost a target waits for such a notice before it is sent, also again.
NOTICE_DELAY_S: Final = 0.05

# For this long after the start, requests wait for what the other instances know. They reply within
# some ms once this instance has read their addresses.
START_WAIT_S: Final = 0.8
# How often a request that waits for a trial looks whether it may go on: an answer at any instance
# may have cleared it.
TRIAL_CHECK_INTERVAL_S: Final = 0.1
# How often it asks for the trial itself.
TRIAL_QUERY_INTERVAL_S: Final = 0.3
# After this time it is refused: it is not known whether it crashes targets.
MAX_TRIAL_WAIT_S: Final = 1.5
# Requests that are judged so are sent one at a time.
UNCERTAIN: Final = frozenset({Judgement.ON_TRIAL, Judgement.UNDECIDED})


class _Trial:
    """A trial of this instance, asked for or granted."""

    __slots__ = ("began_at", "ended")

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.ended = asyncio.Event()


class CrashGate:
    """Lets requests pass.

    Invariant: a cause that is on trial has one attempt in progress, here and, as long as instances
    reach its coordinator, in the fleet.
    """

    def __init__(
        self, state: State, detector: CrashDetector, arbiter: TrialClient, clock: Clock
    ) -> None:
        self._state = state
        self._detector = detector
        self._arbiter = arbiter
        self._clock = clock
        self._trials: dict[str, _Trial] = {}
        # When the trial of a cause may be asked for again.
        self._ask_at: dict[str, float] = {}

    def refuses(self, request: OpenRequest, now: float) -> bool:
        """Return whether it is known that a request crashes targets."""
        cause, judgement = self._find_cause(request, now)
        return judgement is Judgement.REFUSED and not self._awaits_notices(request, cause, now)

    def _awaits_notices(self, request: OpenRequest, cause: str, now: float) -> bool:
        """Return whether notices may come of what else was at the last crash under a part."""
        lost_at = self._state.crashes.get_last_loss(cause)
        return cause != request.digest and now - lost_at < 2 * NOTICE_DELAY_S

    async def admit(self, request: OpenRequest) -> bool:
        """Wait until it is known whether a request may be sent, and return whether it may.

        If it is on trial, `end_attempt` has to follow, whether it was sent or not.
        """
        if request.trial is not None:
            return True
        await self._wait_for_start()
        if self._judge(request) is Judgement.CLEAR:
            return True
        self._state.metrics.increment_counter(codes.SUSPECTS_HELD)
        held_at = self._clock()
        request.goes_apart = request.progress.sends > 0
        is_repeated = (
            self._state.crashes.judge(request.digest, self._clock()) is not Judgement.CLEAR
        )
        if is_repeated:
            await asyncio.sleep(NOTICE_DELAY_S)
        settled: list[str] = []
        while True:
            settled = await self._await_verdict(request, settled)
            cause, judgement = self._find_cause(request, self._clock())
            if judgement is Judgement.REFUSED and self._awaits_notices(
                request, cause, self._clock()
            ):
                await asyncio.sleep(NOTICE_DELAY_S)
            if not await self._begin_trial(request):
                return False
            # Notices may have come meanwhile.
            if self._list_unsettled(request, settled) is None:
                break
        if self._judge(request) is Judgement.REFUSED:
            return False
        self._log_admitted(request, held_at)
        return True

    async def _begin_trial(self, request: OpenRequest) -> bool:
        """Wait until no other request is on trial for the same cause; return whether this came.

        One that is still undecided is tried too: nobody could tell what became of its targets.
        """
        give_up_at = self._clock() + MAX_TRIAL_WAIT_S
        while True:
            cause, judgement = self._find_cause(request, self._clock())
            if judgement not in UNCERTAIN:
                return True
            request.goes_apart = True
            if cause not in self._trials and await self._ask_for_trial(request, cause):
                return True
            if self._clock() >= give_up_at:
                self._state.metrics.increment_counter(codes.TRIALS_DENIED)
                return False
            await self._wait_for_trial(cause)

    async def _ask_for_trial(self, request: OpenRequest, cause: str) -> bool:
        """Ask for the trial of a cause, which this instance has not; return whether it has it."""
        now = self._clock()
        if now < self._ask_at.get(cause, now):
            return False
        self._trials[cause] = _Trial(now)
        request.trial = cause
        wait_s = await self._arbiter.request(cause)
        if wait_s <= 0.0:
            self._ask_at.pop(cause, None)
            return True
        now = self._clock()
        self._ask_at = {c: at for c, at in self._ask_at.items() if at > now}
        self._ask_at[cause] = now + min(wait_s, TRIAL_QUERY_INTERVAL_S)
        self._end_trial(request)
        return False

    async def _wait_for_trial(self, cause: str) -> None:
        trial = self._trials.get(cause)
        if trial is None:
            await asyncio.sleep(TRIAL_CHECK_INTERVAL_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TRIAL_CHECK_INTERVAL_S):
                await trial.ended.wait()

    async def _await_verdict(self, request: OpenRequest, settled: list[str]) -> list[str]:
        """Wait until it is known what became of the lost targets, as far as it can be found out.

        Meanwhile the request may lose further ones at other instances. `settled` are those that
        were asked about before; return those that are now.
        """
        while True:
            lost = self._list_unsettled(request, settled)
            if lost is None:
                return settled
            settled = lost
            await self._detector.settle(request, lost)

    def _list_unsettled(self, request: OpenRequest, settled: list[str]) -> list[str] | None:
        """Return the lost targets that make a request undecided; None if all were asked about."""
        cause, judgement = self._find_cause(request, self._clock())
        if judgement is not Judgement.UNDECIDED:
            return None
        lost = self._state.crashes.list_undecided(cause, self._clock())
        return None if lost == settled else lost

    async def _wait_for_start(self) -> None:
        """Wait, shortly after the start, until the other instances have told what they know."""
        learned = self._state.crashes_learned
        left = self._state.started_at + START_WAIT_S - self._clock()
        if not learned.is_set() and left > 0.0:
            with contextlib.suppress(TimeoutError):
                async with InputTimeout(asyncio.get_running_loop().time() + left):
                    await learned.wait()

    def end_attempt(self, request: OpenRequest) -> None:
        """Let the next attempt of a request that is on trial begin."""
        if request.trial is None:
            return
        cause = request.trial
        trial = self._end_trial(request)
        was_lost = self._state.crashes.get_last_loss(cause) >= trial.began_at
        self._arbiter.end(cause, was_lost)

    def _end_trial(self, request: OpenRequest) -> _Trial:
        assert request.trial is not None
        trial = self._trials.pop(request.trial)
        request.trial = None
        trial.ended.set()
        return trial

    def _log_admitted(self, request: OpenRequest, held_at: float) -> None:
        now = self._clock()
        cause, judgement = self._find_cause(request, now)
        counts = self._state.crashes.count_losses(cause, now)
        self._state.event_log.write(
            "suspect_admitted",
            now,
            id=request.id,
            digest=request.digest,
            part=cause if is_part_key(cause) else None,
            judgement=judgement.value,
            lost=counts.lost,
            ended=counts.ended,
            in_sequence=counts.in_sequence,
            since_loss=round(now - self._state.crashes.get_last_loss(cause), 3),
            waited=round(now - held_at, 4),
        )

    def _judge(self, request: OpenRequest) -> Judgement:
        return self._find_cause(request, self._clock())[1]

    def _find_cause(self, request: OpenRequest, now: float) -> tuple[str, Judgement]:
        crashes = self._state.crashes
        if crashes.is_empty:
            return request.digest, Judgement.CLEAR
        return crashes.find_cause(request.content, now)
