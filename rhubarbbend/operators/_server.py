"""Answers operators: proposes their changes to the core and shows the core's views."""

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
from rhubarbbend.operators._checks import find_unknown_target_kinds
from rhubarbbend.operators._schema import SCHEMA

FRAME_HEAD: Final = 4
MAX_CALL_BYTES: Final = 16 * 1024 * 1024
MAX_CONNECTIONS: Final = 64
# An operator's connection that says nothing for this long is closed.
IDLE_TIMEOUT: Final = 60.0
# How long a planned stop waits for the answers of calls under way.
CLOSE_TIMEOUT: Final = 10.0
# How long `show instances` waits for each instance to tell its version.
VERSION_WAIT: Final = 1.0
VERSION_POLL: Final = 0.02
MAX_ID_LENGTH: Final = 100


@attrs.define(slots=True, frozen=True)
class ChangeAnswer:
    """What became of a proposed change."""

    error: str
    version: int
    author: str


Propose = Callable[[ChangeProposed], Awaitable[ChangeAnswer]]
Feed = Callable[[Event], None]


class _Handler:
    """The methods of the schema's service."""

    def __init__(
        self, core: Core, key: str, propose: Propose, feed: Feed, read_time: Callable[[], float]
    ) -> None:
        self._core = core
        self._key = key
        self._propose = propose
        self._feed = feed
        self._read_time = read_time
        self._next_op = 0

    async def apply_change(self, key: str, change: Any) -> int:
        """Propose a change and wait for the table's word."""
        self._check(key)
        self._check_ready()
        self._next_op += 1
        event = ChangeProposed(
            f"operator:{self._next_op}",
            change.change_id or "",
            change.author or "",
            change.base_version or 0,
            [(d.kind or "", d.name or "", _as_bytes(d.value)) for d in change.declarations or ()],
        )
        problem = _check_event(event)
        if problem:
            raise SCHEMA.InvalidChange(problem=problem)
        answer = await self._propose(event)
        if not answer.error:
            return answer.version
        raise _make_error(answer, event.change_id)

    async def show_config(self, key: str) -> Any:
        """Show every declaration in force."""
        self._check(key)
        self._check_ready()
        configuration = self._core.context.configuration
        declarations = [
            SCHEMA.Declaration(kind=item.kind, name=item.name, value=item.value)
            for item in sorted(configuration.iterate_live(), key=lambda i: (i.kind, i.name))
        ]
        return SCHEMA.ConfigView(version=configuration.version, declarations=declarations)

    async def show_zones(self, key: str) -> list[Any]:
        """Show the zones that are declared or have instances or targets."""
        self._check(key)
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
        """Show the targets as this instance sees them."""
        self._check(key)
        context = self._core.context
        return [
            SCHEMA.TargetView(
                id=view.id,
                service_name=view.service_name,
                zone=view.zone,
                owner=context.fleet.find_owner(view),
                ready=view.ready,
                in_service=context.configuration.is_target_in_service(view.id, view.zone),
                declared_in=context.configuration.is_target_declared_in(view.id),
                leaving=view.leaving,
                cold=view.cold,
                load=view.load,
                limit=view.limit,
                boot_id=view.boot_id,
            )
            for view in sorted(context.fleet.targets.values(), key=lambda v: v.id)
        ]

    async def show_instances(self, key: str) -> list[Any]:
        """Show the instances and how far behind each is, as they themselves say now."""
        self._check(key)
        context = self._core.context
        asked_at = self._read_time()
        self._feed(VersionsAsked())
        while self._read_time() < asked_at + VERSION_WAIT:
            if all(self._is_heard_since(view, asked_at) for view in self._list_instances()):
                break
            await asyncio.sleep(VERSION_POLL)
        now = self._read_time()
        newest = self._find_newest()
        return [
            SCHEMA.InstanceView(
                id=view.id,
                zone=view.zone,
                live=context.fleet.is_live(view, now),
                leaving=view.leaving,
                config_version=self._read_version(view),
                heard_age=self._read_age(view, now),
                behind=newest - self._read_version(view),
            )
            for view in self._list_instances()
        ]

    def _list_instances(self) -> list[InstanceView]:
        return sorted(self._core.context.fleet.instances.values(), key=lambda view: view.id)

    def _find_newest(self) -> int:
        return max([self._read_version(view) for view in self._list_instances()], default=0)

    def _is_own(self, view: InstanceView) -> bool:
        return view.id == self._core.context.identity.instance

    def _is_heard_since(self, view: InstanceView, since: float) -> bool:
        return self._is_own(view) or view.version_heard >= since

    def _read_version(self, view: InstanceView) -> int:
        return (
            self._core.context.configuration.version if self._is_own(view) else view.config_version
        )

    def _read_age(self, view: InstanceView, now: float) -> float:
        if self._is_own(view):
            return 0.0
        return now - view.version_heard if view.version_heard >= 0 else -1.0

    def _check(self, key: str) -> None:
        if not hmac.compare_digest((key or "").encode(), self._key.encode()):
            raise SCHEMA.NotAllowed(reason="the operator key does not fit")

    def _check_ready(self) -> None:
        if not self._core.context.config_ready:
            raise SCHEMA.NotReady(reason="this instance has no configuration yet")


