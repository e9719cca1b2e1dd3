"""The seeded load of a measured run: chats that return, lookups and commands.

Client accounts have unequal shares of the load.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from loadtool._caller import Address, Answer, Caller, Chat
from loadtool._deployments import ChatKind, Deployment
from loadtool._reuse_bound import ServedTurn
from standins._prompts import CHARS_PER_TOKEN

# Pauses of chats are shortened by this factor: so many seconds of a chat pass in one second of a
# run.
TIME_SCALE_FACTOR: Final = 300.0
# Most chats return within minutes, the others after hours. The ranges are in seconds before
# scaling.
SHORT_PAUSE_FRACTION: Final = 0.85
SHORT_PAUSE_S: Final = (60.0, 900.0)
LONG_PAUSE_S: Final = (3_600.0, 10_800.0)
# Share of turns before which the caller loses the ticket of its chat.
TICKET_LOSS_FRACTION: Final = 0.03
CHAT_DEADLINE_S: Final = 10.0
RETRY_DELAY_S: Final = 0.5
WORDS: Final = ("tent", "ghat", "ration", "river", "plot", "water", "tower", "field", "gate", "log")


@attrs.define(slots=True)
class SentRequest:
    """A request that a caller sent, `at` seconds after the load began, and its answer."""

    at: float
    kind: str
    answer: Answer


class LoadGenerator:
    """Sends the requests of all callers of a run.

    The same seed gives the same chats, pauses and texts. The chats start at random times within the
    first `ramp_s` seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        addresses: Callable[[], list[Address]],
        seed: int,
        duration_s: float,
        ramp_s: float,
    ) -> None:
        self.requests: list[SentRequest] = []
        self.served_turns: list[ServedTurn] = []
        self.started = time.monotonic()
        self._deployment = deployment
        self._addresses = addresses
        self._seed = seed
        self._duration_s = duration_s
        self._ramp_s = ramp_s

    def now(self) -> float:
        """Return the seconds since the load began."""
        return time.monotonic() - self.started

    async def run(self) -> None:
        """Send requests until the duration has passed, and wait for their answers."""
        deployment = self._deployment
        self.started = time.monotonic()
        chats = [self._run_chat(number) for number in range(deployment.chats)]
        commands = self._send_at_rate(deployment.commands_per_second, self._send_command)
        lookups = self._send_at_rate(deployment.lookups_per_second, self._look_up)
        await asyncio.gather(*chats, commands, lookups)

    async def _run_chat(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/chat/{number}")
        kind = _choose_kind(rng, self._deployment.chat_kinds)
        caller = self._make_caller(rng)
        chat = Chat(f"{self._deployment.name}-{self._seed}-{number}", self._deployment.model)
        await asyncio.sleep(rng.uniform(0.0, self._ramp_s))
        while self.now() < self._duration_s:
            low, high = kind.question_tokens if chat.turns else kind.history_tokens
            chat.add_user_message(f"{chat.id} {_generate_text(rng, rng.randint(low, high))}")
            if rng.random() < TICKET_LOSS_FRACTION:
                chat.ticket = ""
            if not await self._send_turn(chat, caller, rng.randint(*kind.answer_words), kind.name):
                chat.messages.pop()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await asyncio.sleep(min(choose_pause(rng), max(0.0, self._duration_s - self.now())))

    async def _send_turn(self, chat: Chat, caller: Caller, words: int, kind: str) -> bool:
        at = self.now()
        length = len(chat.messages)
        answer = await caller.send_chat(chat, words, deadline=CHAT_DEADLINE_S)
        self.requests.append(SentRequest(at, kind, answer))
        answer.body = b""
        if answer.is_correct:
            self.served_turns.append(ServedTurn(at, chat.id, chat.messages, length))
        return answer.is_correct

    def _make_caller(self, rng: random.Random) -> Caller:
        """Return a caller of a random account; account n gets 1/n of the load of the first."""
        accounts = self._deployment.accounts
        weights = [1.0 / rank for rank in range(1, len(accounts) + 1)]
        account = rng.choices(accounts, weights)[0]
        return Caller(self._addresses, f"{account}-key")

    async def _send_at_rate(
        self, rate: float, send: Callable[[int, random.Random], object]
    ) -> None:
        # The name of the method is part of the seed: renaming it changes the load of every seed.
        rng = random.Random(f"{self._seed}/{send.__name__}")
        open_tasks: set[asyncio.Task[None]] = set()
        number = 0
        while self.now() < self._duration_s:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            work = send(number, rng)
            assert asyncio.iscoroutine(work)
            task = asyncio.get_running_loop().create_task(work)
            open_tasks.add(task)
            task.add_done_callback(open_tasks.discard)
        await asyncio.gather(*open_tasks)

    async def _send_command(self, number: int, rng: random.Random) -> None:
        caller = self._make_caller(rng)
        at = self.now()
        key = f"command-{self._seed}-{number}"
        answer = await caller.send_command(self._deployment.command_path, key, b"{}")
        self.requests.append(SentRequest(at, "command", answer))

    async def _look_up(self, number: int, rng: random.Random) -> None:
        caller = self._make_caller(rng)
        at = self.now()
        answer = await caller.look_up(f"{self._deployment.lookup_path}/{number}")
        self.requests.append(SentRequest(at, "lookup", answer))


def choose_pause(rng: random.Random) -> float:
    """Return a random number of seconds until a chat returns, after scaling."""
    low, high = SHORT_PAUSE_S if rng.random() < SHORT_PAUSE_FRACTION else LONG_PAUSE_S
    return rng.uniform(low, high) / TIME_SCALE_FACTOR


def _choose_kind(rng: random.Random, kinds: Sequence[ChatKind]) -> ChatKind:
    return rng.choices(kinds, [kind.share for kind in kinds])[0]


def _generate_text(rng: random.Random, tokens: int) -> str:
    """Return a random text of about this many tokens, which no other chat is likely to share."""
    words: list[str] = []
    left = tokens * CHARS_PER_TOKEN
    while left > 0:
        word = f"{rng.choice(WORDS)}{rng.randrange(1_000)}"
        words.append(word)
        left -= len(word) + 1
    return " ".join(words)
