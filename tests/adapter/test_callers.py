"""Decoding callers' requests: headers that cannot be used."""

from __future__ import annotations

import pytest

from adapter import PlatformCallerProtocol
from rhubarbbend.http import Exchange


def make_exchange(prefix: str) -> Exchange:
    """Return a request with a prompt, as the server has received it."""
    headers = [
        (b"host", b"chats.example"),
        (b"attempt-id", b"try-1"),
        (b"prefix-hash", prefix.encode()),
    ]
    exchange = Exchange.__new__(Exchange)
    exchange.method = "POST"
    exchange.target = "/chat/x"
    exchange.body = b""
    exchange.raw_headers = headers
    exchange.headers = {name.decode(): value.decode() for name, value in headers}
    return exchange


# Guards against a request that ends with an internal error for a figure that only serves the reuse
# of cached parts: Python refuses to convert 5,000 digits, and 400 are too many for a float.
@pytest.mark.parametrize("digits", [10, 400, 5_000])
def test_prompt_with_a_number_too_large_is_malformed(digits: int) -> None:
    exchange = make_exchange(f"aa:{'9' * digits},bb:50")
    assert PlatformCallerProtocol().read_request(exchange).prompt is None


def test_a_long_part_id_is_known_by_a_digest() -> None:
    """Guards against ids of the size of a head that are kept for thousands of prompts."""
    long_id = "a" * 65
    prompts = []
    for text in (f"{long_id}:5,{'b' * 64}:7", f"{long_id.upper()}:5,c:7"):
        prompt = PlatformCallerProtocol().read_request(make_exchange(text)).prompt
        assert prompt is not None
        prompts.append(prompt)
    first, second = prompts
    assert first.parts[0] == second.parts[0] and len(first.parts[0].id) == 32
    assert first.parts[1].id == "b" * 64
