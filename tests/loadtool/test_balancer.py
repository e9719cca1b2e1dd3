"""The load tool's balancer and its callers when no instance is ready."""

from __future__ import annotations

import asyncio

import pytest

from loadtool._balancer import Balancer
from loadtool._caller import Caller, NoInstanceReady
from rhubarbbend.http import Exchange, HttpServer


def test_caller_says_that_no_instance_is_ready() -> None:
    """All checks failed at once on a busy machine, and the caller divided by zero."""
    caller = Caller(lambda: [], "pilgrim-groups-key")
    with pytest.raises(NoInstanceReady):
        caller.select_instance()


def test_balancer_says_why_no_instance_is_ready(capsys: pytest.CaptureFixture[str]) -> None:
    """Without them it cannot be told whether instances or the balancer itself had stopped."""

    async def serve(exchange: Exchange) -> None:
        exchange.respond(503, [], b"")

    async def run() -> None:
        server = HttpServer(serve)
        port = await server.listen("127.0.0.1", 0)
        async with Balancer(lambda: [("127.0.0.1", port), ("127.0.0.1", 1)]) as balancer:
            assert balancer.list_ready() == []
        await server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))
    printed = capsys.readouterr().err
    assert "status 503" in printed and "127.0.0.1:1: connect" in printed
