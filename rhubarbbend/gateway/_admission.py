"""Holds or refuses requests for which their service has no room, before they are sent.

This module connects the decisions of `core/admission` with the instance: it reads the room, lets
requests wait, and looks at the room again when an own request ends and at a short interval, in
which the counts of other instances arrive.
"""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable
from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode
from rhubarbbend.core.admission import (
    AdmissionRequest,
    Decision,
    Outcome,
    RefusalReason,
    RoomView,
    ServiceAdmission,
    SlotCounter,
    UsableTargets,
    Waiter,
    count_known_slots,
)
from rhubarbbend.core.catalog import Service
from rhubarbbend.core.delivery import AttemptOutcome
from rhubarbbend.core.placement import Choice, Prompt
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import INPUT_LOOP_ITERATIONS

# The counts of other instances arrive every 0.05 s, and adding them up costs more than a decision;
# the own ones are read each time.
VIEW_INTERVAL_S: Final = 0.05
REFUSAL_CODES: Final = {
    RefusalReason.TOO_LATE: codes.WAIT_TOO_LONG,
    RefusalReason.NO_ROOM: codes.NO_ROOM,
    RefusalReason.OVER_SHARE: codes.OVER_SHARE,
    RefusalReason.QUEUE_FULL: codes.QUEUE_FULL,
}

# Returns the expected seconds until the first event of a request; None if that is not known.
FirstEventEstimate = Callable[[Service, str, Prompt | None, float], float | None]


class _ServiceQueue:
    """The admission to one service, the requests that wait for it, and their one timer."""

    __slots__ = ("service", "admission", "view", "viewed_at", "waiting", "timer")

    def __init__(self, service: Service, admission: ServiceAdmission, view: RoomView) -> None:
        self.service = service
        self.admission = admission
        self.view = view
        self.viewed_at = -math.inf
        self.waiting: dict[Waiter, asyncio.Future[None]] = {}
        self.timer: asyncio.Handle | None = None


