"""Tests that chat tickets and reserved keys are accepted only if signed for this account."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from rhubarbbend.core.claims._keys import (
    ReservedKey,
    decode_reserved_key,
    encode_reserved_key,
    is_valid_key,
)
from rhubarbbend.core.routing._tickets import ContextLocation, Ticket, decode_ticket, encode_ticket

SECRET = b"a secret of the tests"
NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=30)
RESERVED_KEYS = st.builds(
    ReservedKey, NAMES, st.integers(0, 2**63), st.integers(0, 2**40), st.integers(0, 2**40)
)
PLACES = st.builds(
    ContextLocation, st.text(max_size=20), st.text(max_size=20), st.floats(0, 1e10), st.just(7)
)
DETERMINISTIC_SETTINGS = settings(max_examples=200, deadline=None, derandomize=True)


@DETERMINISTIC_SETTINGS
@given(RESERVED_KEYS, NAMES)
def test_reserved_keys_round_trip_for_their_account_and_secret_only(
    key: ReservedKey, account: str
) -> None:
    token = encode_reserved_key(SECRET, account, key)
    assert is_valid_key(token)
    assert decode_reserved_key(SECRET, account, token) == Success(key)
    assert not isinstance(decode_reserved_key(SECRET, account + "x", token), Success)
    assert not isinstance(decode_reserved_key(b"another secret", account, token), Success)


@DETERMINISTIC_SETTINGS
@given(RESERVED_KEYS, st.integers(0, 200), st.characters(max_codepoint=255))
def test_altered_reserved_keys_are_rejected(key: ReservedKey, index: int, replacement: str) -> None:
    token = encode_reserved_key(SECRET, "a", key)
    index %= len(token)
    altered = token[:index] + replacement + token[index + 1 :]
    if altered != token:
        assert not isinstance(decode_reserved_key(SECRET, "a", altered), Success)


@DETERMINISTIC_SETTINGS
@given(st.lists(PLACES, max_size=2), NAMES, NAMES)
def test_tickets_round_trip_for_their_chat_only(
    places: list[ContextLocation], account: str, chat: str
) -> None:
    ticket = Ticket(tuple(places))
    token = encode_ticket(SECRET, account, chat, ticket)
    assert decode_ticket(SECRET, account, chat, token).value_or(None) == ticket
    assert decode_ticket(SECRET, account, chat + "x", token).value_or(None) is None


@DETERMINISTIC_SETTINGS
@given(st.text(st.characters(max_codepoint=255), max_size=2_000))
def test_forged_tickets_and_keys_are_rejected(token: str) -> None:
    assert decode_ticket(SECRET, "a", "c", token).value_or(None) is None
    assert not isinstance(decode_reserved_key(SECRET, "a", token), Success)
