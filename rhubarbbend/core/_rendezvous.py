"""Rendezvous hashing: an order of names for a key that every instance computes alike.

A name that joins or leaves moves only the keys that it comes first for.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weigh_name(key: str, name: str) -> int:
    """Give a name's weight for a key; the heaviest name comes first."""
    return xxhash.xxh64_intdigest(name.encode(), xxhash.xxh64_intdigest(key.encode()))


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Give names in rendezvous order for a key, first the heaviest."""
    seed = xxhash.xxh64_intdigest(key.encode())
    weights = {name: xxhash.xxh64_intdigest(name.encode(), seed) for name in names}
    return sorted(weights, key=weights.__getitem__, reverse=True)
