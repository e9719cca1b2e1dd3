"""Serves the requests of callers, each from its arrival to its final answer.

`RequestServer` checks the request, chooses targets for it, runs attempts at them until one yields
the answer, and otherwise refuses the request with an error.
"""

from __future__ import annotations

import asyncio
import traceback
from functools import partial
from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.catalog import Catalog, RequestKind
from rhubarbbend.core.delivery import AttemptOutcome, decide_step
from rhubarbbend.core.detours import has_lost_links, needs_detour
from rhubarbbend.core.placement import Choice
from rhubarbbend.gateway._admission import AdmissionGate
from rhubarbbend.gateway._attempts import AttemptRunner, RetryBudgetExhausted
from rhubarbbend.gateway._caller_checks import is_disconnected
from rhubarbbend.gateway._crash_gate import CrashGate
from rhubarbbend.gateway._detours import DetourClient, DetourResult
from rhubarbbend.gateway._interfaces import BadRequest, CallerProtocol, CallerRequest
from rhubarbbend.gateway._request_ender import RequestEnder
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._startup_gate import StartupGate
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.gateway._stop_gate import StopGate
from rhubarbbend.gateway._stream_origins import StreamOrigins
from rhubarbbend.gateway._target_prober import TargetProber
from rhubarbbend.gateway._version_selector import VersionSelector
from rhubarbbend.http import ClientEnd, Exchange, InputTimeout, shed_excess

# A request is refused once more than this many targets have failed to accept a connection for it.
MAX_CONNECT_FAILURES: Final = 4
# Once so many targets have accepted no connection for a request, it is checked whether this
# instance has lost its links to the service.
MIN_FAILURES_CHECKED: Final = 2


