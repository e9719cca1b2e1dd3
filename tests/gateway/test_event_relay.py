"""Tests of the relay of a stream's events from one target after another."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from rhubarbbend.core.limits import HeldKind
from rhubarbbend.gateway._streams import EventRelay
from rhubarbbend.http import EndlessAnswer, Exchange


# Guards against giving up a sound target at its first small part, since the one before it had sent
# an event byte by byte.
def test_an_endless_event_does_not_count_against_the_next_target() -> None:
    async def work() -> None:
        exchange = SimpleNamespace(buffer=SimpleNamespace(kind=HeldKind.STREAM))
        relay = EventRelay(cast(Exchange, exchange), lambda: None, "")
        relay.begin_response(False, lambda: None)
        with pytest.raises(EndlessAnswer):
            for _ in range(100):
                relay.write(b"x")
                await asyncio.sleep(0.05)
        relay.begin_response(True, lambda: None)
        relay.write(b"id: 7\n")

    asyncio.run(work())
