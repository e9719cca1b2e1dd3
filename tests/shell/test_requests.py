"""Parsing of callers' requests: any input is parsed or rejected, and none raises."""

from __future__ import annotations

from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbbend.core.events import RequestArrived
from rhubarbbend.http import Exchange
from rhubarbbend.shell._requests import digest_body, read_count, read_request

HEADERS = (
    "authorization",
    "idempotency-key",
    "rhubarbbend-chat",
    "rhubarbbend-ticket",
    "rhubarbbend-deadline",
)


class FakeExchange:
    """An exchange with only the attributes that `read_request` uses."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers or {}
        self.body = body


def read(exchange: FakeExchange) -> RequestArrived | None:
    """Parse a request; return None if it was rejected."""
    found = read_request(cast(Exchange, exchange), "r", 0.0, 60.0, 600.0)
    return found.value_or(None)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(["GET", "POST", "HEAD"]),
    st.one_of(
        st.just("/v1/chat/completions"),
        st.text(st.characters(max_codepoint=126, min_codepoint=33), max_size=40),
        st.text("/.%25e[]:?#\\x", max_size=20).map(lambda text: "/" + text),
    ),
    st.dictionaries(st.sampled_from(HEADERS), st.text(st.characters(max_codepoint=255))),
    st.one_of(st.binary(max_size=100), st.sampled_from([b"{}", b"null", b'{"model": 1}'])),
)
def test_any_request_is_read_or_refused(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> None:
    event = read(FakeExchange(method, target, headers, body))
    if event is not None:
        assert 0 < event.time_left <= 600.0
        assert event.path.startswith("/")


@pytest.mark.parametrize(
    "target",
    [
        "/booking/plots/../bookings",
        "/booking/plots/%2e%2e/bookings",
        "/booking/plots/..%2fbookings",
        "/booking/plots/..\\bookings",
        "/booking/./bookings",
        "//[",
        "http://[/x",
        "*",
    ],
)
def test_ambiguous_request_targets_are_rejected(target: str) -> None:
    """A differently spelled path must not make a command pass for a lookup, which may be rerun."""
    assert read(FakeExchange("POST", target)) is None


def test_digest_depends_on_method_query_and_body() -> None:
    digests = {
        digest_body("POST", "/booking/bookings", b"x"),
        digest_body("PUT", "/booking/bookings", b"x"),
        digest_body("POST", "/booking/bookings?a=1", b"x"),
        digest_body("POST", "/booking/bookings?a=2", b"x"),
        digest_body("POST", "/booking/bookings", b"y"),
    }
    assert len(digests) == 5


@pytest.mark.parametrize(("text", "count"), [("7", 7), ("\u00b2", 0), ("9" * 5_000, 0), ("-1", 0)])
def test_reserved_key_count_is_parsed(text: str, count: int) -> None:
    assert read_count(text) == count