class RequestServer:
    """Serves all requests of callers.

    Invariant: each request ends in exactly one answer, refusal or aborted connection. `open` is the
    number of requests being served.
    """

    def __init__(
        self,
        state: State,
        caller_protocol: CallerProtocol,
        attempts: AttemptRunner,
        detours: DetourClient,
        prober: TargetProber,
        gate: CrashGate,
        origins: StreamOrigins,
        admission: AdmissionGate,
        clock: Clock,
    ) -> None:
        self._state = state
        self._clock = clock
        self._caller_protocol = caller_protocol
        self._ender = self._make_ender()
        self._attempts = attempts
        self._alternatives = attempts.alternatives
        self._detours = detours
        self._prober = prober
        self._gate = gate
        self._origins = origins
        self._admission = admission
        self._versions = VersionSelector(state, clock)
        self._startup_gate = StartupGate(state, caller_protocol, clock)
        self._stop_gate = StopGate(state)
        self.open_requests = 0

    def _make_ender(self) -> RequestEnder:
        return RequestEnder(self._state, self._caller_protocol, self._clock)

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request; this is the handler of the HTTP server for callers."""
        self.open_requests += 1
        now = self._clock()
        self._state.metrics.increment_counter(codes.REQUESTS)
        exchange.on_ended = partial(self._handle_caller_ended, exchange)
        try:
            shed_excess(self._state.memory, now)
            if exchange.memory_refusal or not self._state.memory.can_admit(0, now):
                self._ender.reject_for_memory(exchange, now)
                return
            if not self._state.became_ready.is_set():
                await self._startup_gate.wait(exchange, now)
            request = None if exchange.closed.is_set() else self._admit(exchange, now)
            if request is not None:
                await self._deliver(request)
        except Exception as error:
            self._handle_internal_error(exchange, error)
        finally:
            self.open_requests -= 1
            exchange.on_closed = None

    def _handle_caller_ended(self, exchange: Exchange, reason: ClientEnd) -> None:
        """Count and log that a caller was ended since it did not read its answer."""
        is_stalled = reason is ClientEnd.NOT_READING
        self._state.metrics.increment_counter(
            codes.CALLERS_NOT_READING if is_stalled else codes.CALLERS_SHED
        )
        self._state.event_log.write(
            "caller_ended",
            self._clock(),
            id=self._caller_protocol.read_request_id(exchange),
            reason=reason.value,
            waited=round(exchange.buffer.waited_s, 3),
            held=self._state.memory.held,
        )

    def _handle_internal_error(self, exchange: Exchange, error: Exception) -> None:
        """End a request after an exception in this program; the request may have run."""
        self._state.metrics.increment_counter(codes.INTERNAL_ERRORS)
        reason = "".join(traceback.format_exception(error)[-3:])
        request_id = self._caller_protocol.read_request_id(exchange)
        self._state.event_log.write("internal_error", self._clock(), id=request_id, reason=reason)
        if exchange.started:
            exchange.abort()
        else:
            verdict = Verdict.MAY_HAVE_RUN
            self._ender.write_error(exchange, request_id, codes.INTERNAL, verdict, 0.0)

    # Admission.

    def _admit(self, exchange: Exchange, now: float) -> OpenRequest | None:
        """Return the request if it may be sent to targets; otherwise answer it and return None."""
        catalog = self._state.catalog
        if catalog is None:
            request_id = self._caller_protocol.read_request_id(exchange)
            self._ender.reject(
                exchange, request_id, codes.NOT_READY, "no configuration received yet", now
            )
            return None
        try:
            caller = self._caller_protocol.read_request(exchange)
        except BadRequest as error:
            request_id = self._caller_protocol.read_request_id(exchange)
            self._ender.reject(exchange, request_id, error.code, error.detail, now)
            return None
        return self._authorize_and_route(exchange, caller, catalog, now)

    def _authorize_and_route(
        self, exchange: Exchange, caller: CallerRequest, catalog: Catalog, now: float
    ) -> OpenRequest | None:
        route = catalog.find_route(caller.host, caller.path)
        if route is None:
            detail = f"no route for host and path in configuration version {catalog.version}"
            self._ender.reject(exchange, caller.id, codes.UNKNOWN_PATH, detail, now)
            return None
        account = None
        if catalog.needs_key and not route.public:
            account = catalog.find_account(caller.api_key)
            if account is None:
                detail = f"unknown API key in configuration version {catalog.version}"
                self._ender.reject(exchange, caller.id, codes.UNAUTHORIZED, detail, now)
                return None
        # Requests with the same shared prompt go to one service; after a change to another service,
        # its engines would have to process the prompt again.
        prompt = caller.prompt
        hash_fraction = self._state.random.random() if prompt is None else prompt.hash_fraction
        name = route.choose_service(hash_fraction)
        service = catalog.services.get(name)
        if service is None:
            self._ender.reject(
                exchange,
                caller.id,
                codes.NO_TARGET,
                f"the configuration has no service {name!r}",
                now,
            )
            return None
        config_version = catalog.version
        request = OpenRequest(caller, exchange, route, service, account, now, config_version)
        if self._stop_gate.refuses(request):
            self._ender.refuse(request, codes.STOPPING, now)
            return None
        if self._gate.refuses(request, now):
            self._ender.refuse(request, codes.CRASHES_TARGETS, now)
            return None
        self._begin(request, now)
        return request

    def _begin(self, request: OpenRequest, now: float) -> None:
        """Count a request for the shares of limits, and choose the version that it goes to."""
        self._state.get_retry_budget_share(request.service.name).record_request(now)
        request.version = self._versions.choose(request, now)

    # Delivery.

    async def _deliver(self, request: OpenRequest) -> None:
        """Send a request to targets until it is answered or refused, or its deadline passes."""
        task = asyncio.current_task()
        assert task is not None
        if request.route.kind is not RequestKind.UNSAFE:
            # If the caller disconnects, the work is cancelled. A command that was sent is left to
            # finish, since it could otherwise be partly executed.
            request.exchange.on_closed = task.cancel
        elif await is_disconnected(request.exchange):
            self._state.metrics.increment_counter(codes.CALLER_GONE)
            self._ender.log_end(request, "caller_gone", 0)
            return
        try:
            self._state.memory.record_awaited(1)
            async with InputTimeout(request.deadline):
                await self._try_targets(request)
        except TimeoutError:
            self._fail_unfinished(request, codes.DEADLINE)
        except asyncio.CancelledError:
            if not request.exchange.closed.is_set():
                # The time for a planned stop is over.
                self._fail_unfinished(request, codes.STOPPING)
                raise
            task.uncancel()
            self._ender.finish_caller_gone(request)
        finally:
            self._state.memory.record_awaited(-1)
            self._gate.end_attempt(request)

    async def _try_targets(self, request: OpenRequest) -> None:
        if not await self._choose_version(request):
            return
        connect_failures = 0
        switched = request.is_detour
        while True:
            if not await self._gate.admit(request):
                self._ender.finish_failed(request, codes.CRASHES_TARGETS)
                return
            refusal = await self._admission.admit(request)
            if refusal is not None:
                self._ender.finish_failed(request, refusal)
                return
            if request.compute_time_left(self._clock()) <= 0.0:
                # The event loop was late, and what had arrived was processed first.
                raise TimeoutError
            choice = self._choose_target(request)
            if choice is None and not switched and self._versions.switch(request):
                switched = True
                continue
            if choice is None or connect_failures > MAX_CONNECT_FAILURES:
                if not await self._go_on_without_target(request, connect_failures):
                    return
                connect_failures = 0
                continue
            outcome = await self._run_attempt(request, choice)
            if outcome is None:
                if not await self._wait_or_fail(request, codes.RETRY_BUDGET):
                    return
                continue
            self._admission.record_outcome(request, choice, outcome)
            if outcome is AttemptOutcome.UNREACHED:
                connect_failures += 1
                if connect_failures >= MIN_FAILURES_CHECKED:
                    self._prober.check(request.service.name, self._clock())
                # All targets that are known to be unreachable are excluded, so that the request
                # waits for only one connect time-out and not for one of each such target.
                request.excluded |= self._state.health.list_unreachable()
            if not self._handle_outcome(request, outcome):
                return
            if request.version.is_candidate:
                self._versions.switch(request)

    async def _run_attempt(self, request: OpenRequest, choice: Choice) -> AttemptOutcome | None:
        """Send a request to a target; return how that ended, None if the retry budget is spent."""
        self._state.metrics.increment_counter(f"routed.{choice.reason.value}")
        request.excluded.add(choice.target.id)
        try:
            return await self._attempts.run(request, choice)
        except RetryBudgetExhausted:
            return None
        finally:
            self._gate.end_attempt(request)
            self._admission.record_freed(request.service.name)

    async def _choose_version(self, request: OpenRequest) -> bool:
        """Choose the versions that a request may go to; refuse it if that cannot be known."""
        refusal = await self._origins.resolve(request)
        if refusal is not None:
            self._ender.finish_failed(request, refusal)
            return False
        if request.origin is not None:
            self._versions.follow_origin(request)
        if request.version.hold_s > 0.0:
            await self._versions.hold(request)
        return True

    def _choose_target(self, request: OpenRequest) -> Choice | None:
        now = self._clock()
        self._versions.revise(request)
        return self._state.placement.choose(
            request.service,
            None if request.goes_apart else request.caller.prompt,
            request.excluded,
            self._state.list_instance_ids(),
            self._state.random,
            now,
            request.admits,
            self._avoids_unreachable(request, now),
            request.route.name,
            request.route.objective,
        )

    def _avoids_unreachable(self, request: OpenRequest, now: float) -> bool:
        """Return whether a request is not used to try targets that cannot be reached.

        While other instances may serve the requests of a service, none of them has to wait for a
        connect time-out; probes find out when the targets can be reached again.
        """
        service = request.service.name
        if self._state.reach.is_unreached_here(service):
            self._prober.check(service, now)
            return self._detours.has_helper(service, now)
        if not self._detours.is_in_use(service, now):
            return False
        self._prober.probe(service, now)
        return True

    async def _go_on_without_target(self, request: OpenRequest, connect_failures: int) -> bool:
        """End a request that this instance can send to no target, or wait until it can.

        If most cannot be reached from here, another instance may reach them. Return whether a
        target can take the request.
        """
        rejections = self._state.placement.last_rejections
        request.rejection_counts = {r.value: count for r, count in rejections.items()}
        code = self._ender.select_refusal(request, rejections.keys())
        if has_lost_links(rejections, connect_failures):
            self._prober.check(request.service.name, self._clock())
        has_waited = request.wait_ends_at is not None
        if needs_detour(rejections, connect_failures) and not has_waited:
            if request.progress.sends > 0 and not self._alternatives.acquire_retry(request):
                code = codes.RETRY_BUDGET
            else:
                result = await self._run_detour(request)
                if result.outcome is not None:
                    self._ender.finish_answered(request, result.outcome)
                    return False
                code = result.code or code
                if result.may_have_run:
                    # What the helper has tried does not count here.
                    self._ender.finish_failed(request, code)
                    return False
                # No helper has sent it on.
                request.has_reserved_retry = request.progress.sends > 0
        return await self._wait_or_fail(request, code)

    async def _wait_or_fail(self, request: OpenRequest, code: ErrorCode) -> bool:
        """Wait until a target can take a request if it may wait; end it with `code` if none can."""
        # Otherwise, requests with the same cause of losses could not be tried while this one waits.
        self._gate.end_attempt(request)
        if await self._alternatives.wait(request):
            return True
        self._ender.finish_failed(request, code)
        return False

    async def _run_detour(self, request: OpenRequest) -> DetourResult:
        return await self._detours.run(request)

    def _handle_outcome(self, request: OpenRequest, outcome: AttemptOutcome) -> bool:
        """Return whether to try another target; end the request if not."""
        request.progress.record_outcome(outcome)
        step = decide_step(request.route, outcome, request.progress)
        if step.retry:
            if outcome is not AttemptOutcome.UNREACHED:
                self._state.metrics.increment_counter(f"retry.{outcome.value}")
            return True
        if step.code is None:
            self._ender.finish_answered(request, outcome)
        else:
            self._ender.finish_failed(request, step.code)
        return False

    def _fail_unfinished(self, request: OpenRequest, code: ErrorCode) -> None:
        """End a request that was cancelled. Once it had an attempt, it counts as possibly sent."""
        if request.attempt_target is not None:
            request.progress.may_have_run = True
        self._ender.finish_failed(request, code)
