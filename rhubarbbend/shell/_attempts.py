"""Run attempts: send a request to a target and relay its response to the caller.

A response is relayed directly from the target's connection to the caller's connection, without a
second hop. A response that does not carry the id of its attempt belongs to another request: it was
sent late or on the wrong connection. Its connection is closed, and no part of the response reaches
the caller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks, ReportError
from rhubarbbend.core import actions, events
from rhubarbbend.http import (
    REASON_TIMEOUT,
    Connection,
    ConnectionPool,
    HttpFailure,
    Response,
    SendStage,
    fetch,
    read_leaving,
    read_pause,
)
from rhubarbbend.shell._open_request import OpenRequest
from rhubarbbend.shell._requests import strip_service_name
from rhubarbbend.targets import TARGET_KINDS, TargetKind
from rhubarbbend.targets._base import ATTEMPT_HEADER

STAGE_REFUSED: Final = "refused"
# The engine has no run with the attempt's id.
STAGE_NOT_FOUND: Final = "not_found"
STATUS_NOT_FOUND: Final = 404
# Bounds the memory used for a target's response to one command.
MAX_COMMAND_RESPONSE_BYTES: Final = 16 * 1024 * 1024
BUSY_STATUSES: Final = (429, 502, 503, 504)
PROBE_TIMEOUT_S: Final = 0.8
REPORT_TIMEOUT_S: Final = 1.0
# A report takes some KB. Several targets that send without end must not fill the memory, since each
# is asked anew every second.
MAX_REPORT_BYTES: Final = 65_536
CANCEL_TIMEOUT_S: Final = 1.0

SubmitEvent = Callable[[events.Event], None]


class WrongAttemptId(Exception):
    """The target's response carries the id of another attempt."""


class RunNotFound(Exception):
    """The engine responded that it has no run with the attempt's id."""


