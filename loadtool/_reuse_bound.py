"""An upper bound of cache reuse: the reuse of the same requests with ideal placement.

The served requests are replayed offline in their order. Each request goes to the engine that has
cached most of its prompt, whatever the load of that engine. A prompt that no engine has cached goes
to the engine with most free memory or, when all are full, to the one that has computed the fewest
prompt tokens. Engines have the cache size of the run, and start, stop and leave service at the same
times as in the run. Eviction depends on the order of requests, so a run may slightly exceed the
bound while memory is short.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from standins._prompts import CHARS_PER_TOKEN, Message, PrefixCache


@attrs.define(slots=True, frozen=True)
class ServedTurn:
    """A served turn of a chat, sent `at` seconds after the load began.

    Its prompt consists of the first `length` messages of the chat.
    """

    at: float
    chat: str
    messages: Sequence[Message]
    length: int

    def join_prompt(self) -> str:
        """Return the prompt as one text, in the form that engines cache."""
        return "".join(f"{m.role}\0{m.content}\0" for m in self.messages[: self.length])


@attrs.define(slots=True)
class EngineSpan:
    """The time in which an engine could take requests, in seconds since the load began.

    It runs from `start` to `end`, without the time out of service from `out_from` to `out_until`.
    """

    name: str
    start: float
    end: float = float("inf")
    out_from: float = float("inf")
    out_until: float = float("inf")

    def is_usable(self, at: float) -> bool:
        """Return whether the engine could take requests at a time."""
        return self.start <= at < self.end and not self.out_from <= at < self.out_until


@attrs.define(slots=True)
class ReuseCounts:
    """The number of prompt tokens and how many of them were found in a cache."""

    prompt_tokens: int = 0
    cached_tokens: int = 0

    @property
    def reuse(self) -> float:
        """The share of prompt tokens found in a cache; 0 without prompts."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0


def compute_reuse_bound(
    turns: Sequence[ServedTurn],
    spans: Sequence[EngineSpan],
    cache_tokens: int,
    phase_ends: Sequence[float],
) -> list[ReuseCounts]:
    """Replay the turns with ideal placement and return the counts of each phase.

    `cache_tokens` is the cache size of each engine; `phase_ends` are ascending times in seconds
    since the load began.
    """
    caches = {span.name: PrefixCache(cache_tokens) for span in spans}
    tokens_computed = dict.fromkeys(caches, 0)
    engines_by_chat: dict[str, set[str]] = {}
    phase_counts = [ReuseCounts() for _ in phase_ends]
    for turn in sorted(turns, key=lambda turn: turn.at):
        usable = [span.name for span in spans if span.is_usable(turn.at)]
        if not usable:
            continue
        text = turn.join_prompt()
        visited_engines = engines_by_chat.setdefault(turn.chat, set())
        cached_by_engine = {
            name: caches[name].count_cached_tokens(text)
            for name in visited_engines.intersection(usable)
        }
        if any(cached_by_engine.values()):
            engine = max(cached_by_engine, key=lambda name: cached_by_engine[name])
        else:
            engine = min(usable, key=lambda name: (caches[name].block_count, tokens_computed[name]))
            visited_engines.add(engine)
        tokens = len(text) // CHARS_PER_TOKEN
        cached_in_engine = caches[engine].insert_and_count_hits(text)
        tokens_computed[engine] += tokens - cached_in_engine
        phase = next((i for i, end in enumerate(phase_ends) if turn.at < end), -1)
        phase_counts[phase].prompt_tokens += tokens
        phase_counts[phase].cached_tokens += cached_in_engine
    return phase_counts
