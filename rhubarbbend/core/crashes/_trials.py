"""Grants trials: attempts of which there may be one at a time in the whole fleet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.crashes._ledger import PRESUMPTION_S

# A trial whose end is not told counts as ended after this time: its holder may have ended.
LEASE_S: Final = 5.0
# Instances that are asked, one after the other, if the first one does not reply.
MAX_COORDINATORS: Final = 2
# How often leases that are over are removed.
EXPIRY_INTERVAL_S: Final = 10.0


class _Lease(msgspec.Struct):
    """A trial in progress, or the time after one under which a target was lost."""

    holder: str
    ends_at: float


class TrialTable:
    """The trials that this instance coordinates. Invariant: at most one holder for a cause."""

    def __init__(self) -> None:
        self._leases: dict[str, _Lease] = {}
        self._expired_at = 0.0

    def request(self, cause: str, holder: str, now: float) -> float:
        """Grant a trial to an instance, or return after how many seconds to ask again.

        Returns 0 if it is granted, also if the same instance has it: its reply may have been lost.
        """
        self._expire(now)
        lease = self._leases.get(cause)
        if lease is not None and now < lease.ends_at and lease.holder != holder:
            return lease.ends_at - now
        self._leases[cause] = _Lease(holder, now + LEASE_S)
        return 0.0

    def record_end(self, cause: str, holder: str, was_lost: bool, now: float) -> None:
        """Record that an instance's trial has ended.

        If its target was lost, no other one begins until it is known what became of that target,
        or presumed.
        """
        lease = self._leases.get(cause)
        if lease is None or lease.holder != holder:
            return
        if was_lost:
            self._leases[cause] = _Lease("", now + PRESUMPTION_S)
        else:
            del self._leases[cause]

    def _expire(self, now: float) -> None:
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        self._leases = {c: lease for c, lease in self._leases.items() if now < lease.ends_at}


def list_coordinators(cause: str, instances: Iterable[str]) -> list[str]:
    """Return the instances to ask for a trial of a cause, in order; the same at every instance."""
    return rank_names(cause, instances)[:MAX_COORDINATORS]
