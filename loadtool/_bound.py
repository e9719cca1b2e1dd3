"""An upper bound of cache reuse: what the same requests could have found with perfect placement.

The served requests are replayed offline in their order. Each goes to the engine that holds most of
its prompt, whatever that engine's load, and a prompt that none holds to the engine with most free
memory or, when all are full, to the one that has read least. Engines have the memory, and lose it
at the times, that they had in the run. What is evicted depends on the order of requests, so while
memory is short a run may come out a little above it.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from standins._engine import CHARS_PER_TOKEN, Message, PrefixCache


@attrs.define(slots=True, frozen=True)
class ServedTurn:
    """A served turn of a chat: its prompt is the chat's first `length` messages."""

    at: float
    chat: str
    messages: Sequence[Message]
    length: int

    def join_prompt(self) -> str:
        """Join the prompt as an engine reads it."""
        return "".join(f"{m.role}\0{m.content}\0" for m in self.messages[: self.length])


@attrs.define(slots=True)
class EngineSpan:
    """When an engine could be used: from its start to its end, less a time out of service."""

    name: str
    start: float
    end: float = float("inf")
    out_from: float = float("inf")
    out_until: float = float("inf")

    def is_usable(self, at: float) -> bool:
        """Whether it could take work."""
        return self.start <= at < self.end and not self.out_from <= at < self.out_until


@attrs.define(slots=True)
class BoundCount:
    """Tokens of prompts and how many of them were held."""

    prompt: int = 0
    held: int = 0

    @property
    def reuse(self) -> float:
        """Share of tokens that were held."""
        return self.held / self.prompt if self.prompt else 0.0


def compute_bound(
    turns: Sequence[ServedTurn],
    spans: Sequence[EngineSpan],
    cache_tokens: int,
    phase_ends: Sequence[float],
) -> list[BoundCount]:
    """Replay the turns; gives the counts by phase."""
    caches = {span.name: PrefixCache(cache_tokens) for span in spans}
    read = dict.fromkeys(caches, 0)
    visited: dict[str, set[str]] = {}
    counts = [BoundCount() for _ in phase_ends]
    for turn in sorted(turns, key=lambda turn: turn.at):
        usable = [span.name for span in spans if span.is_usable(turn.at)]
        if not usable:
            continue
        text = turn.join_prompt()
        places = visited.setdefault(turn.chat, set())
        held = {name: caches[name].count_held(text) for name in places.intersection(usable)}
        if any(held.values()):
            place = max(held, key=lambda name: held[name])
        else:
            place = min(usable, key=lambda name: (caches[name].size, read[name]))
            places.add(place)
        tokens = len(text) // CHARS_PER_TOKEN
        found = caches[place].read(text)
        read[place] += tokens - found
        phase = next((i for i, end in enumerate(phase_ends) if turn.at < end), -1)
        counts[phase].prompt += tokens
        counts[phase].held += found
    return counts