def _check_event(event: ChangeProposed) -> str:
    for field in ("change_id", "author"):
        if not 0 < len(getattr(event, field)) <= MAX_ID_LENGTH:
            return f"{field}: expected 1 to {MAX_ID_LENGTH} characters"
    return "; ".join(find_unknown_target_kinds(event.items))


def _as_bytes(value: Any) -> bytes:
    if value is None:
        return b""
    return value if isinstance(value, bytes) else str(value).encode()


def _make_error(answer: ChangeAnswer, change_id: str) -> Exception:
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
    """Bytes that are no call of the schema."""


# What a handler raises when a field holds something else than the schema says.
MALFORMED: Final = (
    MalformedCall,
    TException,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


class OperatorServer:
    """Listens for operators: Thrift calls in frames, each read whole and bounded in size."""

    def __init__(
        self, core: Core, key: str, propose: Propose, feed: Feed, read_time: Callable[[], float]
    ) -> None:
        handler = _Handler(core, key, propose, feed, read_time)
        self._processor = TProcessor(SCHEMA.Operators, handler)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept calls."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def close(self) -> None:
        """Stop accepting calls; those under way get their answers first.

        An operator whose connection ends during a change does not know whether it was accepted.
        """
        if self._server is not None:
            self._server.close()
        for task in self._tasks - self._busy:
            task.cancel()
        if self._busy:
            await asyncio.wait(list(self._busy), timeout=CLOSE_TIMEOUT)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tasks) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._tasks.add(task)
        try:
            await self._serve_connection(task, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, TimeoutError):
            pass
        except MALFORMED:
            # The connection is of no more use.
            pass
        finally:
            self._tasks.discard(task)
            self._busy.discard(task)
            writer.close()

    async def _serve_connection(
        self, task: asyncio.Task[None], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while self._server is not None and self._server.is_serving():
            async with asyncio.timeout(IDLE_TIMEOUT):
                length = int.from_bytes(await reader.readexactly(FRAME_HEAD), "big")
                if length > MAX_CALL_BYTES:
                    return
                call = await reader.readexactly(length)
            self._busy.add(task)
            data = await self._run_call(call)
            writer.write(len(data).to_bytes(FRAME_HEAD, "big") + data)
            await writer.drain()
            self._busy.discard(task)

    async def _run_call(self, data: bytes) -> bytes:
        arguments = TCyBinaryProtocol(TCyMemoryBuffer(data))
        output = TCyMemoryBuffer()
        answer = TCyBinaryProtocol(output)
        try:
            api, sequence, result, call = self._processor.process_in(arguments)
        except Exception as error:
            # The C codec raises errors of many kinds; all of them speak of these bytes alone.
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
