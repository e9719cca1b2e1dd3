"""The offline bound of reuse: what perfect placement could have found."""

from __future__ import annotations

from loadtool._bound import EngineSpan, ServedTurn, compute_bound
from standins._engine import BLOCK_CHARS, Message

# Blocks of 64 tokens; a prompt of ten of them.
TEXT = "x" * (10 * BLOCK_CHARS)


def make_turn(at: float, chat: str, turns: int) -> ServedTurn:
    """Make a turn of a chat whose prompt has grown so often."""
    messages = [Message("user", f"{chat}{TEXT}") for _ in range(turns)]
    return ServedTurn(at, chat, messages, turns)


def test_returning_chat_finds_its_former_prompt() -> None:
    turns = [make_turn(1.0, "a", 1), make_turn(2.0, "a", 2)]
    first, second = compute_bound(turns, [EngineSpan("e1", 0.0)], 100_000, [1.5, 9.0])
    assert first.held == 0
    assert second.held == 640 and second.reuse < 0.51


def test_memory_limits_what_is_held() -> None:
    # Two chats take turns on an engine that holds one of them: nothing is ever found.
    turns = [make_turn(float(n), "ab"[n % 2], 1) for n in range(6)]
    assert compute_bound(turns, [EngineSpan("e1", 0.0)], 640, [9.0])[0].held == 0


def test_replaced_engine_and_absent_zone_hold_nothing() -> None:
    # The engine is replaced after the first turn and the chat reads its context afresh; then the
    # new one's zone is out for one turn and the chat reads again elsewhere; then it is back.
    spans = [
        EngineSpan("e1", 0.0, end=1.5),
        EngineSpan("e2", 1.5, out_from=3.5, out_until=4.5),
        EngineSpan("e3", 3.5),
    ]
    turns = [make_turn(float(at), "a", 1) for at in range(1, 6)]
    counts = compute_bound(turns, spans, 100_000, [1.5, 2.5, 3.5, 4.5, 5.5])
    assert [count.held > 0 for count in counts] == [False, False, True, False, True]