class AttemptRunner:
    """Run all attempts of this instance.

    Several tasks may wait for the same attempt, each on its own connection, because an older
    connection may have stopped responding. Invariant: once the first response head has arrived,
    only one task acts for the attempt.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        submit_event: SubmitEvent,
        max_kept_body: int,
        report_error: ReportError,
    ) -> None:
        self._pool = pool
        self._submit_event = submit_event
        self._max_kept_body = max_kept_body
        # By attempt, in the order of their start, not that of their addresses in memory.
        self._tasks: dict[str, dict[asyncio.Task[None], None]] = {}
        self._background = BackgroundTasks(report_error)
        self._kinds: dict[str, TargetKind] = {}

    def find_target_kind(self, name: str) -> TargetKind:
        """Return the plug-in of a target kind."""
        kind = self._kinds.get(name)
        if kind is None:
            kind = self._kinds[name] = TARGET_KINDS.find(name)()
        return kind

    def dispatch(self, action: actions.Dispatch, request: OpenRequest, kind: str) -> None:
        """Start an attempt."""
        self._start(action.attempt, self._run_attempt(action, request, self.find_target_kind(kind)))

    def resume(self, action: actions.Resume, request: OpenRequest, kind: str) -> None:
        """Resume a stream that was interrupted, at the first byte not yet relayed."""
        self._start(action.attempt, self._run_resume(action, request, self.find_target_kind(kind)))

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Cancel an attempt in this instance and send a cancel request to its target."""
        for task in self._tasks.pop(action.attempt, ()):
            task.cancel()
        path = self.find_target_kind("engine").cancel_path(action.attempt)
        self._spawn(self._send_cancel((action.host, action.port), path))

    def probe(self, action: actions.Probe) -> None:
        """Probe a target over a new connection."""
        self._spawn(self._run_probe(action))

    def read_report(self, action: actions.ReadReport, kind: str) -> None:
        """Fetch a target's load report."""
        self._spawn(self._fetch_report(action, self.find_target_kind(kind)))

    async def close(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = self._background.list_running()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, attempt: str, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._background.spawn(coroutine)
        self._tasks.setdefault(attempt, {})[task] = None
        task.add_done_callback(lambda done: self._remove_task(attempt, done))

    def _remove_task(self, attempt: str, done: asyncio.Task[None]) -> None:
        tasks = self._tasks.get(attempt, {})
        tasks.pop(done, None)
        if not tasks:
            self._tasks.pop(attempt, None)

    def _list_other_tasks(self, attempt: str) -> list[asyncio.Task[None]]:
        own = asyncio.current_task()
        return [t for t in self._tasks.get(attempt, ()) if t is not own and not t.done()]

    def _cancel_other_tasks(self, attempt: str) -> None:
        """Cancel every other task of the attempt.

        Two connections may deliver the same response. If both were relayed, the caller would
        receive it twice.
        """
        for task in self._list_other_tasks(attempt):
            task.cancel()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._background.spawn(coroutine)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _run_attempt(
        self, action: actions.Dispatch, request: OpenRequest, kind: TargetKind
    ) -> None:
        started_at = self._now()
        connection: Connection | None = None
        reused = False
        try:
            connection = await self._pool.acquire(
                (action.host, action.port), started_at, action.fresh
            )
            reused = connection.reused
            path = (
                request.path
                if kind is self.find_target_kind("engine")
                else strip_service_name(request.path)
            )
            target_request = kind.build_request(
                request.method, path, request.headers, request.body, action
            )
            await connection.send(
                target_request.method,
                target_request.path,
                target_request.headers,
                target_request.body,
            )
            response = await connection.receive_head(action.head_timeout)
            self._check_attempt_id(response, action.attempt)
            self._report_notices(action, response)
            if response.status in BUSY_STATUSES and not action.keep:
                raise HttpFailure(SendStage.RESPONSE, STAGE_REFUSED)
            self._handle_head(action.attempt, response, started_at)
            if action.keep:
                await self._read_command_response(action, connection, response, started_at)
            else:
                request.start(response, action.ticket)
                await connection.relay_body(request, action.progress_timeout)
                self._complete_attempt(action.attempt, response.status, started_at, request)
            self._pool.release(connection, self._now())
        except HttpFailure as failure:
            self._handle_failure(action.attempt, failure, reused, request, connection)
        except WrongAttemptId:
            self._handle_wrong_id(action.attempt, request, connection)
        except BaseException:
            _close(connection)
            raise

    async def _run_resume(
        self, action: actions.Resume, request: OpenRequest, kind: TargetKind
    ) -> None:
        started_at = self._now()
        connection: Connection | None = None
        try:
            connection = await self._pool.acquire((action.host, action.port), started_at, True)
            offset = request.relayed
            path = kind.resume_path(action.attempt, offset)
            await connection.send("GET", path, [(ATTEMPT_HEADER, action.attempt)], b"")
            response = await connection.receive_head(action.head_timeout)
            if response.status == STATUS_NOT_FOUND:
                raise RunNotFound
            self._check_attempt_id(response, action.attempt)
            if response.status != 200:
                raise HttpFailure(SendStage.RESPONSE, f"resume answered {response.status}")
            self._handle_head(action.attempt, response, started_at)
            request.start(response, action.ticket)
            await connection.relay_body(request, action.progress_timeout)
            self._complete_attempt(action.attempt, response.status, started_at, request)
            self._pool.release(connection, self._now())
        except HttpFailure as failure:
            # The request was sent before, so the failure counts as one after sending,
            # regardless of the stage at which the resume failed.
            sent_failure = HttpFailure(SendStage.RESPONSE, failure.reason)
            self._handle_failure(action.attempt, sent_failure, False, request, connection)
        except RunNotFound:
            self._handle_run_not_found(action.attempt, request, connection)
        except WrongAttemptId:
            self._handle_wrong_id(action.attempt, request, connection)
        except BaseException:
            _close(connection)
            raise

    def _report_notices(self, action: actions.Dispatch, response: Response) -> None:
        """Report that a target wants no requests for a time, or leaves, if its answer says so."""
        pause_s = read_pause(response)
        if pause_s is not None:
            self._submit_event(events.TargetPaused(action.target, pause_s))
        if read_leaving(response):
            self._submit_event(events.TargetLeaving(action.attempt))

    def _handle_head(self, attempt: str, response: Response, started_at: float) -> None:
        self._cancel_other_tasks(attempt)
        self._submit_event(events.AttemptHead(attempt, response.status, self._now() - started_at))

    def _check_attempt_id(self, response: Response, attempt: str) -> None:
        if response.headers.get(ATTEMPT_HEADER.lower()) != attempt:
            raise WrongAttemptId

    async def _read_command_response(
        self,
        action: actions.Dispatch,
        connection: Connection,
        response: Response,
        started_at: float,
    ) -> None:
        """Read the whole response to a command before any part of it is passed on.

        Raises `HttpFailure` if it exceeds `MAX_COMMAND_RESPONSE_BYTES`.
        """
        chunks: list[bytes] = []
        size = 0
        async for chunk in connection.receive_body(action.progress_timeout):
            size += len(chunk)
            if size > MAX_COMMAND_RESPONSE_BYTES:
                raise HttpFailure(SendStage.RESPONSE, "answer too large")
            chunks.append(chunk)
        body = b"".join(chunks)
        self._submit_event(
            events.AttemptDone(
                action.attempt,
                response.status,
                self._now() - started_at,
                content_type=response.headers.get("content-type", ""),
                body=body,
                kept=len(body) <= self._max_kept_body,
            )
        )

    def _complete_attempt(
        self, attempt: str, status: int, started_at: float, request: OpenRequest
    ) -> None:
        """Report that the response is complete, and only then end the caller's response.

        The report releases the slot. A caller whose response ended first could send the chat's
        next turn through another instance at once. That turn would find the slot still in use and
        be routed to an engine that does not have the chat's context.
        """
        self._submit_event(events.AttemptDone(attempt, status, self._now() - started_at))
        request.finish()

    def _handle_failure(
        self,
        attempt: str,
        failure: HttpFailure,
        reused: bool,
        request: OpenRequest,
        connection: Connection | None,
    ) -> None:
        refused = failure.reason == STAGE_REFUSED
        stage = STAGE_REFUSED if refused else failure.stage.value
        self._report_failure(attempt, stage, failure.reason, reused, request, connection)

    def _handle_wrong_id(
        self, attempt: str, request: OpenRequest, connection: Connection | None
    ) -> None:
        stage = SendStage.SENT.value
        self._report_failure(attempt, stage, codes.WRONG_ID, False, request, connection)

    def _handle_run_not_found(
        self, attempt: str, request: OpenRequest, connection: Connection | None
    ) -> None:
        """Cancel all tasks that wait for a run that the engine does not have."""
        self._cancel_other_tasks(attempt)
        self._tasks.pop(attempt, None)
        self._report_failure(attempt, STAGE_NOT_FOUND, STAGE_NOT_FOUND, False, request, connection)

    def _report_failure(
        self,
        attempt: str,
        stage: str,
        reason: str,
        reused: bool,
        request: OpenRequest,
        connection: Connection | None,
    ) -> None:
        """Report a failure, unless another task still waits for the attempt."""
        _close(connection)
        if self._list_other_tasks(attempt):
            return
        self._submit_event(events.AttemptFailed(attempt, stage, reason, reused, request.relayed))

    async def _run_probe(self, action: actions.Probe) -> None:
        boot_id = ""
        silent = False
        try:
            kind = self.find_target_kind("engine")
            _, data = await fetch(
                self._pool,
                (action.host, action.port),
                "GET",
                kind.report_path,
                self._now(),
                timeout=PROBE_TIMEOUT_S,
                max_body_bytes=MAX_REPORT_BYTES,
                new_connection=True,
            )
            boot_id = kind.read_report(data).boot_id
        except HttpFailure as failure:
            silent = failure.reason == REASON_TIMEOUT
        except msgspec.MsgspecError:
            pass
        self._submit_event(events.ProbeAnswered(action.target, action.attempt, boot_id, silent))

    async def _fetch_report(self, action: actions.ReadReport, kind: TargetKind) -> None:
        try:
            response, data = await fetch(
                self._pool,
                (action.host, action.port),
                "GET",
                kind.report_path,
                self._now(),
                timeout=REPORT_TIMEOUT_S,
                max_body_bytes=MAX_REPORT_BYTES,
            )
            report = kind.read_report(data)
        except (HttpFailure, msgspec.MsgspecError) as error:
            self._pool.close_idle_to((action.host, action.port))
            silent = isinstance(error, HttpFailure) and error.reason == REASON_TIMEOUT
            self._submit_event(events.ReportFailed(action.target, str(error), silent))
            return
        self._submit_event(
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
            await fetch(self._pool, address, "DELETE", path, self._now(), timeout=CANCEL_TIMEOUT_S)
        except HttpFailure:
            # When a connection closes, the target ends its attempt without a cancel request.
            pass


def _close(connection: Connection | None) -> None:
    if connection is not None:
        connection.close()
