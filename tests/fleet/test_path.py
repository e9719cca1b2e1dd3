"""The whole path: chats and commands served by separate processes from one end to the other."""

from __future__ import annotations

from pathlib import Path

from loadtool import Chat
from standins._engine import BLOCK_CHARS, CHARS_PER_TOKEN
from tests.fleet.harness import make_caller, run, start_fleet


def test_serves_chats_and_commands(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path) as cluster:
            caller = make_caller(cluster)
            chat = Chat("c1", "camp-large")
            before = 0
            for stream in (True, False, True):
                chat.ask("which plots are free by the ghat? " * 20)
                answer = await caller.ask_chat(chat, 12, stream=stream)
                assert answer.good, answer
                # The ticket led the turn to the engine that read the turns before.
                # All of them, but for the block that the engine's cache had not filled.
                assert answer.cached_tokens > before - BLOCK_CHARS // CHARS_PER_TOKEN
                before = answer.prompt_tokens
            booked = await caller.send_command("/booking/bookings", "k1", b'{"plot": 1}')
            assert booked.good and booked.verdict == "ran", booked
            again = await caller.send_command("/booking/bookings", "k1", b'{"plot": 1}')
            assert again.good and again.replayed, again
            assert cluster.read_runs() == {"k1": 1}

    run(work)
