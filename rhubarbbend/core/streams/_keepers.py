"""Selects the instances that know the origin of a stream, and those that are asked for it.

Each availability zone has one keeper of a stream, by rendezvous hashing of the stream's key, so
every instance that knows the list computes the same ones. Two zones are told: that of the instance
that began the stream, and another one that is the same for all. All keepers are asked, since the
zone of that instance is not known then.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from rhubarbbend.core._rendezvous import rank_names

# How many keepers are told; one of them may be lost together with the instance that tells them.
KEEPERS_TOLD: Final = 2


def list_keepers(key: int, zones: Mapping[str, str]) -> list[str]:
    """Return the keepers of a stream, given the zone of each instance.

    There is one in each zone, and two if all instances are in one.
    """
    by_zone: dict[str, list[str]] = {}
    for name, zone in zones.items():
        by_zone.setdefault(zone, []).append(name)
    seed = str(key)
    if len(by_zone) == 1:
        return rank_names(seed, zones)[:KEEPERS_TOLD]
    return [rank_names(seed, by_zone[zone])[0] for zone in rank_names(seed, by_zone)]


def select_told(key: int, zones: Mapping[str, str], own_zone: str) -> list[str]:
    """Return the keepers that are told of a stream that begins in a zone."""
    keepers = list_keepers(key, zones)
    near = [name for name in keepers if zones[name] == own_zone]
    far = [name for name in keepers if zones[name] != own_zone]
    return (near + far)[:KEEPERS_TOLD]
