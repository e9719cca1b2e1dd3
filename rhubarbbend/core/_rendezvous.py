"""Rendezvous hashing: a ranking of names for a key that is the same at every instance.

When a name is added or removed, only the keys for which it ranks first are reassigned.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def compute_weights(key: str, names: Iterable[str]) -> list[int]:
    """Return the weight of each name for a key; the name with the highest weight ranks first."""
    seed = xxhash.xxh64_intdigest(key.encode())
    return [xxhash.xxh64_intdigest(name.encode(), seed) for name in names]


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names sorted by descending weight for a key."""
    candidates = list(names)
    weights = dict(zip(candidates, compute_weights(key, candidates), strict=True))
    return sorted(candidates, key=weights.__getitem__, reverse=True)


def hash_to_unit_interval(key: str) -> float:
    """Hash a key to a number from 0 to 1 that is the same at every instance."""
    return xxhash.xxh64_intdigest(key.encode()) / 2**64
