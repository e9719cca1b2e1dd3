"""A prompt as callers describe it: parts that may be in an engine's memory already."""

from __future__ import annotations

import msgspec

from rhubarbbend.core._rendezvous import place_key


class PromptPart(msgspec.Struct, frozen=True):
    """A run of tokens with a name that is the same wherever it is used."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """The parts in order. The last one belongs to the request alone, or to its chat."""

    parts: tuple[PromptPart, ...]

    @property
    def affinity_key(self) -> str:
        """What leads requests to the engine that holds most of their prompts.

        An engine reuses a part only if it holds all parts before it, so requests belong together
        by the last part that they share. That is the one before the request's own; every instance
        reads it off the request alone and needs to know nothing of the others.
        """
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id

    @property
    def point(self) -> float:
        """The key's place from 0 to 1, for whatever divides prompts by weight."""
        return place_key(self.affinity_key)

    @property
    def shared_tokens(self) -> int:
        """How many tokens other requests may have left in memory."""
        return sum(part.tokens for part in self.parts[:-1])
