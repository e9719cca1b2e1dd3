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
from rhubarbbend.core._proposals import ERROR_BEHIND, ERROR_CONFLICT, ERROR_UNKNOWN
from rhubarbbend.core.events import ChangeProposed
from rhubarbbend.operators._schema import SCHEMA

FRAME_HEAD: Final = 4
MAX_CALL_BYTES: Final = 16 * 1024 * 1024


@attrs.define(slots=True, frozen=True)
class ChangeAnswer:
    """What became of a proposed change."""

    error: str
    version: int
    author: str


Propose = Callable[[ChangeProposed], Awaitable[ChangeAnswer]]


class _Handler:
    """The methods of the schema's service."""

    def __init__(
        self, core: Core, key: str, propose: Propose, read_time: Callable[[], float]
    ) -> None:
        self._core = core
        self._key = key
        self._propose = propose
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
            [(d.kind, d.name, _as_bytes(d.value)) for d in change.declarations or ()],
        )
        if not event.change_id or not event.author:
            raise SCHEMA.InvalidChange(problem="change_id and author are required")
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
                leaving=view.leaving,
                cold=view.cold,
                load=view.load,
                limit=view.limit,
                boot_id=view.boot_id,
            )
            for view in sorted(context.fleet.targets.values(), key=lambda v: v.id)
        ]

    async def show_instances(self, key: str) -> list[Any]:
        """Show the instances and how far behind each is."""
        self._check(key)
        now = self._read_time()
        context = self._core.context
        own = context.identity.instance
        shown = []
        for view in sorted(context.fleet.instances.values(), key=lambda v: v.id):
            is_own = view.id == own
            version = context.configuration.version if is_own else view.config_version
            age = 0.0 if is_own else (now - view.last_heard if view.last_heard >= 0 else -1.0)
            shown.append(
                SCHEMA.InstanceView(
                    id=view.id,
                    zone=view.zone,
                    live=context.fleet.is_live(view, now),
                    leaving=view.leaving,
                    config_version=version,
                    heard_age=age,
                )
            )
        return shown

    def _check(self, key: str) -> None:
        if not hmac.compare_digest((key or "").encode(), self._key.encode()):
            raise SCHEMA.NotAllowed(reason="the operator key does not fit")

    def _check_ready(self) -> None:
        if not self._core.context.config_ready:
            raise SCHEMA.NotReady(reason="this instance has no configuration yet")


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


class OperatorServer:
    """Listens for operators: Thrift calls in frames, each read whole and bounded in size."""

    def __init__(
        self, core: Core, key: str, propose: Propose, read_time: Callable[[], float]
    ) -> None:
        handler = _Handler(core, key, propose, read_time)
        self._processor = TProcessor(SCHEMA.Operators, handler)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept calls."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def close(self) -> None:
        """Stop accepting calls and end those under way."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(FRAME_HEAD), "big")
                if length > MAX_CALL_BYTES:
                    return
                data = await self._run_call(await reader.readexactly(length))
                writer.write(len(data).to_bytes(FRAME_HEAD, "big") + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except (TException, ValueError, TypeError, SystemError, LookupError):
            # Bytes that are no call of the schema: the connection is of no more use.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _run_call(self, data: bytes) -> bytes:
        arguments = TCyBinaryProtocol(TCyMemoryBuffer(data))
        output = TCyMemoryBuffer()
        answer = TCyBinaryProtocol(output)
        api, sequence, result, call = self._processor.process_in(arguments)
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
