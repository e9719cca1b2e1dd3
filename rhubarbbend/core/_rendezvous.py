"""Rendezvous hashing: an order of names for a key that every instance computes alike.

A name that joins or leaves moves only the keys that it comes first for.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weigh_names(key: str, names: Iterable[str]) -> list[int]:
    """Give each name's weight for a key; the heaviest name comes first in the order."""
    seed = xxhash.xxh64_intdigest(key.encode())
    return [xxhash.xxh64_intdigest(name.encode(), seed) for name in names]


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Give names in rendezvous order for a key, first the heaviest."""
    listed = list(names)
    weights = dict(zip(listed, weigh_names(key, listed), strict=True))
    return sorted(listed, key=weights.__getitem__, reverse=True)


def place_key(key: str) -> float:
    """Give a key's place from 0 to 1, the same at every instance."""
    return xxhash.xxh64_intdigest(key.encode()) / 2**64
