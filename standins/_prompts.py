"""Prompts of the model engine's stand-in: their completions, and a cache of their prefixes.

Callers compute the same completions to check each byte that they get, and the load tool uses the
cache to compute how much reuse is possible at all.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import Final

import msgspec

BLOCK_CHARS: Final = 256
CHARS_PER_TOKEN: Final = 4


class Message(msgspec.Struct):
    """A message of a chat."""

    role: str
    content: str


class ChatRequest(msgspec.Struct):
    """Body of a chat completion request."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int = 16


def make_completion_words(messages: list[Message], count: int) -> list[str]:
    """Return the first `count` words of the completion that every engine gives to a prompt."""
    seed = hashlib.blake2b(digest_size=16)
    for message in messages:
        seed.update(f"{message.role}\0{message.content}\0".encode())
    base = seed.digest()
    return [
        hashlib.blake2b(base + i.to_bytes(4, "big"), digest_size=3).hexdigest() + " "
        for i in range(count)
    ]


class PrefixCache:
    """LRU cache of the blocks of prompt prefixes; `capacity` is in tokens."""

    def __init__(self, capacity: int) -> None:
        self._capacity = max(1, capacity * CHARS_PER_TOKEN // BLOCK_CHARS)
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def insert_and_count_hits(self, text: str) -> int:
        """Insert the blocks of a prompt; return how many of its tokens were already cached."""
        digest = hashlib.blake2b(digest_size=12)
        cached_tokens = 0
        is_prefix_cached = True
        for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(text[start : start + BLOCK_CHARS].encode())
            block = digest.digest()
            if block in self._blocks:
                self._blocks.move_to_end(block)
                cached_tokens += BLOCK_CHARS // CHARS_PER_TOKEN if is_prefix_cached else 0
            else:
                is_prefix_cached = False
                self._blocks[block] = None
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
        return cached_tokens

    def count_cached_tokens(self, text: str) -> int:
        """Return how many tokens of a prompt are cached, without changing the cache."""
        digest = hashlib.blake2b(digest_size=12)
        cached_tokens = 0
        for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(text[start : start + BLOCK_CHARS].encode())
            if digest.digest() not in self._blocks:
                break
            cached_tokens += BLOCK_CHARS // CHARS_PER_TOKEN
        return cached_tokens

    @property
    def block_count(self) -> int:
        """The number of cached blocks."""
        return len(self._blocks)

    def clear(self) -> None:
        """Evict all blocks."""
        self._blocks.clear()
