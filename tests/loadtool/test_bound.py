"""Tests of the upper bound of cache reuse, computed by replaying turns with ideal placement."""

from __future__ import annotations

from loadtool._reuse_bound import EngineSpan, ServedTurn, compute_reuse_bound
from standins._prompts import BLOCK_CHARS, Message

# A prompt of ten cache blocks of 64 tokens.
TEXT = "x" * (10 * BLOCK_CHARS)


def make_turn(at: float, chat: str, turns: int) -> ServedTurn:
    """Return a turn of a chat whose prompt consists of so many messages."""
    messages = [Message("user", f"{chat}{TEXT}") for _ in range(turns)]
    return ServedTurn(at, chat, messages, turns)


def test_returning_chat_finds_its_earlier_prompt_in_the_cache() -> None:
    turns = [make_turn(1.0, "a", 1), make_turn(2.0, "a", 2)]
    first, second = compute_reuse_bound(turns, [EngineSpan("e1", 0.0)], 100_000, [1.5, 9.0])
    assert first.cached_tokens == 0
    assert second.cached_tokens == 640 and second.reuse < 0.51


def test_cache_size_limits_reuse() -> None:
    # Two chats alternate on an engine whose cache has room for one of them: each evicts the other.
    turns = [make_turn(float(n), "ab"[n % 2], 1) for n in range(6)]
    assert compute_reuse_bound(turns, [EngineSpan("e1", 0.0)], 640, [9.0])[0].cached_tokens == 0


def test_replaced_engine_and_zone_out_of_service_give_no_reuse() -> None:
    # The engine is replaced after the first turn, so the second finds nothing in a cache. The zone
    # of the new engine is out of service for the fourth turn, which therefore goes to a third
    # engine and finds nothing either. It is back for the fifth.
    spans = [
        EngineSpan("e1", 0.0, end=1.5),
        EngineSpan("e2", 1.5, out_from=3.5, out_until=4.5),
        EngineSpan("e3", 3.5),
    ]
    turns = [make_turn(float(at), "a", 1) for at in range(1, 6)]
    counts = compute_reuse_bound(turns, spans, 100_000, [1.5, 2.5, 3.5, 4.5, 5.5])
    assert [count.cached_tokens > 0 for count in counts] == [False, False, True, False, True]
