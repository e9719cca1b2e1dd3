"""The operators' port: malformed calls, wrong keys, idle connections and too many connections."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from collections.abc import Awaitable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rhubarbbend.core import Core
from rhubarbbend.core.events import ChangeProposed, Event
from rhubarbbend.operators import SCHEMA, ChangeAnswer, OperatorClient, OperatorServer, _server
from tests.core.core_helpers import answer_scan, make_row, make_zone, start_core

KEY = "k" * 64
# The headers of valid calls; hypothesis generates the rest.
SHOW_CONFIG_HEADER = b"\x80\x01\x00\x01\x00\x00\x00\x0bshow_config\x00\x00\x00\x00"
APPLY_CHANGE_HEADER = b"\x80\x01\x00\x01\x00\x00\x00\x0capply_change\x00\x00\x00\x00"


async def propose_change(event: ChangeProposed) -> ChangeAnswer:
    return ChangeAnswer("", 2, "")


def make_server(core: Core) -> OperatorServer:
    def submit_event(event: Event) -> None:
        core.handle(event, 5.0)

    return OperatorServer(core, KEY, propose_change, submit_event, lambda: 5.0)


def make_core() -> Core:
    core = start_core("e1")
    answer_scan(core, 4.0, make_row(1, make_zone("a", True)))
    return core


@settings(max_examples=300, suppress_health_check=[HealthCheck.too_slow], deadline=None)
@given(
    st.one_of(
        st.binary(max_size=200),
        st.binary(max_size=80).map(lambda b: SHOW_CONFIG_HEADER + b),
        st.binary(max_size=80).map(lambda b: APPLY_CHANGE_HEADER + b),
    )
)
def test_malformed_calls_raise_only_expected_errors(data: bytes) -> None:
    """A frame holds bytes that are not a call, from a scanner or another version of the schema.

    They must raise only the errors that the server expects; any other would end the connection's
    task with a traceback. They must never be taken for a call that changes something.
    """
    server = make_server(make_core())
    with contextlib.suppress(*_server.MALFORMED_CALL_ERRORS):
        answer = asyncio.run(server._run_call(data))
        assert isinstance(answer, bytes)


def run_with_client(check: object) -> None:
    async def scenario() -> None:
        server = make_server(make_core())
        await server.listen("127.0.0.1", 0)
        assert server._server is not None
        address = server._server.sockets[0].getsockname()[:2]
        try:
            await check(address)  # type: ignore[operator]
        finally:
            await server.close()

    asyncio.run(scenario())


def test_a_wrong_key_is_refused_with_a_typed_error() -> None:
    async def check(address: tuple[str, int]) -> None:
        def call() -> None:
            with OperatorClient(address, "wrong") as client:
                for what in ("config", "zones", "targets", "instances"):
                    with pytest.raises(SCHEMA.NotAllowed):
                        client.show(what)
                with pytest.raises(SCHEMA.NotAllowed):
                    client.apply_change("c", "ana", 1, [make_zone("a", False)])

        await asyncio.to_thread(call)

    run_with_client(check)


def test_an_unknown_target_kind_and_a_missing_author_are_typed_errors() -> None:
    async def check(address: tuple[str, int]) -> None:
        def call() -> None:
            with OperatorClient(address, KEY) as client:
                item = ("service", "s", b'{"name": "s", "kind": "gpu"}')
                with pytest.raises(SCHEMA.InvalidChange, match="expected one of engine, plain"):
                    client.apply_change("c", "ana", 1, [item])
                with pytest.raises(SCHEMA.InvalidChange, match="author"):
                    client.apply_change("c", "", 1, [make_zone("a", False)])
                assert client.apply_change("c", "ana", 1, [make_zone("a", False)]) == 2

        await asyncio.to_thread(call)

    run_with_client(check)


def test_idle_connections_are_closed_and_their_number_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle connections must not keep operators from connecting."""
    monkeypatch.setattr(_server, "IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(_server, "MAX_CONNECTIONS", 3)

    async def check(address: tuple[str, int]) -> None:
        opened = [await asyncio.open_connection(*address) for _ in range(4)]
        reader, _ = opened[3]
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(1), 0.25) == b""
        for reader, writer in opened[:3]:
            assert await asyncio.wait_for(reader.read(1), 2.0) == b""
            writer.close()

    run_with_client(check)


def call_while_late(server: OperatorServer, idle_s: float, ending: Awaitable[None]) -> int | None:
    """Return the result of a change that arrives while the event loop is late, None if cut.

    The connection has been idle for `idle_s` seconds then; `ending` is awaited directly after.
    """
    is_connected, may_send = threading.Event(), threading.Event()
    versions: list[int] = []

    def call(address: tuple[str, int]) -> None:
        with contextlib.suppress(Exception), OperatorClient(address, KEY) as client:
            is_connected.set()
            may_send.wait(5.0)
            versions.append(client.apply_change("c", "ana", 1, [make_zone("a", False)]))

    async def scenario() -> None:
        await server.listen("127.0.0.1", 0)
        assert server._server is not None
        address = server._server.sockets[0].getsockname()[:2]
        caller = threading.Thread(target=call, args=(address,))
        caller.start()
        await asyncio.to_thread(is_connected.wait, 5.0)
        await asyncio.sleep(idle_s)
        may_send.set()
        time.sleep(0.3)
        await ending
        await asyncio.to_thread(caller.join)
        await server.close()

    asyncio.run(scenario())
    return versions[0] if versions else None


# Guards against closing an idle connection whose next call was received before its time-out was
# handled: the operator does not know whether the change was accepted.
def test_a_call_received_before_the_idle_time_out_is_handled_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_server, "IDLE_TIMEOUT_S", 0.3)
    assert call_while_late(make_server(make_core()), 0.1, asyncio.sleep(0.0)) == 2


# Guards against the same when a planned stop closes idle connections.
def test_a_call_received_before_a_stop_closes_its_connection_is_answered() -> None:
    server = make_server(make_core())
    assert call_while_late(server, 0.1, server.close()) == 2