class AdmissionGate:
    """Admits requests while the settings switch admission control on; else all of them, at once.

    Invariant: a request that was refused here was not sent to a target since it was admitted last.
    """

    def __init__(
        self, state: State, clock: Clock, count_slots: SlotCounter = count_known_slots
    ) -> None:
        self._state = state
        self._clock = clock
        self._usable = UsableTargets(
            state.registry, state.loads, state.health, state.pauses, count_slots
        )
        self._services: dict[str, _ServiceQueue] = {}
        self.estimate_first_event: FirstEventEstimate = state.placement.estimate_first_event

    async def admit(self, request: OpenRequest) -> ErrorCode | None:
        """Wait until a request may be sent; return why it is refused, None if it may be sent."""
        now = self._clock()
        if not self._is_active(request.service, now) or not self._needs_decision(request):
            return None
        queue = self._find_queue(request.service)
        view = self._read_view(queue, now)
        waiter = queue.admission.decide(self._describe(request, now), view, now)
        decision = request.admission = waiter.decision
        if decision.is_open:
            self._state.metrics.increment_counter(codes.ADMISSION_OPEN)
        if decision.outcome is Outcome.WAIT:
            self._state.metrics.increment_counter(codes.ADMISSION_WAITED)
            await self._wait(queue, waiter)
            if waiter.decision.outcome is Outcome.ADMIT:
                self._state.metrics.increment_counter(codes.ADMISSION_GRANTED)
        elif decision.outcome is Outcome.ADMIT:
            return None
        self._log(request, decision, now)
        return None if decision.reason is None else REFUSAL_CODES[decision.reason]

    def _is_active(self, service: Service, now: float) -> bool:
        """Return whether admission to a service is controlled.

        Without the counts of the other instances its room is not known: what plain targets report
        is as old as their last answers here, and their requests end sooner than counts arrive.
        """
        return self._state.settings.admission_control and self._state.has_peer_counts(service, now)

    def _needs_decision(self, request: OpenRequest) -> bool:
        """Return whether a request has to be decided on before its next attempt.

        One that was admitted and not sent is still admitted. One that may have run is not refused:
        the work that was done for it would be lost.
        """
        progress = request.progress
        if progress.may_have_run or progress.started:
            return False
        return request.admission is None or progress.sends > 0

    def _describe(self, request: OpenRequest, now: float) -> AdmissionRequest:
        route, prompt = request.route, request.caller.prompt
        return AdmissionRequest(
            route.name,
            "" if request.account is None else request.account.name,
            request.priority,
            route.objective,
            request.deadline,
            0 if prompt is None else sum(part.tokens for part in prompt.parts),
            self.estimate_first_event(request.service, route.name, prompt, now),
            request.progress.sends > 0,
        )

    async def _wait(self, queue: _ServiceQueue, waiter: Waiter) -> None:
        """Wait for a decision; withdraw the request if its caller leaves or its deadline passes."""
        future = asyncio.get_running_loop().create_future()
        queue.waiting[waiter] = future
        self._schedule(queue, self._clock())
        try:
            await future
        finally:
            del queue.waiting[waiter]
            if waiter.decision.outcome is Outcome.WAIT:
                queue.admission.withdraw(waiter)
            elif waiter.decision.outcome is Outcome.ADMIT:
                # From here to the start of the attempt, no other task runs.
                queue.admission.record_started()

    def record_freed(self, service: str) -> None:
        """Record that an attempt at a service has ended; requests that wait may go on.

        None is refused here: after a stall of this process, more attempts may be about to end.
        """
        queue = self._services.get(service)
        if queue is not None and queue.waiting:
            now = self._clock()
            self._wake(queue, queue.admission.admit_waiting(self._read_view(queue, now), now))
            self._schedule(queue, now)

    def record_outcome(self, request: OpenRequest, choice: Choice, outcome: AttemptOutcome) -> None:
        """Learn from a complete answer for how long a request holds a slot."""
        queue = self._services.get(request.service.name)
        if queue is None or outcome is not AttemptOutcome.ANSWERED or choice.cold:
            return
        now = self._clock()
        target = choice.target
        slots = self._usable.count_slots(request.service, target, now)
        if slots is not None and choice.load < slots:
            seconds = now - request.sent_at
            queue.admission.record_holding(request.priority, request.route.objective, seconds)

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for room at a service."""
        queue = self._services.get(service)
        return 0 if queue is None else len(queue.admission.queue)

    def measure_room(self, service: str) -> float:
        """Return how many slots of a service are free, less than 0 if requests wait there."""
        queue = self._services.get(service)
        return 0.0 if queue is None else queue.view.slots - queue.view.held

    # Room.

    def _find_queue(self, service: Service) -> _ServiceQueue:
        queue = self._services.get(service.name)
        if queue is None:
            admission = ServiceAdmission(self._state.random)
            queue = _ServiceQueue(service, admission, RoomView(1, is_known=False))
            self._services[service.name] = queue
            self._register_gauges(service.name)
        queue.service = service
        return queue

    def _register_gauges(self, service: str) -> None:
        name = re.sub(r"\W", "_", service)
        metrics = self._state.metrics
        metrics.register_gauge(f"admission_room_{name}", lambda: self.measure_room(service))
        metrics.register_gauge(f"admission_queue_{name}", lambda: self.count_waiting(service))

    def _read_view(self, queue: _ServiceQueue, now: float) -> RoomView:
        if 0.0 <= now - queue.viewed_at < VIEW_INTERVAL_S:
            self._usable.refresh_own(queue.view)
            return queue.view
        instances = len(self._state.list_instance_ids())
        queue.view = self._usable.compute_view(queue.service, instances, now)
        queue.viewed_at = now
        if queue.view.invalid:
            self._state.metrics.increment_counter(codes.ADMISSION_INVALID, queue.view.invalid)
        return queue.view

    # The queue.

    def _schedule(self, queue: _ServiceQueue, now: float) -> None:
        """Set the timer of a queue, if requests wait and it is not set."""
        if queue.timer is not None or not queue.admission.queue:
            return
        at = queue.admission.compute_next_evaluation(now)
        queue.timer = asyncio.get_running_loop().call_at(
            at, self._handle_timer, queue, INPUT_LOOP_ITERATIONS
        )

    def _handle_timer(self, queue: _ServiceQueue, iterations: int) -> None:
        """Look at the room again after some iterations of the event loop.

        A loop that was late passes on the answers that have arrived, whose slots are free, in them.
        """
        if iterations > 0:
            loop = asyncio.get_running_loop()
            queue.timer = loop.call_soon(self._handle_timer, queue, iterations - 1)
            return
        queue.timer = None
        self._reevaluate(queue)

    def _reevaluate(self, queue: _ServiceQueue) -> None:
        """Let those requests go on for which there is room now, or that may wait no longer."""
        now = self._clock()
        self._wake(queue, queue.admission.reevaluate(self._read_view(queue, now), now))
        self._schedule(queue, now)

    def _wake(self, queue: _ServiceQueue, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            future = queue.waiting.get(waiter)
            if future is not None and not future.done():
                future.set_result(None)

    def _log(self, request: OpenRequest, decision: Decision, began_at: float) -> None:
        """Log a decision on a request that could not be sent at once."""
        now = self._clock()
        self._state.event_log.write(
            "admission",
            now,
            id=request.id,
            decision=decision.outcome.value,
            reason=None if decision.reason is None else decision.reason.value,
            service=request.service.name,
            room=decision.room,
            held=decision.held,
            slots=decision.slots,
            estimate=decision.estimate,
            priority=request.priority,
            preferred=decision.preferred or None,
            over_share=decision.is_over_share or None,
            starved=decision.starved,
            waited=round(now - began_at, 4),
        )
