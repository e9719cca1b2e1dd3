"""Tests of the gate before attempts of requests under which targets were lost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from rhubarbbend.core.crashes import Content, CrashLedger, Judgement, Loss
from rhubarbbend.gateway._crash_gate import START_WAIT_S, CrashGate

NOW = 1.0
LATER = 20.0


class FakeArbiter:
    """Grants every trial, unless it is told to deny them."""

    def __init__(self) -> None:
        self.denies = False
        self.ended: list[tuple[str, bool]] = []

    async def request(self, cause: str) -> float:
        return 1.0 if self.denies else 0.0

    def end(self, cause: str, was_lost: bool) -> None:
        self.ended.append((cause, was_lost))


def make_gate(
    arbiter: FakeArbiter | None = None, clock: Callable[[], float] = lambda: NOW
) -> CrashGate:
    """Return the gate of an instance where two targets ended together under the content `x`."""
    ledger = CrashLedger()
    for target in ("t-1", "t-2"):
        ledger.record_loss("x", Loss(target, 0.0, 0.5))
        ledger.record_end(target)
    assert ledger.judge("x", NOW) is Judgement.ON_TRIAL
    learned = asyncio.Event()
    learned.set()
    metrics = SimpleNamespace(increment_counter=lambda name: None)
    event_log = SimpleNamespace(write=lambda event, now, **fields: None)
    state = SimpleNamespace(
        crashes=ledger,
        crashes_learned=learned,
        started_at=0.0,
        metrics=metrics,
        event_log=event_log,
    )
    parts = cast(Any, state), cast(Any, None), cast(Any, arbiter or FakeArbiter())
    return CrashGate(*parts, clock)


def make_request() -> Any:
    return SimpleNamespace(
        id="r-1",
        digest="x",
        content=Content("x"),
        trial=None,
        progress=SimpleNamespace(sends=1),
    )


async def admit_soon(gate: CrashGate, request: Any) -> bool:
    async with asyncio.timeout(0.2):
        return await gate.admit(request)


# Guards against sending a request that others know to have ended targets, when their replies were
# received while the event loop was late.
def test_replies_received_before_the_wait_at_the_start_ends_are_heeded() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        gate, request = make_gate(), make_request()
        state = cast(Any, gate._state)
        known, state.crashes = state.crashes, CrashLedger()
        state.crashes_learned.clear()
        state.started_at = NOW - START_WAIT_S + 0.2

        def learn() -> None:
            state.crashes = known
            state.crashes_learned.set()

        admitting = asyncio.create_task(gate.admit(request))
        await asyncio.sleep(0.1)
        time.sleep(0.2)
        # The loop reads the replies in its next iteration, the tasks that asked get them in the
        # one after that, and the task that waits for these applies them in the third.
        loop.call_soon(loop.call_soon, loop.call_soon, learn)
        assert await admitting
        assert request.trial == "x"

    asyncio.run(work())


def test_one_request_at_a_time_is_on_trial() -> None:
    async def work() -> None:
        gate, first, second = make_gate(), make_request(), make_request()
        assert await admit_soon(gate, first)
        with pytest.raises(TimeoutError):
            await admit_soon(gate, second)
        gate.end_attempt(first)
        assert await admit_soon(gate, second)

    asyncio.run(work())


# Guards against a request on trial that waits for itself when it looks for a target again.
def test_a_request_on_trial_does_not_wait_for_itself() -> None:
    async def work() -> None:
        gate, request = make_gate(), make_request()
        assert await admit_soon(gate, request)
        assert await admit_soon(gate, request)
        gate.end_attempt(request)
        gate.end_attempt(request)
        assert await admit_soon(gate, make_request())

    asyncio.run(work())


# Guards against each instance trying for itself what is on trial.
def test_a_request_whose_trial_another_instance_has_is_refused() -> None:
    async def work() -> None:
        arbiter, times = FakeArbiter(), [NOW]
        gate, request = make_gate(arbiter, lambda: times[-1]), make_request()
        arbiter.denies = True
        with pytest.raises(TimeoutError):
            await admit_soon(gate, request)
        gate.end_attempt(request)
        assert not arbiter.ended
        arbiter.denies = False
        times.append(NOW + 1.0)
        assert await admit_soon(gate, request)
        gate.end_attempt(request)
        assert arbiter.ended == [("x", False)]

    asyncio.run(work())


# Guards against a wait for a trial that lasts until the request's deadline.
def test_a_request_that_waits_for_a_trial_is_refused_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("rhubarbbend.gateway._crash_gate.MAX_TRIAL_WAIT_S", 0.0)

    async def work() -> None:
        gate = make_gate()
        assert await admit_soon(gate, make_request())
        assert not await admit_soon(gate, make_request())

    asyncio.run(work())


def end_target(ledger: CrashLedger, target: str, sent_at: float) -> None:
    """Record that a target has ended under the content `x`."""
    ledger.record_loss("x", Loss(target, sent_at, sent_at + 0.1))
    ledger.record_end(target)


# Guards against a request that is sent since the notice of a crash came while its trial was asked
# for, after the targets that were known to be lost had been asked about.
def test_a_crash_that_is_learned_of_during_a_trial_is_judged() -> None:
    async def work() -> None:
        arbiter, asked = FakeArbiter(), list[str]()
        gate = make_gate(arbiter)
        ledger = cast(Any, gate)._state.crashes

        async def learn(cause: str) -> float:
            ledger.record_loss("x", Loss("t-3", 0.6, 0.7))
            return 0.0

        async def settle(request: Any, lost: list[str]) -> None:
            asked.extend(lost)
            ledger.record_end("t-3")

        cast(Any, arbiter).request = learn
        cast(Any, gate)._detector = SimpleNamespace(settle=settle)
        assert not await admit_soon(gate, make_request())
        assert asked == ["t-3"]

    asyncio.run(work())


# Guards against a retry of our own that overtakes the notice of a crash at another instance.
def test_a_retry_waits_for_notices_of_other_crashes() -> None:
    async def work() -> None:
        gate = make_gate(clock=lambda: LATER)
        ledger = cast(Any, gate)._state.crashes
        ledger.record_completion("x", NOW)
        end_target(ledger, "t-8", LATER - 0.5)
        asyncio.get_running_loop().call_later(0.01, end_target, ledger, "t-9", LATER - 0.3)
        assert not await admit_soon(gate, make_request())

    asyncio.run(work())
