"""The admission gate without network: the switch, the queue's one timer, and leaving callers."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from rhubarbbend import codes
from rhubarbbend.core.admission import Decision, Outcome, RefusalReason
from rhubarbbend.core.catalog import Engine, RequestKind, Route, Service
from rhubarbbend.core.directory import TargetRecord, TargetState
from rhubarbbend.gateway._admission import AdmissionGate
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._interfaces import CallerRequest
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._settings import GatewaySettings
from rhubarbbend.gateway._state import State, read_clock
from rhubarbbend.http import Exchange

SERVICE = Service("llm", 100, 0.0, 0.0, Engine(4, 10_000, 1))
PLAIN = Service("plain", 100, 0.0, 0.0)
OBJECTIVE_S = 0.8


def make_state(admission_control: bool) -> State:
    """Make the state of an only instance whose service has two targets with four slots each."""
    nowhere = ("127.0.0.1", 1)
    settings = GatewaySettings(
        "front-0", "a", nowhere, nowhere, nowhere, admission_control=admission_control
    )
    state = State(settings, ("op",), EventLog("front-0"))
    state.random.seed(5)
    state.loads.expected_peers = 0
    state.list_instance_ids = lambda: ("front-0",)  # type: ignore[method-assign]
    for number in range(2):
        record = TargetRecord(f"t-{number}", "llm", "127.0.0.1", 1, "a", 4, TargetState.READY)
        state.registry.register(record, 0.0)
    return state


def make_request(priority: int = 0, **fields: Any) -> OpenRequest:
    route = Route(
        f"route-{priority}", "h", "/", RequestKind.SAFE, 10.0, OBJECTIVE_S, priority, (), 2
    )
    caller = CallerRequest(f"id-{priority}", b"GET", b"/", "/", "h", "", [], b"", **fields)
    exchange: Any = object.__new__(Exchange)
    return OpenRequest(caller, exchange, route, SERVICE, None, read_clock(), 1)


def fill(state: State, requests: int) -> None:
    for number in range(requests):
        state.loads.record_start(f"t-{number % 2}")


def test_with_the_switch_off_nothing_is_looked_at_or_changed() -> None:
    """The same events give the same actions: no draw, no count, no gauge, no refusal."""

    async def work() -> None:
        state = make_state(False)
        fill(state, 400)
        before = state.random.getstate(), state.metrics.render()
        gate = AdmissionGate(state, read_clock)
        for priority in range(10):
            request = make_request(priority)
            assert await gate.admit(request) is None and request.admission is None
            gate.record_freed("llm")
        assert (state.random.getstate(), state.metrics.render()) == before
        assert not state.has_peer_counts(PLAIN, read_clock())
        # Without the counts of the others, the room of a service is not known.
        gate = AdmissionGate(state := make_state(True), read_clock)
        assert not state.has_peer_counts(PLAIN, read_clock())
        request = make_request(0)
        request.service = PLAIN
        assert await gate.admit(request) is None and request.admission is None

    asyncio.run(work())


def test_waiting_requests_leave_at_room_bound_and_disconnection() -> None:
    async def work() -> None:
        state = make_state(True)
        fill(state, 8)
        gate = AdmissionGate(state, read_clock)
        first = asyncio.create_task(gate.admit(make_request(0)))
        gone = asyncio.create_task(gate.admit(make_request(1)))
        last = asyncio.create_task(gate.admit(make_request(2)))
        await asyncio.sleep(0.01)
        assert gate.count_waiting("llm") == 3
        gone.cancel()
        await asyncio.sleep(0)
        assert gate.count_waiting("llm") == 2
        state.loads.record_end("t-0")
        gate.record_freed("llm")
        assert await first is None
        state.loads.record_start("t-0")
        began_at = read_clock()
        assert await last is codes.NO_ROOM
        assert read_clock() - began_at < 0.25 * OBJECTIVE_S + 0.05
        assert gate.count_waiting("llm") == 0
        assert state.metrics.read_counter(codes.ADMISSION_WAITED) == 3
        assert state.metrics.read_counter(codes.ADMISSION_GRANTED) == 1
        assert b"rhubarbbend_admission_room_llm 0\n" in state.metrics.render()

    asyncio.run(work())


# Guards against refusing requests that waited, when the answers that make room for them were
# received while the event loop was late.
def test_answers_that_have_arrived_make_room_before_waits_end() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        state = make_state(True)
        fill(state, 8)
        gate = AdmissionGate(state, read_clock)
        waiting = [asyncio.create_task(gate.admit(make_request(0))) for _ in range(4)]
        await asyncio.sleep(0.01)

        def end_attempts() -> None:
            for target in ("t-0", "t-1", "t-0", "t-1"):
                state.loads.record_end(target)
                gate.record_freed("llm")

        time.sleep(OBJECTIVE_S)
        # The loop reads an answer in its next iteration, and its task ends in the one after that.
        loop.call_soon(loop.call_soon, end_attempts)
        assert await asyncio.gather(*waiting) == [None] * 4

    asyncio.run(work())


def test_repeats_are_decided_on_unless_they_may_have_run() -> None:
    async def work() -> None:
        state = make_state(True)
        gate = AdmissionGate(state, read_clock)
        request = make_request(0)
        assert await gate.admit(request) is None
        fill(state, 40)
        # Admitted and not sent: no other decision.
        assert await gate.admit(request) is None
        request.progress.sends = 1
        assert await gate.admit(request) is codes.NO_ROOM
        assert request.admission is not None and request.admission.retry_after > 0.0
        request.progress.may_have_run = True
        assert await gate.admit(request) is None

    asyncio.run(work())


def test_an_estimate_beyond_the_deadline_refuses_at_once() -> None:
    async def work() -> None:
        state = make_state(True)
        gate = AdmissionGate(state, read_clock)
        gate.estimate_first_event = lambda service, route, prompt, now: 5.0
        request = make_request(0, timeout_s=1.0)
        assert await gate.admit(request) is codes.WAIT_TOO_LONG
        decision = request.admission
        assert isinstance(decision, Decision) and decision.outcome is Outcome.REFUSE
        assert (decision.reason, decision.estimate) == (RefusalReason.TOO_LATE, 5.0)

    asyncio.run(work())
