"""Serves callers: from a request's arrival to its one final answer."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.catalog import Catalog, RequestKind
from rhubarbbend.core.delivery import AttemptOutcome, compute_verdict, decide_step
from rhubarbbend.gateway._attempts import AttemptRunner, BudgetSpent, pass_on
from rhubarbbend.gateway._interfaces import BadRequest, CallerProtocol, CallerRequest
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import Exchange

# A caller is told to come back within this part of the time that it has left, so that its next
# try still has most of it.
RETRY_PART: Final = 0.25
# Callers that are refused together would return together; each is told a time drawn from this
# part of the code's own upwards.
RETRY_SPREAD: Final = 0.5
# So many targets that take no connection are tried in a row for one request.
MAX_UNREACHED: Final = 4
# Turns of the loop in which the end of a connection is read that came right after a request.
TURNS_TO_EOF: Final = 3
# For so many seconds after its start an instance lets callers wait for the configuration: twice
# what the store takes to give it, and what other instances take if the store does not.
START_WAIT: Final = 0.8
# A caller waits for this part of the time that it gives its request, so that a try at another
# instance can still be answered.
START_PART: Final = 0.33
# Why targets are shut that are there and will take work again soon.
BUSY_REASONS: Final = frozenset({"cold", "connections", "load"})


class RequestServer:
    """All requests of callers. Invariant: each ends in one answer, refusal or cut connection."""

    def __init__(
        self, state: State, callers: CallerProtocol, attempts: AttemptRunner, clock: Clock
    ) -> None:
        self._state = state
        self._callers = callers
        self._attempts = attempts
        self._clock = clock
        self.open = 0

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request; the handler of the callers' HTTP server."""
        self.open += 1
        now = self._clock()
        self._state.metrics.add(codes.REQUESTS)
        try:
            if not self._state.opened.is_set():
                await self._wait_opened(exchange, now)
            request = None if exchange.closed.is_set() else self._admit(exchange, now)
            if request is not None:
                await self._deliver(request)
        except Exception as error:
            self._fail(exchange, error)
        finally:
            self.open -= 1
            exchange.on_closed = None

    def _fail(self, exchange: Exchange, error: Exception) -> None:
        """End a request on which this program itself failed; it may have run."""
        self._state.metrics.add(codes.INTERNAL_ERRORS)
        reason = "".join(traceback.format_exception(error)[-3:])
        caller_id = self._callers.read_id(exchange)
        self._state.journal.write("internal_error", self._clock(), id=caller_id, reason=reason)
        if exchange.started:
            exchange.abort()
        else:
            verdict = Verdict.MAY_HAVE_RUN
            self._write_error(exchange, caller_id, codes.INTERNAL, verdict, 0.0)

    # Admission.

    async def _wait_opened(self, exchange: Exchange, now: float) -> None:
        """Wait for what a start is about to read, for as long as it usually takes.

        When all instances start at once, a caller that is refused by each uses up its tries in
        less time than the configuration takes to come. One that starts without a store is known
        by the end of that time, and refuses at once from then on.
        """
        limit = self._callers.read_time_limit(exchange)
        left = self._state.started_at + START_WAIT - now
        if limit is not None:
            left = min(left, START_PART * limit)
        if left <= 0.0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left):
                await self._state.opened.wait()
        self._state.metrics.add(codes.WAITED_FOR_START)
        is_gone = exchange.closed.is_set()
        if is_gone:
            self._state.metrics.add(codes.CALLER_GONE)
        self._state.journal.write(
            "waited_for_start",
            self._clock(),
            id=self._callers.read_id(exchange),
            waited=round(self._clock() - now, 4),
            opened=self._state.opened.is_set(),
            caller_gone=is_gone or None,
        )

    def _admit(self, exchange: Exchange, now: float) -> OpenRequest | None:
        """Find out where a request may go; answers it at once if that is nowhere."""
        catalog = self._state.catalog
        if catalog is None:
            caller_id = self._callers.read_id(exchange)
            self._reject(exchange, caller_id, codes.NOT_READY, "no configuration yet", now)
            return None
        try:
            caller = self._callers.read_request(exchange)
        except BadRequest as bad:
            caller_id = self._callers.read_id(exchange)
            self._reject(exchange, caller_id, bad.code, bad.detail, now)
            return None
        return self._match(exchange, caller, catalog, now)

    def _match(
        self, exchange: Exchange, caller: CallerRequest, catalog: Catalog, now: float
    ) -> OpenRequest | None:
        route = catalog.find_route(caller.host, caller.path)
        if route is None:
            detail = f"no route in version {catalog.version}"
            self._reject(exchange, caller.id, codes.UNKNOWN_PATH, detail, now)
            return None
        account = None
        if catalog.needs_key and not route.public:
            account = catalog.find_account(caller.key)
            if account is None:
                detail = f"unknown key in version {catalog.version}"
                self._reject(exchange, caller.id, codes.UNAUTHORIZED, detail, now)
                return None
        # A chat stays with one service, or each change would have its prompts read there anew.
        chat = caller.prompt
        point = self._state.random.random() if chat is None else chat.hash_fraction
        name = route.choose_service(point)
        service = catalog.services.get(name)
        if service is None:
            self._reject(exchange, caller.id, codes.NO_TARGET, f"no service {name!r}", now)
            return None
        version = catalog.version
        request = OpenRequest(caller, exchange, route, service, account, now, version)
        if self._state.crashes.is_refused(request.digest, now):
            self._refuse(request, codes.CRASHES_TARGETS, now)
            return None
        self._state.find_retries(service.name).record_request(now)
        return request

    # Delivery.

    async def _deliver(self, request: OpenRequest) -> None:
        """Try targets until the request has its answer, or there is nothing left to try."""
        task = asyncio.current_task()
        assert task is not None
        if request.route.kind is not RequestKind.UNSAFE:
            # Work that nobody waits for is ended. A command that was sent is left to finish:
            # ended midway it would be half done.
            request.exchange.on_closed = task.cancel
        elif await _has_left(request.exchange):
            self._state.metrics.add(codes.CALLER_GONE)
            self._log_end(request, "caller_gone", 0)
            return
        try:
            async with asyncio.timeout_at(request.deadline):
                await self._try_targets(request)
        except TimeoutError:
            self._expire(request)
        except asyncio.CancelledError:
            if not request.exchange.closed.is_set():
                raise
            task.uncancel()
            self._state.metrics.add(codes.CALLER_GONE)
            self._log_end(request, "caller_gone", 0)

    async def _try_targets(self, request: OpenRequest) -> None:
        unreached = 0
        while True:
            now = self._clock()
            choice = self._state.placement.choose(
                request.service,
                request.caller.prompt,
                request.excluded,
                self._state.list_instances(),
                self._state.random,
                now,
            )
            if choice is None or unreached > MAX_UNREACHED:
                request.shut = dict(self._state.placement.last_rejections)
                self._give_up(request, self._explain_none(request.shut))
                return
            self._state.metrics.add(f"routed.{choice.reason.value}")
            request.excluded.add(choice.target.id)
            try:
                end = await self._attempts.run(request, choice)
            except BudgetSpent:
                self._give_up(request, codes.RETRY_BUDGET)
                return
            if end is AttemptOutcome.UNREACHED:
                unreached += 1
                # A request waits for one time-out of those that may be away, not for each.
                request.excluded |= self._state.health.list_unreachable()
            if not self._go_on(request, end):
                return

    def _explain_none(self, shut: dict[str, int]) -> ErrorCode:
        """Name the refusal of a request that no target can take now."""
        return codes.OVERLOADED if BUSY_REASONS & shut.keys() else codes.NO_TARGET

    def _go_on(self, request: OpenRequest, end: AttemptOutcome) -> bool:
        """Whether another target is to be tried; settles the request if not."""
        request.progress.record_outcome(end)
        step = decide_step(request.route, end, request.progress)
        if step.retry:
            if end is not AttemptOutcome.UNREACHED:
                self._state.metrics.add(f"retry.{end.value}")
            return True
        if step.code is None:
            self._finish(request, end)
        else:
            self._give_up(request, step.code)
        return False

    def _finish(self, request: OpenRequest, end: AttemptOutcome) -> None:
        if not request.progress.started and request.kept_answer is not None:
            pass_on(request, request.kept_answer)
        now = self._clock()
        self._state.metrics.add(codes.ANSWERS)
        self._state.metrics.observe("answer", request.route.kind.value, now - request.arrived)
        status = 0 if request.answer is None else request.answer.status
        self._log_end(request, "answered" if end is AttemptOutcome.ANSWERED else "failed", status)

    def _expire(self, request: OpenRequest) -> None:
        """End a request whose deadline or time-out has passed."""
        if request.attempt_target is not None and not request.progress.may_have_run:
            # The attempt under way may have been sent; its end was not counted.
            request.progress.may_have_run = True
        self._give_up(request, codes.DEADLINE)

    def _give_up(self, request: OpenRequest, code: ErrorCode) -> None:
        """End a request that gets no whole answer, at once and truthfully."""
        if request.progress.started:
            # Ending the message would pass a part off as the whole.
            request.exchange.abort_after_flush()
            self._state.metrics.add(codes.ANSWERS_CUT)
            self._log_end(request, f"cut: {code.name}", 0)
            return
        if request.kept_answer is not None:
            pass_on(request, request.kept_answer)
            self._log_end(request, "failed", request.kept_answer.head.status)
            return
        self._refuse(request, code, self._clock())

    def _refuse(self, request: OpenRequest, code: ErrorCode, now: float) -> None:
        verdict = compute_verdict(request.progress)
        if verdict is Verdict.MAY_HAVE_RUN and code.status in (429, 503):
            # These statuses promise that the request has not run.
            code = codes.TARGET_FAILED
        after = min(code.retry_after, RETRY_PART * max(0.0, request.time_left(now)))
        after *= self._state.random.uniform(RETRY_SPREAD, 1.0)
        self._write_error(request.exchange, request.id, code, verdict, after)
        self._state.metrics.add(f"refused.{code.name}")
        self._log_end(request, f"refused: {code.name}", code.status, verdict, after)

    def _reject(
        self, exchange: Exchange, request: str, code: ErrorCode, detail: str, now: float
    ) -> None:
        """Refuse a request that has no route, account or configuration here."""
        after = code.retry_after * self._state.random.uniform(RETRY_SPREAD, 1.0)
        self._write_error(exchange, request, code, Verdict.NOT_RUN, after)
        self._state.metrics.add(f"refused.{code.name}")
        self._state.journal.write(
            "rejected",
            now,
            id=request,
            code=code.name,
            status=code.status,
            detail=detail,
            target=exchange.target[:200],
        )

    def _write_error(
        self, exchange: Exchange, request: str, code: ErrorCode, verdict: Verdict, after: float
    ) -> None:
        status, headers, body = self._callers.make_error(code, verdict, after, request)
        exchange.respond(status, headers, body)

    def _log_end(
        self,
        request: OpenRequest,
        outcome: str,
        status: int,
        verdict: Verdict | None = None,
        retry_after: float = 0.0,
    ) -> None:
        now = self._clock()
        target = request.attempt_target
        self._state.journal.write(
            "ended",
            now,
            id=request.id,
            outcome=outcome,
            status=status,
            verdict=None if verdict is None else verdict.value,
            retry_after=round(retry_after, 3),
            route=request.route.name,
            account=None if request.account is None else request.account.name,
            service=request.service.name,
            target=None if target is None else target.id,
            sends=request.progress.sends,
            shut=request.shut,
            took=round(now - request.arrived, 4),
            config=request.version,
        )


async def _has_left(exchange: Exchange) -> bool:
    """Whether a caller has gone already as its request is read.

    After a pause of this process a request and the end of its connection lie there together, and
    are read one after the other.
    """
    for _ in range(TURNS_TO_EOF):
        await asyncio.sleep(0)
    return exchange.closed.is_set()
