"""Runs attempts: sends a request to a target and relays the answer.

The answer never takes a second hop: it goes from the target's connection straight to the
caller's. An answer that does not carry its attempt's id is another request's, sent late or
crossed; its connection is closed and nothing of it reaches the caller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.http import (
    REASON_TIMEOUT,
    Connection,
    ConnectionPool,
    HttpFailure,
    Response,
    SendStage,
    fetch,
)
from rhubarbbend.shell._callers import OpenRequest
from rhubarbbend.shell._requests import strip_service
from rhubarbbend.targets import TARGET_KINDS, TargetKind
from rhubarbbend.targets._base import ATTEMPT_HEADER

STAGE_REFUSED: Final = "refused"
# The engine has no run under the attempt's id.
STAGE_NOT_FOUND: Final = "not_found"
STATUS_NOT_FOUND: Final = 404
# Bounds what a target's answer to one command may cost in memory.
MAX_COMMAND_ANSWER: Final = 16 * 1024 * 1024
BUSY_STATUSES: Final = (429, 502, 503, 504)
PROBE_TIMEOUT: Final = 0.8
REPORT_TIMEOUT: Final = 1.0
CANCEL_TIMEOUT: Final = 1.0

Feed = Callable[[events.Event], None]


class WrongAnswer(Exception):
    """An answer that carries another attempt's id."""


class RunNotFound(Exception):
    """An answer that says the engine has no run under the attempt's id."""


