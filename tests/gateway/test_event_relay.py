"""Tests of the relay of a stream's events from one target after another."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from rhubarbbend.core.limits import HeldKind
from rhubarbbend.gateway._streams import EventRelay, _is_after
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


class FakeExchange:
    """Keeps what is written to the caller."""

    def __init__(self) -> None:
        self.buffer = SimpleNamespace(kind=HeldKind.STREAM, record_pending=lambda size: None)
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data


def make_relay(exchange: FakeExchange) -> tuple[EventRelay, list[str]]:
    """Return a relay at the beginning of an answer, and what it reports: head and first event."""
    reports: list[str] = []
    relay = EventRelay(cast(Exchange, exchange), lambda: reports.append("head"), "")
    relay.begin_response(False, lambda: reports.append("first event"))
    return relay, reports


# Guards against an instance that is kept from its other requests by a target which sends line ends
# without end, each in a chunk of its own: none of them is an event.
def test_line_ends_without_end_are_no_events() -> None:
    async def work() -> None:
        relay, reports = make_relay(FakeExchange())
        with pytest.raises(EndlessAnswer):
            for _ in range(1_025):
                relay.write(b"\n")
        assert reports == [] and relay.event_count == 0

    asyncio.run(work())


# Guards against line ends between and after events that are counted as events, or lost.
@pytest.mark.parametrize(
    "body", [b"\n\nid: 1\n\n", b"id: 1\n\n\n\n\nid: 2\n\n", b"id: 1\n\n\n\n", b"id: 1\n\n\r\n"]
)
def test_line_ends_around_events_are_passed_on(body: bytes) -> None:
    async def work() -> None:
        exchange = FakeExchange()
        relay, reports = make_relay(exchange)
        for number in range(len(body)):
            relay.write(body[number : number + 1])
        assert relay.is_complete()
        relay.flush()
        assert exchange.written == body
        assert reports == ["first event", "head"] and relay.event_count == body.count(b"id")

    asyncio.run(work())


# Guards against a stream that ends with an internal error since an id has more digits than Python
# converts to a number.
@pytest.mark.parametrize(
    ("event_id", "last_id", "is_after"),
    [
        ("9" * 5_000, "7", True),
        ("7", "9" * 5_000, False),
        ("10", "9", True),
        ("0010", "9", True),
        ("9", "10", False),
        ("10", "10", False),
        ("010", "10", False),
        ("0", "00", False),
        ("b", "a", True),
        ("a", "a", False),
    ],
)
def test_ids_of_events_of_any_length_are_compared(
    event_id: str, last_id: str, is_after: bool
) -> None:
    assert _is_after(event_id, last_id) is is_after
