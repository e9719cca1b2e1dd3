"""Tickets and reserved keys: what was not signed for this account is never taken."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from rhubarbbend.core.claims._keys import (
    ReservedKey,
    decode_reserved,
    encode_reserved,
    is_valid_key,
)
from rhubarbbend.core.routing._tickets import Place, Ticket, decode_ticket, encode_ticket

SECRET = b"a secret of the tests"
NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=30)
KEYS = st.builds(
    ReservedKey, NAMES, st.integers(0, 2**63), st.integers(0, 2**40), st.integers(0, 2**40)
)
PLACES = st.builds(
    Place, st.text(max_size=20), st.text(max_size=20), st.floats(0, 1e10), st.just(7)
)
BOUNDED = settings(max_examples=200, deadline=None, derandomize=True)


@BOUNDED
@given(KEYS, NAMES)
def test_reserved_keys_come_back_as_they_were(key: ReservedKey, account: str) -> None:
    text = encode_reserved(SECRET, account, key)
    assert is_valid_key(text)
    assert decode_reserved(SECRET, account, text) == Success(key)
    assert not isinstance(decode_reserved(SECRET, account + "x", text), Success)
    assert not isinstance(decode_reserved(b"another secret", account, text), Success)


@BOUNDED
@given(KEYS, st.integers(0, 200), st.characters(max_codepoint=255))
def test_changed_reserved_keys_are_refused(key: ReservedKey, at: int, char: str) -> None:
    text = encode_reserved(SECRET, "a", key)
    at %= len(text)
    changed = text[:at] + char + text[at + 1 :]
    if changed != text:
        assert not isinstance(decode_reserved(SECRET, "a", changed), Success)


@BOUNDED
@given(st.lists(PLACES, max_size=2), NAMES, NAMES)
def test_tickets_come_back_as_they_were(places: list[Place], account: str, chat: str) -> None:
    ticket = Ticket(tuple(places))
    text = encode_ticket(SECRET, account, chat, ticket)
    assert decode_ticket(SECRET, account, chat, text).value_or(None) == ticket
    assert decode_ticket(SECRET, account, chat + "x", text).value_or(None) is None


@BOUNDED
@given(st.text(st.characters(max_codepoint=255), max_size=2_000))
def test_forged_tokens_are_refused(text: str) -> None:
    assert decode_ticket(SECRET, "a", "c", text).value_or(None) is None
    assert not isinstance(decode_reserved(SECRET, "a", text), Success)