class AttemptRunner:
    """All running attempts.

    An attempt may be waited for on several connections, because the older may have gone silent.
    Invariant: from the first answer's head on, one task alone acts for the attempt.
    """

    def __init__(self, pool: ConnectionPool, feed: Feed, max_kept_body: int) -> None:
        self._pool = pool
        self._feed = feed
        self._max_kept_body = max_kept_body
        self._tasks: dict[str, set[asyncio.Task[None]]] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._kinds: dict[str, TargetKind] = {}

    def find_kind(self, name: str) -> TargetKind:
        """Find the plug-in of a target kind."""
        kind = self._kinds.get(name)
        if kind is None:
            kind = self._kinds[name] = TARGET_KINDS.find(name)()
        return kind

    def dispatch(self, action: actions.Dispatch, request: OpenRequest, kind: str) -> None:
        """Start an attempt."""
        self._start(action.attempt, self._run(action, request, self.find_kind(kind)))

    def resume(self, action: actions.Resume, request: OpenRequest, kind: str) -> None:
        """Continue a cut stream."""
        self._start(action.attempt, self._run_resume(action, request, self.find_kind(kind)))

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Stop an attempt here and tell its target."""
        for task in self._tasks.pop(action.attempt, ()):
            task.cancel()
        path = self.find_kind("engine").cancel_path(action.attempt)
        self._spawn(self._send_cancel((action.host, action.port), path))

    def probe(self, action: actions.Probe) -> None:
        """Ask a target for its state over a new connection."""
        self._spawn(self._run_probe(action))

    def read_report(self, action: actions.ReadReport, kind: str) -> None:
        """Read a target's load report."""
        self._spawn(self._run_report(action, self.find_kind(kind)))

    async def close(self) -> None:
        """Stop everything."""
        running = [task for tasks in self._tasks.values() for task in tasks]
        tasks = [*running, *self._background]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, attempt: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.setdefault(attempt, set()).add(task)
        task.add_done_callback(lambda done: self._forget(attempt, done))

    def _forget(self, attempt: str, done: asyncio.Task[None]) -> None:
        tasks = self._tasks.get(attempt, set())
        tasks.discard(done)
        if not tasks:
            self._tasks.pop(attempt, None)

    def _list_others(self, attempt: str) -> list[asyncio.Task[None]]:
        own = asyncio.current_task()
        return [t for t in self._tasks.get(attempt, ()) if t is not own and not t.done()]

    def _end_others(self, attempt: str) -> None:
        """Leave this task as the only one of its attempt.

        Two connections may bring the same answer; relayed from both, the caller would get it
        twice over.
        """
        for task in self._list_others(attempt):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _run(self, action: actions.Dispatch, request: OpenRequest, kind: TargetKind) -> None:
        started = self._now()
        connection: Connection | None = None
        reused = False
        try:
            connection = await self._pool.take((action.host, action.port), started, action.fresh)
            reused = connection.reused
            path = request.path if kind is self.find_kind("engine") else strip_service(request.path)
            built = kind.build_request(request.method, path, request.headers, request.body, action)
            await connection.send(built.method, built.path, built.headers, built.body)
            response = await connection.receive_head(action.head_timeout)
            self._check_id(response, action.attempt)
            if response.status in BUSY_STATUSES and not action.keep:
                raise HttpFailure(SendStage.RESPONSE, STAGE_REFUSED)
            self._begin(action.attempt, response, started)
            if action.keep:
                await self._collect(action, connection, response, started)
            else:
                request.start(response, action.ticket)
                await connection.relay_body(request, action.progress_timeout)
                self._end_whole(action.attempt, response.status, started, request)
            self._pool.give_back(connection, self._now())
        except HttpFailure as failure:
            self._fail(action.attempt, failure, reused, request, connection)
        except WrongAnswer:
            self._fail_wrong(action.attempt, request, connection)
        except BaseException:
            _close(connection)
            raise

    async def _run_resume(
        self, action: actions.Resume, request: OpenRequest, kind: TargetKind
    ) -> None:
        started = self._now()
        connection: Connection | None = None
        try:
            connection = await self._pool.take((action.host, action.port), started, True)
            offset = request.relayed
            path = kind.resume_path(action.attempt, offset)
            await connection.send("GET", path, [(ATTEMPT_HEADER, action.attempt)], b"")
            response = await connection.receive_head(action.head_timeout)
            if response.status == STATUS_NOT_FOUND:
                raise RunNotFound
            self._check_id(response, action.attempt)
            if response.status != 200:
                raise HttpFailure(SendStage.RESPONSE, f"resume answered {response.status}")
            self._begin(action.attempt, response, started)
            request.start(response, action.ticket)
            await connection.relay_body(request, action.progress_timeout)
            self._end_whole(action.attempt, response.status, started, request)
            self._pool.give_back(connection, self._now())
        except HttpFailure as failure:
            # The attempt has been sent before, whatever failed on the way to its rest.
            late = HttpFailure(SendStage.RESPONSE, failure.reason)
            self._fail(action.attempt, late, False, request, connection)
        except RunNotFound:
            self._fail_not_found(action.attempt, request, connection)
        except WrongAnswer:
            self._fail_wrong(action.attempt, request, connection)
        except BaseException:
            _close(connection)
            raise

    def _begin(self, attempt: str, response: Response, started: float) -> None:
        self._end_others(attempt)
        self._feed(events.AttemptHead(attempt, response.status, self._now() - started))

    def _check_id(self, response: Response, attempt: str) -> None:
        if response.headers.get(ATTEMPT_HEADER.lower()) != attempt:
            raise WrongAnswer

    async def _collect(
        self,
        action: actions.Dispatch,
        connection: Connection,
        response: Response,
        started: float,
    ) -> None:
        """Read a command's answer whole before anything of it is given."""
        parts: list[bytes] = []
        size = 0
        async for part in connection.receive_body(action.progress_timeout):
            size += len(part)
            if size > MAX_COMMAND_ANSWER:
                raise HttpFailure(SendStage.RESPONSE, "answer too large")
            parts.append(part)
        body = b"".join(parts)
        self._feed(
            events.AttemptDone(
                action.attempt,
                response.status,
                self._now() - started,
                content_type=response.headers.get("content-type", ""),
                body=body,
                kept=len(body) <= self._max_kept_body,
            )
        )

    def _end_whole(self, attempt: str, status: int, started: float, request: OpenRequest) -> None:
        """Report a whole answer, and only then give the caller its end.

        The report gives the slot back. A caller that has the end first may send the chat's next
        turn through another instance at once; it would find the slot still taken and be moved
        away from its context.
        """
        self._feed(events.AttemptDone(attempt, status, self._now() - started))
        request.finish()

    def _fail(
        self,
        attempt: str,
        failure: HttpFailure,
        reused: bool,
        request: OpenRequest,
        connection: Connection | None,
    ) -> None:
        refused = failure.reason == STAGE_REFUSED
        stage = STAGE_REFUSED if refused else failure.stage.value
        self._end_run(attempt, stage, failure.reason, reused, request, connection)

    def _fail_wrong(
        self, attempt: str, request: OpenRequest, connection: Connection | None
    ) -> None:
        stage = SendStage.SENT.value
        self._end_run(attempt, stage, codes.WRONG_ID, False, request, connection)

    def _fail_not_found(
        self, attempt: str, request: OpenRequest, connection: Connection | None
    ) -> None:
        """End every wait for a run that the engine does not have."""
        self._end_others(attempt)
        self._tasks.pop(attempt, None)
        self._end_run(attempt, STAGE_NOT_FOUND, STAGE_NOT_FOUND, False, request, connection)

    def _end_run(
        self,
        attempt: str,
        stage: str,
        reason: str,
        reused: bool,
        request: OpenRequest,
        connection: Connection | None,
    ) -> None:
        """Report a failure, unless the attempt is still waited for on another connection."""
        _close(connection)
        if self._list_others(attempt):
            return
        self._feed(events.AttemptFailed(attempt, stage, reason, reused, request.relayed))

    async def _run_probe(self, action: actions.Probe) -> None:
        boot_id = ""
        silent = False
        try:
            kind = self.find_kind("engine")
            _, data = await fetch(
                self._pool,
                (action.host, action.port),
                "GET",
                kind.report_path,
                self._now(),
                timeout=PROBE_TIMEOUT,
                fresh=True,
            )
            boot_id = kind.read_report(data).boot_id
        except HttpFailure as failure:
            silent = failure.reason == REASON_TIMEOUT
        except msgspec.MsgspecError:
            pass
        self._feed(events.ProbeAnswered(action.target, action.attempt, boot_id, silent))

    async def _run_report(self, action: actions.ReadReport, kind: TargetKind) -> None:
        try:
            response, data = await fetch(
                self._pool,
                (action.host, action.port),
                "GET",
                kind.report_path,
                self._now(),
                timeout=REPORT_TIMEOUT,
            )
            report = kind.read_report(data)
        except (HttpFailure, msgspec.MsgspecError) as error:
            self._pool.drop_address((action.host, action.port))
            self._feed(events.ReportFailed(action.target, str(error)))
            return
        self._feed(
            events.ReportRead(
                action.target,
                report.boot_id,
                report.state,
                report.running,
                report.slots,
                report.age,
                report.models,
            )
        )

    async def _send_cancel(self, address: tuple[str, int], path: str) -> None:
        try:
            await fetch(self._pool, address, "DELETE", path, self._now(), timeout=CANCEL_TIMEOUT)
        except HttpFailure:
            # The target ends an attempt whose connection has closed by itself.
            pass


def _close(connection: Connection | None) -> None:
    if connection is not None:
        connection.close()
