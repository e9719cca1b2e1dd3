"""End-to-end path: separate processes serve chats and commands from caller to target."""

from __future__ import annotations

from pathlib import Path

from loadtool import Chat
from standins._prompts import BLOCK_CHARS, CHARS_PER_TOKEN
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet


def test_chats_and_commands_are_served_end_to_end(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path) as cluster:
            caller = make_caller(cluster)
            chat = Chat("c1", "camp-large")
            previous_tokens = 0
            for stream in (True, False, True):
                chat.add_user_message("which plots are free by the ghat? " * 20)
                answer = await caller.send_chat(chat, 12, stream=stream)
                assert answer.is_correct, answer
                # The ticket routed this turn to the engine that ran the previous turns. It has all
                # their tokens cached except those of the last, incomplete block.
                assert answer.cached_tokens > previous_tokens - BLOCK_CHARS // CHARS_PER_TOKEN
                previous_tokens = answer.prompt_tokens
            first_answer = await caller.send_command("/booking/bookings", "k1", b'{"plot": 1}')
            assert first_answer.is_correct and first_answer.verdict == "ran", first_answer
            replayed_answer = await caller.send_command("/booking/bookings", "k1", b'{"plot": 1}')
            assert replayed_answer.is_correct and replayed_answer.replayed, replayed_answer
            assert cluster.count_runs_by_key() == {"k1": 1}

    run_with_timeout(work)
