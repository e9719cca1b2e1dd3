"""The seeded load: returning chats of skewed accounts, lookups and commands."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from loadtool._bound import ServedTurn
from loadtool._caller import Address, Answer, Caller, Chat
from loadtool._deployments import ChatKind, Deployment
from standins._engine import CHARS_PER_TOKEN

# So many seconds of a chat's life pass in one second of a run.
TIME_SCALE: Final = 300.0
# Most chats return within minutes, the others after hours.
SOON_SHARE: Final = 0.85
SOON_SECONDS: Final = (60.0, 900.0)
LATER_SECONDS: Final = (3_600.0, 10_800.0)
# Callers lose a ticket now and then.
TICKET_LOSS: Final = 0.03
CHAT_DEADLINE: Final = 10.0
RETRY_PAUSE: Final = 0.5
WORDS: Final = ("tent", "ghat", "ration", "river", "plot", "water", "tower", "field", "gate", "log")


@attrs.define(slots=True)
class Sent:
    """A request as its caller saw it; `at` in seconds since the load began."""

    at: float
    kind: str
    answer: Answer


class Load:
    """All callers of a run. The same seed gives the same chats, pauses and texts."""

    def __init__(
        self,
        deployment: Deployment,
        addresses: Callable[[], list[Address]],
        seed: int,
        seconds: float,
        ramp: float,
    ) -> None:
        self.sent: list[Sent] = []
        self.turns: list[ServedTurn] = []
        self.started = time.monotonic()
        self._deployment = deployment
        self._addresses = addresses
        self._seed = seed
        self._seconds = seconds
        self._ramp = ramp

    def now(self) -> float:
        """Give the seconds since the load began."""
        return time.monotonic() - self.started

    async def run(self) -> None:
        """Run every caller until the time is over."""
        deployment = self._deployment
        self.started = time.monotonic()
        chats = [self._run_chat(number) for number in range(deployment.chats)]
        commands = self._repeat(deployment.commands_per_second, self._send_command)
        lookups = self._repeat(deployment.lookups_per_second, self._look_up)
        await asyncio.gather(*chats, commands, lookups)

    async def _run_chat(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/chat/{number}")
        kind = _pick_kind(rng, self._deployment.chat_kinds)
        caller = self._make_caller(rng)
        chat = Chat(f"{self._deployment.name}-{self._seed}-{number}", self._deployment.model)
        await asyncio.sleep(rng.uniform(0.0, self._ramp))
        while self.now() < self._seconds:
            low, high = kind.question_tokens if chat.turns else kind.history_tokens
            chat.ask(f"{chat.id} {_write_text(rng, rng.randint(low, high))}")
            if rng.random() < TICKET_LOSS:
                chat.ticket = ""
            if not await self._ask(chat, caller, rng.randint(*kind.answer_words), kind.name):
                chat.messages.pop()
                await asyncio.sleep(RETRY_PAUSE)
                continue
            await asyncio.sleep(min(pick_pause(rng), max(0.0, self._seconds - self.now())))

    async def _ask(self, chat: Chat, caller: Caller, words: int, kind: str) -> bool:
        at = self.now()
        length = len(chat.messages)
        answer = await caller.ask_chat(chat, words, deadline=CHAT_DEADLINE)
        self.sent.append(Sent(at, kind, answer))
        answer.body = b""
        if answer.good:
            self.turns.append(ServedTurn(at, chat.id, chat.messages, length))
        return answer.good

    def _make_caller(self, rng: random.Random) -> Caller:
        """Make a caller of an account; account n is 1/n as large as the first."""
        accounts = self._deployment.accounts
        weights = [1.0 / rank for rank in range(1, len(accounts) + 1)]
        account = rng.choices(accounts, weights)[0]
        return Caller(self._addresses, f"{account}-key")

    async def _repeat(self, rate: float, send: Callable[[int, random.Random], object]) -> None:
        rng = random.Random(f"{self._seed}/{send.__name__}")
        open_tasks: set[asyncio.Task[None]] = set()
        number = 0
        while self.now() < self._seconds:
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
        self.sent.append(Sent(at, "command", answer))

    async def _look_up(self, number: int, rng: random.Random) -> None:
        caller = self._make_caller(rng)
        at = self.now()
        answer = await caller.look_up(f"{self._deployment.lookup_path}/{number}")
        self.sent.append(Sent(at, "lookup", answer))


def pick_pause(rng: random.Random) -> float:
    """Pick the seconds of a run until a chat returns."""
    low, high = SOON_SECONDS if rng.random() < SOON_SHARE else LATER_SECONDS
    return rng.uniform(low, high) / TIME_SCALE


def _pick_kind(rng: random.Random, kinds: Sequence[ChatKind]) -> ChatKind:
    return rng.choices(kinds, [kind.share for kind in kinds])[0]


def _write_text(rng: random.Random, tokens: int) -> str:
    """Write words that no other chat has, about so many tokens long."""
    words: list[str] = []
    left = tokens * CHARS_PER_TOKEN
    while left > 0:
        word = f"{rng.choice(WORDS)}{rng.randrange(1_000)}"
        words.append(word)
        left -= len(word) + 1
    return " ".join(words)
