"""Serve operators' calls: propose their changes to the core, and return views of its state."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TException, TProcessor
from thriftpy2.transport import TCyMemoryBuffer

from rhubarbbend.core import Core
from rhubarbbend.core._fleet import InstanceView
from rhubarbbend.core.accepted._proposals import ERROR_BEHIND, ERROR_CONFLICT, ERROR_UNKNOWN
from rhubarbbend.core.events import ChangeProposed, Event, VersionsAsked
from rhubarbbend.http import InputTimeout
from rhubarbbend.listening import find_port
from rhubarbbend.operators._checks import find_unknown_target_kinds
from rhubarbbend.operators._schema import SCHEMA

FRAME_HEADER_BYTES: Final = 4
MAX_CALL_BYTES: Final = 16 * 1024 * 1024
MAX_CONNECTIONS: Final = 64
# A connection on which no call arrives for this long is closed.
IDLE_TIMEOUT_S: Final = 60.0
# How long a planned stop waits until active calls are answered.
CLOSE_TIMEOUT_S: Final = 10.0
# How long a planned stop waits for connections that the event loop has accepted.
ACCEPT_DELAY_S: Final = 0.05
# How long `show instances` waits for all instances to report their version.
VERSION_TIMEOUT_S: Final = 1.0
VERSION_POLL_INTERVAL_S: Final = 0.02
MAX_ID_CHARS: Final = 100


@attrs.define(slots=True, frozen=True)
class ChangeAnswer:
    """The result of a proposed change.

    `error` is empty if the change was accepted as `version`.
    """

    error: str
    version: int
    author: str


ProposeChange = Callable[[ChangeProposed], Awaitable[ChangeAnswer]]
SubmitEvent = Callable[[Event], None]


class _Handler:
    """The methods of the service that the schema declares."""

    def __init__(
        self,
        core: Core,
        key: str,
        propose_change: ProposeChange,
        submit_event: SubmitEvent,
        clock: Callable[[], float],
    ) -> None:
        self._core = core
        self._key = key
        self._propose_change = propose_change
        self._submit_event = submit_event
        self._clock = clock
        self._next_op = 0

    async def apply_change(self, key: str, change: Any) -> int:
        """Propose a change, wait until the platform has accepted it and return its version.

        Raises the exceptions that the schema declares for this call.
        """
        self._check_key(key)
        self._check_configuration_ready()
        self._next_op += 1
        event = ChangeProposed(
            f"operator:{self._next_op}",
            change.change_id or "",
            change.author or "",
            change.base_version or 0,
            [(d.kind or "", d.name or "", _as_bytes(d.value)) for d in change.declarations or ()],
        )
        problem = _find_problems(event)
        if problem:
            raise SCHEMA.InvalidChange(problem=problem)
        answer = await self._propose_change(event)
        if not answer.error:
            return answer.version
        raise _make_exception(answer, event.change_id)

    async def show_config(self, key: str) -> Any:
        """Return every declaration in force."""
        self._check_key(key)
        self._check_configuration_ready()
        configuration = self._core.context.configuration
        declarations = [
            SCHEMA.Declaration(kind=item.kind, name=item.name, value=item.value)
            for item in sorted(configuration.iterate_declared(), key=lambda i: (i.kind, i.name))
        ]
        return SCHEMA.ConfigView(version=configuration.version, declarations=declarations)

    async def show_zones(self, key: str) -> list[Any]:
        """Return the zones that are declared or have instances or targets."""
        self._check_key(key)
        context = self._core.context
        fleet = context.fleet
        names = set(context.configuration.zones)
        names.update(view.zone for view in fleet.instances.values())
        names.update(view.zone for view in fleet.targets.values())
        return [
            SCHEMA.ZoneView(
                name=name,
                in_service=context.configuration.is_zone_in_service(name),
                instances=sum(view.zone == name for view in fleet.instances.values()),
                targets=sum(view.zone == name for view in fleet.targets.values()),
            )
            for name in sorted(names)
        ]

    async def show_targets(self, key: str) -> list[Any]:
        """Return the targets as this instance sees them."""
        self._check_key(key)
        context = self._core.context
        return [
            SCHEMA.TargetView(
                id=view.id,
                service_name=view.service_name,
                zone=view.zone,
                owner=context.fleet.find_owner(view),
                ready=view.ready,
                in_service=context.configuration.is_target_in_service(view.id, view.zone),
                declared_in=context.configuration.is_target_declared_in_service(view.id),
                leaving=view.leaving,
                cold=view.cold,
                load=view.load,
                limit=view.limit,
                boot_id=view.boot_id,
            )
            for view in sorted(context.fleet.targets.values(), key=lambda v: v.id)
        ]

    async def show_instances(self, key: str) -> list[Any]:
        """Return the instances and how many versions each is behind.

        Requests the current version from each instance, and waits up to `VERSION_TIMEOUT_S` for
        their reports.
        """
        self._check_key(key)
        context = self._core.context
        requested_at = self._clock()
        self._submit_event(VersionsAsked())
        while self._clock() < requested_at + VERSION_TIMEOUT_S:
            if all(self._has_reported_since(view, requested_at) for view in self._list_instances()):
                break
            await asyncio.sleep(VERSION_POLL_INTERVAL_S)
        now = self._clock()
        newest = self._find_newest_version()
        return [
            SCHEMA.InstanceView(
                id=view.id,
                zone=view.zone,
                live=context.fleet.is_live(view, now),
                leaving=view.leaving,
                config_version=self._get_version(view),
                heard_age=self._compute_report_age(view, now),
                behind=newest - self._get_version(view),
            )
            for view in self._list_instances()
        ]

    def _list_instances(self) -> list[InstanceView]:
        return sorted(self._core.context.fleet.instances.values(), key=lambda view: view.id)

    def _find_newest_version(self) -> int:
        return max([self._get_version(view) for view in self._list_instances()], default=0)

    def _is_own(self, view: InstanceView) -> bool:
        return view.id == self._core.context.identity.instance

    def _has_reported_since(self, view: InstanceView, since: float) -> bool:
        return self._is_own(view) or view.version_received_at >= since

    def _get_version(self, view: InstanceView) -> int:
        return (
            self._core.context.configuration.version if self._is_own(view) else view.config_version
        )

    def _compute_report_age(self, view: InstanceView, now: float) -> float:
        if self._is_own(view):
            return 0.0
        return now - view.version_received_at if view.version_received_at >= 0 else -1.0

    def _check_key(self, key: str) -> None:
        if not hmac.compare_digest((key or "").encode(), self._key.encode()):
            raise SCHEMA.NotAllowed(reason="the operator key does not fit")

    def _check_configuration_ready(self) -> None:
        if not self._core.context.config_ready:
            raise SCHEMA.NotReady(reason="this instance has no configuration yet")


def _find_problems(event: ChangeProposed) -> str:
    for field in ("change_id", "author"):
        if not 0 < len(getattr(event, field)) <= MAX_ID_CHARS:
            return f"{field}: expected 1 to {MAX_ID_CHARS} characters"
    return "; ".join(find_unknown_target_kinds(event.items))


def _as_bytes(value: Any) -> bytes:
    if value is None:
        return b""
    return value if isinstance(value, bytes) else str(value).encode()


def _make_exception(answer: ChangeAnswer, change_id: str) -> Exception:
    if answer.error == ERROR_CONFLICT:
        error = SCHEMA.Conflict(version=answer.version, author=answer.author)
    elif answer.error == ERROR_UNKNOWN:
        error = SCHEMA.OutcomeUnknown(change_id=change_id)
    elif answer.error == ERROR_BEHIND:
        reason = f"this instance is still at version {answer.version}; send the change again"
        error = SCHEMA.NotReady(reason=reason)
    else:
        error = SCHEMA.InvalidChange(problem=answer.error)
    assert isinstance(error, Exception)
    return error


class MalformedCall(Exception):
    """The received bytes are not a call of the schema."""


# Errors raised when a call, or a value in it, does not match the schema.
MALFORMED_CALL_ERRORS: Final = (
    MalformedCall,
    TException,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


class OperatorServer:
    """Listen for operators' calls: Thrift calls in frames of bounded size, each read completely."""

    def __init__(
        self,
        core: Core,
        key: str,
        propose_change: ProposeChange,
        submit_event: SubmitEvent,
        clock: Callable[[], float],
    ) -> None:
        handler = _Handler(core, key, propose_change, submit_event, clock)
        self._processor = TProcessor(SCHEMA.Operators, handler)
        self._server: asyncio.Server | None = None
        # In the order of their opening, not that of their addresses in memory.
        self._tasks: dict[asyncio.Task[None], None] = {}
        # The time-outs of connections on which no call is active.
        self._idle_timeouts: dict[asyncio.Task[None], InputTimeout] = {}
        self._is_closing = False

    async def listen(self, host: str, port: int) -> None:
        """Start to accept calls."""
        self._server = await asyncio.start_server(self._accept, host, port)
        find_port(self._server)

    async def close(self) -> None:
        """Stop accepting calls, and wait until those that have been received are answered.

        An operator whose connection closes during a change does not know whether the change was
        accepted.
        """
        if self._server is not None:
            self._server.close()
        self._is_closing = True
        # Connections that were accepted are served from the next iterations of the event loop on.
        await asyncio.sleep(ACCEPT_DELAY_S)
        now = asyncio.get_running_loop().time()
        for timeout in self._idle_timeouts.values():
            timeout.reschedule(now)
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=CLOSE_TIMEOUT_S)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tasks) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._tasks[task] = None
        try:
            await self._serve_connection(task, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, TimeoutError):
            pass
        except MALFORMED_CALL_ERRORS:
            # The connection cannot be used any more, so it is closed.
            pass
        finally:
            self._tasks.pop(task, None)
            self._idle_timeouts.pop(task, None)
            writer.close()

    async def _serve_connection(
        self, task: asyncio.Task[None], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_open = True
        while is_open:
            async with InputTimeout(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S) as timeout:
                self._idle_timeouts[task] = timeout
                length = int.from_bytes(await reader.readexactly(FRAME_HEADER_BYTES), "big")
                if length > MAX_CALL_BYTES:
                    return
                call = await reader.readexactly(length)
            del self._idle_timeouts[task]
            data = await self._run_call(call)
            writer.write(len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data)
            await writer.drain()
            is_open = not self._is_closing

    async def _run_call(self, data: bytes) -> bytes:
        arguments = TCyBinaryProtocol(TCyMemoryBuffer(data))
        output = TCyMemoryBuffer()
        answer = TCyBinaryProtocol(output)
        try:
            api, sequence, result, call = self._processor.process_in(arguments)
        except Exception as error:
            # The C codec raises many types of errors; all of them are caused by these bytes alone.
            raise MalformedCall(f"{type(error).__name__}: {error}") from error
        if call is None:
            self._processor.send_exception(answer, api, result, sequence)
            return bytes(output.getvalue())
        try:
            result.success = await call()
        except TException as error:
            if not self._processor.handle_exception(error, result):
                raise
        self._processor.send_result(answer, api, result, sequence)
        return bytes(output.getvalue())
