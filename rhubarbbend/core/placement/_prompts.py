"""A prompt as callers describe it: a sequence of parts that an engine may already have cached."""

from __future__ import annotations

import msgspec

from rhubarbbend.core._rendezvous import hash_to_unit_interval


class PromptPart(msgspec.Struct, frozen=True):
    """A run of tokens with an id that is the same in every prompt that contains it."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """The parts of a prompt in order; the last one belongs to this request or its chat alone."""

    parts: tuple[PromptPart, ...]

    @property
    def affinity_key(self) -> str:
        """The key that sends requests to the engine that has most of their prompts cached.

        An engine reuses a part only if it has all parts before it, so requests belong together by
        the last part that they share. That is the part before the request's own one. Every instance
        reads it from the request alone, without knowledge of other requests.
        """
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id

    @property
    def hash_fraction(self) -> float:
        """The hash of the affinity key as a fraction from 0 to 1, to split prompts by weight."""
        return hash_to_unit_interval(self.affinity_key)

    @property
    def shared_tokens(self) -> int:
        """The number of tokens that an engine may have cached from other requests."""
        return sum(part.tokens for part in self.parts[:-1])
